package dispatch

import (
	"errors"
	"net/http"
	"strings"
	"testing"
	"time"

	"kumquatcleat/internal/balance"
	"kumquatcleat/internal/fault"
	"kumquatcleat/internal/registry"
	"kumquatcleat/internal/serverconn"
)

// evacuate moves some servers of a fixture to an evacuated failure domain.
func (b *fixture) evacuate(ids ...string) {
	for _, id := range ids {
		s := *b.registry.Get(id)
		s.FailureDomain = "evacuated"
		b.registry.Put(s)
	}
	b.registry.Evacuate(time.Now(), "evacuated")
}

// Guards against requests, repeats included, that reach servers of an evacuated failure domain.
func TestEvacuatedServersGetNoRequest(t *testing.T) {
	for range 20 {
		f := newFixture(true, answers(http.StatusInternalServerError), answers(http.StatusOK))
		f.evacuate("s0", "s1")
		f.serve("/p/", -1)
		for _, id := range f.sender.sent {
			if id != "s2" {
				t.Fatalf("got attempts at %v, want only s2", f.sender.sent)
			}
		}
	}
}

// Guards against a request that was chosen a server before its failure domain was evacuated, and
// is sent afterwards.
func TestEvacuationIsCheckedRightBeforeSend(t *testing.T) {
	f := newFixture(true)
	r := &requestState{core: f.core, request: &Request{}, table: f.core.Tables.Current()}
	r.service, _ = r.table.Service("plain")
	s := f.registry.Get("s0")
	if err := r.guard(s); err != nil {
		t.Fatalf("before the evacuation: got error %v", err)
	}
	f.evacuate("s0")
	if err := r.guard(s); err == nil {
		t.Error("the request would be sent to an evacuated failure domain")
	}
}

// Guards against requests that wait for a server while all of them are evacuated, and against a
// status that does not promise that they did not run.
func TestRequestIsRefusedAtOnceWhileAllDomainsAreEvacuated(t *testing.T) {
	for path, key := range map[string]int{"/p/": -1, "/k/": 5} {
		f := newFixture(true, answers(http.StatusOK))
		f.core.eligibility.OwnerGrace = 0
		f.setOwners(1, ownedByK0)
		f.evacuate("s0", "s1", "s2", "k0", "k1", "k2")
		began := time.Now()
		a := f.serve(path, key)
		if a.Status != http.StatusServiceUnavailable || a.Refusal != fault.NoServer || a.RetryAfter < 200*time.Millisecond || len(f.sender.sent) > 0 {
			t.Errorf("%s: got answer %+v, attempts at %v; want 503 with a hint of a third of the second left", path, a, f.sender.sent)
		}
		if took := time.Since(began); took > 50*time.Millisecond {
			t.Errorf("%s: refused after %v, want at once", path, took)
		}
	}
}

// Guards against refusals that name evacuations where none concerns the service: it briefly has no
// servers, and a failure domain without servers of it is evacuated.
func TestEvacuationElsewhereIsNoReasonToRefuse(t *testing.T) {
	f := newFixture(true)
	f.registry.Evacuate(time.Now(), "unknown")
	f.evacuate("k0", "k1", "k2")
	for _, id := range []string{"s0", "s1", "s2"} {
		f.registry.Remove(id, "test")
	}
	if a := f.serve("/p/", -1); a.Refusal != fault.NoServer || a.RetryAfter > unreachedRetryAfter {
		t.Errorf("got answer %+v, want the usual refusal without servers", a)
	}
}

// Guards against refusals of requests for keys while they move away from an evacuated failure
// domain, and against requests there after that.
func TestOwnerInEvacuatedDomainGetsRequestsForItsGrace(t *testing.T) {
	f := newFixture(true, answers(http.StatusOK))
	f.core.eligibility.OwnerGrace = time.Hour
	f.setOwners(1, ownedByK0)
	f.evacuate("k0")
	if a := f.serve("/k/", 5); a.Status != http.StatusOK {
		t.Errorf("within the grace: got answer %+v, want 200", a)
	}
	f.core.eligibility.OwnerGrace = 0
	if a := f.serve("/k/", 5); a.Status != http.StatusServiceUnavailable || len(f.sender.sent) != 1 {
		t.Errorf("after the grace: got answer %+v, attempts at %v; want 503 and no further attempt", a, f.sender.sent)
	}
}

// Guards against a herd on a cold server: its answers say that it is cold, and the registration does
// not yet.
func TestWarmupStatedInAnswerLimitsRequests(t *testing.T) {
	f := newFixture(true)
	server := f.registry.Get("s0")
	f.core.observeStatements(time.Now(), server, &serverconn.Response{Status: http.StatusOK, Warmup: time.Second})
	if f.core.RateLimits.Any() {
		t.Error("got a limit for a service without a warm-up rate")
	}
	f.core.RateLimits.WarmUp(time.Now(), server.Instance(), 0.01, time.Now().Add(time.Hour))
	f.core.RateLimits.Take(time.Now(), server.Instance())
	if v := f.core.eligibility.Check(time.Now(), server); v.Allowed() || v.Reason != "warming up" {
		t.Errorf("got verdict %+v, want warming up", v)
	}
	for _, c := range []struct {
		change func(*registry.Registry)
		want   string
	}{
		{func(r *registry.Registry) { f.evacuate("s0") }, "evacuated"},
		{func(r *registry.Registry) { r.MarkLeaving(server.Instance()) }, "leaving"},
		{func(r *registry.Registry) { r.Remove("s0", "test") }, "gone"},
	} {
		c.change(f.registry)
		if v := f.core.eligibility.Check(time.Now(), server); string(v.Reason) != c.want {
			t.Errorf("got verdict %+v, want %s", v, c.want)
		}
	}
}

// Guards against headers that can't be read and leave no trace for whoever looks for the cause.
func TestIgnoredHeadersAreInTheAttemptsLog(t *testing.T) {
	f := newFixture(true)
	r := &requestState{core: f.core, request: &Request{}}
	choice := balance.Choice{Server: f.registry.Get("s0")}
	r.recordAttempt(attemptResult{choice: choice, response: &serverconn.Response{Status: http.StatusOK, Ignored: []error{errors.New(`load "1,2"`)}}})
	if len(r.attemptLog) != 1 || !strings.HasSuffix(r.attemptLog[0], `200, ignored: load "1,2"`) {
		t.Errorf("got log %q, want the header that was ignored", r.attemptLog)
	}
}
