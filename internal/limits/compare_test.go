package limits

import (
	"fmt"
	"testing"
	"time"

	"kumquatcleat/internal/config"
	"kumquatcleat/internal/retry"
)

// benchSeed makes the figures of the benchmarks repeatable.
const benchSeed = 20261204

// oneServer has one server with a service time of 1 ms, in one failure domain.
func oneServer(s Settings, slots, vms int, load float64) scenario {
	return scenario{
		settings: s, vms: vms, servers: 1, slots: slots, backlog: slots, load: load,
		service: time.Millisecond, hop: 100 * time.Microsecond,
		timeout: 100 * time.Millisecond, length: 6 * time.Second, reportFrom: 2 * time.Second,
		policy: func(sim *simulation) retry.Policy {
			return retry.NewBudgetPolicy(retry.DefaultBudgetSettings(), sim.random.Float64)
		},
	}
}

// limiterNames are the limiters to compare, and the AIMD limiter with a single sender
// to each server.
var limiterNames = []string{"static", "aimd", "gradient", "feeder"}

func limiterSettings(limiterName string) (s Settings, singleSender bool) {
	s = DefaultSettings()
	if limiterName == "feeder" {
		s.Algorithm = AlgorithmAIMD
		return s, true
	}
	s.Algorithm = Algorithm(limiterName)
	return s, false
}

// BenchmarkLimiters compares the limiters. Run it with -benchtime=1x: the figures are
// in virtual time.
func BenchmarkLimiters(b *testing.B) {
	for _, size := range []struct{ slots, vms int }{{6, 9}, {3, 12}} {
		for _, backlog := range []int{0, size.slots, 40} {
			for _, limiterName := range limiterNames {
				for _, load := range []float64{0.5, 0.7, 0.9, 1, 1.2, 3} {
					name := fmt.Sprintf("slots=%d/vms=%d/backlog=%d/%s/load=%.1f", size.slots, size.vms, backlog, limiterName, load)
					settings, singleSender := limiterSettings(limiterName)
					s := oneServer(settings, size.slots, size.vms, load)
					s.backlog, s.singleSender = backlog, singleSender
					b.Run(name, func(b *testing.B) { measure(b, s) })
				}
			}
		}
	}
}

func measure(b *testing.B, s scenario) {
	var r *report
	for b.Loop() {
		r = simulate(s, benchSeed).reports[config.ClassInteractive]
	}
	b.ReportMetric(0, "ns/op")
	b.ReportMetric(r.share(r.good)*s.load, "goodput")
	b.ReportMetric(float64(r.p99().Microseconds())/1000, "p99-ms")
	b.ReportMetric(r.share(r.shed+r.failed), "lost")
	b.ReportMetric(r.share(r.refused), "refused")
	b.ReportMetric(r.share(r.attempts), "tries")
}

// BenchmarkClasses measures both classes at 1.5x of capacity, with interactive requests
// at 0.7x.
func BenchmarkClasses(b *testing.B) {
	for _, size := range serverSizes {
		s := oneServer(DefaultSettings(), size.slots, size.vms, loadOfBothClasses)
		s.backlog = size.backlog
		s.deferredShare = 1 - loadOfTargetP99/loadOfBothClasses
		b.Run(size.String(), func(b *testing.B) {
			var bench *simulation
			for b.Loop() {
				bench = simulate(s, benchSeed)
			}
			interactive, deferred := bench.reports[config.ClassInteractive], bench.reports[config.ClassDeferred]
			b.ReportMetric(0, "ns/op")
			b.ReportMetric(float64(interactive.p99().Microseconds())/1000, "p99-ms")
			b.ReportMetric(interactive.share(interactive.good), "good")
			b.ReportMetric(deferred.share(deferred.good), "deferred-good")
			b.ReportMetric(deferred.share(deferred.refused+deferred.shed), "deferred-refused")
		})
	}
}
