package ownership

// tableView is what this VM knows about the group's row in the table.
type tableView struct {
	known        bool      // a read was answered, or a write applied
	row          *GroupRow // nil: the row does not exist
	version      uint64    // table version of row; 0: the row does not exist
	missingSince Instant   // when the row was first found missing
	answeredAt   Instant   // when the last answer to a read was received
	nextRead     Instant
	write        *openWrite // nil: the outcome of every write is known
}

// openWrite is a write whose outcome is not known yet.
//
// An unanswered write may be applied at any later time as long as the row is at
// the expected version. So it stays open, and is retried byte for byte, until it
// is answered or a read shows a later version. Until then no other write starts.
// A retry of a write that was applied gets a conflict. So a conflict only means
// that the row is past the expected version; the write id in the next read tells
// whose row it is.
type openWrite struct {
	row        *GroupRow
	expect     uint64
	purpose    writePurpose
	nextSend   Instant
	sent       bool // at least once
	conflicted bool // the next read tells whether it was applied
}

// writePurpose is the reason a row is written.
type writePurpose int

const (
	writeDecision writePurpose = iota // the keeper's next row
	writeCreate                       // the first row of the group
	writeTakeover                     // a change of keeper
	writeRelease                      // a keeper without a standby releases the group
)

// beginWrite starts a write of row that expects the version last seen.
func (r *Replica) beginWrite(row *GroupRow, purpose writePurpose) {
	r.table.write = &openWrite{row: row, expect: r.table.version, purpose: purpose, nextSend: r.now}
}

// readRowWhenDue reads the row once per read interval.
func (r *Replica) readRowWhenDue() {
	if r.now < r.table.nextRead {
		return
	}
	r.table.nextRead = r.now + r.readInterval()
	r.emit(ReadRow{})
}

// idleReadFactor is the read interval of a VM without a role, once the row exists. Such
// a VM acts only when the keeper and the standby are both gone, which the VM list
// reports late anyway, on an operator's order, or to take back a group that it ceded.
const idleReadFactor = 5 // in units of RowRead

// readInterval returns the time between two reads for the current role.
func (r *Replica) readInterval() Instant {
	if r.keeper == nil && r.standby == nil && r.table.row != nil {
		return idleReadFactor * r.timing.RowRead
	}
	return r.timing.RowRead
}

// handleRowRead processes the answer to a read.
func (r *Replica) handleRowRead(ev RowRead) {
	if ev.Err != nil {
		return
	}
	if r.table.known && ev.Version < r.table.version {
		return // out of order: a later version was already seen
	}
	changed := !r.table.known || ev.Version != r.table.version
	if ev.Row == nil && !r.table.known {
		r.table.missingSince = r.now
	}
	r.table.known = true
	r.table.answeredAt = r.now
	if changed {
		r.adoptRow(ev.Row, ev.Version)
	}
	r.extendTableLease(ev.SentAt)
}

// handleRowWritten processes the answer to a write.
func (r *Replica) handleRowWritten(ev RowWritten) {
	w := r.table.write
	if w == nil || w.row.WriteID != ev.WriteID {
		return
	}
	switch ev.Result {
	case WriteApplied:
		r.table.known = true
		r.adoptRow(w.row, ev.Version)
		r.extendTableLease(ev.SentAt)
	case WriteConflicted:
		w.conflicted = true
		r.table.nextRead = r.now
	case WriteUnknown:
		w.nextSend = min(w.nextSend, r.now+r.timing.Retry)
	}
}

// adoptRow stores a newer row of the table, settles the open write if the row is
// past it, and takes the role that the row assigns to this VM.
func (r *Replica) adoptRow(row *GroupRow, version uint64) {
	r.table.row = row
	r.table.version = version
	settled := r.settleWrite()
	if row == nil {
		return
	}
	if row.Keeper == r.self {
		r.adoptOwnRow(row, settled)
		return
	}
	r.dropKeeper()
	r.adoptStandbyRole(row)
	r.readSoon()
}

// settleWrite closes the open write if the row is past its expected version, and
// returns it if it is the write that produced the current row.
func (r *Replica) settleWrite() *openWrite {
	w := r.table.write
	if w == nil || r.table.version <= w.expect {
		return nil
	}
	r.table.write = nil
	if r.table.row.WriteID != w.row.WriteID {
		return nil
	}
	return w
}

// adoptOwnRow handles a row that names this VM as the keeper.
func (r *Replica) adoptOwnRow(row *GroupRow, settled *openWrite) {
	k := r.keeper
	if k != nil && k.epoch == row.Epoch && settled != nil {
		k.markStored(row)
		return
	}
	if r.hasCeded(row) {
		return
	}
	r.becomeKeeper(row, settled)
	r.readSoon()
}

// readSoon schedules the next read within the interval of the current role.
func (r *Replica) readSoon() {
	r.table.nextRead = min(r.table.nextRead, r.now+r.readInterval())
}

// advanceWrite sends or retries the open write when it is due. If none is open, it
// starts the keeper's next one.
func (r *Replica) advanceWrite() {
	if r.table.write == nil {
		r.beginKeeperWrite()
	}
	w := r.table.write
	if w == nil || w.conflicted || r.now < w.nextSend {
		return
	}
	if w.sent && r.bugs.dropUnansweredWrite {
		r.table.write = nil
		return
	}
	w.sent = true
	// WriteUnknown makes the retry due earlier. Lease is only the bound for a call that
	// never reports back.
	w.nextSend = r.now + r.timing.Lease
	r.emit(WriteRow{Expect: w.expect, Row: w.row})
}

// beginKeeperWrite starts a write of the keeper's newest row if the table lacks it.
func (r *Replica) beginKeeperWrite() {
	k := r.keeper
	if k == nil || !r.mayDecide() {
		return
	}
	newest := k.newest()
	if newest.WriteID != r.table.row.WriteID {
		r.beginWrite(newest, writeDecision)
	}
}
