package ownership

import (
	"slices"

	"kumquatcleat/internal/backend"
)

// A takeover is a compare-and-set on the row that raises the epoch. Its answer, or a
// read that shows it, is received after the table applied it; any read that still
// showed the old keeper was sent before. So the old keeper's decision lease has
// expired RowLease, extended by the clock drift, after that receipt, however the new
// keeper learned of its takeover. Until then the new keeper only queries the servers.

// advanceTakeover creates the row, or takes over the group, if this VM may.
func (r *Replica) advanceTakeover() {
	t := &r.table
	if !t.known || t.write != nil || r.keeper != nil || r.stopping {
		return
	}
	if t.row == nil {
		r.createRow()
		return
	}
	if !r.tableResponsive() || !r.mayTakeOver() {
		return
	}
	r.beginWrite(r.takeoverRow(), writeTakeover)
	r.log("takeover started")
}

// tableResponsive reports whether a read was answered recently. A takeover started
// while the table is down would stay open, and a VM with an open takeover can't promise
// its keeper anything.
func (r *Replica) tableResponsive() bool {
	return r.now < r.table.answeredAt+2*r.readInterval()
}

// createRow writes the first row of the group. It names no owners; those follow in the
// next row, once the servers have reported their incarnations.
func (r *Replica) createRow() {
	if len(r.plan.Servers) == 0 || r.now < r.table.missingSince+r.takeoverDelay() {
		return
	}
	row := &GroupRow{
		Schema:  RowSchema,
		Group:   r.group,
		Epoch:   1,
		Seq:     1,
		WriteID: r.newWriteID(),
		Keeper:  r.self,
		Standby: r.nextCandidate(VMRef{}),
	}
	for _, slot := range r.slots {
		row.Slots = append(row.Slots, SlotOwner{Slot: slot, Token: row.Token()})
	}
	r.beginWrite(row, writeCreate)
}

// takeoverDelay returns how long this VM waits so that the candidates before it can act
// first.
func (r *Replica) takeoverDelay() Instant {
	before := 0
	for _, c := range r.candidates {
		if c == r.self {
			return Instant(before) * r.timing.KeeperSilence
		}
		if !r.isGone(c) {
			before++
		}
	}
	return Instant(before+1) * r.timing.KeeperSilence
}

// mayTakeOver reports whether this VM may replace the keeper that the row names.
func (r *Replica) mayTakeOver() bool {
	row := r.table.row
	if r.forcedBy != "" {
		return true
	}
	if r.hasCeded(row) {
		return r.mayReclaim()
	}
	if row.Standby == r.self {
		return r.standbyMayTakeOver()
	}
	keeperGone := row.Keeper.IsZero() || r.isGone(row.Keeper)
	standbyGone := row.Standby.IsZero() || r.isGone(row.Standby)
	if !keeperGone || !standbyGone {
		r.orphanedSince = r.now
		return false
	}
	return r.now >= r.orphanedSince+r.takeoverDelay()
}

// takeoverRow returns the row that names this VM as the keeper.
func (r *Replica) takeoverRow() *GroupRow {
	base := r.table.row
	old := base.Keeper
	asStandby := base.Standby == r.self
	if asStandby {
		base = r.standby.newestRow(base)
	}
	row := base.Clone()
	row.Epoch = r.table.row.Epoch + 1
	row.WriteID = r.newWriteID()
	row.Keeper = r.self
	row.Standby = r.nextCandidate(old)
	if !asStandby {
		row.Recovering = true
	}
	return row
}

// becomeKeeper starts the role of keeper from a row that names this VM. settled is the
// write that produced the row, or nil if the row is not known to be this VM's own write.
func (r *Replica) becomeKeeper(row *GroupRow, settled *openWrite) {
	wait := r.stretch(r.timing.RowLease)
	first := settled != nil && settled.purpose == writeCreate
	ceded := settled != nil && r.standby != nil && r.standby.ceded
	if first || ceded || r.bugs.takeoverWithoutWait {
		wait = 0
	}
	k := newKeeperState(row)
	k.activeFrom = r.now + wait
	k.priorLeasesEnd = k.activeFrom + r.stretch(r.timing.Lease)
	if first {
		k.priorLeasesEnd = r.now
	}
	k.standby.heardAt = r.now
	r.keeper = k
	r.addPlannedServers()
	r.standby = nil
	r.forcedBy = ""
	r.log("became the keeper")
}

// recover asks every server what it holds, under the new epoch's token. That token
// makes the server refuse calls of the predecessor that are still in flight. A slot
// that a server holds under a higher token than the row's was moved in outage mode; the
// grant that the server accepted is the only record of that move. A server that does
// not answer is waited for until its leases have expired.
func (r *Replica) recover() {
	k := r.keeper
	if len(r.plan.Servers) == 0 {
		return // the plan, and with it the list of servers, is not known yet
	}
	done := true
	for _, id := range k.serverIDs {
		s := k.servers[id]
		if s.fenced || r.leasesExpired(s.ref(id)) {
			continue
		}
		done = false
		r.sendFence(id, s)
	}
	if done && k.pending == nil {
		r.endRecovery()
	}
}

// sendFence sends a revoke without slots. It raises the server's highest token to the
// row's (the fencing token), and the answer tells what the server holds.
func (r *Replica) sendFence(id string, s *serverRecord) {
	if r.now < s.nextRevoke {
		return
	}
	s.nextRevoke = r.now + r.timing.Retry
	r.keeper.fenceToken = r.keeper.token()
	r.emit(SendRevoke{Server: id, Request: backend.RevokeRequest{Group: r.group, Token: r.keeper.fenceToken}})
}

// handleFenceAnswer records what a server held when it accepted the fencing token.
func (r *Replica) handleFenceAnswer(s *serverRecord, ev ServerAnswered) {
	s.fenced = true
	s.held = slices.Clone(ev.State.Slots)
}

// endRecovery builds the row with the moves that the servers reported.
func (r *Replica) endRecovery() {
	k := r.keeper
	d := &draft{base: k.committed}
	d.edit().Recovering = false
	d.raiseToken() // distinguishes a late answer to the fence from one to a revoke
	for _, id := range k.serverIDs {
		s := k.servers[id]
		for _, held := range s.held {
			r.recoverSlot(d, s.ref(id), held)
		}
	}
	d.row.WriteID = r.newWriteID()
	k.pending = d.row
}

// recoverSlot adds to the draft a move that only its new owner knows.
func (r *Replica) recoverSlot(d *draft, owner ServerRef, held backend.SlotToken) {
	i, found := findSlot(d.row, held.Slot)
	if !found || !d.row.Slots[i].Token.Less(held.Token) {
		return
	}
	d.raiseToken()
	d.assign(held.Slot, owner, held.Token)
	d.row.Moves = slices.DeleteFunc(d.row.Moves, func(m Move) bool { return m.Slot == held.Slot })
	r.logSlot("move recovered from its new owner", held.Slot, owner.ID, held.Token)
}
