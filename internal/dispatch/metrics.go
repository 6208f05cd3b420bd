package dispatch

import (
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"kumquatcleat/internal/eligibility"
	"kumquatcleat/internal/fault"
)

// requestMetrics count answers by status and refusals by kind, and record latency.
type requestMetrics struct {
	registry  metrics.Registry
	latency   metrics.Histogram // microseconds
	statuses  sync.Map          // status code (int) to metrics.Counter
	kinds     map[fault.Kind]metrics.Counter
	abandoned metrics.Counter
}

// latencySamples bounds the memory of the latency histogram.
const latencySamples = 512

func newRequestMetrics(registry metrics.Registry) *requestMetrics {
	m := &requestMetrics{
		registry:  registry,
		latency:   metrics.GetOrRegisterHistogram("request_latency_us", registry, metrics.NewExpDecaySample(latencySamples, 0.015)),
		kinds:     map[fault.Kind]metrics.Counter{},
		abandoned: metrics.GetOrRegisterCounter("requests_abandoned", registry),
	}
	for _, kind := range fault.Kinds() {
		m.kinds[kind] = metrics.NewCounter()
	}
	return m
}

// withheld counts a request that is refused because no server may get it.
func (m *requestMetrics) withheld(reason eligibility.Reason) {
	metrics.GetOrRegisterCounter("servers_withheld_"+strings.ReplaceAll(string(reason), " ", "_"), m.registry).Inc(1)
}

func (m *requestMetrics) record(a *Answer, took time.Duration) {
	if a.Abandoned {
		m.abandoned.Inc(1)
		return
	}
	m.latency.Update(took.Microseconds())
	if a.Refusal != "" {
		if counter := m.kinds[a.Refusal]; counter != nil {
			_ = m.registry.GetOrRegister("refusals."+string(a.Refusal), counter)
			counter.Inc(1)
		}
	}
	counter, ok := m.statuses.Load(a.Status)
	if !ok {
		counter, _ = m.statuses.LoadOrStore(a.Status, metrics.GetOrRegisterCounter("answers."+strconv.Itoa(a.Status), m.registry))
	}
	counter.(metrics.Counter).Inc(1)
}
