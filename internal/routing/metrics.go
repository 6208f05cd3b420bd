package routing

import (
	"time"

	"github.com/rcrowley/go-metrics"

	"kumquatcleat/internal/fault"
)

const (
	sampleSize  = 4096  // enough for a stable 99.9th percentile
	sampleAlpha = 0.015 // favors the last minutes
)

// handlerMetrics holds the metrics of the request path. The counters of all error
// kinds are registered at start, so that counting does not lock the registry.
type handlerMetrics struct {
	requests metrics.Counter
	retries  metrics.Counter
	answerUS metrics.Histogram
	refused  map[fault.Kind]metrics.Counter
}

func newHandlerMetrics(registry metrics.Registry) *handlerMetrics {
	m := &handlerMetrics{
		requests: metrics.GetOrRegisterCounter("requests", registry),
		retries:  metrics.GetOrRegisterCounter("retries", registry),
		answerUS: metrics.GetOrRegisterHistogram("answer_us", registry, metrics.NewExpDecaySample(sampleSize, sampleAlpha)),
		refused:  map[fault.Kind]metrics.Counter{},
	}
	for _, kind := range fault.Kinds() {
		m.refused[kind] = metrics.GetOrRegisterCounter("refused_"+string(kind), registry)
	}
	return m
}

func (m *handlerMetrics) recordAnswer(err *fault.Error, took time.Duration) {
	m.requests.Inc(1)
	m.answerUS.Update(took.Microseconds())
	if err == nil {
		return
	}
	if counter, ok := m.refused[err.Kind]; ok {
		counter.Inc(1)
	}
}
