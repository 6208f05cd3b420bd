package gateway

import (
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"

	"kumquatcleat/internal/dispatch"
	"kumquatcleat/internal/operator"
)

// maxExplainedTimeout bounds the time that a caller is taken to state. Callers wait for seconds.
const maxExplainedTimeout = 24 * time.Hour

// serveExplain tells where a request would go now, and why, without sending it.
func (g *Gateway) serveExplain(w http.ResponseWriter, r *http.Request) {
	e, status := g.explain(r.URL.RawQuery)
	body, err := json.Marshal(e)
	if err != nil {
		slog.Error("gateway: explanation not encoded", "error", err.Error())
		status, body = http.StatusInternalServerError, []byte(`{"error":"the explanation can't be encoded"}`)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(append(body, '\n'))
}

// explain returns the explanation of the request that a query describes, and its status.
func (g *Gateway) explain(query string) (operator.RequestExplanation, int) {
	request, err := g.explainedRequest(query)
	if err != nil {
		return operator.RequestExplanation{VM: g.settings.VM, FailureDomain: g.settings.FailureDomain, Error: err.Error()}, http.StatusBadRequest
	}
	e := g.core.Explain(request, g.settings.FailureDomain)
	e.VM, e.Host, e.Path, e.TimeoutMS = g.settings.VM, request.Host, request.Path, request.Timeout.Milliseconds()
	if request.HasKey {
		e.Key = &request.Key
	}
	if age, known := g.freshness.age(); known {
		ms := age.Milliseconds()
		e.ConfigAgeMS = &ms
	}
	e.Coordinator = g.loads.coordinatorAddress()
	e.CoordinatesKeys = g.coordinatorLease.Held()
	for i := range e.Services {
		g.addLease(&e.Services[i], request.Key)
	}
	switch {
	case e.Error == "":
		return e, http.StatusOK
	case e.Outcome != nil:
		return e, e.Outcome.Status
	default:
		return e, http.StatusBadRequest // the request lacks its key
	}
}

// addLease adds what this VM knows of the lease on a key as the coordinator.
func (g *Gateway) addLease(s *operator.ServiceExplanation, key uint32) {
	if s.Owner == nil {
		return
	}
	lease, known := g.coordinator.PeekLease(s.Service, key)
	if !known {
		return
	}
	s.Owner.Lease = &operator.KeyLease{
		Acknowledged: lease.Acknowledged, LeftMS: lease.Left.Milliseconds(), UnresponsiveMS: lease.Unresponsive.Milliseconds(),
		Former: lease.Former, FormerLeftMS: lease.FormerLeft.Milliseconds(), Released: lease.Released,
	}
}

// explainedRequest returns the request that a query describes.
func (g *Gateway) explainedRequest(query string) (*dispatch.Request, error) {
	values, err := url.ParseQuery(query)
	if err != nil {
		return nil, fmt.Errorf("query: %w", err)
	}
	for _, name := range slices.Sorted(maps.Keys(values)) {
		if !slices.Contains([]string{"host", "path", "key", "timeout_ms"}, name) {
			return nil, fmt.Errorf("unknown parameter %q: want host, path, key and timeout_ms", name)
		}
		if len(values[name]) > 1 {
			return nil, fmt.Errorf("parameter %s stands %d times: want it once", name, len(values[name]))
		}
	}
	host, target := values.Get("host"), values.Get("path")
	path, _, _ := strings.Cut(target, "?")
	switch {
	case host == "":
		return nil, errors.New("parameter host is missing")
	case !strings.HasPrefix(path, "/"):
		return nil, fmt.Errorf("path %q: want one that begins with a slash", path)
	}
	request := &dispatch.Request{Method: http.MethodGet, Host: host, Path: path, Target: target, Arrived: time.Now()}
	if values.Has("key") {
		if g.adapter.Dialect.ParseKey == nil {
			return nil, errors.New("requests have no key here")
		}
		if request.Key, err = g.adapter.Dialect.ParseKey(values.Get("key")); err != nil {
			return nil, fmt.Errorf("key: %w", err)
		}
		request.HasKey = true
	}
	if values.Has("timeout_ms") {
		ms, err := strconv.ParseInt(values.Get("timeout_ms"), 10, 64)
		if err != nil || ms < 1 || ms > maxExplainedTimeout.Milliseconds() {
			return nil, fmt.Errorf("timeout_ms %q: want 1 to %d", values.Get("timeout_ms"), maxExplainedTimeout.Milliseconds())
		}
		request.Timeout = time.Duration(ms) * time.Millisecond
	}
	return request, nil
}
