package gateway

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"

	"kumquatcleat/internal/operator"
	"kumquatcleat/internal/registry"
	"kumquatcleat/internal/routetable"
	"kumquatcleat/internal/rows"
)

func explainGateway() *Gateway {
	g := evacuationGateway(routetable.Service{Name: "svc"})
	g.adapter.Dialect.ParseKey = func(text string) (uint32, error) {
		key, err := strconv.ParseUint(text, 10, 16)
		if err != nil {
			return 0, fmt.Errorf("%q is not a key", text)
		}
		return uint32(key), nil
	}
	route := func(prefix, service string) routetable.Route {
		return routetable.Route{Name: service, Host: "h", Prefix: prefix, Targets: []routetable.Target{{Service: service, Weight: 1}}}
	}
	g.table.Store(routetable.Compile(routetable.Config{
		Version: 5, Routes: []routetable.Route{route("/p/", "svc"), route("/k/", "keyed"), route("/u/", "unknown")},
		Services: []routetable.Service{{Name: "svc"}, {Name: "keyed", DividedByKey: true}},
	}))
	g.registry.Put(registry.Server{ID: "k", Service: "keyed", FailureDomain: "a", Slots: 4, Incarnation: 1})
	g.owners.Apply([]rows.Row{{Key: "keyed", Version: 9, Value: []byte(`{"ranges":[{"from":0,"to":99,"owner":{"server":"k","incarnation":1},"fence":3}]}`)}})
	return g
}

// Guards against panics and unclear answers for requests that can't be routed, and against a lost
// part of an explanation.
func TestExplainAnswersEachQuery(t *testing.T) {
	g := explainGateway()
	for _, c := range []struct {
		query  string
		status int
		want   string
	}{
		{"host=h&path=/p/x&timeout_ms=500", 200, `"action":"send","server":"s"`},
		{"host=H:80&path=/p/x%3Fq=1", 200, `"candidates":[{"server":"s"`},
		{"host=h&path=/k/x&key=7", 200, `"owner":{"server":"k","incarnation":1,"token":3,"record":9,"pending":false}`},
		{"host=h&path=/k/x&key=100", 200, `"action":"wait"`},
		{"host=h&path=/u/", 200, `names service \"unknown\"`},
		{"host=h&path=/k/x", 400, `"error":"service \"keyed\" is divided by key`},
		{"host=other&path=/p/x", 404, `"error":"no route for host \"other\"`},
		{"host=h&path=/none", 404, `"config_version":5`},
		{"host=h&path=/k/&key=99999", 400, `"99999\" is not a key`},
		{"host=h&path=/k/&key=", 400, "is not a key"},
		{"host=h&path=/p/&timeout_ms=-1", 400, "timeout_ms"},
		{"host=h&path=/p/&timeout_ms=99999999999999999999", 400, "timeout_ms"},
		{"host=h&path=/p/&timeout_ms=9223372036854775807", 400, "timeout_ms"},
		{"host=h&path=p", 400, "slash"},
		{"path=/p/", 400, "host is missing"},
		{"host=h&path=/p/&timeout=1", 400, `unknown parameter \"timeout\"`},
		{"host=h&host=i&path=/p/", 400, "stands 2 times"},
		{"host=%zz", 400, "query"},
		{"", 400, "host is missing"},
	} {
		w := httptest.NewRecorder()
		g.serveExplain(w, httptest.NewRequest(http.MethodGet, operator.PathExplainRequest+"?"+c.query, nil))
		var e operator.RequestExplanation
		if err := json.Unmarshal(w.Body.Bytes(), &e); err != nil || w.Code != c.status || !strings.Contains(w.Body.String(), c.want) || (e.Error == "") != (c.status == 200) || e.VM != "vm" {
			t.Errorf("%s: got status %d, error %v, body %s; want status %d and %s", c.query, w.Code, err, w.Body, c.status, c.want)
		}
	}
	g.table.Store(nil)
	if e, status := g.explain("host=h&path=/p/"); status != http.StatusServiceUnavailable || e.Error == "" {
		t.Errorf("without a configuration: got status %d, error %q; want 503", status, e.Error)
	}
}
