package daemon

import (
	"context"
	"math/rand/v2"
	"time"

	"kumquatcleat/internal/ownership"
	"kumquatcleat/internal/peer"
	"kumquatcleat/internal/platform"
	"kumquatcleat/internal/retry"
)

const (
	// suspectsInterval is the interval at which a VM exchanges suspects with one random
	// other VM, so that VMs that missed the immediate notification learn of them.
	suspectsInterval = 2 * time.Second
	// suspectsFanout is the number of VMs notified immediately when a server is lost. In
	// the regions in use today these are all other VMs. The caller may retry through any
	// of them.
	suspectsFanout = 16
)

// suspects is this VM's quarantine, synchronized with the other VMs: immediately when a
// server is lost during a request, and periodically for VMs that missed it. It
// implements retry.Quarantine.
type suspects struct {
	*retry.MemoryQuarantine
	self        ownership.VMRef
	members     *Members
	clients     *peer.Clients
	lossPending chan struct{} // holds one element while a loss is to be reported
}

func newSuspects(self ownership.VMRef, quarantine *retry.MemoryQuarantine, members *Members, clients *peer.Clients) *suspects {
	return &suspects{
		MemoryQuarantine: quarantine,
		self:             self,
		members:          members,
		clients:          clients,
		lossPending:      make(chan struct{}, 1),
	}
}

// ServerLost implements retry.Quarantine.
func (s *suspects) ServerLost(service string, request retry.Fingerprints, server string) {
	s.MemoryQuarantine.ServerLost(service, request, server)
	select {
	case s.lossPending <- struct{}{}:
	default:
	}
}

func (s *suspects) run(ctx context.Context) {
	ticker := time.NewTicker(suspectsInterval)
	defer ticker.Stop()
	for {
		count := 1
		select {
		case <-ctx.Done():
			return
		case <-s.lossPending:
			count = suspectsFanout
		case <-ticker.C:
		}
		for _, vm := range s.others(count) {
			go s.exchange(ctx, vm)
		}
	}
}

// others returns up to count other VMs at random.
func (s *suspects) others(count int) []platform.VM {
	var picked []platform.VM
	vms := s.members.Roster().VMs
	for _, i := range rand.Perm(len(vms)) {
		if len(picked) < count && vms[i].ID != s.self.ID {
			picked = append(picked, vms[i])
		}
	}
	return picked
}

func (s *suspects) exchange(ctx context.Context, vm platform.VM) {
	ctx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	answer, err := s.clients.For(vm.Address).Suspects(ctx, s.message())
	if err == nil {
		s.Merge(decodeSuspects(answer.GetSuspects()))
	}
}

func (s *suspects) message() *peer.SuspectsMessage {
	return &peer.SuspectsMessage{From: encodeVM(s.self), Suspects: encodeSuspects(s.Snapshot())}
}

func decodeSuspects(in []*peer.Suspect) []retry.Suspect {
	out := make([]retry.Suspect, 0, len(in))
	for _, s := range in {
		out = append(out, retry.Suspect{
			Service:     s.GetService(),
			Fingerprint: s.GetFingerprint(),
			Servers:     s.GetServers(),
			TTL:         time.Duration(s.GetTtlMs()) * time.Millisecond,
		})
	}
	return out
}

func encodeSuspects(in []retry.Suspect) []*peer.Suspect {
	out := make([]*peer.Suspect, 0, len(in))
	for _, s := range in {
		out = append(out, &peer.Suspect{
			Service:     s.Service,
			Fingerprint: s.Fingerprint,
			Servers:     s.Servers,
			TtlMs:       uint32(s.TTL.Milliseconds()),
		})
	}
	return out
}
