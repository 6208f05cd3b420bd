package limits

import (
	"fmt"
	"testing"
	"time"

	"kumquatcleat/internal/config"
	"kumquatcleat/internal/retry"
)

// benchSeed makes the figures of a comparison repeatable.
const benchSeed = 20261204

// oneServer is one server as the users' services have it, in one failure domain.
func oneServer(s Settings, slots, vms int, load float64) scenario {
	return scenario{
		settings: s, vms: vms, servers: 1, slots: slots, backlog: slots, load: load,
		service: time.Millisecond, hop: 100 * time.Microsecond,
		patience: 100 * time.Millisecond, length: 6 * time.Second, reportFrom: 2 * time.Second,
		policy: func(b *bench) retry.Policy {
			return retry.NewBudgetPolicy(retry.DefaultBudgetSettings(), b.random.Float64)
		},
	}
}

// ways are the limiters to compare, the feeder among them.
var ways = []string{"static", "aimd", "gradient", "feeder"}

func settingsOf(way string) (s Settings, feeder bool) {
	s = DefaultSettings()
	if way == "feeder" {
		s.Algorithm = AlgorithmAIMD
		return s, true
	}
	s.Algorithm = Algorithm(way)
	return s, false
}

// BenchmarkLimiters compares the ways to limit. Run it with -benchtime=1x: the
// figures are of virtual time.
func BenchmarkLimiters(b *testing.B) {
	for _, size := range []struct{ slots, vms int }{{6, 9}, {3, 12}} {
		for _, backlog := range []int{0, size.slots, 40} {
			for _, way := range ways {
				for _, load := range []float64{0.5, 0.7, 0.9, 1, 1.2, 3} {
					name := fmt.Sprintf("slots=%d/vms=%d/backlog=%d/%s/load=%.1f", size.slots, size.vms, backlog, way, load)
					settings, feeder := settingsOf(way)
					s := oneServer(settings, size.slots, size.vms, load)
					s.backlog, s.feeder = backlog, feeder
					b.Run(name, func(b *testing.B) { measure(b, s) })
				}
			}
		}
	}
}

func measure(b *testing.B, s scenario) {
	var r *report
	for b.Loop() {
		r = play(s, benchSeed).reports[config.ClassInteractive]
	}
	b.ReportMetric(0, "ns/op")
	b.ReportMetric(r.share(r.good)*s.load, "goodput")
	b.ReportMetric(float64(r.p99().Microseconds())/1000, "p99-ms")
	b.ReportMetric(r.share(r.shed+r.failed), "lost")
	b.ReportMetric(r.share(r.refused), "refused")
	b.ReportMetric(r.share(r.tries), "tries")
}

// BenchmarkClasses shows both classes at 1.5x, interactive requests at 0.7x.
func BenchmarkClasses(b *testing.B) {
	for _, size := range userSizes {
		s := oneServer(DefaultSettings(), size.slots, size.vms, loadOfManyClasses)
		s.backlog = size.backlog
		s.deferredShare = 1 - loadOfTargetP99/loadOfManyClasses
		b.Run(size.String(), func(b *testing.B) {
			var bench *bench
			for b.Loop() {
				bench = play(s, benchSeed)
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
