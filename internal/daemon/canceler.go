package daemon

import (
	"context"
	"time"

	"kumquatcleat/internal/backend"
	"kumquatcleat/internal/ring"
)

const (
	cancelRing    = 1024
	cancelWorkers = 8 // a frozen server holds one worker for cancelTimeout
	cancelTimeout = 200 * time.Millisecond
)

// canceler tells servers that nobody waits for a request any more. A lost cancel
// costs the server some work and changes no answer: the caller was already told
// that the outcome is unknown.
type canceler struct {
	clients *backend.ControlClients
	orders  *ring.Ring[cancelOrder]
}

type cancelOrder struct {
	address   string
	requestID string
}

func newCanceler(clients *backend.ControlClients) *canceler {
	return &canceler{clients: clients, orders: ring.New[cancelOrder](cancelRing)}
}

// Cancel implements routing.Canceler.
func (c *canceler) Cancel(address, requestID string) {
	c.orders.Offer(cancelOrder{address: address, requestID: requestID})
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
		case order := <-c.orders.Items():
			callCtx, cancel := context.WithTimeout(ctx, cancelTimeout)
			_ = c.clients.For(order.address).Cancel(callCtx, order.requestID)
			cancel()
		}
	}
}
