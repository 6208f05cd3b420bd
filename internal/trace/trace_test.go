package trace

import (
	"bytes"
	"strings"
	"testing"
)

const collected = `  1.0 vm-1 {"time":"2026-01-01T00:00:01Z","msg":"registry: server","server":"i-1","service":"svc"}
  1.5 vm-2 {"time":"2026-01-01T00:00:01.5Z","msg":"registry: server","server":"i-1","service":"svc"}
  2.0 vm-1 {"time":"2026-01-01T00:00:02Z","msg":"registry: server","server":"i-9","service":"other"}
  2.5 vm-2 {"time":"2026-01-01T00:00:02.5Z","msg":"keyspace: record written","service":"svc","version":7}
not a line of the program
  3.0 vm-1 {"time":"2026-01-01T00:00:03Z","msg":"dispatch: request","request":"abc","status":503,"service":"svc","key":5,"attempts":["i-1 3ms of 5ms: 421 not started"],"reason":"moved"}
  3.1 vm-1 {"time":"2026-01-01T00:00:03.1Z","msg":"dispatch: request","request":"abd","status":200,"service":"svc"}
  9.0 vm-1 {"time":"2026-01-01T00:00:09Z","msg":"registry: server gone","server":"i-1"}
`

func TestExplainSelectsRelatedLines(t *testing.T) {
	lines, err := Read("all.log", strings.NewReader(collected))
	if err != nil {
		t.Fatal(err)
	}
	var out bytes.Buffer
	Explain(lines, "abc").Print(&out)
	for _, want := range []string{"vm-1 dispatch: request", "attempt 1", "vm-1 registry: server server=i-1", "vm-2 keyspace: record written"} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("%q is missing in the output:\n%s", want, out.String())
		}
	}
	for _, other := range []string{"vm-2 registry", "i-9", "abd", "gone"} {
		if strings.Contains(out.String(), other) {
			t.Errorf("%q is in the output but not related to the request:\n%s", other, out.String())
		}
	}
}

func TestExplainUnknownRequestIsEmpty(t *testing.T) {
	if s := Explain(nil, "abc"); len(s.Request)+len(s.Related) != 0 {
		t.Fatalf("got %+v, want no lines", s)
	}
}
