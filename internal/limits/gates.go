package limits

import (
	"context"
	"errors"
	"sync"
	"time"

	"kumquatcleat/internal/config"
	"kumquatcleat/internal/fault"
)

// Gates implements Gate with one gate a server. It is safe for concurrent use.
type Gates struct {
	settings Settings
	vms      func() int
	now      func() time.Time

	lock  sync.RWMutex // owns the map, not the gates in it
	gates map[string]*gate
}

// New returns gates without servers; a server's gate is made at its first
// request. vms returns how many VMs feed the same servers, now returns the time.
func New(s Settings, vms func() int, now func() time.Time) *Gates {
	return &Gates{settings: s, vms: vms, now: now, gates: make(map[string]*gate)}
}

// Acquire implements Gate. A waiting caller uses its own goroutine only.
func (gs *Gates) Acquire(ctx context.Context, server config.Server, class config.Class) (Permit, error) {
	if err := ctx.Err(); err != nil {
		return nil, endedBefore(err, server.ID)
	}
	g := gs.gateOf(server)
	decision := make(chan error, 1)
	w := &waiter{class: class, decided: func(err error) { decision <- err }}
	w.deadline, _ = ctx.Deadline()

	g.lock.Lock()
	now := gs.now()
	g.resize(now, server.Slots, gs.vms())
	g.arrive(now, w)
	longest := w.deadline.Sub(now)
	g.lock.Unlock()

	err := g.await(ctx, gs.now, w, decision, longest)
	if err != nil {
		return nil, err
	}
	return &permit{gate: g, class: class, now: gs.now}, nil
}

// await returns nil once the waiter holds a permit.
func (g *gate) await(ctx context.Context, now func() time.Time, w *waiter, decision <-chan error, longest time.Duration) error {
	select {
	case err := <-decision:
		return err
	default:
	}
	timer := time.NewTimer(longest)
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
	left := g.abandon(now(), w)
	g.lock.Unlock()
	if left {
		return endedBefore(reason, g.server)
	}
	return <-decision // decided in between; a permit given is used or returned by the caller
}

// endedBefore is the refusal of a request that ended before it was sent.
func endedBefore(reason error, server string) error {
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

// Load returns how loaded a server is, for the choice of the less loaded of two:
// the requests of this VM at it times their mean latency, raised by each failure
// since the last success. It compares servers of one service and has no unit. A
// server without requests so far has the least load.
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

// Forget drops a server's gate, for a server that left the configuration.
// Requests that are out or waiting finish at the gate that was dropped.
func (gs *Gates) Forget(server string) {
	gs.lock.Lock()
	defer gs.lock.Unlock()
	delete(gs.gates, server)
}

func (gs *Gates) gateOf(server config.Server) *gate {
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
		g.wakeIn = func(wait time.Duration) { time.AfterFunc(wait, func() { g.wake(gs.now) }) }
		gs.gates[server.ID] = g
	}
	return g
}

// wake lets the waiters go on after a pause.
func (g *gate) wake(now func() time.Time) {
	g.lock.Lock()
	defer g.lock.Unlock()
	g.armedFor = time.Time{}
	g.dispatch(now())
}

// permit implements Permit.
type permit struct {
	gate     *gate
	class    config.Class
	now      func() time.Time
	returned bool // owned by the gate's lock
}

// Done implements Permit. A second call does nothing.
func (p *permit) Done(result Result, latency time.Duration) {
	p.gate.lock.Lock()
	defer p.gate.lock.Unlock()
	if p.returned {
		return
	}
	p.returned = true
	p.gate.release(p.now(), p.class, result, latency)
}
