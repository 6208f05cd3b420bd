package limits

import (
	"sync"
	"time"

	"kumquatcleat/internal/config"
	"kumquatcleat/internal/fault"
)

// gate decides about the requests of one VM to one server. Its methods are
// decisions on a clock that is passed in; they start no goroutine and wait for
// nothing. lock owns every field.
//
// Invariant: a waiter is in a queue only while no permit is free, so a gate
// without permits out has nobody waiting. An estimate of the wait that went wrong
// can therefore not shut a server off: the next request is sent at once, and its
// latency corrects the estimate.
type gate struct {
	lock     sync.Mutex
	server   string
	settings Settings
	limiter  limiter
	inFlight int
	arrivals uint64
	urgent   queue // interactive
	patient  queue // deferred
	service  latencyMeter
}

func newGate(server string, s Settings, slots, vms int) *gate {
	return &gate{server: server, settings: s, limiter: newLimiter(s, slots, vms)}
}

// resize sets the server's slots and grants what a larger limit frees.
func (g *gate) resize(now time.Time, slots int) {
	g.limiter.bound(slots)
	g.dispatch(now)
}

// arrive gives the waiter a permit, queues it, or refuses it at once. It calls
// w.decided in the first and the last case.
func (g *gate) arrive(now time.Time, w *waiter) {
	w.index = notQueued
	w.seq = g.arrivals
	g.arrivals++
	latest := now.Add(g.settings.queueWait(w.class))
	if w.deadline.IsZero() || w.deadline.After(latest) {
		w.deadline = latest
	}
	if g.inFlight < g.allowed() && g.waiting() == 0 {
		g.grant(w)
		return
	}
	q := g.queueOf(w.class)
	if q.Len() >= g.settings.queueLength(w.class) {
		w.decided(fault.New(fault.Overloaded, "server %s: %d %s requests wait already", g.server, q.Len(), w.class))
		return
	}
	if wait := g.expectedWait(w.class); now.Add(wait).After(w.deadline) {
		w.decided(fault.New(fault.QueueTimeout, "server %s: expected wait of %v is past the deadline", g.server, wait))
		return
	}
	q.add(w)
}

// release takes a permit back and grants what became free.
func (g *gate) release(now time.Time, result Result, latency time.Duration) {
	g.limiter.observe(sample{result: result, latency: latency, inFlight: g.inFlight})
	if result == Succeeded {
		g.service.add(latency)
	}
	g.inFlight--
	g.dispatch(now)
}

// abandon takes a waiter out whose deadline passed or whose caller left. It
// returns false when the waiter was decided already.
func (g *gate) abandon(w *waiter) bool {
	if w.index == notQueued {
		return false
	}
	g.queueOf(w.class).remove(w)
	return true
}

// dispatch gives free permits to waiters, interactive ones first, and refuses
// those whose deadline passed.
func (g *gate) dispatch(now time.Time) {
	for g.waiting() > 0 && g.inFlight < g.allowed() {
		w := g.next()
		if !now.Before(w.deadline) {
			w.decided(fault.New(fault.QueueTimeout, "server %s: deadline passed in the queue", g.server))
			continue
		}
		g.grant(w)
	}
}

func (g *gate) grant(w *waiter) {
	g.inFlight++
	w.decided(nil)
}

func (g *gate) next() *waiter {
	if g.urgent.Len() > 0 {
		return g.urgent.first()
	}
	return g.patient.first()
}

func (g *gate) queueOf(class config.Class) *queue {
	if class == config.ClassDeferred {
		return &g.patient
	}
	return &g.urgent
}

func (g *gate) waiting() int { return g.urgent.Len() + g.patient.Len() }

func (g *gate) allowed() int { return int(g.limiter.limit()) }

// expectedWait estimates how long a new waiter of a class waits: the requests
// that go before it, at the pace of the last ones.
func (g *gate) expectedWait(class config.Class) time.Duration {
	ahead := g.urgent.Len() + 1
	if class == config.ClassDeferred {
		ahead += g.patient.Len()
	}
	return time.Duration(float64(ahead) * float64(g.service.estimate()) / g.limiter.limit())
}
