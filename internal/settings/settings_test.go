package settings

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"kumquatcleat/internal/limits"
	"kumquatcleat/internal/ownership"
	"kumquatcleat/internal/retry"
)

const minimal = `"id":"vm-1","failure_domain":"a","listen":"10.0.0.1:80","peer_listen":"10.0.0.1:81","platform":"10.0.0.9:80"`

func TestLoadOverridesDefaults(t *testing.T) {
	path := filepath.Join(t.TempDir(), "vm.json")
	text := `{` + minimal + `,"timing":{"lease_ms":2000},"limits":{"backoff":0.5},"retry":{"claims":{"entries":99}},"shutdown_grace_ms":5000}`
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	s, err := Load(path)
	if err != nil {
		t.Fatal(err)
	}
	want := ownership.DefaultTiming
	want.Lease = 2 * time.Second
	if s.OwnershipTiming() != want {
		t.Errorf("got timing %+v, want %+v", s.OwnershipTiming(), want)
	}
	if s.ID != "vm-1" || s.LogLevel != "info" || s.ShutdownGrace() != 5*time.Second {
		t.Errorf("got settings %+v, want id vm-1, log level info, shutdown grace 5s", s)
	}
	if s.Limits.Backoff != 0.5 || s.Limits.QueueLength != limits.DefaultSettings().QueueLength {
		t.Errorf("got limits %+v, want backoff 0.5, default queue length", s.Limits)
	}
	if s.Retry.Claims.Entries != 99 || s.Retry.Claims.Window != retry.DefaultClaimSettings().Window {
		t.Errorf("got claims %+v, want 99 entries, default window", s.Retry.Claims)
	}
}

func TestDefaultIsValid(t *testing.T) {
	if problems := Default().Validate(); len(problems) > 0 {
		t.Fatal(problems)
	}
}

func TestInvalidSettingReportedWithItsValue(t *testing.T) {
	cases := []struct{ name, text, want string }{
		{"unknown field", `{` + minimal + `,"adress":"x"}`, "adress: unknown field: want one of"},
		{"unknown nested field", `{` + minimal + `,"timing":{"leese_ms":1}}`, "timing.leese_ms: unknown field"},
		{"wrong case", `{` + minimal + `,"Listen":"x"}`, "Listen: unknown field"},
		{"duplicate field", `{` + minimal + `,"id":"vm-2"}`, "id: given twice"},
		{"missing address", `{"id":"vm-1"}`, "listen: missing: want IP:port"},
		{"host name", `{` + strings.Replace(minimal, "10.0.0.9:80", "platform:80", 1) + `}`, `platform: "platform:80": want IP:port`},
		{"peer by name", `{` + minimal + `,"peers":["10.0.0.2:81","vm-2:81"]}`, `peers[1]: "vm-2:81": want IP:port`},
		{"no port", `{` + strings.Replace(minimal, "10.0.0.9:80", "10.0.0.9", 1) + `}`, `platform: "10.0.0.9"`},
		{"negative duration", `{` + minimal + `,"shutdown_grace_ms":-1}`, "shutdown_grace_ms: -1: want 0 to 3600000 milliseconds"},
		{"duration with a unit", `{` + minimal + `,"timing":{"lease_ms":"2s"}}`, `timing.lease_ms: "2s": want a whole number`},
		{"zero lease", `{` + minimal + `,"timing":{"lease_ms":0}}`, "timing.lease_ms: 0"},
		{"reads too rare", `{` + minimal + `,"timing":{"row_read_ms":900}}`, "timing.row_read_ms: 900: want at most half"},
		{"log level", `{` + minimal + `,"log_level":"loud"}`, `log_level: "loud": want debug`},
		{"unknown limit", `{` + minimal + `,"limits":{"way":"aimd"}}`, "limits.way: unknown field: want one of algorithm"},
		{"limit out of range", `{` + minimal + `,"limits":{"backoff":1.5}}`, "limits.backoff: 1.5 is not allowed: want above 0 and below 1"},
		{"retry out of range", `{` + minimal + `,"retry":{"budget":{"attempts":11}}}`, "retry.budget.attempts: 11 is not allowed: want 1 to 10"},
		{"placement out of range", `{` + minimal + `,"placement":{"tolerance":11}}`, "placement.tolerance: 11 is not between 0 and 10"},
		{"number as a string", `{` + minimal + `,"placement":{"tolerance":"0.1"}}`, `placement.tolerance: "0.1": want a number`},
		{"bad id", `{` + strings.Replace(minimal, "vm-1", "VM 1", 1) + `}`, `id: "VM 1"`},
		{"syntax", "{\n\"id\":\n}", "line 3"},
		{"a list", `[]`, "document: a list: want an object"},
		{"empty", ``, "well-formed JSON"},
		{"trailing text", `{` + minimal + `} x`, "more text after the document"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, problems := Parse([]byte(c.text))
			got := (&Invalid{Path: "f", Problems: problems}).Error()
			if !strings.Contains(got, c.want) {
				t.Errorf("got %q, want it to say %q", got, c.want)
			}
		})
	}
}

func TestAllProblemsReported(t *testing.T) {
	_, problems := Parse([]byte(`{"id":"vm-1","log_level":"x","shutdown_grace_ms":-1}`))
	if len(problems) != 6 {
		t.Fatalf("got %d problems, want 6: %v", len(problems), problems)
	}
}
