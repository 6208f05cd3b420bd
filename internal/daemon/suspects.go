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
	// suspectsInterval is how often a VM exchanges suspects with one other, for
	// those that a loss was not told to at once.
	suspectsInterval = 2 * time.Second
	// suspectsPush is how many VMs are told at once when a server was lost. With
	// as many VMs as a region of today has, all of them: the caller may send its
	// request again through any.
	suspectsPush = 16
)

// suspects is this VM's quarantine, shared with the other VMs: at once when a
// server was lost under a request, and by turns for those that missed it. It
// implements retry.Quarantine.
type suspects struct {
	*retry.MemoryQuarantine
	self    ownership.VMRef
	members *Members
	clients *peer.Clients
	lost    chan struct{} // holds one token while a loss is to be told
}

func newSuspects(self ownership.VMRef, quarantine *retry.MemoryQuarantine, members *Members, clients *peer.Clients) *suspects {
	return &suspects{
		MemoryQuarantine: quarantine,
		self:             self,
		members:          members,
		clients:          clients,
		lost:             make(chan struct{}, 1),
	}
}

// ServerLost implements retry.Quarantine.
func (s *suspects) ServerLost(service string, fingerprint uint64, server string) {
	s.MemoryQuarantine.ServerLost(service, fingerprint, server)
	select {
	case s.lost <- struct{}{}:
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
		case <-s.lost:
			count = suspectsPush
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
