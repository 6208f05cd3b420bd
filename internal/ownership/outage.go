package ownership

import "kumquatcleat/internal/backend"

// Outage mode, the keeper's side. While the table does not answer, the right to
// decide comes from the standby, in three steps:
//
//	ask(n)     -> promise(n)    the standby takes over for a short time not
//	confirm(n) -> confirmed(n)  taken only while that promise lives: the standby
//	                            does not take over for the outage lease, and may
//	                            hold over if the keeper falls silent
//
// The right is counted from the send of the confirm and begins with its
// acknowledgement. From the send of the confirm on, hold-over may be out,
// acknowledged or not: a standby that holds over renews leases that this keeper
// does not see. So until hold-over has surely ended, a move by lapse waits for
// the standby to have the move, and for one lease more, since it may have renewed
// just before. Hold-over ends when the standby acknowledges a return, or by time:
// the standby takes the confirm at the latest when its promise runs out, and that
// is at most Promise after the promise was received here.
//
// Numbers order everything: an answer counts only for the exchange under way, and
// a return cancels only what has a lower number.
//
// While a write that changes the standby is open, either VM may be the standby,
// so that neither can promise alone. The keeper then asks nobody: its right ends
// with the table's. That is stricter than asking both.
type outageLease struct {
	number    uint64  // highest number used
	phase     askStep // of the exchange under way
	current   uint64  // its number
	stepSince Instant // when its ask, or its first confirm, was sent
	nextSend  Instant

	freshSince Instant // since when the table has answered in time

	leaseEnd Instant // the standby gives the right to decide before this

	confirmed        uint64  // highest number of a confirm sent
	holdOverPossible bool    // a standby may hold over
	holdOverEnd      Instant // it has surely ended by then
	pastRenewalsEnd  Instant // leases renewed in a hold-over that has ended, end by then
	returned         uint64  // number of the last return
	moveAcks         map[backend.Token]Instant
	ackedSeq         uint64 // newest row that the standby has
	nextMoveSend     Instant
}

// askStep is a step of the exchange for an outage lease.
type askStep int

const (
	askIdle askStep = iota
	askSent
	confirmSent
)

// advanceOutage does what is due for outage mode.
func (r *Replica) advanceOutage() {
	o := &r.keeper.outage
	r.expireHoldOver()
	fresh := r.tableFresh()
	if !fresh {
		o.freshSince = r.now
	}
	if fresh && r.now >= o.freshSince+r.timing.TableSettled {
		r.returnOutageLease()
		return
	}
	if !fresh && r.canAsk() {
		r.advanceExchange(o)
	}
	if o.holdOverPossible {
		r.sendNewestRow()
	}
}

// tableFresh reports whether the table's right has more than half its time left.
func (r *Replica) tableFresh() bool {
	return r.now < r.keeper.tableLeaseEnd-r.timing.RowLease/2
}

// canAsk reports whether the standby is known for sure.
func (r *Replica) canAsk() bool {
	k := r.keeper
	if k.committed.Standby.IsZero() || k.recovering {
		return false
	}
	w := r.table.write
	return w == nil || w.row.Standby == k.committed.Standby
}

// advanceExchange asks when the lease runs thin, and repeats the confirm while
// the promise lives.
func (r *Replica) advanceExchange(o *outageLease) {
	switch {
	case o.phase == confirmSent && r.now < o.stepSince+r.timing.Promise:
		if r.now >= o.nextSend {
			r.sendConfirm()
		}
	case r.now >= o.nextSend && r.now >= o.leaseEnd-r.timing.OutageLease*2/3:
		o.number++
		o.phase = askSent
		o.current = o.number
		o.nextSend = r.now + r.timing.Retry
		r.sendToStandby(PeerMessage{Kind: PeerAsk, Number: o.current})
	}
}

// handleStandbyMessage notes a message of the standby.
func (r *Replica) handleStandbyMessage(m PeerMessage) {
	switch m.Kind {
	case PeerPromise:
		r.handlePromise(m.Number)
	case PeerConfirmed:
		r.handleConfirmed(m.Number)
	case PeerReturned:
		r.handleReturned(m.Number)
	case PeerMoved:
		r.handleMoved(m.Number)
	case PeerCeded:
		r.handleCeded()
	}
}

// handlePromise confirms the promise of the ask under way.
func (r *Replica) handlePromise(n uint64) {
	o := &r.keeper.outage
	if o.phase != askSent || o.current != n || !r.canAsk() {
		return
	}
	o.phase = confirmSent
	o.stepSince = r.now
	o.confirmed = n
	o.holdOverPossible = true
	o.holdOverEnd = max(o.holdOverEnd, r.now+r.stretch(r.timing.Promise+r.timing.OutageLease))
	r.sendConfirm()
}

func (r *Replica) sendConfirm() {
	o := &r.keeper.outage
	o.nextSend = r.now + r.timing.Retry
	r.sendToStandby(PeerMessage{Kind: PeerConfirm, Number: o.current})
}

// handleConfirmed counts the right from the first send of the confirm.
func (r *Replica) handleConfirmed(n uint64) {
	o := &r.keeper.outage
	if o.phase != confirmSent || o.current != n {
		return
	}
	o.phase = askIdle
	entered := r.now >= o.leaseEnd
	o.leaseEnd = max(o.leaseEnd, o.stepSince+r.timing.OutageLease)
	if entered {
		r.log("outage mode")
	}
}

// returnOutageLease gives the lease back once the table has every row. The right
// from the standby ends with the first send.
func (r *Replica) returnOutageLease() {
	k := r.keeper
	o := &k.outage
	o.phase = askIdle
	if o.holdOverPossible && r.table.write == nil && r.table.row.WriteID == k.committed.WriteID && o.returned < o.confirmed {
		o.number++
		o.returned = o.number
		o.leaseEnd = 0
		k.standby.nextHeartbeat = r.now + r.timing.Heartbeat
		r.sendToStandby(PeerMessage{Kind: PeerReturn, Number: o.returned})
		r.log("table mode")
	}
}

// handleReturned notes that hold-over has ended, unless a younger confirm is out.
func (r *Replica) handleReturned(n uint64) {
	o := &r.keeper.outage
	if n == o.returned && o.confirmed < n && o.holdOverPossible {
		r.endHoldOver()
	}
}

// endHoldOver notes that the standby renews nothing any more. It may have done
// so until now.
func (r *Replica) endHoldOver() {
	o := &r.keeper.outage
	o.holdOverPossible = false
	o.pastRenewalsEnd = r.now + r.stretch(r.timing.Lease)
	if r.bugs.returnEndsRenewals {
		o.pastRenewalsEnd = r.now
	}
	o.moveAcks = nil
	r.keeper.planDirty = true
}

// expireHoldOver ends a hold-over that has run out, or whose VM is gone.
func (r *Replica) expireHoldOver() {
	o := &r.keeper.outage
	if o.holdOverPossible && (r.now >= o.holdOverEnd || r.isGone(r.keeper.committed.Standby)) {
		r.endHoldOver()
	}
}

// sendNewestRow repeats the newest row to the standby until it has it. In outage
// mode that makes the row sure.
func (r *Replica) sendNewestRow() {
	k := r.keeper
	o := &k.outage
	newest := k.newest()
	if newest.Standby != k.committed.Standby {
		return // the table alone can change the standby
	}
	if o.ackedSeq >= newest.Seq {
		r.commitByStandby()
		return
	}
	if r.now < o.nextMoveSend {
		return
	}
	o.nextMoveSend = r.now + r.timing.Retry
	r.sendToStandby(PeerMessage{Kind: PeerMove, Number: newest.Seq, Row: newest})
}

// newest returns the row in the making, or else the newest sure row.
func (k *keeperState) newest() *GroupRow {
	if k.pending != nil {
		return k.pending
	}
	return k.committed
}

// handleMoved notes that the standby has a row. Only what was sent in the outage
// under way counts, and an acknowledgement belongs to the moves of that row.
func (r *Replica) handleMoved(seq uint64) {
	k := r.keeper
	o := &k.outage
	newest := k.newest()
	if !o.holdOverPossible || seq != newest.Seq || seq <= o.ackedSeq {
		return
	}
	o.ackedSeq = seq
	o.recordMoveAcks(newest, r.now)
	r.commitByStandby()
}

// commitByStandby makes the next row sure if the standby has it and gives the
// right to decide.
func (r *Replica) commitByStandby() {
	k := r.keeper
	if k.pending != nil && k.outage.ackedSeq >= k.pending.Seq && r.now < k.outage.leaseEnd {
		k.commit(k.pending)
	}
}

// recordMoveAcks keeps the time at which the standby first had each move of row.
func (o *outageLease) recordMoveAcks(row *GroupRow, now Instant) {
	acks := make(map[backend.Token]Instant, len(row.Moves))
	for _, m := range row.Moves {
		acks[m.Token] = now
		if at, ok := o.moveAcks[m.Token]; ok {
			acks[m.Token] = at
		}
	}
	o.moveAcks = acks
}

// renewalsEnd returns when the leases that a standby may have renewed for the
// slot of a move have surely ended; zero: it never could.
func (r *Replica) renewalsEnd(m Move) Instant {
	o := &r.keeper.outage
	if !o.holdOverPossible || r.bugs.lapseWithoutStandby {
		return o.pastRenewalsEnd
	}
	lease := r.stretch(r.timing.Lease)
	if at, ok := o.moveAcks[m.Token]; ok {
		return max(o.pastRenewalsEnd, at+lease)
	}
	return o.holdOverEnd + lease
}

// changeStandby forgets what the former standby acknowledged.
func (o *outageLease) changeStandby() {
	o.phase = askIdle
	o.ackedSeq = 0
	o.moveAcks = nil
}
