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

func during(change, restore func(s *fakeServer)) func(b *bench) {
	return func(b *bench) {
		b.in(faultBegins, func() { change(b.fakes[0]) })
		b.in(faultEnds, func() { restore(b.fakes[0]) })
	}
}

// faults are the ways in which a server fails for a while.
var faults = map[string]func(b *bench){
	"brown-out": during(func(s *fakeServer) { s.slow = 4 }, func(s *fakeServer) { s.slow = 1 }),
	"half down": during(func(s *fakeServer) { s.faulty = 0.5 }, func(s *fakeServer) { s.faulty = 0 }),
	"down":      during(func(s *fakeServer) { s.down = true }, func(s *fakeServer) { s.down = false }),
}

var retryWays = map[string]func(b *bench) retry.Policy{
	"none":  func(*bench) retry.Policy { return retry.NoRetry{} },
	"fixed": func(*bench) retry.Policy { return retry.Fixed{Attempts: 3, Wait: 4 * time.Millisecond} },
	"budget": func(b *bench) retry.Policy {
		return retry.NewBudgetPolicy(retry.DefaultBudgetSettings(), b.random.Float64)
	},
}

// faulty is a server at 0.8x of capacity that fails for a while. Its report counts
// the requests that arrive during the fault.
func faulty(fault, way string) scenario {
	s := oneServer(DefaultSettings(), 6, 9, 0.8)
	s.disturb, s.policy = faults[fault], retryWays[way]
	s.reportFrom, s.reportTo = faultBegins, faultEnds
	return s
}

// BenchmarkRetries compares the retry policies. Run it with -benchtime=1x.
func BenchmarkRetries(b *testing.B) {
	for fault := range faults {
		for way := range retryWays {
			s := faulty(fault, way)
			b.Run(fault+"/"+way, func(b *testing.B) {
				var done *bench
				for b.Loop() {
					done = play(s, benchSeed)
				}
				r := done.reports[config.ClassInteractive]
				b.ReportMetric(0, "ns/op")
				b.ReportMetric(r.share(r.tries), "tries")
				b.ReportMetric(r.share(r.good), "good")
				b.ReportMetric(float64(done.recovered(faultEnds).Milliseconds()), "recovered-ms")
			})
		}
	}
}

func TestRetriesDoNotMultiplyAFault(t *testing.T) {
	t.Parallel()
	for fault := range faults {
		b := play(faulty(fault, "budget"), benchSeed)
		r := b.reports[config.ClassInteractive]
		if tries := r.share(r.tries); tries > targetTries {
			t.Errorf("%s: %.3f tries a request, target %.1f", fault, tries, targetTries)
		}
		if after := b.recovered(faultEnds); after > targetServedAgain {
			t.Errorf("%s: served as before %v after the fault, target %v", fault, after, targetServedAgain)
		}
	}
}

// BenchmarkOneOfSix shows what a fault of one server of six does to the whole of a
// service at 0.6x, while it lasts, with and without keys.
func BenchmarkOneOfSix(b *testing.B) {
	faults := map[string]func(b *bench){
		"none":       nil,
		"slow":       during(func(s *fakeServer) { s.slow = 10 }, func(s *fakeServer) { s.slow = 1 }),
		"cold start": during(func(s *fakeServer) { s.slow = 3 }, func(s *fakeServer) { s.slow = 1 }),
		"down":       during(func(s *fakeServer) { s.down = true }, func(s *fakeServer) { s.down = false }),
	}
	for fault, disturb := range faults {
		for _, keyless := range []bool{false, true} {
			s := oneServer(DefaultSettings(), 6, 9, 0.6)
			s.servers, s.keyless, s.disturb = 6, keyless, disturb
			s.reportFrom, s.reportTo = faultBegins, faultEnds
			name := fault + "/keys"
			if keyless {
				name = fault + "/no keys"
			}
			b.Run(name, func(b *testing.B) { measure(b, s) })
		}
	}
}
