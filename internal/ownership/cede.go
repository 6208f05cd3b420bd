package ownership

// On a planned stop the keeper first stops deciding and granting, for good, and only
// then sends a cede message to the standby. So a late or duplicated cede message is
// still true, and the standby need not wait for the keeper's decision lease to expire.

// cedeTimeoutFactor bounds the wait for the standby's answer. After it the standby takes
// over as after the loss of the keeper.
const cedeTimeoutFactor = 3 // in units of KeeperSilence

// handleStop starts the shutdown of this replica.
func (r *Replica) handleStop() {
	if r.stopping {
		return
	}
	r.stopping = true
	r.stopDeadline = r.now + cedeTimeoutFactor*r.timing.KeeperSilence
}

// advanceStop hands over the role of keeper, or stops if there is none or the
// deadline has passed.
func (r *Replica) advanceStop() {
	if !r.stopping {
		return
	}
	k := r.keeper
	if k == nil || r.now >= r.stopDeadline {
		r.stop()
		return
	}
	if k.committed.Standby.IsZero() {
		r.releaseRow()
		return
	}
	r.sendCede(k.committed)
}

// sendCede informs the standby that this keeper no longer decides. If the message
// contains the newest row, the standby may hold over until it takes over.
func (r *Replica) sendCede(newest *GroupRow) {
	k := r.keeper
	if r.now >= k.nextCede {
		k.nextCede = r.now + r.timing.Retry
		r.sendToStandby(PeerMessage{Kind: PeerCede, Number: k.committed.Seq, Row: newest})
	}
}

// releaseRow writes a row without a keeper, because there is no standby to cede to.
func (r *Replica) releaseRow() {
	k := r.keeper
	if r.table.write != nil {
		return
	}
	row := k.committed.Clone()
	row.Keeper = VMRef{}
	row.WriteID = r.newWriteID()
	r.beginWrite(row, writeRelease)
}

// handleCeded stops this replica, or ends its role of keeper, since the standby has
// acknowledged the cede.
func (r *Replica) handleCeded() {
	if r.stopping {
		r.stop()
	} else if r.handover.started {
		r.relinquish()
	}
}

func (r *Replica) stop() {
	r.stopped = true
	r.keeper = nil
	r.standby = nil
	r.emit(Stopped{})
}

// handleCede records that the keeper no longer decides. A message with a row comes
// from a keeper that is stopping.
func (r *Replica) handleCede(m PeerMessage) {
	if m.Row != nil {
		r.keepNewest(m.Row)
		r.standby.keeperStopping = true
	}
	r.standby.ceded = true
	r.answerKeeper(PeerCeded, m.Number)
}
