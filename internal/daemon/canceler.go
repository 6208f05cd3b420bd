package daemon

import (
	"context"
	"time"

	"kumquatcleat/internal/backend"
	"kumquatcleat/internal/ring"
)

const (
	cancelQueueSize = 1024
	cancelWorkers   = 8 // an unresponsive server blocks one worker for cancelTimeout
	cancelTimeout   = 200 * time.Millisecond
)

// canceler notifies servers of requests that no caller waits for any longer. A lost
// notification costs the server some work and changes no answer: the caller has
// already received the outcome "unknown".
type canceler struct {
	clients *backend.ControlClients
	queue   *ring.Ring[cancelRequest]
}

type cancelRequest struct {
	address   string
	requestID string
}

func newCanceler(clients *backend.ControlClients) *canceler {
	return &canceler{clients: clients, queue: ring.New[cancelRequest](cancelQueueSize)}
}

// Cancel implements routing.Canceler.
func (c *canceler) Cancel(address, requestID string) {
	c.queue.Offer(cancelRequest{address: address, requestID: requestID})
}

func (c *canceler) run(ctx context.Context) {
	for range cancelWorkers {
		go c.work(ctx)
	}
	<-ctx.Done()
}

func (c *canceler) work(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case request := <-c.queue.Items():
			callCtx, cancel := context.WithTimeout(ctx, cancelTimeout)
			_ = c.clients.For(request.address).Cancel(callCtx, request.requestID)
			cancel()
		}
	}
}
