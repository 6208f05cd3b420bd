package keyspace

import "time"

// Lease is what the coordinator knows of the lease on a key.
type Lease struct {
	Acknowledged bool          // the owner acknowledged the key under its token
	Left         time.Duration // until the last lease of the owner ends, unless it is renewed
	Unresponsive time.Duration // for how long the owner has left grants unanswered
	// Former is the server that may still hold the key while it moves, empty if there is none.
	Former     string
	FormerLeft time.Duration // until its last lease ends
	Released   bool          // it acknowledged a release
}

// PeekLease returns what is known of the lease on a key, and false if this VM does not coordinate.
func (c *Coordinator) PeekLease(service string, key uint32) (Lease, bool) {
	if !c.lease.Held() {
		return Lease{}, false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	svc := c.serviceStates[service]
	if svc == nil {
		return Lease{}, false
	}
	return svc.leases.peek(c.clock(), key)
}

func (l *LeaseTracker) peek(now time.Duration, key uint32) (Lease, bool) {
	r := l.record.rangeOf(key)
	if r == nil {
		return Lease{}, false
	}
	lease := Lease{Acknowledged: l.acknowledged(r)}
	if holder := l.holders[holderKey(r.Owner)]; holder != nil {
		lease.Left = max(holder.leaseEnd-now, 0)
		if holder.unresponsiveSince != 0 {
			lease.Unresponsive = now - holder.unresponsiveSince
		}
	}
	state := l.ranges[rangeKey{r.Span, r.Token}]
	for _, f := range r.Former {
		lease.Former = f.Server
		if state == nil {
			continue
		}
		if former := state.former[holderKey(f.Holder)]; former != nil {
			lease.FormerLeft, lease.Released = max(former.leaseEnd-now, 0), former.released
		}
	}
	return lease, true
}
