package limits

import (
	"slices"
	"sync"
	"time"

	"kumquatcleat/internal/config"
	"kumquatcleat/internal/fault"
)

// gate decides about the requests of one VM to one server. Its methods are
// decisions on a clock that is passed in; they start no goroutine and wait for
// nothing. lock owns every field.
//
// Invariant: an interactive waiter is in its queue only while permits are out, and
// a deferred one only while permits are out or its pacer pauses. An estimate of the
// wait that went wrong can therefore not shut a server off: the next request is
// sent, and its latency corrects the estimate.
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
	failures int      // sheds and losses since the last success, up to mostFailures
	crowding crowding // of the interactive queue
	deferred pacer
	// wakeIn asks for a call of dispatch after a while. It must not block.
	wakeIn   func(time.Duration)
	armedFor time.Time // end of the pause that wakeIn was last called for
}

func newGate(server string, s Settings, slots, vms int) *gate {
	return &gate{
		server:   server,
		settings: s,
		limiter:  newLimiter(s, slots, vms),
		crowding: crowding{after: s.CrowdedAfter.Duration()},
		deferred: newPacer(slots, vms),
		wakeIn:   func(time.Duration) {},
	}
}

// resize sets the server's slots and the number of VMs that feed it, and grants
// what a larger limit frees.
func (g *gate) resize(now time.Time, slots, vms int) {
	g.limiter.bound(slots, vms)
	g.deferred.setShare(slots, vms)
	g.dispatch(now)
}

// arrive gives the waiter a permit, queues it, or refuses it at once. It calls
// w.decided in the first and the last case.
func (g *gate) arrive(now time.Time, w *waiter) {
	w.index = notQueued
	w.arrived = now
	w.seq = g.arrivals
	g.arrivals++
	g.sweep(now)
	latest := now.Add(g.longestWait(now, w.class))
	if w.deadline.IsZero() || w.deadline.After(latest) {
		w.deadline = latest
	}
	if g.mayStart(now, w.class) && g.ahead(w.class) == 0 {
		g.grant(w)
		return
	}
	q := g.queueOf(w.class)
	if q.Len() >= g.settings.queueLength(w.class) {
		w.decided(fault.New(fault.Overloaded, "server %s: %d %s requests wait already", g.server, q.Len(), w.class))
		return
	}
	if wait := g.expectedWait(w.class); now.Add(wait).After(w.deadline) {
		g.missed(now, w.class)
		w.decided(fault.New(fault.QueueTimeout, "server %s: expected wait of %v is past the deadline", g.server, wait))
		return
	}
	if w.class != config.ClassDeferred && q.Len() == 0 {
		g.crowding.queued(now)
	}
	q.add(w)
	g.armWake(now)
}

// longestWait bounds the wait of a class.
func (g *gate) longestWait(now time.Time, class config.Class) time.Duration {
	longest := g.settings.queueWait(class)
	if class != config.ClassDeferred && g.crowding.holds(now, g.urgent.Len()) {
		return min(longest, g.crowdedWait())
	}
	return longest
}

// crowdedRequests is the least wait at an overloaded server, in multiples of its
// latency without a queue. With less, a server whose requests take long runs idle
// between the arrivals that are fresh enough.
const crowdedRequests = 2

// crowdedWait is the wait of interactive requests at an overloaded server.
func (g *gate) crowdedWait() time.Duration {
	usual := time.Duration(g.service.floor)
	return max(g.settings.CrowdedWait.Duration(), crowdedRequests*usual)
}

// sweep refuses the interactive waiters of an overloaded server that waited too
// long. They would otherwise count as ahead of a fresh request, which would be
// refused because of requests that are not sent either. Under the short wait the
// queue holds few, so looking at each is cheap.
func (g *gate) sweep(now time.Time) {
	if !g.crowding.holds(now, g.urgent.Len()) {
		return
	}
	longest := g.longestWait(now, config.ClassInteractive)
	for _, w := range slices.Clone(g.urgent) {
		if now.Sub(w.arrived) > longest {
			g.urgent.remove(w)
			g.refuseLate(now, w)
		}
	}
}

// refuseLate refuses a waiter that left its queue because it waited too long.
func (g *gate) refuseLate(now time.Time, w *waiter) {
	g.missed(now, w.class)
	w.decided(fault.New(fault.QueueTimeout, "server %s: waited %v in the queue", g.server, now.Sub(w.arrived)))
}

// missed notes that a request could not be sent within its wait.
func (g *gate) missed(now time.Time, class config.Class) {
	if class != config.ClassDeferred {
		g.crowding.missed(now, g.urgent.Len())
	}
}

// release takes a permit back and grants what became free.
func (g *gate) release(now time.Time, class config.Class, result Result, latency time.Duration) {
	g.limiter.observe(sample{result: result, latency: latency, inFlight: g.inFlight})
	g.deferred.observe(result)
	g.count(result, latency)
	g.inFlight--
	if class == config.ClassDeferred {
		g.deferred.ended(now, &g.service)
	}
	g.dispatch(now)
}

// armWake has the deferred queue looked at again when the pacer's pause ends: no
// other request may come by to do so.
func (g *gate) armWake(now time.Time) {
	resumeAt := g.deferred.resumeAt
	if g.patient.Len() == 0 || !resumeAt.After(now) || g.armedFor.Equal(resumeAt) {
		return
	}
	g.armedFor = resumeAt
	g.wakeIn(resumeAt.Sub(now))
}

// abandon takes a waiter out whose deadline passed or whose caller left. It
// returns false when the waiter was decided already.
func (g *gate) abandon(now time.Time, w *waiter) bool {
	if w.index == notQueued {
		return false
	}
	g.missed(now, w.class)
	g.queueOf(w.class).remove(w)
	return true
}

// dispatch gives free permits to waiters, interactive ones first, and refuses
// those that waited too long.
func (g *gate) dispatch(now time.Time) {
	for g.waiting() > 0 && g.mayStart(now, g.dueClass()) {
		longest := g.longestWait(now, g.dueClass())
		w := g.queueOf(g.dueClass()).first()
		if now.Before(w.deadline) && now.Sub(w.arrived) <= longest {
			g.grant(w)
			continue
		}
		g.refuseLate(now, w)
	}
	g.armWake(now)
}

// dueClass returns the class of the waiter that is served next.
func (g *gate) dueClass() config.Class {
	if g.urgent.Len() > 0 {
		return config.ClassInteractive
	}
	return config.ClassDeferred
}

// mayStart returns whether a request of a class may be sent now.
func (g *gate) mayStart(now time.Time, class config.Class) bool {
	if g.inFlight >= int(g.limiter.limit()) {
		return false
	}
	return class != config.ClassDeferred || g.deferred.mayStart(now, &g.service)
}

func (g *gate) grant(w *waiter) {
	g.inFlight++
	if w.class == config.ClassDeferred {
		g.deferred.started()
	}
	w.decided(nil)
}

func (g *gate) queueOf(class config.Class) *queue {
	if class == config.ClassDeferred {
		return &g.patient
	}
	return &g.urgent
}

func (g *gate) waiting() int { return g.urgent.Len() + g.patient.Len() }

// ahead returns how many waiters go before a new one of a class.
func (g *gate) ahead(class config.Class) int {
	if class == config.ClassDeferred {
		return g.waiting()
	}
	return g.urgent.Len()
}

// expectedWait estimates how long a new waiter of a class waits: the requests
// that go before it, at the pace of the last ones.
func (g *gate) expectedWait(class config.Class) time.Duration {
	atOnce := g.limiter.limit()
	if class == config.ClassDeferred {
		atOnce = min(atOnce, g.deferred.share(&g.service))
	}
	turns := float64(g.ahead(class)+1) / atOnce
	return time.Duration(turns * float64(g.service.estimate()))
}
