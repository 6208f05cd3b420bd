package gateway

import (
	"strings"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
)

const goodSettings = `{"vm":"a-1","failure_domain":"a","ip":"10.0.0.1","listen":"10.0.0.1:80","ready_listen":"10.0.0.1:81",
"peer_listen":"10.0.0.1:82","metrics_listen":"10.0.0.1:83","store":"10.9.0.1:80","seeds":["10.0.0.2:82"],"log_level":"info",
"memory_mb":284,"processor":0.32,"link_mbps":1000.0,"descriptors":4100,"grace_s":6,"drain_s":2,"hold_max_s":10,"row_bytes":65536,
"retry_ratio":0.2,"retry_slack":64,"retry_window":10}`

func TestInvalidSettingsAreRejected(t *testing.T) {
	if _, err := Parse([]byte(goodSettings)); err != nil {
		t.Fatalf("valid settings: got error %v", err)
	}
	for name, c := range map[string]struct{ old, new, want string }{
		"unknown field":  {`"vm":`, `"vn":1,"vm":`, "vn"},
		"missing field":  {`"grace_s":6,`, ``, "grace_s"},
		"host name":      {`"store":"10.9.0.1:80"`, `"store":"store:80"`, "store"},
		"no time":        {`"drain_s":2`, `"drain_s":0`, "drain_s"},
		"wrong type":     {`"memory_mb":284`, `"memory_mb":"much"`, "memory_mb"},
		"unknown level":  {`"info"`, `"loud"`, "log_level"},
		"no JSON":        {`{"vm"`, `["vm"`, "document"},
		"negative ratio": {`"retry_ratio":0.2`, `"retry_ratio":-1`, "retry_ratio"},
		"negative price": {`"vm":`, `"cross_domain_price":-0.1,"vm":`, "cross_domain_price"},
		"long way":       {`"vm":`, `"cross_domain_ms":1001,"vm":`, "cross_domain_ms"},
	} {
		_, err := Parse([]byte(strings.Replace(goodSettings, c.old, c.new, 1)))
		if err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: got error %v, want one that names %s", name, err, c.want)
		}
	}
}

// Guards against settings files of the previous version that are refused, against a price of 0 that is
// taken for a missing one, and against decisions for whole domains that no setting asks for.
func TestCrossDomainSettingsAreOptional(t *testing.T) {
	for _, c := range []struct {
		given    string
		price    float64
		ms       float64
		evacuate time.Duration
		spills   bool
	}{
		{`"vm":`, defaultCrossDomainPrice, defaultCrossDomainMS, defaultEvacuateS * time.Second, false},
		{`"cross_domain_price":0,"cross_domain_ms":0.9,"evacuate_s":2.5,"vm":`, 0, 0.9, 2500 * time.Millisecond, true},
	} {
		s, err := Parse([]byte(strings.Replace(goodSettings, `"vm":`, c.given, 1)))
		if err != nil || s.crossDomainPrice() != c.price || s.CrossDomainMS != c.ms || s.evacuateBound() != c.evacuate {
			t.Fatalf("%s: got %+v, error %v", c.given, s, err)
		}
		if got := newSpiller(s, nil, metrics.NewRegistry()).enabled; got != c.spills {
			t.Errorf("%s: got decisions for domains %v, want %v", c.given, got, c.spills)
		}
	}
	for _, wrong := range []string{`"cross_domain_price":-1`, `"cross_domain_price":11`, `"cross_domain_ms":-1`, `"evacuate_s":-1`, `"evacuate_s":1e9`, `"evacuate_s":"5"`} {
		if s, err := Parse([]byte(strings.Replace(goodSettings, `"vm":`, wrong+`,"vm":`, 1))); err == nil {
			t.Errorf("%s: got %+v, want an error", wrong, s)
		}
	}
}

func TestMissingSettingsPathErrorNamesFlag(t *testing.T) {
	if _, err := Load(""); err == nil || !strings.Contains(err.Error(), "--settings") {
		t.Fatalf("got error %v, want one that mentions --settings", err)
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(goodSettings))
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := Parse(data)
		if err == nil && (s.VM == "" || s.GraceS <= 0) {
			t.Fatalf("got invalid settings accepted: %+v", s)
		}
	})
}
