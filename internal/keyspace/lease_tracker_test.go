package keyspace

import (
	"slices"
	"testing"
	"time"
)

var (
	holderA = Holder{Server: "a", Incarnation: 1}
	holderB = Holder{Server: "b", Incarnation: 1}
	allKeys = Span{0, 9}
)

func serving(Holder) ServerState { return Serving }

// ownedByA returns a tracker that granted all keys to A, which acknowledged them.
func ownedByA(t *testing.T) *LeaseTracker {
	t.Helper()
	l := NewLeaseTracker(walkTiming, Record{}, 0, 0, 0, 0)
	l.Committed(Record{Ranges: []Range{{Span: allKeys, Owner: holderA, Token: 1}}}, 1)
	l.Done(0, onlyOrder(t, l, 0), Result{Acknowledged: true})
	return l
}

func onlyOrder(t *testing.T, l *LeaseTracker, now time.Duration) Order {
	t.Helper()
	orders := l.Orders(now, serving)
	if len(orders) != 1 {
		t.Fatalf("at %v: got orders %+v, want exactly one", now, orders)
	}
	return orders[0]
}

// moveToB commits a move of all keys.
func moveToB(l *LeaseTracker) {
	l.Committed(Record{Ranges: []Range{{Span: allKeys, Owner: holderB, Token: 2, Pending: true, Former: []Former{{holderA, 1}}}}}, 2)
}

// writeProgress commits the result of applyProgress as the next version.
func writeProgress(l *LeaseTracker, now time.Duration) {
	next := l.record.clone()
	if !l.applyProgress(now, &next) {
		return
	}
	commit(l, next)
}

func commit(l *LeaseTracker, next Record) {
	next.raiseTokens()
	version := l.version + 1
	for i := range next.Ranges {
		if next.Ranges[i].Token == 0 {
			next.Ranges[i].Token = version
		}
	}
	l.Committed(next, version)
}

// grantsB reports whether B is granted keys at a time. No other order is answered.
func grantsB(l *LeaseTracker, now time.Duration) bool {
	for _, o := range l.Orders(now, serving) {
		l.Done(now, o, Result{})
	}
	writeProgress(l, now)
	for _, o := range l.Orders(now, serving) {
		if o.Kind == OrderGrant && o.To.Same(holderB) {
			return true
		}
		l.Done(now, o, Result{})
	}
	return false
}

// Guards against a new owner while the former one may still hold the keys. A renewal
// that timed out may still be in transit for as long as a link queues packets, and
// its lease begins when it arrives.
func TestKeysNotMovedWhileTimedOutGrantMayArrive(t *testing.T) {
	l := ownedByA(t)
	sent := walkTiming.RenewInterval
	order := onlyOrder(t, l, sent)
	timedOutAt := sent + callTimeout
	l.Done(timedOutAt, order, Result{})
	moveToB(l)
	latest := timedOutAt + linkQueueDelay + order.Lease + order.Lease/50
	if grantsB(l, latest-10*time.Millisecond) {
		t.Fatalf("keys granted to b before %v, while a may still hold them", latest)
	}
	if !grantsB(l, latest+200*time.Millisecond) {
		t.Fatal("keys not granted to b after the lease of a expired")
	}
}

func TestAcknowledgedReleaseFreesKeysAtOnce(t *testing.T) {
	l := ownedByA(t)
	moveToB(l)
	now := 10 * time.Millisecond
	release := onlyOrder(t, l, now)
	if release.Kind != OrderRelease || release.Token != 1 {
		t.Fatalf("got order %+v, want a release with token 1", release)
	}
	l.Done(now, release, Result{Acknowledged: true, Handover: "h"})
	if orders := l.Orders(now, serving); len(orders) != 0 {
		t.Fatalf("got orders %+v, want none before the record is written", orders)
	}
	writeProgress(l, now)
	if grant := onlyOrder(t, l, now); !grant.To.Same(holderB) || grant.Handover != "h" || grant.Token != 3 {
		t.Fatalf("got order %+v, want a grant to b with the handover and the token of the write", grant)
	}
}

// Guards against a long wait after a takeover during a move. The new coordinator
// returns the keys to their former holder and moves them again once that holder has
// seen a higher token than all old grants, so it need not wait until old grants
// cannot arrive any longer.
func TestSuccessorReturnsPendingKeysToFormerOwner(t *testing.T) {
	l := NewLeaseTracker(walkTiming, Record{Ranges: []Range{{Span: allKeys, Owner: holderB, Token: 4, Pending: true, Former: []Former{{holderA, 1}}}}},
		4, 4, time.Minute, walkTiming.LongLease)
	now := time.Minute
	next := l.record.clone()
	if !l.takeOverRanges(&next) {
		t.Fatal("tokens not raised after takeover")
	}
	commit(l, next)
	grant := onlyOrder(t, l, now)
	if !grant.To.Same(holderA) || grant.Kind != OrderGrant || grant.Token <= 4 {
		t.Fatalf("got order %+v, want a grant to a with a token above 4", grant)
	}
	if r := &l.record.Ranges[0]; l.acknowledged(r) {
		t.Fatal("acknowledged: got true, want false before a acknowledged")
	}
	l.Done(now, grant, Result{Acknowledged: true})
	r := l.record.Ranges[0]
	if !l.acknowledged(&r) {
		t.Fatal("acknowledged: got false, want true after a acknowledged")
	}
	commit(l, Record{Ranges: []Range{{Span: allKeys, Owner: holderB, Pending: true, Former: []Former{{holderA, r.Token}}}}})
	now += 10 * time.Millisecond
	l.Done(now, onlyOrder(t, l, now), Result{Acknowledged: true})
	if !grantsB(l, now) {
		t.Fatal("keys not granted to b at once after a released them")
	}
}

// Guards against leases that expire while the store does not answer: they are renewed
// at once and for longer.
func TestDegradedStoreLengthensLeases(t *testing.T) {
	l := ownedByA(t)
	if len(l.Orders(time.Millisecond, serving)) != 0 {
		t.Fatal("got a renewal before it was due")
	}
	l.SetLongLeases(true)
	if o := onlyOrder(t, l, time.Millisecond); o.Lease != walkTiming.LongLease {
		t.Fatalf("got lease %v, want %v", o.Lease, walkTiming.LongLease)
	}
}

// Guards against a server without a lease after it rejected a token: its keys get a
// higher one.
func TestRejectedTokenIsRaised(t *testing.T) {
	l := ownedByA(t)
	l.Done(walkTiming.RenewInterval, onlyOrder(t, l, walkTiming.RenewInterval), Result{Rejected: true})
	next := l.record.clone()
	if !l.applyProgress(walkTiming.RenewInterval, &next) || !next.Ranges[0].raiseToken || next.Ranges[0].Pending {
		t.Fatalf("got next range %+v, want a raised token and not pending", next.Ranges[0])
	}
}

// Guards against an unresponsive holder that never becomes eligible again: without
// grants it cannot show that it answers.
func TestUnresponsiveServerBecomesEligibleAgain(t *testing.T) {
	l := ownedByA(t)
	order := onlyOrder(t, l, walkTiming.RenewInterval)
	l.Done(2*time.Second, order, Result{Unsent: true})
	if l.unresponsiveFor(4*time.Second, holderA) == 0 {
		t.Fatal("unresponsiveFor: got 0 after an unanswered grant")
	}
	if s := l.unresponsiveFor(10*time.Second, holderA); s != 0 {
		t.Fatalf("unresponsiveFor: got %v, want 0 8 s after the last unanswered grant", s)
	}
}

// keepFirstHalf commits a move of the last five keys to B. A keeps the others under its token.
func keepFirstHalf(l *LeaseTracker) {
	l.Committed(Record{Ranges: []Range{
		{Span: Span{0, 4}, Owner: holderA, Token: 1},
		{Span: Span{5, 9}, Owner: holderB, Token: 2, Pending: true, Former: []Former{{holderA, 1}}},
	}}, 2)
}

// grantsOf returns the grants among orders.
func grantsOf(orders []Order) []Order {
	return slices.DeleteFunc(orders, func(o Order) bool { return o.Kind != OrderGrant })
}

// Guards against a new process of a server that gets the keys of the earlier one under the same
// token, after a part of its range was split off: what is known of the grants under the token
// holds for the rest.
func TestRestOfSplitRangeIsRenewedOnlyInItsSession(t *testing.T) {
	acknowledged := func() *LeaseTracker {
		l := NewLeaseTracker(walkTiming, Record{}, 0, 0, 0, 0)
		l.Committed(Record{Ranges: []Range{{Span: allKeys, Owner: holderA, Token: 1}}}, 1)
		l.Done(0, onlyOrder(t, l, 0), Result{Acknowledged: true, Session: 7})
		return l
	}
	renewal := walkTiming.RenewInterval
	t.Run("acknowledged before", func(t *testing.T) {
		l := acknowledged()
		keepFirstHalf(l)
		if grants := grantsOf(l.Orders(0, serving)); len(grants) != 0 {
			t.Errorf("got grants %+v right after the split, want none: the lease of the whole range holds", grants)
		}
		if grants := grantsOf(l.Orders(renewal, serving)); len(grants) != 1 || grants[0].Session != 7 {
			t.Errorf("got grants %+v, want one in session 7", grants)
		}
	})
	t.Run("acknowledged after", func(t *testing.T) {
		l := NewLeaseTracker(walkTiming, Record{}, 0, 0, 0, 0)
		l.Committed(Record{Ranges: []Range{{Span: allKeys, Owner: holderA, Token: 1}}}, 1)
		first := onlyOrder(t, l, 0)
		keepFirstHalf(l)
		l.Done(0, first, Result{Acknowledged: true, Session: 7})
		if grants := grantsOf(l.Orders(renewal, serving)); len(grants) != 1 || grants[0].Session != 7 {
			t.Errorf("got grants %+v, want one in session 7", grants)
		}
	})
	for name, split := range map[string]bool{"unanswered before": false, "unanswered after": true} {
		t.Run(name, func(t *testing.T) {
			l := acknowledged()
			order := onlyOrder(t, l, renewal)
			if split {
				keepFirstHalf(l)
			}
			l.Done(renewal, order, Result{})
			if !split {
				keepFirstHalf(l)
			}
			if grants := grantsOf(l.Orders(2*renewal, serving)); len(grants) != 0 {
				t.Errorf("got grants %+v, want none before the token is raised", grants)
			}
			writeProgress(l, 2*renewal)
			if grants := grantsOf(l.Orders(2*renewal, serving)); len(grants) != 1 || grants[0].Token != 3 {
				t.Errorf("got grants %+v, want one under the raised token", grants)
			}
		})
	}
	t.Run("rejected", func(t *testing.T) {
		l := acknowledged()
		order := onlyOrder(t, l, renewal)
		keepFirstHalf(l)
		l.Done(renewal, order, Result{Rejected: true})
		writeProgress(l, renewal)
		if token := l.record.Ranges[0].Token; token != 3 {
			t.Errorf("got token %d, want a raised one", token)
		}
	})
}
