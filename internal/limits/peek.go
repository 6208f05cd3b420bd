package limits

import (
	"time"

	"kumquatcleat/internal/config"
	"kumquatcleat/internal/fault"
)

// Status is the state of one VM's gate before a server.
type Status struct {
	InFlight int
	Waiting  int           // requests in the queues
	Limit    float64       // of requests in flight; 0: this VM has sent none yet
	Wait     time.Duration // expected wait of a new request, 0 if it may start
	Refusal  *fault.Error  // of a new request, nil if it may start or wait
}

// Peek returns the state of the gate before a server, as a new request of a class would meet it that
// waits for timeout at most. It neither creates a gate nor counts a request.
func (gs *Gates) Peek(server string, class config.Class, timeout time.Duration) Status {
	gs.lock.RLock()
	g := gs.gates[server]
	gs.lock.RUnlock()
	if g == nil {
		return Status{}
	}
	g.lock.Lock()
	defer g.lock.Unlock()
	now := gs.now()
	status := Status{InFlight: g.inFlight, Waiting: g.waiting(), Limit: g.limiter.limit()}
	if g.mayStart(now, class) && g.waitersAhead(class) == 0 {
		return status
	}
	status.Wait = g.expectedWait(class)
	q := g.queueOf(class)
	switch {
	case q.Len() >= g.settings.queueLength(class):
		status.Refusal = fault.New(fault.Overloaded, "server %s: %d %s requests wait already", server, q.Len(), class)
	case status.Wait > min(timeout, g.maxWait(now, class)):
		status.Refusal = fault.New(fault.QueueTimeout, "server %s: expected wait of %v is past the deadline", server, status.Wait)
	}
	return status
}
