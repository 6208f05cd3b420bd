package limits

import (
	"context"
	"errors"
	"strings"
	"sync"
	"testing"
	"time"

	"kumquatcleat/internal/config"
	"kumquatcleat/internal/fault"
)

var epoch = time.Unix(1_000_000, 0)

func at(ms int) time.Time { return epoch.Add(time.Duration(ms) * time.Millisecond) }

// staticSettings returns settings with which each gate of a single VM may use all slots.
func staticSettings() Settings {
	s := DefaultSettings()
	s.Algorithm = AlgorithmStatic
	return s
}

// recordedWaiter is a waiter that records the decision about it.
type recordedWaiter struct {
	waiter
	done bool
	err  error
}

func newRecordedWaiter(class config.Class, deadline time.Time) *recordedWaiter {
	r := &recordedWaiter{}
	r.class, r.deadline = class, deadline
	r.onDecision = func(err error) { r.done, r.err = true, err }
	return r
}

func TestInteractiveServedBeforeEarlierDeferred(t *testing.T) {
	g := newGate("s1", staticSettings(), 1, 1)
	running := newRecordedWaiter(config.ClassInteractive, time.Time{})
	late := newRecordedWaiter(config.ClassDeferred, time.Time{})
	soon := newRecordedWaiter(config.ClassInteractive, at(90))
	sooner := newRecordedWaiter(config.ClassInteractive, at(50))
	for _, r := range []*recordedWaiter{running, late, soon, sooner} {
		g.admit(at(0), &r.waiter)
	}
	for i, want := range []*recordedWaiter{sooner, soon, late} {
		g.release(at(i+1), config.ClassInteractive, Succeeded, time.Millisecond)
		if !want.done || want.err != nil {
			t.Fatalf("release %d: the next waiter got no permit: %v", i, want.err)
		}
	}
}

func TestFullQueueRefusesAsOverloaded(t *testing.T) {
	s := staticSettings()
	s.QueueLength = 1
	g := newGate("s1", s, 1, 1)
	for range 2 {
		g.admit(at(0), &newRecordedWaiter(config.ClassInteractive, at(100)).waiter)
	}
	third := newRecordedWaiter(config.ClassInteractive, at(100))
	g.admit(at(0), &third.waiter)
	if !third.done || fault.KindOf(third.err) != fault.Overloaded {
		t.Fatalf("third request: decided %v, error %v; want overloaded at once", third.done, third.err)
	}
}

func TestDeadlineThatCannotBeMetIsRefusedAtOnce(t *testing.T) {
	g := newGate("s1", staticSettings(), 1, 1)
	g.admit(at(0), &newRecordedWaiter(config.ClassInteractive, at(900)).waiter)
	g.release(at(100), config.ClassInteractive, Succeeded, 100*time.Millisecond)
	g.admit(at(100), &newRecordedWaiter(config.ClassInteractive, at(900)).waiter)
	unservable := newRecordedWaiter(config.ClassInteractive, at(150))
	g.admit(at(100), &unservable.waiter)
	if !unservable.done || fault.KindOf(unservable.err) != fault.QueueTimeout {
		t.Fatalf("decided %v, error %v; want queue_timeout at once", unservable.done, unservable.err)
	}
}

func TestWaiterPastItsDeadlineIsNotSent(t *testing.T) {
	g := newGate("s1", staticSettings(), 1, 1)
	g.admit(at(0), &newRecordedWaiter(config.ClassInteractive, at(900)).waiter)
	expired := newRecordedWaiter(config.ClassInteractive, at(10))
	fresh := newRecordedWaiter(config.ClassInteractive, at(900))
	g.admit(at(0), &expired.waiter)
	g.admit(at(0), &fresh.waiter)
	g.release(at(10), config.ClassInteractive, Succeeded, time.Millisecond)
	if fault.KindOf(expired.err) != fault.QueueTimeout || !fresh.done || fresh.err != nil {
		t.Fatalf("expired waiter: error %v, want queue_timeout; other waiter: decided %v, error %v, want a permit", expired.err, fresh.done, fresh.err)
	}
}

func TestLimitRecoversAfterAServerRecovers(t *testing.T) {
	for _, algorithm := range []Algorithm{AlgorithmAIMD, AlgorithmGradient} {
		s := DefaultSettings()
		s.Algorithm = algorithm
		l := newLimiter(s, 6, 1)
		for range 200 {
			l.observe(sample{result: Failed, inFlight: int(l.limit())})
		}
		if l.limit() >= 2 {
			t.Errorf("%s: got limit %g under failures, want below 2", algorithm, l.limit())
		}
		for range 2000 {
			l.observe(sample{result: Succeeded, latency: time.Millisecond, inFlight: int(l.limit())})
		}
		if l.limit() < 6 {
			t.Errorf("%s: got limit %g after recovery, want all 6 slots", algorithm, l.limit())
		}
	}
}

func TestCanceledCallersLeakNoPermit(t *testing.T) {
	gates := New(staticSettings(), func() int { return 1 }, time.Now)
	server := config.Server{ID: "s1", Slots: 2}
	var callers sync.WaitGroup
	for i := range 200 {
		callers.Go(func() {
			ctx, cancel := context.WithCancel(context.Background())
			if i%3 == 0 {
				cancel()
			}
			defer cancel()
			p, err := gates.Acquire(ctx, server, config.ClassInteractive)
			if err != nil {
				return
			}
			if out := gates.InFlight("s1"); out > server.Slots {
				t.Errorf("got %d permits in use, want at most %d", out, server.Slots)
			}
			p.Done(Succeeded, time.Microsecond)
			p.Done(Succeeded, time.Microsecond)
		})
	}
	callers.Wait()
	if out := gates.InFlight("s1"); out != 0 {
		t.Fatalf("got %d permits in use after all callers finished, want 0", out)
	}
}

func TestCanceledWaiterIsRefusedAsNotSent(t *testing.T) {
	gates := New(staticSettings(), func() int { return 1 }, time.Now)
	server := config.Server{ID: "s1", Slots: 1}
	held, err := gates.Acquire(context.Background(), server, config.ClassInteractive)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_, err = gates.Acquire(ctx, server, config.ClassInteractive)
	if fault.KindOf(err) != fault.QueueTimeout || !errors.Is(err, context.Canceled) {
		t.Fatalf("got error %v, want queue_timeout that wraps context.Canceled", err)
	}
	held.Done(Succeeded, time.Millisecond)
}

func TestSettingsErrorsNameFieldValueAndRange(t *testing.T) {
	if err := DefaultSettings().Validate(); err != nil {
		t.Fatalf("defaults: %v", err)
	}
	invalid := map[string]func(*Settings){
		`algorithm: "none"`:          func(s *Settings) { s.Algorithm = "none" },
		"queue_length: 0":            func(s *Settings) { s.QueueLength = 0 },
		"deferred_queue_length: -1":  func(s *Settings) { s.DeferredQueueLength = -1 },
		"queue_wait_ms: 0":           func(s *Settings) { s.QueueWait = 0 },
		"crowded_after_ms: 0":        func(s *Settings) { s.CrowdedAfter = 0 },
		"crowded_wait_ms: -1":        func(s *Settings) { s.CrowdedWait = -1 },
		"deferred_queue_wait_ms: -5": func(s *Settings) { s.DeferredQueueWait = -5 },
		"backoff: 1":                 func(s *Settings) { s.Backoff = 1 },
		"latency_tolerance: 0.5":     func(s *Settings) { s.LatencyTolerance = 0.5 },
	}
	for want, invalidate := range invalid {
		s := DefaultSettings()
		invalidate(&s)
		err := s.Validate()
		if err == nil || !strings.HasPrefix(err.Error(), want) || !strings.Contains(err.Error(), "; want ") {
			t.Errorf("got error %v; want prefix %q and the allowed range", err, want)
		}
	}
}

func TestSustainedOverloadShortensQueueWait(t *testing.T) {
	s := staticSettings()
	s.QueueWait = 500
	g := newGate("s1", s, 1, 1)
	running := newRecordedWaiter(config.ClassInteractive, time.Time{})
	g.admit(at(0), &running.waiter)
	var waiting []*recordedWaiter
	for ms := 0; ms <= 1100; ms += 100 {
		r := newRecordedWaiter(config.ClassInteractive, time.Time{})
		g.admit(at(ms), &r.waiter)
		waiting = append(waiting, r)
		if ms < 1000 {
			g.release(at(ms+50), config.ClassInteractive, Succeeded, time.Millisecond)
			g.admit(at(ms+50), &newRecordedWaiter(config.ClassInteractive, time.Time{}).waiter)
		}
	}
	if !g.overload.overloaded(at(1100), g.interactiveQueue.Len()) {
		t.Fatal("not overloaded after the queue was non-empty for a second")
	}
	g.release(at(1101), config.ClassInteractive, Succeeded, time.Millisecond)
	if last := waiting[len(waiting)-1]; !last.done || last.err != nil {
		t.Fatalf("the latest request got no permit: decided %v, error %v", last.done, last.err)
	}
	if g.waiting() != 0 {
		t.Fatalf("got %d requests still queued at an overloaded server, want 0", g.waiting())
	}
}

func TestShortServerPauseRefusesNoRequest(t *testing.T) {
	g := newGate("s1", staticSettings(), 1, 1)
	g.admit(at(0), &newRecordedWaiter(config.ClassInteractive, time.Time{}).waiter)
	queued := newRecordedWaiter(config.ClassInteractive, time.Time{})
	g.admit(at(0), &queued.waiter)
	g.release(at(300), config.ClassInteractive, Succeeded, 300*time.Millisecond)
	if !queued.done || queued.err != nil {
		t.Fatalf("decided %v, error %v; want a permit after the pause", queued.done, queued.err)
	}
}

func TestDeferredQueuedDuringPauseIsWoken(t *testing.T) {
	g := newGate("s1", DefaultSettings(), 3, 12)
	var wakes []time.Duration
	g.scheduleWake = func(wait time.Duration) { wakes = append(wakes, wait) }
	first := newRecordedWaiter(config.ClassDeferred, time.Time{})
	g.admit(at(0), &first.waiter)
	g.release(at(8), config.ClassDeferred, Succeeded, 8*time.Millisecond)
	second := newRecordedWaiter(config.ClassDeferred, time.Time{})
	g.admit(at(9), &second.waiter)
	if second.done || len(wakes) != 1 {
		t.Fatalf("decided %v, %d wakes scheduled; want it queued and one wake scheduled", second.done, len(wakes))
	}
	g.wake(func() time.Time { return at(9).Add(wakes[0]) })
	if !second.done || second.err != nil {
		t.Fatalf("decided %v, error %v after the pause; want a permit", second.done, second.err)
	}
}

func TestServerThatFailsFastDoesNotAttractRequests(t *testing.T) {
	good := newGate("good", DefaultSettings(), 6, 9)
	for _, answeredBefore := range []bool{true, false} {
		bad := newGate("bad", DefaultSettings(), 6, 9)
		for range 10 {
			good.admit(at(0), &newRecordedWaiter(config.ClassInteractive, time.Time{}).waiter)
			bad.admit(at(0), &newRecordedWaiter(config.ClassInteractive, time.Time{}).waiter)
			good.release(at(1), config.ClassInteractive, Succeeded, time.Millisecond)
			if answeredBefore {
				bad.release(at(1), config.ClassInteractive, Succeeded, time.Millisecond)
				answeredBefore = false
				continue
			}
			bad.release(at(1), config.ClassInteractive, Failed, time.Microsecond)
		}
		good.admit(at(2), &newRecordedWaiter(config.ClassInteractive, time.Time{}).waiter)
		if bad.load() <= good.load() {
			t.Errorf("load of the failing server is %g; want more than %g of the healthy server", bad.load(), good.load())
		}
	}
}
