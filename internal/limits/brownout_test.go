package limits

import (
	"testing"
	"time"

	"kumquatcleat/internal/config"
	"kumquatcleat/internal/retry"
)

// A fault of the only server lasts from faultBegins to faultEnds.
const (
	faultBegins = 2 * time.Second
	faultEnds   = 4 * time.Second
)

func duringFault(change, restore func(s *fakeServer)) func(sim *simulation) {
	return func(sim *simulation) {
		sim.schedule(faultBegins, func() { change(sim.fakes[0]) })
		sim.schedule(faultEnds, func() { restore(sim.fakes[0]) })
	}
}

// faults are temporary faults of a server.
var faults = map[string]func(sim *simulation){
	"brown-out": duringFault(func(s *fakeServer) { s.slowFactor = 4 }, func(s *fakeServer) { s.slowFactor = 1 }),
	"half down": duringFault(func(s *fakeServer) { s.refusalRate = 0.5 }, func(s *fakeServer) { s.refusalRate = 0 }),
	"down":      duringFault(func(s *fakeServer) { s.down = true }, func(s *fakeServer) { s.down = false }),
}

var retryPolicies = map[string]func(sim *simulation) retry.Policy{
	"none":  func(*simulation) retry.Policy { return retry.NoRetry{} },
	"fixed": func(*simulation) retry.Policy { return retry.Fixed{Attempts: 3, Wait: 4 * time.Millisecond} },
	"budget": func(sim *simulation) retry.Policy {
		return retry.NewBudgetPolicy(retry.DefaultBudgetSettings(), sim.random.Float64)
	},
}

// faultScenario has one server at 0.8x of capacity with a temporary fault. Its report
// counts the requests that arrive during the fault.
func faultScenario(fault, policy string) scenario {
	s := oneServer(DefaultSettings(), 6, 9, 0.8)
	s.injectFault, s.policy = faults[fault], retryPolicies[policy]
	s.reportFrom, s.reportTo = faultBegins, faultEnds
	return s
}

// BenchmarkRetries compares the retry policies. Run it with -benchtime=1x.
func BenchmarkRetries(b *testing.B) {
	for fault := range faults {
		for policy := range retryPolicies {
			s := faultScenario(fault, policy)
			b.Run(fault+"/"+policy, func(b *testing.B) {
				var done *simulation
				for b.Loop() {
					done = simulate(s, benchSeed)
				}
				r := done.reports[config.ClassInteractive]
				b.ReportMetric(0, "ns/op")
				b.ReportMetric(r.share(r.attempts), "tries")
				b.ReportMetric(r.share(r.good), "good")
				b.ReportMetric(float64(done.recoveryTime(faultEnds).Milliseconds()), "recovered-ms")
			})
		}
	}
}

func TestRetriesDoNotAmplifyFault(t *testing.T) {
	t.Parallel()
	for fault := range faults {
		sim := simulate(faultScenario(fault, "budget"), benchSeed)
		r := sim.reports[config.ClassInteractive]
		if attempts := r.share(r.attempts); attempts > targetAttempts {
			t.Errorf("%s: got %.3f attempts per request, want at most %.1f", fault, attempts, targetAttempts)
		}
		if after := sim.recoveryTime(faultEnds); after > targetRecovery {
			t.Errorf("%s: got recovery %v after the fault, want at most %v", fault, after, targetRecovery)
		}
	}
}

// BenchmarkOneOfSix measures how a fault of one of six servers affects a whole service
// at 0.6x of capacity while the fault lasts, with and without keys.
func BenchmarkOneOfSix(b *testing.B) {
	faults := map[string]func(sim *simulation){
		"none":       nil,
		"slow":       duringFault(func(s *fakeServer) { s.slowFactor = 10 }, func(s *fakeServer) { s.slowFactor = 1 }),
		"cold start": duringFault(func(s *fakeServer) { s.slowFactor = 3 }, func(s *fakeServer) { s.slowFactor = 1 }),
		"down":       duringFault(func(s *fakeServer) { s.down = true }, func(s *fakeServer) { s.down = false }),
	}
	for fault, injectFault := range faults {
		for _, keyless := range []bool{false, true} {
			s := oneServer(DefaultSettings(), 6, 9, 0.6)
			s.servers, s.keyless, s.injectFault = 6, keyless, injectFault
			s.reportFrom, s.reportTo = faultBegins, faultEnds
			name := fault + "/keys"
			if keyless {
				name = fault + "/no keys"
			}
			b.Run(name, func(b *testing.B) { measure(b, s) })
		}
	}
}
