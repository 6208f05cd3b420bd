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
	maxHops    = 5                      // a keeper, its standby, and outdated hints
	hopTimeout = 250 * time.Millisecond // short enough to skip a lost VM within a caller's timeout
)

// Directory finds the keeper of a group and sends messages to other VMs. It implements
// routing.RouteSource and ownership.PeerSender.
type Directory struct {
	self    ownership.VMRef
	members *Members
	clients *peer.Clients
	groups  *Groups    // set before use
	claims  *Claims    // set before use
	mu      sync.Mutex // guards hints
	hints   map[string]string
}

// NewDirectory returns a Directory. The caller sets groups and claims before use.
func NewDirectory(self ownership.VMRef, members *Members, clients *peer.Clients) *Directory {
	return &Directory{self: self, members: members, clients: clients, hints: map[string]string{}}
}

// SendAgreement implements ownership.PeerSender.
func (d *Directory) SendAgreement(ctx context.Context, to ownership.VMRef, group string, message ownership.PeerMessage) error {
	client, err := d.client(to.ID)
	if err != nil {
		return err
	}
	encoded, err := encodeAgreement(d.self, to, group, message)
	if err != nil {
		return err
	}
	_, err = client.Agree(ctx, encoded)
	return err
}

// FetchRoutes implements routing.RouteSource.
func (d *Directory) FetchRoutes(ctx context.Context, query routing.RouteRequest) (routing.RouteAnswer, error) {
	request := routesRequest(d.self, query)
	answer, err := askKeeper(ctx, d, query.Group, func(ctx context.Context, id string) (*peer.RoutesAnswer, error) {
		if id == d.self.ID {
			return d.groups.AnswerRoutes(ctx, request)
		}
		client, err := d.client(id)
		if err != nil {
			return nil, err
		}
		return client.Routes(ctx, request)
	})
	if err != nil {
		return routing.RouteAnswer{}, err
	}
	return routeAnswer(answer, query.Known), nil
}

// sendClaim sends a claim request to the group's keeper.
func (d *Directory) sendClaim(ctx context.Context, request *peer.ClaimRequest) (*peer.ClaimAnswer, error) {
	return askKeeper(ctx, d, request.GetGroup(), func(ctx context.Context, id string) (*peer.ClaimAnswer, error) {
		if id == d.self.ID {
			return d.claims.Answer(ctx, request)
		}
		client, err := d.client(id)
		if err != nil {
			return nil, err
		}
		return client.Claim(ctx, request)
	})
}

// keeperAnswer is an answer that states whether the answering VM keeps the group.
type keeperAnswer interface {
	GetKeeper() bool
	GetKeeperHint() *peer.VMRef
}

// askKeeper asks the last known keeper of the group, then its candidates, and follows
// their hints until one answers as keeper.
func askKeeper[A keeperAnswer](ctx context.Context, d *Directory, group string,
	ask func(ctx context.Context, id string) (A, error)) (A, error) {
	var none A
	asked := map[string]bool{"": true}
	queue := d.keeperCandidates(group)
	for hops := 0; hops < maxHops && len(queue) > 0 && ctx.Err() == nil; {
		id := queue[0]
		queue = queue[1:]
		if asked[id] {
			continue
		}
		asked[id] = true
		hops++
		answer, err := askWithTimeout(ctx, id, ask)
		if err != nil {
			continue
		}
		if answer.GetKeeper() {
			d.setHint(group, id)
			return answer, nil
		}
		queue = append([]string{answer.GetKeeperHint().GetId()}, queue...)
	}
	d.setHint(group, "")
	return none, fmt.Errorf("directory: no VM answered as keeper of group %s", group)
}

func askWithTimeout[A any](ctx context.Context, id string, ask func(ctx context.Context, id string) (A, error)) (A, error) {
	ctx, cancel := context.WithTimeout(ctx, hopTimeout)
	defer cancel()
	return ask(ctx, id)
}

// client returns the client of a VM in the roster.
func (d *Directory) client(id string) (peer.Peer, error) {
	vm, ok := d.members.Roster().ByID[id]
	if !ok {
		return nil, fmt.Errorf("directory: no address of VM %s", id)
	}
	return d.clients.For(vm.Address), nil
}

func (d *Directory) keeperCandidates(group string) []string {
	d.mu.Lock()
	ids := []string{d.hints[group]}
	d.mu.Unlock()
	for _, ref := range d.members.Roster().Groups[group].AllCandidates {
		ids = append(ids, ref.ID)
	}
	return ids
}

func (d *Directory) setHint(group, id string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.hints[group] = id
}

func routesRequest(self ownership.VMRef, query routing.RouteRequest) *peer.RoutesRequest {
	loads := make([]*peer.SlotLoad, 0, len(query.Rates))
	for _, r := range query.Rates {
		loads = append(loads, &peer.SlotLoad{Slot: r.Slot, PerSecond: r.PerSecond})
	}
	return &peer.RoutesRequest{
		From: encodeVM(self), Group: query.Group, KnownVersion: query.Known,
		Loads: loads, Draining: query.Draining,
	}
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

// hint returns the VM that last answered as the group's keeper, or "".
func (d *Directory) hint(group string) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.hints[group]
}
