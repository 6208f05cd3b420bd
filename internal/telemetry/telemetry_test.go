package telemetry

import (
	"strings"
	"testing"

	"github.com/rcrowley/go-metrics"
)

func TestTextContainsMetricNamesAndTypes(t *testing.T) {
	registry := metrics.NewRegistry()
	metrics.GetOrRegisterCounter("refused.no-owner", registry).Inc(3)
	metrics.GetOrRegisterGauge("groups_kept", registry).Update(2)
	metrics.GetOrRegisterHistogram("answer_us", registry, metrics.NewUniformSample(10)).Update(7)
	text := Text(registry)
	for _, want := range []string{
		"# TYPE kumquatcleat_refused_no_owner counter\nkumquatcleat_refused_no_owner 3\n",
		"# TYPE kumquatcleat_groups_kept gauge\nkumquatcleat_groups_kept 2\n",
		"kumquatcleat_answer_us{quantile=\"0.99\"} 7\n",
		"kumquatcleat_answer_us_count 1\n",
	} {
		if !strings.Contains(text, want) {
			t.Errorf("want %q in the text, got:\n%s", want, text)
		}
	}
}
