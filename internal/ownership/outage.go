package ownership

import "kumquatcleat/internal/backend"

// outageState is the keeper's side of outage mode. While the table does not answer,
// the standby gives the keeper its decision lease, then called the outage lease, in
// two exchanges:
//
//	ask(n)     -> promise(n)    the standby does not take over for a short time
//	confirm(n) -> confirmed(n)  accepted only while that promise is valid: the
//	                            standby does not take over for the outage lease,
//	                            and may hold over if the keeper falls silent
//
// The outage lease is counted from the first send of the confirm and takes effect
// with its acknowledgement. Once the confirm is sent, acknowledged or not, the standby
// may hold over, that is, renew leases that this keeper does not see. So until
// hold-over has certainly ended, a move by lapse waits until the standby has the move,
// and then for one more lease, since the standby may have renewed just before.
// Hold-over ends when the standby acknowledges a return, or by time: the standby
// accepts the confirm no later than its promise expires, which is at most Promise
// after the promise was received here.
//
// Numbers order the messages: an answer counts only for the exchange in progress, and
// a return cancels only what has a lower number.
//
// While a write that changes the standby is open, either VM may be the standby, so
// neither can promise alone. The keeper then asks neither VM. Without a new outage
// lease, its decision lease is not extended while the table does not answer. Asking
// both VMs would be safe too, but is not implemented.
type outageState struct {
	number        uint64  // highest number used
	step          askStep // step of the exchange in progress
	current       uint64  // number of that exchange
	confirmSentAt Instant // when its first confirm was sent
	nextSend      Instant

	freshSince Instant // when the table last began to answer in time

	outageLeaseEnd Instant // end of the outage lease, the decision lease that the standby gives

	lastConfirmNumber uint64                    // highest number of any confirm sent
	holdOverPossible  bool                      // the standby may be holding over
	holdOverEnd       Instant                   // when hold-over has certainly ended
	pastRenewalsEnd   Instant                   // when the leases renewed in an ended hold-over have expired
	lastReturnNumber  uint64                    // number of the last return sent
	moveAcks          map[backend.Token]Instant // when the standby first acknowledged a move, by the move's token
	ackedSeq          uint64                    // Seq of the newest row that the standby has
	nextRowSend       Instant                   // when the newest row is sent to the standby again
}

// askStep is a step in the exchange for an outage lease.
type askStep int

const (
	askIdle askStep = iota
	askSent
	confirmSent
)

// advanceOutage performs the work of outage mode that is due.
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

// tableFresh reports whether the decision lease from the table has more than half its
// time left.
func (r *Replica) tableFresh() bool {
	return r.now < r.keeper.tableLeaseEnd-r.timing.RowLease/2
}

// canAsk reports whether this keeper may ask the standby for an outage lease: there is
// a standby, and no open write changes it.
func (r *Replica) canAsk() bool {
	k := r.keeper
	if k.committed.Standby.IsZero() || k.recovering {
		return false
	}
	w := r.table.write
	return w == nil || w.row.Standby == k.committed.Standby
}

// advanceExchange sends an ask when no more than two thirds of the outage lease are
// left, and resends the confirm while the promise is valid.
func (r *Replica) advanceExchange(o *outageState) {
	switch {
	case o.step == confirmSent && r.now < o.confirmSentAt+r.timing.Promise:
		if r.now >= o.nextSend {
			r.sendConfirm()
		}
	case r.now >= o.nextSend && r.now >= o.outageLeaseEnd-r.timing.OutageLease*2/3:
		o.number++
		o.step = askSent
		o.current = o.number
		o.nextSend = r.now + r.timing.Retry
		r.sendToStandby(PeerMessage{Kind: PeerAsk, Number: o.current})
	}
}

// handleStandbyMessage processes a message from the standby.
func (r *Replica) handleStandbyMessage(m PeerMessage) {
	switch m.Kind {
	case PeerPromise:
		r.handlePromise(m.Number)
	case PeerConfirmed:
		r.handleConfirmed(m.Number)
	case PeerReturned:
		r.handleReturned(m.Number)
	case PeerMoved:
		r.handleRowAck(m.Number)
	case PeerCeded:
		r.handleCeded()
	}
}

// handlePromise confirms the promise of the ask in progress.
func (r *Replica) handlePromise(n uint64) {
	o := &r.keeper.outage
	if o.step != askSent || o.current != n || !r.canAsk() {
		return
	}
	o.step = confirmSent
	o.confirmSentAt = r.now
	o.lastConfirmNumber = n
	o.holdOverPossible = true
	o.holdOverEnd = max(o.holdOverEnd, r.now+r.stretch(r.timing.Promise+r.timing.OutageLease))
	r.sendConfirm()
}

func (r *Replica) sendConfirm() {
	o := &r.keeper.outage
	o.nextSend = r.now + r.timing.Retry
	r.sendToStandby(PeerMessage{Kind: PeerConfirm, Number: o.current})
}

// handleConfirmed starts the outage lease, counted from the first send of the confirm.
func (r *Replica) handleConfirmed(n uint64) {
	o := &r.keeper.outage
	if o.step != confirmSent || o.current != n {
		return
	}
	o.step = askIdle
	entering := r.now >= o.outageLeaseEnd
	o.outageLeaseEnd = max(o.outageLeaseEnd, o.confirmSentAt+r.timing.OutageLease)
	if entering {
		r.log("entered outage mode")
	}
}

// returnOutageLease returns the outage lease once the table has the newest row. The
// lease ends when the return is first sent.
func (r *Replica) returnOutageLease() {
	k := r.keeper
	o := &k.outage
	o.step = askIdle
	if o.holdOverPossible && r.table.write == nil && r.table.row.WriteID == k.committed.WriteID && o.lastReturnNumber < o.lastConfirmNumber {
		o.number++
		o.lastReturnNumber = o.number
		o.outageLeaseEnd = 0
		k.standby.nextHeartbeat = r.now + r.timing.Heartbeat // this return also serves as the heartbeat
		r.sendToStandby(PeerMessage{Kind: PeerReturn, Number: o.lastReturnNumber})
		r.log("left outage mode")
	}
}

// handleReturned records that hold-over has ended, unless a newer confirm was sent.
func (r *Replica) handleReturned(n uint64) {
	o := &r.keeper.outage
	if n == o.lastReturnNumber && o.lastConfirmNumber < n && o.holdOverPossible {
		r.endHoldOver()
	}
}

// endHoldOver records that the standby no longer renews leases. It may have renewed
// them until now.
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

// expireHoldOver ends hold-over when its time has passed or the standby's VM is gone.
func (r *Replica) expireHoldOver() {
	o := &r.keeper.outage
	if o.holdOverPossible && (r.now >= o.holdOverEnd || r.isGone(r.keeper.committed.Standby)) {
		r.endHoldOver()
	}
}

// sendNewestRow sends the newest row to the standby until it is acknowledged. In
// outage mode that commits the row.
func (r *Replica) sendNewestRow() {
	k := r.keeper
	o := &k.outage
	newest := k.newest()
	if newest.Standby != k.committed.Standby {
		return // only the table can change the standby
	}
	if o.ackedSeq >= newest.Seq {
		r.commitByStandby()
		return
	}
	if r.now < o.nextRowSend {
		return
	}
	o.nextRowSend = r.now + r.timing.Retry
	r.sendToStandby(PeerMessage{Kind: PeerMove, Number: newest.Seq, Row: newest})
}

// newest returns the pending row, or else the newest committed row.
func (k *keeperState) newest() *GroupRow {
	if k.pending != nil {
		return k.pending
	}
	return k.committed
}

// handleRowAck records that the standby has a row. An acknowledgement counts only
// during the current outage and only for the moves of that row.
func (r *Replica) handleRowAck(seq uint64) {
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

// commitByStandby commits the pending row if the standby has it and the outage lease
// is valid.
func (r *Replica) commitByStandby() {
	k := r.keeper
	if k.pending != nil && k.outage.ackedSeq >= k.pending.Seq && r.now < k.outage.outageLeaseEnd {
		k.commit(k.pending)
	}
}

// recordMoveAcks records when the standby first acknowledged each move of row.
func (o *outageState) recordMoveAcks(row *GroupRow, now Instant) {
	acks := make(map[backend.Token]Instant, len(row.Moves))
	for _, m := range row.Moves {
		acks[m.Token] = now
		if at, ok := o.moveAcks[m.Token]; ok {
			acks[m.Token] = at
		}
	}
	o.moveAcks = acks
}

// renewalsEnd returns when the leases that a standby may have renewed for the slot of
// a move have certainly expired. Zero means that no standby could have renewed any.
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

// discardStandbyState discards the exchange with the former standby and what it
// acknowledged.
func (o *outageState) discardStandbyState() {
	o.step = askIdle
	o.ackedSeq = 0
	o.moveAcks = nil
}
