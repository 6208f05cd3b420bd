package ownership

// standbyState is what a standby knows. It exists while the row read last names
// this VM as the standby of one keeper and epoch.
type standbyState struct {
	keeper  VMRef
	epoch   uint64
	heardAt Instant // last message of the keeper, or the start of the role

	promise        outagePromise
	newest         *GroupRow // newest row that the keeper sent; nil: none
	ceded          bool      // the keeper has stopped for good
	keeperStopping bool      // and its VM is about to: nobody will take the group back

	holdOver map[string]*holdOverRecord
}

// standbyWatch is what a keeper knows of its standby.
type standbyWatch struct {
	heardAt       Instant // last message of the standby, or since when it is the standby
	nextHeartbeat Instant
	answered      bool // it knows that it is the standby
	namedAt       Instant
}

// adoptStandbyRole takes or leaves the role of standby as the row says.
func (r *Replica) adoptStandbyRole(row *GroupRow) {
	if row.Standby != r.self {
		r.standby = nil
		return
	}
	s := r.standby
	if s != nil && s.keeper == row.Keeper && s.epoch == row.Epoch {
		return
	}
	r.standby = &standbyState{keeper: row.Keeper, epoch: row.Epoch, heardAt: r.now, holdOver: map[string]*holdOverRecord{}}
	r.log("became the standby")
}

// newestRow returns the younger of the table's row and the one the keeper sent.
func (s *standbyState) newestRow(row *GroupRow) *GroupRow {
	if s.newest != nil && s.newest.Epoch == row.Epoch && row.Token().Less(s.newest.Token()) {
		return s.newest
	}
	return row
}

// advanceStandby does the standby's work that is due, and any takeover.
func (r *Replica) advanceStandby() {
	r.advanceTakeover()
	r.advanceHoldOver()
}

// keeperSilent reports whether the standby has heard nothing from its keeper for
// so long that it takes it for lost.
func (r *Replica) keeperSilent() bool {
	return r.now >= r.standby.heardAt+r.timing.KeeperSilence
}

// standbyMayTakeOver reports whether no promise holds the standby back and the
// keeper is silent, gone or has ceded.
func (r *Replica) standbyMayTakeOver() bool {
	s := r.standby
	if s.ceded || s.keeper.IsZero() || r.isGone(s.keeper) {
		return true
	}
	return r.keeperSilent() && !r.promiseActive()
}

// sendHeartbeat tells the standby that the keeper lives. The message repeats the
// last return: numbers are ordered, so a repeat cancels nothing.
func (r *Replica) sendHeartbeat() {
	k := r.keeper
	if k.committed.Standby.IsZero() || r.now < k.standby.nextHeartbeat {
		return
	}
	k.standby.nextHeartbeat = r.now + r.timing.Heartbeat
	m := PeerMessage{Kind: PeerReturn, Number: k.outage.returned}
	if !k.standby.answered {
		m.Row = k.committed
	}
	r.sendToStandby(m)
}

func (r *Replica) sendToStandby(m PeerMessage) {
	m.Epoch = r.keeper.epoch
	r.emit(SendPeer{To: r.keeper.committed.Standby, Message: m})
}

// changeStandby names another standby if there is none, or it is gone or silent.
// A standby that may still hold over is not replaced.
func (r *Replica) changeStandby(d *draft) {
	k := r.keeper
	current := k.committed.Standby
	if !r.standbyChangeDue() || !r.tableFresh() || k.outage.holdOverPossible {
		return
	}
	next := r.nextCandidate(current)
	if better, ok := r.betterStandby(); ok {
		next = better
	}
	if next == current || next.IsZero() && !r.isGone(current) {
		return
	}
	d.edit().Standby = next
	k.standby.heardAt = r.now
	k.standby.answered = false
	k.standby.namedAt = r.now
	r.emit(LogDecision{What: "standby " + next.String(), Slot: -1, Token: k.token()})
}

// standbyChangeDue reports whether the standby should be another VM.
func (r *Replica) standbyChangeDue() bool {
	k := r.keeper
	current := k.committed.Standby
	if current.IsZero() || r.isGone(current) {
		return true
	}
	if _, better := r.betterStandby(); better {
		return true
	}
	return r.now >= k.standby.heardAt+r.timing.StandbySilence
}

// handlePeerMessage notes a message of the keeper or of the standby.
func (r *Replica) handlePeerMessage(ev PeerReceived) {
	r.learnStandbyRole(ev)
	if s := r.standby; s != nil && ev.From == s.keeper && ev.Message.Epoch == s.epoch {
		s.heardAt = r.now
		r.handleKeeperMessage(ev.Message)
		return
	}
	k := r.keeper
	if k != nil && ev.From == k.committed.Standby && ev.Message.Epoch == k.epoch {
		k.standby.heardAt = r.now
		k.standby.answered = true
		r.handleStandbyMessage(ev.Message)
	}
}
