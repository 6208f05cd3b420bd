package ownership

// outagePromise is the standby's side of outage mode: what it promised its keeper.
type outagePromise struct {
	floor        uint64  // lower numbers were returned
	promised     uint64  // highest number promised; each is promised once
	promiseUntil Instant // no takeover, and the confirm is taken, before this
	confirmed    uint64  // number confirmed; zero: none
	confirmedAt  Instant // receipt of its first confirm
}

// handleKeeperMessage notes a message of the keeper and answers it.
func (r *Replica) handleKeeperMessage(m PeerMessage) {
	switch m.Kind {
	case PeerAsk:
		r.handleAsk(m.Number)
	case PeerConfirm:
		r.handleConfirm(m.Number)
	case PeerReturn:
		r.handleReturn(m.Number)
	case PeerMove:
		r.handleMove(m)
	case PeerCede:
		r.handleCede(m)
	}
}

func (r *Replica) answerKeeper(kind PeerKind, number uint64) {
	s := r.standby
	r.emit(SendPeer{To: s.keeper, Message: PeerMessage{Kind: kind, Number: number, Epoch: s.epoch}})
}

// handleAsk promises not to take over for a short time. A number is promised once:
// a late or doubled ask would otherwise lengthen the promise past the time that
// the keeper reckons with. A VM whose takeover is open can't promise: that write
// may land at any time.
func (r *Replica) handleAsk(n uint64) {
	p := &r.standby.promise
	if r.table.write != nil || r.stopping {
		r.answerKeeper(PeerRefuse, n)
		return
	}
	doubled := n == p.promised && r.bugs.duplicateAskExtends
	if n < p.floor || n <= p.promised && !doubled {
		return
	}
	p.promised = n
	p.promiseUntil = r.now + r.timing.Promise
	r.answerKeeper(PeerPromise, n)
}

// handleConfirm takes the confirm of a promise that lives. A doubled one is
// answered again and lengthens nothing.
func (r *Replica) handleConfirm(n uint64) {
	p := &r.standby.promise
	if n < p.floor || n != p.promised {
		return
	}
	if p.confirmed != n {
		if r.now >= p.promiseUntil || r.table.write != nil {
			return
		}
		p.confirmed = n
		p.confirmedAt = r.now
	}
	r.answerKeeper(PeerConfirmed, n)
}

// handleReturn ends what was promised under lower numbers. A late return leaves a
// younger promise alone.
func (r *Replica) handleReturn(n uint64) {
	p := &r.standby.promise
	if r.bugs.lateReturnCancels && n > 0 {
		p.confirmed = 0
		p.promiseUntil = 0
	}
	if n < p.floor {
		return
	}
	p.floor = n
	if p.confirmed < n {
		p.confirmed = 0
	}
	if p.promised < n {
		p.promiseUntil = 0
	}
	r.answerKeeper(PeerReturned, n)
}

// handleMove keeps the keeper's newest row: from now on nothing is renewed that it
// does not give, and a takeover starts from it. While a takeover is open the row
// could not enter it any more.
func (r *Replica) handleMove(m PeerMessage) {
	if m.Row == nil || r.table.write != nil {
		return
	}
	r.keepNewest(m.Row)
	r.answerKeeper(PeerMoved, m.Number)
}

// keepNewest keeps a row of the keeper if it is younger than the one kept.
func (r *Replica) keepNewest(row *GroupRow) {
	s := r.standby
	if row.Epoch == s.epoch && (s.newest == nil || s.newest.Seq < row.Seq) {
		s.newest = row
	}
}

// promiseActive reports whether a promise holds a takeover back. The confirmed
// one is stretched: the keeper measures its right on its own clock.
func (r *Replica) promiseActive() bool {
	p := &r.standby.promise
	if r.now < p.promiseUntil {
		return true
	}
	return p.confirmed != 0 && r.now < p.confirmedAt+r.stretch(r.timing.OutageLease)
}
