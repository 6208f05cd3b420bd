package ownership

// A planned stop. The keeper first stops deciding and granting, for good, and
// only then tells the standby. So a cession that is late or doubled is still
// true, and the standby need not wait out the keeper's right.

// cedeTimeout bounds the wait for the standby; after it the standby takes over
// as after a loss.
const cedeTimeout = 3 // in units of KeeperSilence

// handleStop begins the end of this replica.
func (r *Replica) handleStop() {
	if r.stopping {
		return
	}
	r.stopping = true
	r.stopDeadline = r.now + cedeTimeout*r.timing.KeeperSilence
}

// advanceStop hands the role of keeper over, or ends.
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

// sendCede tells the standby that this keeper has stopped for good. With the
// newest row the standby may hold over until it takes over.
func (r *Replica) sendCede(newest *GroupRow) {
	k := r.keeper
	if r.now >= k.nextCede {
		k.nextCede = r.now + r.timing.Retry
		r.sendToStandby(PeerMessage{Kind: PeerCede, Number: k.committed.Seq, Row: newest})
	}
}

// releaseRow writes a row without a keeper, for want of a standby.
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

// handleCeded ends this replica: the standby has the group.
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

// handleCede notes that the keeper has stopped for good.
func (r *Replica) handleCede(m PeerMessage) {
	if m.Row != nil {
		r.keepNewest(m.Row)
		r.standby.keeperStopping = true
	}
	r.standby.ceded = true
	r.answerKeeper(PeerCeded, m.Number)
}
