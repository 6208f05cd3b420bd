package ownership

// tableView is what this VM knows of the group's row in the table.
type tableView struct {
	known        bool      // a read was answered, or a write applied
	row          *GroupRow // nil: the row does not exist
	version      uint64    // table version of row; 0: the row does not exist
	missingSince Instant   // when the row was first found missing
	answeredAt   Instant   // receipt of the last answer to a read
	nextRead     Instant
	write        *openWrite // nil: every write is settled
}

// openWrite is a write whose outcome is not known yet.
//
// A write that was not answered may land at any later time as long as the row
// stands at the expected version. So it stays open, and is repeated byte for
// byte, until it is answered or a read shows a version past the expected one.
// Until then no other write is begun. A repeat of a write that did land meets a
// conflict; so a conflict says only that the row is past the expected version,
// and the next read tells by the write id whose row it is.
type openWrite struct {
	row        *GroupRow
	expect     uint64
	purpose    writePurpose
	nextSend   Instant
	sent       bool // at least once
	conflicted bool // a read has to tell what became of it
}

// writePurpose tells why a row is written.
type writePurpose int

const (
	writeDecision writePurpose = iota // the keeper's next row
	writeCreate                       // the first row of the group
	writeTakeover                     // a change of keeper
	writeRelease                      // a keeper without a standby gives the group up
)

// beginWrite opens a write of row over the version last seen.
func (r *Replica) beginWrite(row *GroupRow, purpose writePurpose) {
	r.table.write = &openWrite{row: row, expect: r.table.version, purpose: purpose, nextSend: r.now}
}

// readRowWhenDue reads the row at each interval.
func (r *Replica) readRowWhenDue() {
	if r.now < r.table.nextRead {
		return
	}
	r.table.nextRead = r.now + r.readInterval()
	r.emit(ReadRow{})
}

// A VM without a role reads seldom: it acts on a missing row, or when the keeper
// and the standby are both gone, which the VM list tells late anyway.
const idleReadIntervals = 5 // in units of RowRead

// readInterval returns the time between two reads for the present role.
func (r *Replica) readInterval() Instant {
	if r.keeper == nil && r.standby == nil && r.table.row != nil {
		return idleReadIntervals * r.timing.RowRead
	}
	return r.timing.RowRead
}

// handleRowRead notes an answer to a read.
func (r *Replica) handleRowRead(ev RowRead) {
	if ev.Err != nil {
		return
	}
	if r.table.known && ev.Version < r.table.version {
		return // a read that was overtaken by a younger one
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

// handleRowWritten notes an answer to a write.
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

// adoptRow takes a younger row of the table for the truth, settles the open
// write if the row is past it, and takes the role that the row gives to this VM.
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

// settleWrite closes the open write if the row is past it, and returns it if it
// is the one that was applied last.
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

// adoptOwnRow takes a row that names this VM as the keeper.
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

// readSoon brings the next read forward to the interval of the present role.
func (r *Replica) readSoon() {
	r.table.nextRead = min(r.table.nextRead, r.now+r.readInterval())
}

// advanceWrite sends the open write when it is due, and begins the next one.
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
	// An answer, also one that says 'unknown', brings the repeat forward.
	w.nextSend = r.now + r.timing.Lease
	r.emit(WriteRow{Expect: w.expect, Row: w.row})
}

// beginKeeperWrite writes the keeper's newest row if the table does not have it.
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
