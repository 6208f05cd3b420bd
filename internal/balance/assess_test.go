package balance

import (
	"fmt"
	"testing"
	"time"

	"kumquatcleat/internal/registry"
)

// Guards against assessments that prefer another server than Choose does.
func TestAssessmentAgreesWithChoice(t *testing.T) {
	connected := map[string]bool{"s1": true, "s3": true}
	b := New(Settings{FailureDomain: "a", CrossDomainCost: 0.05, InitialServiceTime: 50 * time.Millisecond, MaxRequestsPerSlot: 4.5,
		HasIdleConnection: func(s *registry.Server) bool { return connected[s.ID] }})
	var servers []*registry.Server
	for i := range 6 { // few enough for Choose to compare them all
		servers = append(servers, &registry.Server{ID: fmt.Sprint("s", i), Slots: 2, Incarnation: 1, FailureDomain: []string{"a", "a", "b"}[i%3]})
	}
	now := time.Now()
	for range 40 {
		best := Assessment{Loss: 1000}
		for _, s := range servers {
			if a := b.Assess(now, s, 200*time.Millisecond); a.Loss < best.Loss {
				best = a
			}
		}
		choice, _ := b.Choose(now, servers, 200*time.Millisecond, func(*registry.Server) bool { return false })
		if b.Assess(now, choice.Server, 200*time.Millisecond).Loss != best.Loss {
			t.Errorf("got server %s chosen, but %s assessed as the best", choice.Server.ID, best.Server.ID)
		}
		b.Started(choice.Server)
		if choice.Server.ID == "s0" {
			b.Finished(now, choice.Server, Outcome{Failed: true})
		}
	}
}
