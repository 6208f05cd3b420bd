package keyspace

import (
	"context"
	"log/slog"
)

// groupIntoBatches groups the grants to each server into one batch, whose calls are
// made one after another on one connection. Each release is a batch of its own,
// because it waits for running requests and must not hold up others.
func groupIntoBatches(orders []Order) [][]Order {
	var list [][]Order
	grants := map[string]int{}
	for _, order := range orders {
		key := holderKey(order.To)
		if i, ok := grants[key]; ok && order.Kind == OrderGrant {
			list[i] = append(list[i], order)
			continue
		}
		if order.Kind == OrderGrant {
			grants[key] = len(list)
		}
		list = append(list, []Order{order})
	}
	return list
}

// sendBatch makes the calls of a batch. After a call without an answer it does not
// send the rest: the server is unresponsive. It continues after an unsent renewal: the
// session may just have no connection left, which says nothing about the server.
func (c *Coordinator) sendBatch(ctx context.Context, svc *serviceState, batch []Order) {
	unresponsive := false
	for _, order := range batch {
		result := Result{Unsent: true}
		if !unresponsive {
			result = c.sendOrder(ctx, order)
		}
		renewalUnsent := result.Unsent && order.Session != 0
		unresponsive = unresponsive || !result.Acknowledged && !result.Rejected && !renewalUnsent
		c.orderDone(svc, order, result)
	}
}

func (c *Coordinator) sendOrder(ctx context.Context, order Order) Result {
	timeout := c.settings.Timing.CallTimeout
	if order.Kind == OrderRelease {
		timeout = c.settings.ReleaseTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if order.Kind == OrderRelease {
		return c.control.Release(ctx, order, c.lease.Held)
	}
	return c.control.Grant(ctx, order, c.lease.Held)
}

// orderDone processes the result of an order.
func (c *Coordinator) orderDone(svc *serviceState, order Order, result Result) {
	if !result.Acknowledged || order.Kind == OrderRelease {
		slog.Info("keyspace: order result", "service", svc.service, "kind", order.Kind.String(), "server", order.To.Server, "from", order.Span.From,
			"to", order.Span.To, "fence", order.Token, "acknowledged", result.Acknowledged, "rejected", result.Rejected, "unsent", result.Unsent)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	svc.leases.Done(c.clock(), order, result)
}
