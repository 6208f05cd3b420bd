package gateway

import (
	"strings"
	"testing"
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

// Guards against settings files of the previous version that are refused, and against a price of 0
// that is taken for a missing one.
func TestCrossDomainSettingsAreOptional(t *testing.T) {
	for given, want := range map[string]Settings{
		`"vm":`: {CrossDomainPrice: defaultCrossDomainPrice, CrossDomainMS: defaultCrossDomainMS},
		`"cross_domain_price":0,"cross_domain_ms":0.9,"vm":`: {CrossDomainMS: 0.9},
	} {
		s, err := Parse([]byte(strings.Replace(goodSettings, `"vm":`, given, 1)))
		if err != nil || s.CrossDomainPrice != want.CrossDomainPrice || s.CrossDomainMS != want.CrossDomainMS {
			t.Errorf("%s: got %+v, error %v", given, s, err)
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
