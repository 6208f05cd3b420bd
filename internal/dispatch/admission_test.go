package dispatch

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"

	"kumquatcleat/internal/overload"
)

// Guards against refusals that don't tell why, that ask callers to return too late for any answer,
// or that are not counted.
func TestRefusalNamesItsInputsAndWhetherToReturn(t *testing.T) {
	f := newFixture(true, answers(200))
	f.setOwners(1, ownedByK0)
	for range 20 { // first attempts, from which the age of a later one is inferred
		if a := f.serveWithin("/k/", 7, time.Second); a.Status != http.StatusOK {
			t.Fatalf("got status %d, want 200: %s", a.Status, a.Message)
		}
	}
	f.core.Overload.Update(time.Now(), map[string]overload.Signal{"k0": {Load: 30}})
	withoutReturn := metrics.GetOrRegisterCounter("refusals_without_return", f.core.Metrics)
	for _, c := range []struct {
		timeout time.Duration
		parts   []string
		final   int64
	}{
		{700 * time.Millisecond, []string{"server k0", "share 0.00", "load 30.0", "age 30", "ms left", "return"}, 0},
		{15 * time.Millisecond, []string{"server k0", "share 0.00", "load 30.0", "no return in time"}, 1},
	} {
		a := f.serveWithin("/k/", 7, c.timeout)
		if a.Status != http.StatusTooManyRequests || (a.RetryAfter == 0) != (c.final > 0) || a.RetryAfter > c.timeout/3 {
			t.Errorf("%v left: got status %d, Retry-After %v", c.timeout, a.Status, a.RetryAfter)
		}
		for _, part := range c.parts {
			if !strings.Contains(a.Message, part) {
				t.Errorf("%v left: got message %q, want one with %q", c.timeout, a.Message, part)
			}
		}
		if got := withoutReturn.Count(); got != c.final {
			t.Errorf("%v left: got %d refusals without return, want %d", c.timeout, got, c.final)
		}
	}
}

// Guards against queues at the servers of a service without keys that make answers late, and
// against refusals by an objective that even idle servers don't meet.
func TestKeylessRequestIsRefusedByObjectiveOnlyWhileServersAreBusy(t *testing.T) {
	f := newFixture(true, answers(200))
	for _, objective := range []time.Duration{0, time.Microsecond} {
		f.core.Tables.Current().Match("h", "/p/").Objective = objective
		if a := f.serve("/p/", -1); a.Status != http.StatusOK {
			t.Errorf("objective %v, idle servers: got status %d, want 200: %s", objective, a.Status, a.Message)
		}
		for _, s := range f.registry.Usable("plain") { // 2 requests a slot, an answer is due in 1.3 service times
			for range 2 * s.Slots {
				f.core.Balancer.Started(s)
			}
		}
		a := f.serve("/p/", -1)
		if refused := a.Status == http.StatusTooManyRequests; refused != (objective > 0) || refused && a.RetryAfter < minRetryAfter {
			t.Errorf("objective %v, busy servers: got status %d, Retry-After %v", objective, a.Status, a.RetryAfter)
		}
		f = newFixture(true, answers(200))
	}
}
