package ownership

// outagePromise is what a standby promised its keeper for outage mode.
type outagePromise struct {
	floor        uint64  // numbers below this were returned
	promised     uint64  // highest number promised; each is promised once
	promiseUntil Instant // before this, no takeover starts and the confirm is accepted
	confirmed    uint64  // confirmed number; zero: none
	confirmedAt  Instant // when its first confirm was received
}

// handleKeeperMessage processes and answers a message from the keeper.
func (r *Replica) handleKeeperMessage(m PeerMessage) {
	switch m.Kind {
	case PeerAsk:
		r.handleAsk(m.Number)
	case PeerConfirm:
		r.handleConfirm(m.Number)
	case PeerReturn:
		r.handleReturn(m.Number)
	case PeerMove:
		r.handleKeeperRow(m)
	case PeerCede:
		r.handleCede(m)
	}
}

func (r *Replica) answerKeeper(kind PeerKind, number uint64) {
	s := r.standby
	r.emit(SendPeer{To: s.keeper, Message: PeerMessage{Kind: kind, Number: number, Epoch: s.epoch}})
}

// handleAsk promises not to take over for a short time. A number is promised only
// once: a late or duplicated ask would otherwise extend the promise past the time
// that the keeper expects. A VM with an open takeover write can't promise, since
// that write may be applied at any time.
func (r *Replica) handleAsk(n uint64) {
	p := &r.standby.promise
	if r.table.write != nil || r.stopping {
		r.answerKeeper(PeerRefuse, n)
		return
	}
	duplicate := n == p.promised && r.bugs.duplicateAskExtends
	if n < p.floor || n <= p.promised && !duplicate {
		return
	}
	p.promised = n
	p.promiseUntil = r.now + r.timing.Promise
	r.answerKeeper(PeerPromise, n)
}

// handleConfirm accepts the confirm of a promise that has not expired. A duplicate
// is answered again and extends nothing.
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

// handleReturn cancels every promise with a lower number. A late return does not
// affect a newer promise.
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

// handleKeeperRow keeps the keeper's newest row. From now on hold-over renews only what
// that row assigns, and a takeover starts from it. The row is refused while a
// takeover write is open, since that write can no longer include it.
func (r *Replica) handleKeeperRow(m PeerMessage) {
	if m.Row == nil || r.table.write != nil {
		return
	}
	r.keepNewest(m.Row)
	r.answerKeeper(PeerMoved, m.Number)
}

// keepNewest keeps a row of the keeper if it is newer than the one kept.
func (r *Replica) keepNewest(row *GroupRow) {
	s := r.standby
	if row.Epoch == s.epoch && (s.newest == nil || s.newest.Seq < row.Seq) {
		s.newest = row
	}
}

// promiseActive reports whether a promise forbids a takeover. The confirmed one is
// extended by the clock drift, since the keeper measures its lease on its own clock.
func (r *Replica) promiseActive() bool {
	p := &r.standby.promise
	if r.now < p.promiseUntil {
		return true
	}
	return p.confirmed != 0 && r.now < p.confirmedAt+r.stretch(r.timing.OutageLease)
}
