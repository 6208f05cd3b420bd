package limits

import (
	"context"
	"errors"
	"sync"
	"time"

	"kumquatcleat/internal/config"
	"kumquatcleat/internal/fault"
)

// Gates implements Gate with one serverGate per server. It is safe for concurrent use.
type Gates struct {
	settings Settings
	vms      func() int
	now      func() time.Time

	lock  sync.RWMutex // protects the map, not the gates in it
	gates map[string]*serverGate
}

// New returns a Gates without servers; the first request to a server creates its gate.
// vms returns how many VMs send to the same servers, now returns the current time.
func New(s Settings, vms func() int, now func() time.Time) *Gates {
	return &Gates{settings: s, vms: vms, now: now, gates: make(map[string]*serverGate)}
}

// Acquire implements Gate. A waiting caller blocks only its own goroutine.
func (gs *Gates) Acquire(ctx context.Context, server config.Server, class config.Class) (Permit, error) {
	if err := ctx.Err(); err != nil {
		return nil, notSentError(err, server.ID)
	}
	g := gs.gateOf(server)
	decision := make(chan error, 1)
	w := &waiter{class: class, onDecision: func(err error) { decision <- err }}
	w.deadline, _ = ctx.Deadline()

	g.lock.Lock()
	now := gs.now()
	g.resize(now, server.Slots, gs.vms())
	g.admit(now, w)
	maxWait := w.deadline.Sub(now)
	g.lock.Unlock()

	err := g.await(ctx, gs.now, w, decision, maxWait)
	if err != nil {
		return nil, err
	}
	return &permit{gate: g, class: class, now: gs.now}, nil
}

// await blocks until the waiter is granted or refused. It returns nil once the waiter
// holds a permit.
func (g *serverGate) await(ctx context.Context, now func() time.Time, w *waiter, decision <-chan error, maxWait time.Duration) error {
	select {
	case err := <-decision:
		return err
	default:
	}
	timer := time.NewTimer(maxWait)
	defer timer.Stop()
	reason := error(context.DeadlineExceeded)
	select {
	case err := <-decision:
		return err
	case <-timer.C:
	case <-ctx.Done():
		reason = ctx.Err()
	}
	g.lock.Lock()
	removed := g.abandon(now(), w)
	g.lock.Unlock()
	if removed {
		return notSentError(reason, g.server)
	}
	return <-decision // decided before abandon; the caller uses or returns a granted permit
}

// notSentError returns the refusal of a request that was canceled or timed out before it
// was sent. Its message is part of the answer to the caller.
func notSentError(reason error, server string) error {
	if errors.Is(reason, context.Canceled) {
		return fault.Wrap(fault.QueueTimeout, reason, "server %s: the caller left the queue", server)
	}
	return fault.Wrap(fault.QueueTimeout, reason, "server %s: deadline passed in the queue", server)
}

// InFlight implements Gate.
func (gs *Gates) InFlight(server string) int {
	gs.lock.RLock()
	g := gs.gates[server]
	gs.lock.RUnlock()
	if g == nil {
		return 0
	}
	g.lock.Lock()
	defer g.lock.Unlock()
	return g.inFlight
}

// Load returns the load of a server, only for a comparison of two servers of one
// service: this VM's requests in flight and waiting plus one, times the mean latency in
// nanoseconds, times one plus the failures since the last success. A server that got no
// request from this VM has the lowest load.
func (gs *Gates) Load(server string) float64 {
	gs.lock.RLock()
	g := gs.gates[server]
	gs.lock.RUnlock()
	if g == nil {
		return 0
	}
	g.lock.Lock()
	defer g.lock.Unlock()
	return g.load()
}

// Forget drops the gate of a server that was removed from the configuration.
// Requests in flight or queued finish at the dropped gate.
func (gs *Gates) Forget(server string) {
	gs.lock.Lock()
	defer gs.lock.Unlock()
	delete(gs.gates, server)
}

func (gs *Gates) gateOf(server config.Server) *serverGate {
	gs.lock.RLock()
	g := gs.gates[server.ID]
	gs.lock.RUnlock()
	if g != nil {
		return g
	}
	gs.lock.Lock()
	defer gs.lock.Unlock()
	if g = gs.gates[server.ID]; g == nil {
		g = newGate(server.ID, gs.settings, server.Slots, gs.vms())
		g.scheduleWake = func(wait time.Duration) { time.AfterFunc(wait, func() { g.wake(gs.now) }) }
		gs.gates[server.ID] = g
	}
	return g
}

// wake dispatches waiters after a pause.
func (g *serverGate) wake(now func() time.Time) {
	g.lock.Lock()
	defer g.lock.Unlock()
	g.wakeAt = time.Time{}
	g.dispatch(now())
}

// permit implements Permit.
type permit struct {
	gate     *serverGate
	class    config.Class
	now      func() time.Time
	returned bool // protected by the gate's lock
}

// Done implements Permit. Further calls do nothing.
func (p *permit) Done(result Result, latency time.Duration) {
	p.gate.lock.Lock()
	defer p.gate.lock.Unlock()
	if p.returned {
		return
	}
	p.returned = true
	p.gate.release(p.now(), p.class, result, latency)
}
