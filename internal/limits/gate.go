package limits

import (
	"slices"
	"sync"
	"time"

	"kumquatcleat/internal/config"
	"kumquatcleat/internal/fault"
)

// serverGate admits the requests of one VM to one server. Its methods take the current
// time as a parameter and start no goroutine. The caller of a method holds lock, except
// for await and wake, which take it themselves. Only await blocks.
//
// Invariant: an interactive waiter is queued only while permits are in use, and a
// deferred waiter only while permits are in use or the pacer pauses. A wrong estimate
// of the wait therefore cannot cut a server off: the next request is sent, and its
// latency corrects the estimate.
//
// The messages of its refusals are part of the answer to callers.
type serverGate struct {
	lock             sync.Mutex
	server           string
	settings         Settings
	limiter          limiter
	inFlight         int
	arrivals         uint64
	interactiveQueue queue
	deferredQueue    queue
	latency          latencyMeter
	failures         int              // shed and failed requests since the last success, up to maxFailures
	overload         overloadDetector // of the interactive queue
	pacer            pacer
	// scheduleWake schedules a call of wake after a delay. It must not block.
	scheduleWake func(time.Duration)
	wakeAt       time.Time // end of the pause for which scheduleWake was last called
}

func newGate(server string, s Settings, slots, vms int) *serverGate {
	return &serverGate{
		server:       server,
		settings:     s,
		limiter:      newLimiter(s, slots, vms),
		overload:     overloadDetector{threshold: s.CrowdedAfter.Duration()},
		pacer:        newPacer(slots, vms),
		scheduleWake: func(time.Duration) {},
	}
}

// resize sets the server's slots and the number of VMs that send to it, and grants
// permits that a larger limit allows.
func (g *serverGate) resize(now time.Time, slots, vms int) {
	g.limiter.resize(slots, vms)
	g.pacer.setSlotsPerVM(slots, vms)
	g.dispatch(now)
}

// admit grants a permit to the waiter, queues it, or refuses it at once. It calls
// w.onDecision when it grants or refuses.
func (g *serverGate) admit(now time.Time, w *waiter) {
	w.index = notQueued
	w.arrived = now
	w.seq = g.arrivals
	g.arrivals++
	g.refuseStale(now)
	latest := now.Add(g.maxWait(now, w.class))
	if w.deadline.IsZero() || w.deadline.After(latest) {
		w.deadline = latest
	}
	if g.mayStart(now, w.class) && g.waitersAhead(w.class) == 0 {
		g.grant(w)
		return
	}
	q := g.queueOf(w.class)
	if q.Len() >= g.settings.queueLength(w.class) {
		w.onDecision(fault.New(fault.Overloaded, "server %s: %d %s requests wait already", g.server, q.Len(), w.class))
		return
	}
	if wait := g.expectedWait(w.class); now.Add(wait).After(w.deadline) {
		g.recordMissedWait(now, w.class)
		w.onDecision(fault.New(fault.QueueTimeout, "server %s: expected wait of %v is past the deadline", g.server, wait))
		return
	}
	if w.class != config.ClassDeferred && q.Len() == 0 {
		g.overload.recordQueued(now)
	}
	q.add(w)
	g.armWake(now)
}

// maxWait returns the longest time that a request of a class may wait in the queue.
func (g *serverGate) maxWait(now time.Time, class config.Class) time.Duration {
	maxWait := g.settings.queueWait(class)
	if class != config.ClassDeferred && g.overload.overloaded(now, g.interactiveQueue.Len()) {
		return min(maxWait, g.overloadedWait())
	}
	return maxWait
}

// overloadedWaitFactor times the latency without a queue is a lower bound of the maximum
// queue wait at an overloaded server. With a smaller factor, all waiters of a server with
// long requests may have exceeded their wait when a permit becomes free, and the permit
// is unused until the next request arrives.
const overloadedWaitFactor = 2

// overloadedWait returns the maximum queue wait of an interactive request at an
// overloaded server.
func (g *serverGate) overloadedWait() time.Duration {
	unqueued := time.Duration(g.latency.floor)
	return max(g.settings.CrowdedWait.Duration(), overloadedWaitFactor*unqueued)
}

// refuseStale refuses interactive waiters of an overloaded server that exceeded the
// maximum wait. Otherwise a new request could be refused because of waiters ahead of it
// that will be refused themselves. The short wait keeps the queue short, so the scan is
// cheap.
func (g *serverGate) refuseStale(now time.Time) {
	if !g.overload.overloaded(now, g.interactiveQueue.Len()) {
		return
	}
	maxWait := g.maxWait(now, config.ClassInteractive)
	for _, w := range slices.Clone(g.interactiveQueue) {
		if now.Sub(w.arrived) > maxWait {
			g.interactiveQueue.remove(w)
			g.refuseTimedOut(now, w)
		}
	}
}

// refuseTimedOut refuses a waiter that was removed from its queue after its maximum wait.
func (g *serverGate) refuseTimedOut(now time.Time, w *waiter) {
	g.recordMissedWait(now, w.class)
	w.onDecision(fault.New(fault.QueueTimeout, "server %s: waited %v in the queue", g.server, now.Sub(w.arrived)))
}

// recordMissedWait records that a request could not be sent within its maximum wait.
func (g *serverGate) recordMissedWait(now time.Time, class config.Class) {
	if class != config.ClassDeferred {
		g.overload.recordMissedWait(now, g.interactiveQueue.Len())
	}
}

// release returns a permit and grants free permits to waiters.
func (g *serverGate) release(now time.Time, class config.Class, result Result, latency time.Duration) {
	g.limiter.observe(sample{result: result, latency: latency, inFlight: g.inFlight})
	g.pacer.observe(result)
	g.recordResult(result, latency)
	g.inFlight--
	if class == config.ClassDeferred {
		g.pacer.finished(now, &g.latency)
	}
	g.dispatch(now)
}

// armWake schedules a dispatch of the deferred queue for the end of the pacer's pause,
// because no other request may arrive to trigger it.
func (g *serverGate) armWake(now time.Time) {
	resumeAt := g.pacer.resumeAt
	if g.deferredQueue.Len() == 0 || !resumeAt.After(now) || g.wakeAt.Equal(resumeAt) {
		return
	}
	g.wakeAt = resumeAt
	g.scheduleWake(resumeAt.Sub(now))
}

// abandon removes a waiter whose deadline passed or whose caller canceled. It returns
// false if the waiter was already granted or refused.
func (g *serverGate) abandon(now time.Time, w *waiter) bool {
	if w.index == notQueued {
		return false
	}
	g.recordMissedWait(now, w.class)
	g.queueOf(w.class).remove(w)
	return true
}

// dispatch grants free permits to waiters, interactive ones first, and refuses those
// that exceeded their maximum wait.
func (g *serverGate) dispatch(now time.Time) {
	for g.waiting() > 0 && g.mayStart(now, g.nextClass()) {
		maxWait := g.maxWait(now, g.nextClass())
		w := g.queueOf(g.nextClass()).popFirst()
		if now.Before(w.deadline) && now.Sub(w.arrived) <= maxWait {
			g.grant(w)
			continue
		}
		g.refuseTimedOut(now, w)
	}
	g.armWake(now)
}

// nextClass returns the class of the waiter to serve next.
func (g *serverGate) nextClass() config.Class {
	if g.interactiveQueue.Len() > 0 {
		return config.ClassInteractive
	}
	return config.ClassDeferred
}

// mayStart reports whether a request of a class may be sent now.
func (g *serverGate) mayStart(now time.Time, class config.Class) bool {
	if g.inFlight >= int(g.limiter.limit()) {
		return false
	}
	return class != config.ClassDeferred || g.pacer.mayStart(now, &g.latency)
}

func (g *serverGate) grant(w *waiter) {
	g.inFlight++
	if w.class == config.ClassDeferred {
		g.pacer.started()
	}
	w.onDecision(nil)
}

func (g *serverGate) queueOf(class config.Class) *queue {
	if class == config.ClassDeferred {
		return &g.deferredQueue
	}
	return &g.interactiveQueue
}

func (g *serverGate) waiting() int { return g.interactiveQueue.Len() + g.deferredQueue.Len() }

// waitersAhead returns how many waiters are served before a new one of a class.
func (g *serverGate) waitersAhead(class config.Class) int {
	if class == config.ClassDeferred {
		return g.waiting()
	}
	return g.interactiveQueue.Len()
}

// expectedWait estimates how long a new waiter of a class waits, from the number of
// requests ahead of it and the mean latency.
func (g *serverGate) expectedWait(class config.Class) time.Duration {
	concurrency := g.limiter.limit()
	if class == config.ClassDeferred {
		concurrency = min(concurrency, g.pacer.bound(&g.latency))
	}
	turns := float64(g.waitersAhead(class)+1) / concurrency
	return time.Duration(turns * float64(g.latency.estimate()))
}
