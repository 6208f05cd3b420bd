package daemon

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"net/url"
	"testing"

	"kumquatcleat/internal/operator"
	"kumquatcleat/internal/standin"
)

// Guards against explanations of requests that send them, that name another server than the one they
// reach, or that miss why they are refused.
func TestExplainPathAgreesWithAnswer(t *testing.T) {
	c := newTestCluster(t, 1)
	vm := c.vms[0]
	explain := func(path string) (operator.Explain, int) {
		w := httptest.NewRecorder()
		vm.serveExplain(w, httptest.NewRequest(http.MethodGet, operator.PathExplain+"?path="+url.QueryEscape(path), nil))
		var e operator.Explain
		_ = json.Unmarshal(w.Body.Bytes(), &e)
		return e, w.Code
	}
	runs := c.runs(func(standin.RunRecord) bool { return true })
	keyed, _ := explain("/swapbay/listings/7")
	keyless, _ := explain("/swapbay/any?q=1")
	if got := c.runs(func(standin.RunRecord) bool { return true }); got != runs {
		t.Fatalf("got %d requests at servers, want none by an explanation", got-runs)
	}
	a, err := c.call(vm, http.MethodGet, "/swapbay/listings/7")
	if err != nil || keyed.Key != "7" || keyed.Request == nil || keyed.Request.Outcome.Action != operator.ActionSend || keyed.Request.Outcome.Server != a.server || keyed.Owner != a.server {
		t.Errorf("got explanation %+v, request %+v; the request reached %s, error %v", keyed, keyed.Request, a.server, err)
	}
	if keyless.Request == nil || keyless.Request.Outcome.Action != operator.ActionSend || len(keyless.Request.Servers) != 3 || keyless.Owner != "" {
		t.Errorf("without a key: got explanation %+v, request %+v", keyless, keyless.Request)
	}
	for path, want := range map[string]int{"/none/x": http.StatusNotFound, "": http.StatusBadRequest, "x": http.StatusBadRequest, "/swapbay/%zz": http.StatusBadRequest, "/swapbay/../x": http.StatusBadRequest} {
		if _, status := explain(path); status != want {
			t.Errorf("path %q: got status %d, want %d", path, status, want)
		}
	}
	poison, _ := vm.handler.ParseRequest("/swapbay/listings/8", "")
	vm.suspects.MemoryQuarantine.ServerLost("swapbay", poison.Fingerprints, "s1")
	vm.suspects.MemoryQuarantine.ServerLost("swapbay", poison.Fingerprints, "s2")
	if e, _ := explain("/swapbay/listings/8"); e.Request == nil || e.Request.Outcome.Kind != "quarantined" {
		t.Errorf("got explanation %+v of a request in quarantine", e.Request)
	}
}
