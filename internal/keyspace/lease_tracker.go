package keyspace

import (
	"math"
	"slices"
	"strconv"
	"time"
)

// Timing holds the durations of key leases.
type Timing struct {
	// Lease is the duration of a granted lease. The server counts it from the
	// arrival of the call.
	Lease time.Duration
	// LongLease is the lease duration while long leases are allowed: the store does
	// not answer, and there may be no coordinator that can renew grants for a while.
	LongLease time.Duration
	// RenewInterval is the interval between renewals.
	RenewInterval time.Duration
	// ReleaseRetryInterval is the interval between retries of a release that was not
	// acknowledged.
	ReleaseRetryInterval time.Duration
	// TokenRaiseDelay is how long uncertain ranges are collected before one write
	// raises their tokens. A range is uncertain once a grant was left unanswered: the
	// next one may reach a newer process of the server.
	TokenRaiseDelay time.Duration
	// UnresponsiveTimeout is how long a server may leave grants unanswered before
	// its keys move.
	UnresponsiveTimeout time.Duration
	// CallTimeout is the timeout of a grant. Its connection is reset then, so that
	// the grant cannot arrive more than LinkQueueDelay later.
	CallTimeout time.Duration
	// DriftPerMill is how much slower a server's clock may run, in thousandths.
	DriftPerMill int64
	// Slack is a safety margin that is added to the computed end of each lease.
	Slack time.Duration
	// LinkQueueDelay is how long the bytes of a call that timed out may still be in
	// transit: the reset of its connection is queued behind them.
	LinkQueueDelay time.Duration
}

// maxLeaseAfterCall returns how long a server may hold keys, counted from when this VM
// saw the end of the call that granted them.
func (t Timing) maxLeaseAfterCall(lease time.Duration) time.Duration {
	return withDrift(lease, t.DriftPerMill) + t.Slack
}

// ServerState is the known state of a holder.
type ServerState int

const (
	// Serving is a holder that may own keys.
	Serving ServerState = iota
	// Draining is a holder that drains: its keys move once it releases them.
	Draining
	// Unregistered is a holder whose registration is gone. Its process may still
	// run.
	Unregistered
	// Terminated is a holder whose process is known to have terminated.
	Terminated
)

// OrderKind is the kind of an order.
type OrderKind int

const (
	// OrderGrant grants keys or renews their lease.
	OrderGrant OrderKind = iota
	// OrderRelease asks the server to release keys.
	OrderRelease
)

// String implements fmt.Stringer.
func (k OrderKind) String() string {
	if k == OrderRelease {
		return "release"
	}
	return "grant"
}

// Order is a control call to a server, requested by the LeaseTracker.
type Order struct {
	Kind     OrderKind
	To       Holder
	Span     Span
	Token    uint64
	Lease    time.Duration // with a grant
	Handover string        // with a grant: handover data from the former holder
	// Session restricts a renewal to the connections to the process that
	// acknowledged the token. Any other connection may reach a newer process of the
	// server, which must not take the keys under the same token. 0: any connection.
	Session uint64
}

// Result is the result of an order.
type Result struct {
	Acknowledged bool
	// Rejected reports that the server has seen a higher fencing token.
	Rejected bool
	// Unsent reports that the order cannot take effect: no byte was sent, or another
	// server answered at the address.
	Unsent   bool
	Handover string // with a release
	// Session identifies the connections to the process that acknowledged a grant.
	Session uint64
}

// holderState is the state of one holder's leases.
type holderState struct {
	// leaseEnd is the latest time at which any lease of this holder may expire.
	leaseEnd time.Duration
	// unansweredGrants are grants that were not answered. The server may still
	// execute one after it acknowledged a release, unless it has seen a higher
	// token.
	unansweredGrants  []unansweredGrant
	inFlight          []Order
	unresponsiveSince time.Duration // first unanswered grant since the last answer; 0: none
	lastUnansweredAt  time.Duration // last unanswered grant
}

// unansweredGrant is a grant that was not answered and that the server may still
// execute.
type unansweredGrant struct {
	span     Span
	token    uint64        // highest possible token if it stands for all grants of the previous coordinator
	leaseEnd time.Duration // latest expiry of its lease
}

// unansweredLeaseEnd returns the latest expiry of a lease from an unanswered grant
// that overlaps a span, for a server that rejects tokens below seenToken.
func (h *holderState) unansweredLeaseEnd(span Span, seenToken uint64) time.Duration {
	latest := time.Duration(0)
	for _, g := range h.unansweredGrants {
		if g.token >= seenToken && g.span.Overlaps(span) {
			latest = max(latest, g.leaseEnd)
		}
	}
	return latest
}

// rangeKey identifies a range under one fencing token.
type rangeKey struct {
	Span
	token uint64
}

// rangeState is the state of one range.
type rangeState struct {
	nextGrantAt  time.Duration // when the next grant is due
	cleared      bool          // of a pending range: no former holder can still hold its keys
	acknowledged bool          // the owner acknowledged its keys under the token
	session      uint64        // session in which the owner acknowledged
	rejected     bool          // the fencing token is too low
	// uncertainSince is when a grant under the token was first left unanswered. The
	// next one may reach a newer process of the owner, so none is sent until the
	// token is raised. 0: the token is certain.
	uncertainSince time.Duration
	handover       string
	// withoutHandover says that the keys moved, and that the former holder handed nothing over.
	withoutHandover bool
	nextReleaseAt   time.Duration
	former          map[string]*formerState // of a pending range, by holderKey
}

// rejectsBelow returns the token below which a former holder rejects grants. An
// incarnation that is not known to serve may have a successor that has seen no token
// yet.
func (f *formerState) rejectsBelow(state ServerState) uint64 {
	if state == Serving || state == Draining {
		return f.seenToken
	}
	return 0
}

// formerState is the state of a former holder's lease on a range.
type formerState struct {
	leaseEnd  time.Duration // latest expiry of any lease that it may have on the range
	released  bool          // the holder acknowledged a release
	seenToken uint64        // the holder rejects lower tokens on the keys of the range
}

// LeaseTracker tracks the leases of one service and decides which orders implement
// its owners record. It does no I/O; the caller's lock guards it.
//
// Invariant: a range stays pending until each former holder has terminated, has
// acknowledged a release with no older grant left unanswered, or cannot hold a lease
// any longer by this VM's clock. The owner is granted the keys only under a record in
// which the range is no longer pending. So a VM that takes over knows from the record
// that the owner of a pending range never had its keys, and can return them to the
// former holder.
type LeaseTracker struct {
	timing    Timing
	record    Record
	version   uint64
	startedAt time.Duration // when this VM started to coordinate
	// inheritedToken is the highest token that the previous coordinator may have
	// used. 0: there was no record, so no coordinator has granted keys.
	inheritedToken uint64
	// inheritedLease is the longest lease that the previous coordinator may have
	// granted.
	inheritedLease time.Duration
	tokensRaised   bool          // takeOverRanges has raised the tokens of all ranges
	lease          time.Duration // duration of the next grants
	holders        map[string]*holderState
	ranges         map[rangeKey]*rangeState
	slowTime       time.Duration // see setSlowTime
	slow           []slowSpan
	mergedSlow     []SlowSpan // computed from slow at mergedSlowAt; nil: to be computed
	mergedSlowAt   time.Duration
}

// NewLeaseTracker returns a tracker for a record under which another VM may have
// granted leases of up to inheritedLease until now. version is that of the record's row,
// inheritedToken the highest token that another VM may have used.
func NewLeaseTracker(timing Timing, record Record, version, inheritedToken uint64, now, inheritedLease time.Duration) *LeaseTracker {
	l := &LeaseTracker{timing: timing, startedAt: now, inheritedToken: inheritedToken, inheritedLease: inheritedLease, lease: timing.Lease, holders: map[string]*holderState{}, ranges: map[rangeKey]*rangeState{}}
	l.Committed(record, version)
	return l
}

// holderKey returns the map key of a holder: its server ID and incarnation.
func holderKey(h Holder) string { return h.Server + "\x00" + strconv.FormatInt(h.Incarnation, 10) }

// holder returns the state of a holder. A holder not seen before may have grants from
// the previous coordinator.
func (l *LeaseTracker) holder(h Holder) *holderState {
	key := holderKey(h)
	state := l.holders[key]
	if state == nil {
		state = &holderState{}
		if l.inheritedToken != 0 {
			// Calls of the previous coordinator may arrive until they time out.
			state.leaseEnd = l.startedAt + l.timing.CallTimeout + l.timing.LinkQueueDelay + l.timing.maxLeaseAfterCall(l.inheritedLease)
			state.unansweredGrants = []unansweredGrant{{span: Span{0, math.MaxUint32}, token: l.inheritedToken, leaseEnd: state.leaseEnd}}
		}
		l.holders[key] = state
	}
	return state
}

// SetLongLeases sets whether the next grants have long leases. When long leases
// become allowed, all leases are renewed at once.
func (l *LeaseTracker) SetLongLeases(allowed bool) {
	lease := l.timing.Lease
	if allowed {
		lease = l.timing.LongLease
	}
	if allowed && lease != l.lease {
		for _, state := range l.ranges {
			state.nextGrantAt = 0
		}
	}
	l.lease = lease
}

// Committed switches to a record that was written to the store.
func (l *LeaseTracker) Committed(record Record, version uint64) {
	pendingMoves := l.pendingMoves()
	ranges := make(map[rangeKey]*rangeState, len(record.Ranges))
	for i := range record.Ranges {
		r := &record.Ranges[i]
		key := rangeKey{r.Span, r.Token}
		state := l.ranges[key]
		if state == nil {
			state = l.stateOfPart(r)
			if before := l.record.rangeOf(r.From); before != nil && !before.Pending && before.Owner.Same(r.Owner) && before.Span == r.Span {
				// Only its token is raised, because the first grant was not answered.
				if known := l.ranges[rangeKey{before.Span, before.Token}]; known != nil && !known.acknowledged {
					state.handover, state.withoutHandover = known.handover, known.withoutHandover
				}
			}
			if before := pendingMoves[r.Span]; before.state != nil && before.owner.Same(r.Owner) {
				state.former, state.handover = before.state.former, before.state.handover
				state.withoutHandover = !r.Pending && state.handover == ""
			}
			for _, f := range r.Former {
				if formerKey := holderKey(f.Holder); state.former[formerKey] == nil {
					state.former[formerKey] = &formerState{leaseEnd: l.holder(f.Holder).leaseEnd, seenToken: l.seenTokenOf(f, r.Span)}
				}
			}
		}
		ranges[key] = state
	}
	l.record, l.version, l.ranges = record, version, ranges
}

// stateOfPart returns the state of a range that is new in its record: what is known of the
// grants under its token if it is the rest of a range that was split, otherwise nothing.
func (l *LeaseTracker) stateOfPart(r *Range) *rangeState {
	state := &rangeState{former: map[string]*formerState{}}
	whole := l.record.rangeOf(r.From)
	if r.Pending || whole == nil || whole.Pending || whole.To < r.To || whole.Token != r.Token || !whole.Owner.Same(r.Owner) {
		return state
	}
	if known := l.ranges[rangeKey{whole.Span, whole.Token}]; known != nil {
		*state = *known
		state.former = map[string]*formerState{}
	}
	return state
}

// pendingMove is a pending range whose move is in progress.
type pendingMove struct {
	owner Holder
	state *rangeState
}

// pendingMoves returns the moves in progress, by span: a move continues from its
// current state when only its token is raised.
func (l *LeaseTracker) pendingMoves() map[Span]pendingMove {
	moves := map[Span]pendingMove{}
	for i := range l.record.Ranges {
		if r := &l.record.Ranges[i]; r.Pending {
			moves[r.Span] = pendingMove{r.Owner, l.ranges[rangeKey{r.Span, r.Token}]}
		}
	}
	return moves
}

// seenTokenOf returns the token below which a former holder rejects grants on a span:
// its own token, once it acknowledged a grant under it.
func (l *LeaseTracker) seenTokenOf(f Former, span Span) uint64 {
	for key, state := range l.ranges {
		if key.token == f.Token && state.acknowledged && key.From <= span.From && key.To >= span.To {
			return f.Token
		}
	}
	return 0
}

// Orders returns the calls that are due and records them as in flight.
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

// mayGrant reports whether a range's token was assigned by this coordinator. A lease
// may be renewed under the same token only on a connection to the process that
// acknowledged it (Order.Session). After a takeover this VM has no such connection,
// so it grants nothing before its first write, which raises all tokens.
func (l *LeaseTracker) mayGrant(r *Range) bool {
	return l.inheritedToken == 0 || r.Token > l.inheritedToken
}

// releaseFormers returns the releases that are due for a pending range, and whether
// no former holder can hold its keys any longer.
func (l *LeaseTracker) releaseFormers(now time.Duration, r *Range, state *rangeState, stateOf func(Holder) ServerState) ([]Order, bool) {
	var orders []Order
	allCleared := true
	for _, f := range r.Former {
		former := state.former[holderKey(f.Holder)]
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
		// A release that waits for running requests looks like a lost one, so it is
		// retried without waiting for the first to return.
		state.nextReleaseAt = now + l.timing.ReleaseRetryInterval
		orders = append(orders, Order{Kind: OrderRelease, To: f.Holder, Span: r.Span, Token: f.Token})
	}
	return orders, allCleared
}

// grantInFlight reports whether a grant to a holder is in flight. Grants to one
// holder are sent one batch after another, because a batch occupies its connections.
func (l *LeaseTracker) grantInFlight(h Holder) bool {
	return slices.ContainsFunc(l.holder(h).inFlight, func(o Order) bool { return o.Kind == OrderGrant })
}

// orderInFlight reports whether an order of a kind is in flight for some keys of a
// span.
func (l *LeaseTracker) orderInFlight(h Holder, kind OrderKind, span Span) bool {
	return slices.ContainsFunc(l.holder(h).inFlight, func(o Order) bool { return o.Kind == kind && o.Span.Overlaps(span) })
}

// unresponsiveResetFactor limits how long a holder counts as unresponsive: until its
// last unanswered grant is more than unresponsiveResetFactor * UnresponsiveTimeout
// ago. Without keys, it gets no grants that it could answer.
const unresponsiveResetFactor = 3

// unresponsiveFor returns how long a holder has left grants unanswered.
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

// takeOverRanges prepares a copy of the record for this coordinator, once after a
// takeover: it returns the keys of pending ranges to their former holders and raises
// the tokens of all ranges. Servers that have seen the new tokens reject the grants
// of the previous coordinator, and no newer process of a server takes keys under a
// token that the previous coordinator granted to an earlier one.
func (l *LeaseTracker) takeOverRanges(next *Record) bool {
	if l.tokensRaised || l.inheritedToken == 0 {
		return false
	}
	l.tokensRaised = true
	for i := range next.Ranges {
		r := &next.Ranges[i]
		if r.Pending && len(r.Former) == 1 {
			// The owner never had the keys. Moving on to it would require waiting
			// for the former holder until grants of the previous coordinator
			// cannot arrive any longer.
			r.Owner, r.Pending, r.Former = r.Former[0].Holder, false, nil
		}
		r.raiseToken = true
	}
	return true
}

// acknowledged reports whether a range's owner acknowledged its keys under the
// current token. Until then it is not known that a release would take effect after
// all older grants.
func (l *LeaseTracker) acknowledged(r *Range) bool {
	state := l.ranges[rangeKey{r.Span, r.Token}]
	return state != nil && state.acknowledged
}

// applyProgress updates a copy of the record: ranges that no former holder can hold
// any longer stop being pending, and ranges whose token was rejected or is uncertain
// get a higher one.
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
