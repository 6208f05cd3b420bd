package ownership

// standbyState is the state of a standby. It is created when a row from the table or
// from the keeper names this VM as the standby of one keeper and epoch, and dropped when
// a later row from the table does not, or when this VM becomes the keeper or stops.
type standbyState struct {
	keeper  VMRef
	epoch   uint64
	heardAt Instant // when the keeper's last message arrived, or the role began

	promise        outagePromise
	newest         *GroupRow // newest row that the keeper sent; nil: none
	ceded          bool      // the keeper no longer decides under this epoch
	keeperStopping bool      // it is also stopping, so it will not take the group back

	holdOver map[string]*holdOverRecord
}

// standbyWatch is what a keeper knows about its standby.
type standbyWatch struct {
	heardAt       Instant // when its last message arrived, or it was named
	nextHeartbeat Instant
	answered      bool    // it has answered, so it knows that it is the standby
	namedAt       Instant // when it was named as the standby
}

// adoptStandbyRole takes or drops the role of standby as the row says.
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

// newestRow returns the newer of the table's row and the one that the keeper sent.
func (s *standbyState) newestRow(row *GroupRow) *GroupRow {
	if s.newest != nil && s.newest.Epoch == row.Epoch && row.Token().Less(s.newest.Token()) {
		return s.newest
	}
	return row
}

// advanceStandby performs the standby's work that is due, and any takeover.
func (r *Replica) advanceStandby() {
	r.advanceTakeover()
	r.advanceHoldOver()
}

// keeperSilent reports whether the keeper has been silent for so long that the standby
// considers it lost.
func (r *Replica) keeperSilent() bool {
	return r.now >= r.standby.heardAt+r.timing.KeeperSilence
}

// standbyMayTakeOver reports whether the keeper has ceded or is gone, or is silent
// while no promise forbids a takeover.
func (r *Replica) standbyMayTakeOver() bool {
	s := r.standby
	if s.ceded || s.keeper.IsZero() || r.isGone(s.keeper) {
		return true
	}
	return r.keeperSilent() && !r.promiseActive()
}

// sendHeartbeat sends a heartbeat to the standby. The message repeats the last return
// in case it was lost. The repeat cancels nothing newer, since numbers are ordered. The
// message contains the row until the standby has answered.
func (r *Replica) sendHeartbeat() {
	k := r.keeper
	if k.committed.Standby.IsZero() || r.now < k.standby.nextHeartbeat {
		return
	}
	k.standby.nextHeartbeat = r.now + r.timing.Heartbeat
	m := PeerMessage{Kind: PeerReturn, Number: k.outage.lastReturnNumber}
	if !k.standby.answered {
		m.Row = k.committed
	}
	r.sendToStandby(m)
}

func (r *Replica) sendToStandby(m PeerMessage) {
	m.Epoch = r.keeper.epoch
	r.emit(SendPeer{To: r.keeper.committed.Standby, Message: m})
}

// changeStandby names another standby if there is none, if it is gone or silent, or if
// a better one exists. A standby that may still hold over is not replaced.
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
	r.emit(LogDecision{What: "naming standby " + next.String(), Slot: -1, Token: k.token()})
}

// standbyChangeDue reports whether the standby should be replaced.
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

// handlePeerMessage processes a message from the keeper or the standby.
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
