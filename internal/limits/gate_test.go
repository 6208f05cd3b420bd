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

// staticSettings give every gate the whole server.
func staticSettings() Settings {
	s := DefaultSettings()
	s.Algorithm = AlgorithmStatic
	return s
}

// recorded is a waiter that keeps its decision.
type recorded struct {
	waiter
	done bool
	err  error
}

func newRecorded(class config.Class, deadline time.Time) *recorded {
	r := &recorded{}
	r.class, r.deadline = class, deadline
	r.decided = func(err error) { r.done, r.err = true, err }
	return r
}

func TestInteractiveOvertakesDeferredThatCameFirst(t *testing.T) {
	g := newGate("s1", staticSettings(), 1, 1)
	running := newRecorded(config.ClassInteractive, time.Time{})
	late := newRecorded(config.ClassDeferred, time.Time{})
	soon := newRecorded(config.ClassInteractive, at(90))
	sooner := newRecorded(config.ClassInteractive, at(50))
	for _, r := range []*recorded{running, late, soon, sooner} {
		g.arrive(at(0), &r.waiter)
	}
	for i, want := range []*recorded{sooner, soon, late} {
		g.release(at(i+1), config.ClassInteractive, Succeeded, time.Millisecond)
		if !want.done || want.err != nil {
			t.Fatalf("release %d: the waiter due was not granted: %v", i, want.err)
		}
	}
}

func TestFullQueueRefusesAsOverloaded(t *testing.T) {
	s := staticSettings()
	s.QueueLength = 1
	g := newGate("s1", s, 1, 1)
	for range 2 {
		g.arrive(at(0), &newRecorded(config.ClassInteractive, at(100)).waiter)
	}
	third := newRecorded(config.ClassInteractive, at(100))
	g.arrive(at(0), &third.waiter)
	if !third.done || fault.KindOf(third.err) != fault.Overloaded {
		t.Fatalf("third: decided %v, %v", third.done, third.err)
	}
}

func TestDeadlineThatCannotBeMetIsRefusedAtOnce(t *testing.T) {
	g := newGate("s1", staticSettings(), 1, 1)
	g.arrive(at(0), &newRecorded(config.ClassInteractive, at(900)).waiter)
	g.release(at(100), config.ClassInteractive, Succeeded, 100*time.Millisecond)
	g.arrive(at(100), &newRecorded(config.ClassInteractive, at(900)).waiter)
	hopeless := newRecorded(config.ClassInteractive, at(150))
	g.arrive(at(100), &hopeless.waiter)
	if !hopeless.done || fault.KindOf(hopeless.err) != fault.QueueTimeout {
		t.Fatalf("decided %v, %v; want queue_timeout at once", hopeless.done, hopeless.err)
	}
}

func TestWaiterPastItsDeadlineIsNotSent(t *testing.T) {
	g := newGate("s1", staticSettings(), 1, 1)
	g.arrive(at(0), &newRecorded(config.ClassInteractive, at(900)).waiter)
	stale := newRecorded(config.ClassInteractive, at(10))
	fresh := newRecorded(config.ClassInteractive, at(900))
	g.arrive(at(0), &stale.waiter)
	g.arrive(at(0), &fresh.waiter)
	g.release(at(10), config.ClassInteractive, Succeeded, time.Millisecond)
	if fault.KindOf(stale.err) != fault.QueueTimeout || !fresh.done || fresh.err != nil {
		t.Fatalf("stale: %v; fresh: decided %v, %v", stale.err, fresh.done, fresh.err)
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
			t.Errorf("%s: limit %g under failures", algorithm, l.limit())
		}
		for range 2000 {
			l.observe(sample{result: Succeeded, latency: time.Millisecond, inFlight: int(l.limit())})
		}
		if l.limit() < 6 {
			t.Errorf("%s: limit %g after recovery, want all 6 slots", algorithm, l.limit())
		}
	}
}

func TestCallersThatLeaveLoseNoPermit(t *testing.T) {
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
				t.Errorf("%d permits out of %d", out, server.Slots)
			}
			p.Done(Succeeded, time.Microsecond)
			p.Done(Succeeded, time.Microsecond)
		})
	}
	callers.Wait()
	if out := gates.InFlight("s1"); out != 0 {
		t.Fatalf("%d permits still out", out)
	}
}

func TestCallerThatLeftTheQueueIsRefusedAsNotSent(t *testing.T) {
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
		t.Fatalf("error %v", err)
	}
	held.Done(Succeeded, time.Millisecond)
}

func TestSettingsErrorsNameFieldValueAndRange(t *testing.T) {
	if err := DefaultSettings().Validate(); err != nil {
		t.Fatalf("defaults: %v", err)
	}
	broken := map[string]func(*Settings){
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
	for want, spoil := range broken {
		s := DefaultSettings()
		spoil(&s)
		err := s.Validate()
		if err == nil || !strings.HasPrefix(err.Error(), want) || !strings.Contains(err.Error(), "; want ") {
			t.Errorf("error %v; want it to start with %q and to say what is allowed", err, want)
		}
	}
}

func TestLastingOverloadShortensTheWait(t *testing.T) {
	s := staticSettings()
	s.QueueWait = 500
	g := newGate("s1", s, 1, 1)
	running := newRecorded(config.ClassInteractive, time.Time{})
	g.arrive(at(0), &running.waiter)
	var waiting []*recorded
	for ms := 0; ms <= 1100; ms += 100 {
		r := newRecorded(config.ClassInteractive, time.Time{})
		g.arrive(at(ms), &r.waiter)
		waiting = append(waiting, r)
		if ms < 1000 {
			g.release(at(ms+50), config.ClassInteractive, Succeeded, time.Millisecond)
			g.arrive(at(ms+50), &newRecorded(config.ClassInteractive, time.Time{}).waiter)
		}
	}
	if !g.crowding.holds(at(1100), g.urgent.Len()) {
		t.Fatal("a queue that stood for a second is not taken for overload")
	}
	g.release(at(1101), config.ClassInteractive, Succeeded, time.Millisecond)
	if last := waiting[len(waiting)-1]; !last.done || last.err != nil {
		t.Fatalf("the fresh request was not sent: decided %v, %v", last.done, last.err)
	}
	if g.waiting() != 0 {
		t.Fatalf("%d stale requests still wait at an overloaded server", g.waiting())
	}
}

func TestShortPauseOfAServerIsWaitedOut(t *testing.T) {
	g := newGate("s1", staticSettings(), 1, 1)
	g.arrive(at(0), &newRecorded(config.ClassInteractive, time.Time{}).waiter)
	patient := newRecorded(config.ClassInteractive, time.Time{})
	g.arrive(at(0), &patient.waiter)
	g.release(at(300), config.ClassInteractive, Succeeded, 300*time.Millisecond)
	if !patient.done || patient.err != nil {
		t.Fatalf("decided %v, %v; want it sent after the pause", patient.done, patient.err)
	}
}

func TestDeferredThatArrivesDuringAPauseIsWoken(t *testing.T) {
	g := newGate("s1", DefaultSettings(), 3, 12)
	var wakes []time.Duration
	g.wakeIn = func(wait time.Duration) { wakes = append(wakes, wait) }
	first := newRecorded(config.ClassDeferred, time.Time{})
	g.arrive(at(0), &first.waiter)
	g.release(at(8), config.ClassDeferred, Succeeded, 8*time.Millisecond)
	second := newRecorded(config.ClassDeferred, time.Time{})
	g.arrive(at(9), &second.waiter)
	if second.done || len(wakes) != 1 {
		t.Fatalf("decided %v, %d wakes; want it queued and one wake", second.done, len(wakes))
	}
	g.wake(func() time.Time { return at(9).Add(wakes[0]) })
	if !second.done || second.err != nil {
		t.Fatalf("decided %v, %v after the pause", second.done, second.err)
	}
}

func TestServerThatRefusesAtOnceDoesNotDrawRequests(t *testing.T) {
	good := newGate("good", DefaultSettings(), 6, 9)
	for _, answeredBefore := range []bool{true, false} {
		bad := newGate("bad", DefaultSettings(), 6, 9)
		for range 10 {
			good.arrive(at(0), &newRecorded(config.ClassInteractive, time.Time{}).waiter)
			bad.arrive(at(0), &newRecorded(config.ClassInteractive, time.Time{}).waiter)
			good.release(at(1), config.ClassInteractive, Succeeded, time.Millisecond)
			if answeredBefore {
				bad.release(at(1), config.ClassInteractive, Succeeded, time.Millisecond)
				answeredBefore = false
				continue
			}
			bad.release(at(1), config.ClassInteractive, Failed, time.Microsecond)
		}
		good.arrive(at(2), &newRecorded(config.ClassInteractive, time.Time{}).waiter)
		if bad.load() <= good.load() {
			t.Errorf("load of the server that refuses %g, of the busy good one %g", bad.load(), good.load())
		}
	}
}
