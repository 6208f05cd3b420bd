package daemon

import (
	"context"
	"fmt"
	"sync"
	"time"

	"kumquatcleat/internal/backend"
	"kumquatcleat/internal/ownership"
	"kumquatcleat/internal/peer"
	"kumquatcleat/internal/routing"
)

const (
	maxHops    = 5                      // a keeper, its standby, and hints that lag
	hopTimeout = 150 * time.Millisecond // a lost VM is asked past within the caller's patience
)

// Directory finds the VM that keeps a group and carries messages to VMs.
// It implements routing.RouteSource and ownership.PeerSender.
type Directory struct {
	self    ownership.VMRef
	members *Members
	clients *peer.Clients
	groups  *Groups
	mu      sync.Mutex // guards hints
	hints   map[string]string
}

// NewDirectory returns a Directory. groups are this VM's own.
func NewDirectory(self ownership.VMRef, members *Members, clients *peer.Clients) *Directory {
	return &Directory{self: self, members: members, clients: clients, hints: map[string]string{}}
}

// SendAgreement implements ownership.PeerSender.
func (d *Directory) SendAgreement(ctx context.Context, to ownership.VMRef, group string, message ownership.PeerMessage) error {
	vm, ok := d.members.Roster().ByID[to.ID]
	if !ok {
		return fmt.Errorf("directory: no address of VM %s", to)
	}
	encoded, err := encodeAgreement(d.self, to, group, message)
	if err != nil {
		return err
	}
	_, err = d.clients.For(vm.Address).Agree(ctx, encoded)
	return err
}

// AskRoutes implements routing.RouteSource: it asks the VM that kept the group
// last, then those that may keep it, and follows their hints.
func (d *Directory) AskRoutes(ctx context.Context, group string, known uint64, rates []routing.SlotRate) (routing.RouteAnswer, error) {
	request := routesRequest(d.self, group, known, rates)
	asked := map[string]bool{}
	queue := d.whomToAsk(group)
	for hops := 0; hops < maxHops && len(queue) > 0 && ctx.Err() == nil; {
		id := queue[0]
		queue = queue[1:]
		if id == "" || asked[id] {
			continue
		}
		asked[id] = true
		hops++
		answer, err := d.askOne(ctx, id, request)
		if err != nil {
			continue
		}
		if answer.GetKeeper() {
			d.remember(group, id)
			return routeAnswer(answer, known), nil
		}
		queue = append([]string{answer.GetKeeperHint().GetId()}, queue...)
	}
	d.remember(group, "")
	return routing.RouteAnswer{}, fmt.Errorf("directory: no VM answered as keeper of group %s", group)
}

func (d *Directory) whomToAsk(group string) []string {
	d.mu.Lock()
	ids := []string{d.hints[group]}
	d.mu.Unlock()
	for _, ref := range d.members.Roster().Groups[group].Candidates {
		ids = append(ids, ref.ID)
	}
	return ids
}

func (d *Directory) remember(group, id string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.hints[group] = id
}

func (d *Directory) askOne(ctx context.Context, id string, request *peer.RoutesRequest) (*peer.RoutesAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, hopTimeout)
	defer cancel()
	if id == d.self.ID {
		return d.groups.AnswerRoutes(ctx, request)
	}
	vm, ok := d.members.Roster().ByID[id]
	if !ok {
		return nil, fmt.Errorf("directory: no address of VM %s", id)
	}
	return d.clients.For(vm.Address).Routes(ctx, request)
}

func routesRequest(self ownership.VMRef, group string, known uint64, rates []routing.SlotRate) *peer.RoutesRequest {
	loads := make([]*peer.SlotLoad, 0, len(rates))
	for _, r := range rates {
		loads = append(loads, &peer.SlotLoad{Slot: r.Slot, PerSecond: r.PerSecond})
	}
	return &peer.RoutesRequest{From: encodeVM(self), Group: group, KnownVersion: known, Loads: loads}
}

func routeAnswer(answer *peer.RoutesAnswer, known uint64) routing.RouteAnswer {
	out := routing.RouteAnswer{
		Unchanged: known != 0 && answer.GetVersion() == known,
		Version:   answer.GetVersion(),
		Slots:     make(map[uint32]routing.SlotRoute, len(answer.GetRoutes())),
		Lease:     time.Duration(answer.GetRouteLeaseMs()) * time.Millisecond,
	}
	for _, r := range answer.GetRoutes() {
		out.Slots[r.GetSlot()] = routing.SlotRoute{
			Server:            r.GetServer(),
			ServerIncarnation: r.GetServerIncarnation(),
			Token:             backend.Token{Epoch: r.GetToken().GetEpoch(), Seq: r.GetToken().GetSeq()},
			Moving:            r.GetMoving(),
		}
	}
	return out
}
