package balance

import (
	"testing"
	"time"

	"kumquatcleat/internal/dialect"
	"kumquatcleat/internal/registry"
)

// Guards against requests that stay in a domain whose servers can't execute them, and against such
// that leave it while they can.
func TestPlacementIsFollowedWhileServersServe(t *testing.T) {
	now, objective := time.Unix(1000, 0), 400*time.Millisecond
	near, far := &registry.Server{ID: "near", Service: "svc", FailureDomain: "a", Slots: 4}, &registry.Server{ID: "far", Service: "svc", FailureDomain: "b", Slots: 4}
	servers := []*registry.Server{near, far}
	load := func(n int) Outcome {
		return Outcome{Took: 200 * time.Millisecond, Answered: true, HasLoad: true, Load: dialect.Load{Running: n, Slots: 4}}
	}
	for name, c := range map[string]struct {
		outcome   Outcome
		server    *registry.Server // that has the outcome
		placement Placement
		servers   []*registry.Server
		want      *registry.Server
		price     float64
	}{
		"home only, far idle":          {load(5), near, Placement{Domain: "a"}, servers, near, 0.05},
		"other domain":                 {load(3), far, Placement{Domain: "b"}, servers, far, 0.05},
		"no decision":                  {load(5), near, Placement{}, servers, far, 0.05},
		"home full":                    {load(20), near, Placement{Domain: "a"}, servers, far, 0.05},
		"home full, others too":        {load(20), near, Placement{Domain: "a", Only: true}, servers, near, 0.05},
		"home unreachable":             {Outcome{ConnectFailed: true}, near, Placement{Domain: "a", Only: true}, servers, far, 0.05},
		"home unreachable, high price": {Outcome{ConnectFailed: true}, near, Placement{Domain: "a"}, servers, far, 10},
		"other domain unreachable":     {Outcome{ConnectFailed: true}, far, Placement{Domain: "b"}, servers, near, 0.05},
		"home failing":                 {Outcome{Failed: true}, near, Placement{Domain: "a"}, servers, far, 0.05},
		"no server in the domain":      {load(4), far, Placement{Domain: "a"}, servers[1:], far, 0.05},
		"home expected to be late":     {load(16), near, Placement{Domain: "a"}, servers, far, 0.05},
		"other domain without servers": {load(4), far, Placement{Domain: "b"}, servers[:1], near, 0.05},
	} {
		b := New(Settings{FailureDomain: "a", CrossDomainCost: c.price, InitialServiceTime: 150 * time.Millisecond, MaxRequestsPerSlot: 4.5})
		b.Started(c.server)
		b.Finished(now, c.server, c.outcome)
		got, ok := b.ChooseIn(now, c.placement, c.servers, objective, func(*registry.Server) bool { return false })
		if !ok || got.Server != c.want {
			t.Errorf("%s: got server %v, want %s", name, got.Server, c.want.ID)
		}
	}
}
