package keyspace

import (
	"math"
	"slices"
	"strconv"
	"time"
)

// Timing holds the durations of leases on keys.
type Timing struct {
	// Lease is the lease of a grant, counted by the server from the arrival of the call.
	Lease time.Duration
	// LongLease is the lease while the store does not answer: no coordinator may be
	// able to renew grants for a while.
	LongLease time.Duration
	// RenewInterval is the interval of renewals.
	RenewInterval time.Duration
	// ReleaseRetryInterval is the interval of releases that were not acknowledged yet.
	ReleaseRetryInterval time.Duration
	// TokenRaiseDelay is how long ranges in doubt are gathered before their tokens are raised.
	TokenRaiseDelay time.Duration
	// UnresponsiveTimeout is how long a server may leave grants unanswered before its keys move.
	UnresponsiveTimeout time.Duration
	// CallTimeout is when a grant without an answer is given up and its connection
	// reset, so that it can't arrive later.
	CallTimeout time.Duration
	// DriftPerMill is how much slower a server's clock may run, in thousandths.
	DriftPerMill int64
	// Slack covers the time between a call's arrival and the end of the call here.
	Slack time.Duration
	// LinkQueueDelay is how long the bytes of a call that was given up may still be on
	// their way: the reset of its connection waits behind them.
	LinkQueueDelay time.Duration
}

// latest is how long a server may hold keys after a call with a hold ended here.
func (t Timing) maxLeaseAfterCall(lease time.Duration) time.Duration {
	return withDrift(lease, t.DriftPerMill) + t.Slack
}

// ServerState is what is known of a holder.
type ServerState int

const (
	// Serving is a holder that may own keys.
	Serving ServerState = iota
	// Draining is a holder that drains: its keys move with its consent.
	Draining
	// Unregistered is a holder whose entry is gone: it may still run.
	Unregistered
	// Terminated is a holder that certainly runs no more.
	Terminated
)

// OrderKind tells orders apart.
type OrderKind int

const (
	// OrderGrant gives or renews keys.
	OrderGrant OrderKind = iota
	// OrderRelease takes keys back.
	OrderRelease
)

// String implements fmt.Stringer.
func (k OrderKind) String() string {
	if k == OrderRelease {
		return "release"
	}
	return "grant"
}

// Order is a call to a server that the ledger wants made.
type Order struct {
	Kind     OrderKind
	To       Holder
	Span     Span
	Token    uint64
	Lease    time.Duration // with a grant
	Handover string        // with a grant: from the former holder
	// Session names the only connections that a renewal may use, those that reach the
	// process which acknowledged the token: another may reach a newer start of the
	// server, which must not take the keys under the same token. 0: any.
	Session uint64
}

// Result is how an order ended.
type Result struct {
	Acknowledged bool
	// Rejected says that the server has seen a higher fencing token.
	Rejected bool
	// Unsent says that no byte left, so that the order can't take effect.
	Unsent   bool
	Handover string // with a release
	// Session names the connections to the process that acknowledged a grant.
	Session uint64
}

// holderState is what the ledger knows of one holder's leases.
type holderState struct {
	// until is the latest end of any lease that this holder may have.
	heldUntil time.Duration
	// open are grants that were not answered: such a call may be carried out after
	// a release that was acknowledged, unless the server has seen a higher token.
	unansweredGrants  []unansweredGrant
	inFlight          []Order       // in flight
	unresponsiveSince time.Duration // first unanswered grant since the last answer; 0: none
	lastUnansweredAt  time.Duration // last unanswered grant
}

// openGrant is a grant that a server may still carry out.
type unansweredGrant struct {
	span      Span
	token     uint64        // or lower, where it stands for those of the last coordinator
	heldUntil time.Duration // latest end of its lease
}

// openUntil returns the latest end of a lease by an open grant of some of a
// span's keys, for a server that refuses tokens below seen.
func (h *holderState) unansweredLeaseEnd(span Span, seenToken uint64) time.Duration {
	latest := time.Duration(0)
	for _, g := range h.unansweredGrants {
		if g.token >= seenToken && g.span.Overlaps(span) {
			latest = max(latest, g.heldUntil)
		}
	}
	return latest
}

// rangeKey names a range under one decision.
type rangeKey struct {
	Span
	token uint64
}

// rangeState is what the ledger knows of one range.
type rangeState struct {
	nextGrantAt    time.Duration // when the next grant is due
	cleared        bool          // of a pending range: no former holder can hold its keys
	granted        bool          // the owner acknowledged its keys under the token
	session        uint64        // in which it did
	rejected       bool          // the fencing token is too low
	uncertainSince time.Duration // since when another start of the owner may answer; 0: not
	handover       string
	nextReleaseAt  time.Duration
	former         map[string]*formerState // of a pending range, by holderName
}

// refuses returns the token below which a former holder refuses grants. A start
// that is not known to serve still may have a successor that has seen nothing.
func (f *formerState) rejectsBelow(state ServerState) uint64 {
	if state == Serving || state == Draining {
		return f.seenToken
	}
	return 0
}

// formerState is what the ledger knows of a former holder's lease on a range.
type formerState struct {
	leaseEnd  time.Duration // latest end of any lease
	released  bool          // it acknowledged a release
	seenToken uint64        // it refuses tokens below this on the range's keys
}

// Ledger decides which orders keep a record true. It does no I/O; the caller's
// lock guards it.
//
// Invariant: a range stays pending until each former holder ended, acknowledged a
// release with no older grant open, or can't hold a lease any more by this VM's
// clock. Its owner is granted the keys only under a record in which the range is
// not pending any more. So whoever takes over knows from the record that the owner
// of a pending range never had its keys, and can give them back to the former one.
type LeaseTracker struct {
	timing    Timing
	record    Record
	version   uint64
	startedAt time.Duration // when this VM began to coordinate
	// inherited is the highest token that the last coordinator may have used.
	inheritedToken uint64
	// inheritedHold is the longest lease that the last coordinator may have given.
	inheritedLease time.Duration
	tokensRaised   bool          // all ranges got tokens above inherited
	lease          time.Duration // of the next grants
	holders        map[string]*holderState
	ranges         map[rangeKey]*rangeState
}

// NewLedger begins with a record that another VM may have acted upon until now,
// with leases of up to inheritedHold.
func NewLeaseTracker(timing Timing, record Record, version uint64, now, inheritedLease time.Duration) *LeaseTracker {
	l := &LeaseTracker{timing: timing, startedAt: now, inheritedToken: version, inheritedLease: inheritedLease, lease: timing.Lease, holders: map[string]*holderState{}, ranges: map[rangeKey]*rangeState{}}
	l.Committed(record, version)
	return l
}

func holderName(h Holder) string { return h.Server + "\x00" + strconv.FormatInt(h.Incarnation, 10) }

// holder returns the state of a holder. One that is not known yet may have had
// grants from the last coordinator.
func (l *LeaseTracker) holder(h Holder) *holderState {
	name := holderName(h)
	state := l.holders[name]
	if state == nil {
		state = &holderState{}
		if l.inheritedToken != 0 {
			// The last coordinator's calls may arrive until they are given up.
			state.heldUntil = l.startedAt + l.timing.CallTimeout + l.timing.LinkQueueDelay + l.timing.maxLeaseAfterCall(l.inheritedLease)
			state.unansweredGrants = []unansweredGrant{{span: Span{0, math.MaxUint32}, token: l.inheritedToken, heldUntil: state.heldUntil}}
		}
		l.holders[name] = state
	}
	return state
}

// Strain lengthens the leases while the store does not answer, beginning with a
// renewal of all of them.
func (l *LeaseTracker) SetStoreDegraded(degraded bool) {
	lease := l.timing.Lease
	if degraded {
		lease = l.timing.LongLease
	}
	if degraded && lease != l.lease {
		for _, state := range l.ranges {
			state.nextGrantAt = 0
		}
	}
	l.lease = lease
}

// Committed takes in a record that was written.
func (l *LeaseTracker) Committed(record Record, version uint64) {
	pendingMoves := l.pendingMoves()
	l.version = version
	l.record = record
	ranges := make(map[rangeKey]*rangeState, len(record.Ranges))
	for i := range record.Ranges {
		r := &record.Ranges[i]
		key := rangeKey{r.Span, r.Token}
		state := l.ranges[key]
		if state == nil {
			state = &rangeState{former: map[string]*formerState{}}
			if before := pendingMoves[r.Span]; before.state != nil && before.owner.Same(r.Owner) {
				state.former, state.handover = before.state.former, before.state.handover
			}
			for _, f := range r.Former {
				if name := holderName(f.Holder); state.former[name] == nil {
					state.former[name] = &formerState{leaseEnd: l.holder(f.Holder).heldUntil, seenToken: l.seenTokenOf(f, r.Span)}
				}
			}
		}
		ranges[key] = state
	}
	l.ranges = ranges
}

// move is a pending range under way.
type pendingMove struct {
	owner Holder
	state *rangeState
}

// moving returns the pending ranges: one whose token is raised goes on where it is.
func (l *LeaseTracker) pendingMoves() map[Span]pendingMove {
	moves := map[Span]pendingMove{}
	for i := range l.record.Ranges {
		if r := &l.record.Ranges[i]; r.Pending {
			moves[r.Span] = pendingMove{r.Owner, l.ranges[rangeKey{r.Span, r.Token}]}
		}
	}
	return moves
}

// seenBy returns the token below which a holder refuses grants on a span: its
// own, once it acknowledged a grant under it.
func (l *LeaseTracker) seenTokenOf(f Former, span Span) uint64 {
	for key, state := range l.ranges {
		if key.token == f.Token && state.granted && key.From <= span.From && key.To >= span.To {
			return f.Token
		}
	}
	return 0
}

// Orders returns the calls to make now and notes them as in flight.
func (l *LeaseTracker) Orders(now time.Duration, stateOf func(Holder) ServerState) []Order {
	var orders []Order
	for i := range l.record.Ranges {
		r := &l.record.Ranges[i]
		state := l.ranges[rangeKey{r.Span, r.Token}]
		if r.Pending {
			if !state.cleared {
				var releases []Order
				releases, state.cleared = l.releaseFormers(now, r, state, stateOf)
				orders = append(orders, releases...)
			}
			continue
		}
		ownerState := stateOf(r.Owner)
		if !l.mayGrant(r) || state.rejected || state.uncertainSince != 0 || now < state.nextGrantAt || ownerState == Terminated || l.grantInFlight(r.Owner) {
			continue
		}
		state.nextGrantAt = now + l.timing.RenewInterval
		orders = append(orders, Order{Kind: OrderGrant, To: r.Owner, Span: r.Span, Token: r.Token, Lease: l.lease, Handover: state.handover, Session: state.session})
	}
	for _, order := range orders {
		holder := l.holder(order.To)
		holder.inFlight = append(holder.inFlight, order)
	}
	return orders
}

// mayGrant reports whether a range's token is one of this coordinator's own. One
// that took over has no connection open since a grant of the last one, so it
// grants nothing before its first write.
func (l *LeaseTracker) mayGrant(r *Range) bool {
	return l.inheritedToken == 0 || r.Token > l.inheritedToken
}

// clear returns the releases that a pending range needs, and whether no former
// holder can hold its keys any more.
func (l *LeaseTracker) releaseFormers(now time.Duration, r *Range, state *rangeState, stateOf func(Holder) ServerState) ([]Order, bool) {
	var orders []Order
	allCleared := true
	for _, f := range r.Former {
		former := state.former[holderName(f.Holder)]
		switch {
		case stateOf(f.Holder) == Terminated:
			continue
		case now >= former.leaseEnd && !l.orderInFlight(f.Holder, OrderGrant, r.Span):
			continue
		case former.released && now >= l.holder(f.Holder).unansweredLeaseEnd(r.Span, former.rejectsBelow(stateOf(f.Holder))):
			continue
		}
		allCleared = false
		if former.released || now < state.nextReleaseAt || l.orderInFlight(f.Holder, OrderGrant, r.Span) {
			continue
		}
		// A release that waits for running work and one that is lost look alike, so
		// it is repeated without waiting for the first.
		state.nextReleaseAt = now + l.timing.ReleaseRetryInterval
		orders = append(orders, Order{Kind: OrderRelease, To: f.Holder, Span: r.Span, Token: f.Token})
	}
	return orders, allCleared
}

// granting reports whether a grant to a holder is under way. Those to one holder are
// made one batch after another, on connections that are in use meanwhile.
func (l *LeaseTracker) grantInFlight(h Holder) bool {
	return slices.ContainsFunc(l.holder(h).inFlight, func(o Order) bool { return o.Kind == OrderGrant })
}

// inFlight reports whether an order of a kind is under way for some of a span's keys.
func (l *LeaseTracker) orderInFlight(h Holder, kind OrderKind, span Span) bool {
	return slices.ContainsFunc(l.holder(h).inFlight, func(o Order) bool { return o.Kind == kind && o.Span.Overlaps(span) })
}

// Done takes in how an order ended.
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
			state.former[holderName(order.To)].released = true
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
		holder.heldUntil = max(holder.heldUntil, leaseEnd)
		holder.unansweredGrants = slices.DeleteFunc(holder.unansweredGrants, func(g unansweredGrant) bool { return g.heldUntil <= now })
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
	state := l.ranges[rangeKey{order.Span, order.Token}]
	if state == nil {
		return // the range was cut or moved meanwhile
	}
	switch {
	case result.Acknowledged:
		state.granted, state.session = true, result.Session
		state.nextGrantAt = now + l.timing.RenewInterval
	case result.Rejected:
		state.rejected = true
	case state.uncertainSince == 0:
		// The next call goes out on a new connection, which may reach a newer start of
		// the server under its id: that one must not take the keys under this token.
		state.uncertainSince = now
	}
}

// extendFormer notes a lease that a holder may have got on keys that are taken
// from it meanwhile.
func (l *LeaseTracker) extendFormerLeases(order Order, leaseEnd time.Duration) {
	name := holderName(order.To)
	for i := range l.record.Ranges {
		r := &l.record.Ranges[i]
		if !r.Pending || !r.Overlaps(order.Span) {
			continue
		}
		state := l.ranges[rangeKey{r.Span, r.Token}]
		if former := state.former[name]; former != nil {
			former.leaseEnd = max(former.leaseEnd, leaseEnd)
		}
	}
}

// forgiveness is the number of times the GiveUp time after which a silent holder
// that gets no grants any more may own keys again.
const unresponsiveResetFactor = 3

// silentFor returns how long a holder has left grants unanswered.
func (l *LeaseTracker) unresponsiveFor(now time.Duration, h Holder) time.Duration {
	holder := l.holder(h)
	if holder.unresponsiveSince != 0 && now-holder.lastUnansweredAt > unresponsiveResetFactor*l.timing.UnresponsiveTimeout {
		holder.unresponsiveSince = 0
	}
	if holder.unresponsiveSince == 0 {
		return 0
	}
	return now - holder.unresponsiveSince
}

// renewTokens raises the tokens of all ranges in a copy of the record, once after
// a coordinator took over: servers that have seen these refuse what the last
// coordinator sent, and no newer start of a server takes keys under a token that
// the last coordinator gave to an earlier one.
func (l *LeaseTracker) raiseInheritedTokens(next *Record) bool {
	if l.tokensRaised || l.inheritedToken == 0 {
		return false
	}
	l.tokensRaised = true
	for i := range next.Ranges {
		r := &next.Ranges[i]
		if r.Pending && len(r.Former) == 1 {
			// The owner never had the keys. The former holder would have to be waited
			// for until the last coordinator's grants can't arrive any more.
			r.Owner, r.Pending, r.Former = r.Former[0].Holder, false, nil
		}
		r.raiseToken = true
	}
	return true
}

// granted reports whether a range's owner acknowledged its keys under the present
// token. Until then a release of them could not be told from older grants.
func (l *LeaseTracker) granted(r *Range) bool {
	state := l.ranges[rangeKey{r.Span, r.Token}]
	return state != nil && state.granted
}

// settle marks in a copy of the record what has come about: keys that no former
// holder can hold any more, and fencing tokens that have to rise.
func (l *LeaseTracker) applyProgress(now time.Duration, next *Record) (changed bool) {
	for i := range next.Ranges {
		r := &next.Ranges[i]
		state := l.ranges[rangeKey{r.Span, r.Token}]
		switch {
		case state == nil:
		case r.Pending && state.cleared:
			r.Pending, r.Former, r.raiseToken, changed = false, nil, true, true
		case state.rejected:
			r.raiseToken, changed = true, true
		case state.uncertainSince != 0 && now-state.uncertainSince >= l.timing.TokenRaiseDelay:
			r.raiseToken, changed = true, true
		}
	}
	return changed
}
