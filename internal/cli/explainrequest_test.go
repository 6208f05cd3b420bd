package cli

import (
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"kumquatcleat/internal/httphead/headtest"
	"kumquatcleat/internal/operator"
)

// startGateway serves explanations by path and returns the address.
func startGateway(t *testing.T) string {
	t.Helper()
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+operator.PathExplainRequest, func(w http.ResponseWriter, r *http.Request) {
		query := r.URL.Query()
		e := operator.RequestExplanation{VM: "vm-1", Host: query.Get("host"), Path: query.Get("path")}
		switch {
		case query.Get("path") == "/none":
			e.Error = "no route for it"
			w.WriteHeader(http.StatusNotFound)
		case query.Has("timeout_ms") && query.Get("timeout_ms") != "1000":
			e.Error = "timeout_ms " + query.Get("timeout_ms")
			w.WriteHeader(http.StatusBadRequest)
		default:
			e.Services = []operator.ServiceExplanation{{Service: "svc " + query.Get("key"), Outcome: operator.RequestOutcome{Action: operator.ActionSend, Server: "s1", Reason: "best"},
				Candidates: []operator.Candidate{{Server: "s1"}, {Server: "s2", Withheld: "paused", WaitMS: 300, WarmupLeftMS: 2000, WarmupRate: 6.8}}}}
		}
		_ = json.NewEncoder(w).Encode(e)
	})
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// Guards against explanations that lose a part of the request, and against exit code 0 or missing JSON
// for a request that can't be routed.
func TestExplainRequestAsksGateway(t *testing.T) {
	addr := startGateway(t)
	explain := func(args ...string) result {
		return run("", append([]string{"explain", "--gateway", addr, "--host", "h"}, args...)...)
	}
	explain("--path", "/p/x?a=b&host=c", "--key", "7", "--timeout", "1s").want(t, ExitOK, "send to s1: best")
	explain("--path", "/p/", "--key", "7").want(t, ExitOK, "svc 7")
	explain("--path", "/p/").want(t, ExitOK, "withheld: paused, for 300ms; cold for 2s, 6.8/s")
	explain("--path", "/none").want(t, ExitFailed, "no route for it")
	explain("--path", "/p/", "--timeout", "-1s").want(t, ExitUsage, "timeout_ms -1000")
	var e operator.RequestExplanation
	if err := json.Unmarshal([]byte(explain("--path", "/none", "--json").stdout), &e); err != nil || e.Error == "" {
		t.Errorf("got explanation %+v, decode error %v; want the error in the JSON", e, err)
	}
	run("", "explain", "--gateway", "x").want(t, ExitUsage, "want IP:port")
	run("", "explain", "--gateway", "127.0.0.1:1", "--host", "h", "--path", "/").want(t, ExitFailed, "check --gateway")
	run("", "explain", "a", "b", "--host", "h").want(t, ExitUsage, "--host needs --gateway")
	run("", "explain", "a").want(t, ExitUsage, "accepts 2 arg")
}

// Guards against a path that reaches the daemon changed, and against a lost outcome.
func TestExplainPathAsksDaemon(t *testing.T) {
	const path = "/svc/a%20b/?q=1&key=x"
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Get("path") != path {
			http.Error(w, "another path", http.StatusBadRequest)
			return
		}
		_ = json.NewEncoder(w).Encode(operator.Explain{Service: "svc", Key: r.URL.Query().Get("key"), Request: &operator.DaemonRequest{Path: path,
			Outcome: operator.RequestOutcome{Action: operator.ActionRefuse, Status: 422, Kind: "quarantined", Reason: "lost"}, Servers: []operator.DaemonServer{{ID: "s1", Refusal: "full"}}}})
	}))
	t.Cleanup(server.Close)
	vm := strings.TrimPrefix(server.URL, "http://")
	run("", "explain", "--path", path, "--key", "k7", "--vm", vm).want(t, ExitOK, "refuse with 422 quarantined: lost")
	run("", "explain", "--path", path, "--key", "k7", "--vm", vm).want(t, ExitOK, "k7")
	run("", "explain", "--path", path, "--vm", vm, "--json").want(t, ExitOK, `"refusal": "full"`)
	run("", "explain", "--path", "/", "--vm", vm).want(t, ExitUsage, "another path")
}

// Guards against a command that prints what stands in an answer with an invalid head, or waits for a body
// whose length such a head hides.
func TestInvalidHeadFailsCommand(t *testing.T) {
	for name, args := range map[string][]string{
		"status": {"status", "--vm"}, "explain": {"explain", "--path", "/", "--vm"}, "explain request": {"explain", "--host", "h", "--path", "/", "--gateway"},
	} {
		t.Run(name, func(t *testing.T) {
			headtest.CheckClient(t, "", func(address string) error {
				if r := run("", append(args, address)...); r.code != ExitOK {
					return errors.New(r.stderr)
				}
				return nil
			})
		})
	}
}
