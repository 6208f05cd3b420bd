// Package telemetry serves a go-metrics registry as JSON and in the Prometheus text
// exposition format.
package telemetry

import (
	"fmt"
	"net/http"
	"sort"
	"strings"

	"github.com/rcrowley/go-metrics"
)

// ServeJSON returns a handler that serves all metrics of the registry as JSON.
func ServeJSON(registry metrics.Registry) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		metrics.WriteJSONOnce(registry, w)
	}
}

// ServeText returns a handler that serves all metrics in the Prometheus text format.
func ServeText(registry metrics.Registry) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; version=0.0.4")
		_, _ = w.Write([]byte(Text(registry)))
	}
}

var quantiles = []float64{0.5, 0.99, 0.999}

// Text returns the registry in the Prometheus text format, ordered by name.
func Text(registry metrics.Registry) string {
	var lines []string
	registry.Each(func(name string, metric any) {
		lines = append(lines, formatMetric(metricName(name), metric))
	})
	sort.Strings(lines)
	return strings.Join(lines, "")
}

func formatMetric(name string, metric any) string {
	switch m := metric.(type) {
	case metrics.Counter:
		return fmt.Sprintf("# TYPE %s counter\n%s %d\n", name, name, m.Count())
	case metrics.Gauge:
		return fmt.Sprintf("# TYPE %s gauge\n%s %d\n", name, name, m.Value())
	case metrics.GaugeFloat64:
		return fmt.Sprintf("# TYPE %s gauge\n%s %g\n", name, name, m.Value())
	case metrics.Meter:
		return fmt.Sprintf("# TYPE %s counter\n%s %d\n", name, name, m.Count())
	case metrics.Timer:
		return formatSummary(name, m.Percentiles(quantiles), m.Sum(), m.Count())
	case metrics.Histogram:
		return formatSummary(name, m.Percentiles(quantiles), m.Sum(), m.Count())
	default:
		return ""
	}
}

func formatSummary(name string, values []float64, sum, count int64) string {
	var b strings.Builder
	fmt.Fprintf(&b, "# TYPE %s summary\n", name)
	for i, q := range quantiles {
		fmt.Fprintf(&b, "%s{quantile=\"%g\"} %g\n", name, q, values[i])
	}
	fmt.Fprintf(&b, "%s_sum %d\n%s_count %d\n", name, sum, name, count)
	return b.String()
}

// metricName prefixes a registry name and replaces characters that Prometheus does not
// allow in metric names.
func metricName(name string) string {
	return "kumquatcleat_" + strings.Map(func(r rune) rune {
		switch {
		case r >= 'a' && r <= 'z', r >= 'A' && r <= 'Z', r >= '0' && r <= '9', r == '_':
			return r
		default:
			return '_'
		}
	}, name)
}
