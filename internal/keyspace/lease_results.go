package keyspace

import (
	"slices"
	"time"
)

// Done processes the result of an order.
func (l *LeaseTracker) Done(now time.Duration, order Order, result Result) {
	holder := l.holder(order.To)
	for i, call := range holder.inFlight {
		if call == order {
			holder.inFlight = slices.Delete(holder.inFlight, i, i+1)
			break
		}
	}
	if order.Kind == OrderRelease {
		l.handleReleaseResult(order, result)
		return
	}
	l.handleGrantResult(now, holder, order, result)
}

func (l *LeaseTracker) handleReleaseResult(order Order, result Result) {
	if !result.Acknowledged {
		return
	}
	for i := range l.record.Ranges {
		r := &l.record.Ranges[i]
		if r.Pending && r.Span == order.Span && r.releasedBy(order) {
			state := l.ranges[rangeKey{r.Span, r.Token}]
			state.former[holderKey(order.To)].released = true
			state.handover = result.Handover
		}
	}
}

func (l *LeaseTracker) handleGrantResult(now time.Duration, holder *holderState, order Order, result Result) {
	answered := result.Acknowledged || result.Rejected
	if !result.Unsent && !result.Rejected {
		leaseEnd := now + l.timing.maxLeaseAfterCall(order.Lease)
		if !answered {
			leaseEnd += l.timing.LinkQueueDelay
		}
		holder.leaseEnd = max(holder.leaseEnd, leaseEnd)
		holder.unansweredGrants = slices.DeleteFunc(holder.unansweredGrants, func(g unansweredGrant) bool { return g.leaseEnd <= now })
		if !answered {
			holder.unansweredGrants = append(holder.unansweredGrants, unansweredGrant{order.Span, order.Token, leaseEnd})
		}
		l.extendFormerLeases(order, leaseEnd)
	}
	if answered {
		holder.unresponsiveSince = 0
	} else {
		if holder.unresponsiveSince == 0 {
			holder.unresponsiveSince = now
		}
		holder.lastUnansweredAt = now
	}
	if state := l.ranges[rangeKey{order.Span, order.Token}]; state != nil {
		l.updateRange(now, order.Span, state, result)
		return
	}
	// The range was moved or split since the order. The result holds for the rest of it.
	for key, state := range l.ranges {
		if key.token == order.Token && key.From >= order.Span.From && key.To <= order.Span.To {
			l.updateRange(now, key.Span, state, result)
		}
	}
}

// updateRange updates the state of a range with a span by the result of a grant of its keys under its token.
func (l *LeaseTracker) updateRange(now time.Duration, span Span, state *rangeState, result Result) {
	switch {
	case result.Acknowledged:
		if state.withoutHandover {
			state.withoutHandover = false
			l.recordSlow(now, span)
		}
		state.acknowledged, state.session = true, result.Session
		state.nextGrantAt = now + l.timing.RenewInterval
	case result.Rejected:
		state.rejected = true
	case state.uncertainSince == 0:
		// The next call uses a new connection, which may reach a newer process of
		// the server under its ID. That process must not take the keys under this
		// token.
		state.uncertainSince = now
	}
}

// extendFormerLeases records a lease that a holder may have received on keys that are
// being moved away from it.
func (l *LeaseTracker) extendFormerLeases(order Order, leaseEnd time.Duration) {
	key := holderKey(order.To)
	for i := range l.record.Ranges {
		r := &l.record.Ranges[i]
		if !r.Pending || !r.Overlaps(order.Span) {
			continue
		}
		state := l.ranges[rangeKey{r.Span, r.Token}]
		if former := state.former[key]; former != nil {
			former.leaseEnd = max(former.leaseEnd, leaseEnd)
		}
	}
}
