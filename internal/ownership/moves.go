package ownership

import (
	"cmp"
	"fmt"
	"slices"

	"kumquatcleat/internal/backend"
)

// A move goes through two rows. The first names it: from then on neither server
// is granted the slot. The second names the new owner and is written only when
// the old owner's right has ended: by consent, when it acknowledged a revoke of
// that move and nothing of the slot runs; by lapse, when no lease of it can be
// alive. So a slot that a row shows with an owner and without a move has no
// other holder, whoever reads that row.
//
// Each of these rows raises the token: a late grant of the earlier set is then
// refused, and cannot undo a revoke.

// draft is a next row in the making. It copies the base only once something changes.
type draft struct {
	base      *GroupRow
	row       *GroupRow // nil: nothing changed
	raised    bool      // the token was raised
	keepToken bool      // flaw: the token is never raised
}

// current returns the draft as it stands, to be read only.
func (d *draft) current() *GroupRow {
	if d.row != nil {
		return d.row
	}
	return d.base
}

// edit returns the draft to be changed.
func (d *draft) edit() *GroupRow {
	if d.row == nil {
		d.row = d.base.Clone()
	}
	return d.row
}

// raiseToken returns the draft's token, raised once over the base's.
func (d *draft) raiseToken() backend.Token {
	row := d.edit()
	if !d.raised && !d.keepToken {
		row.Seq++
		d.raised = true
	}
	return row.Token()
}

// planNextRow builds the next row if moves can end, or new ones are wanted.
func (r *Replica) planNextRow() {
	k := r.keeper
	if k.pending != nil {
		return
	}
	for _, s := range k.servers {
		s.pendingSlots = 0
	}
	d := &draft{base: k.committed, keepToken: r.bugs.movesKeepToken}
	r.endMoves(d)
	if r.planDue() {
		k.planDirty = false
		r.beginMoves(d)
	}
	r.changeStandby(d)
	if d.row == nil {
		return
	}
	d.row.WriteID = r.newWriteID()
	k.pending = d.row
	if r.bugs.lapseWithoutStandby && r.now < k.outage.leaseEnd {
		k.commit(k.pending)
	}
}

// planDue reports whether something that the moves depend on may have changed:
// an event, or a server that went silent.
func (r *Replica) planDue() bool {
	k := r.keeper
	if k.planDirty || k.hasUnowned {
		return true
	}
	for owner := range k.sets {
		if !r.responsiveAs(owner) {
			return true
		}
	}
	return false
}

// endMoves gives the slots of ended moves to their new owners.
func (r *Replica) endMoves(d *draft) {
	var kept []Move
	for _, m := range d.base.Moves {
		if !r.endMove(d, m) {
			kept = append(kept, m)
		}
	}
	if d.row != nil {
		d.row.Moves = kept
	}
}

// endMove gives the slot of a move to its new owner, if that can be.
func (r *Replica) endMove(d *draft, m Move) bool {
	if !r.moveEnded(m) {
		return false
	}
	to, ok := r.moveTarget(m)
	if !ok {
		return false
	}
	token := d.raiseToken()
	d.assign(m.Slot, to, token)
	r.logSlot("move ended", m.Slot, to.ID, token)
	return true
}

// assign sets the owner of a slot.
func (d *draft) assign(slot uint32, to ServerRef, token backend.Token) {
	row := d.edit()
	i, found := findSlot(row, slot)
	if !found {
		return
	}
	row.Slots[i].Owner = to
	row.Slots[i].Token = token
}

// moveTarget returns the server that gets the slot of a move. It is another one
// than planned if that was lost or started anew meanwhile.
func (r *Replica) moveTarget(m Move) (ServerRef, bool) {
	if r.canOwn(m.To) {
		return m.To, true
	}
	return r.chooseOwner(m.Slot)
}

// moveEnded reports whether the old owner's right to the slot has ended.
func (r *Replica) moveEnded(m Move) bool {
	if !r.checks(m.From.ID) {
		return r.uncheckedMoveEnded(m)
	}
	if r.revokeAcknowledged(m) {
		return true
	}
	if r.responsiveAs(m.From) {
		// Its lease goes on for its other slots, and with it the running work of
		// this one. That holds also for a move by lapse whose old owner is back.
		return false
	}
	return r.serverGone(m.From.ID) || r.leasesExpired(m.From) && r.now >= r.renewalsEnd(m)
}

// uncheckedMoveEnded reports whether no VM may send requests of the slot to a
// server that does not check any more, and what was sent has met its deadline.
//
// Such a server runs whatever arrives, so neither its lease nor a revoke counts.
// What counts are the route leases that named it as the owner: this keeper's,
// none of which is handed out once the move is decided; its predecessor's, whose
// right ended at actFrom; and those of a standby that held over. A later lease of
// the group's other routes must not count, or the move would never end while VMs
// go on asking.
func (r *Replica) uncheckedMoveEnded(m Move) bool {
	k := r.keeper
	if r.serverGone(m.From.ID) {
		return true
	}
	lastHandedOut := max(k.withdrawnSince(m, r.now), k.activeFrom, r.renewalsEnd(m))
	return r.now >= lastHandedOut+r.stretch(r.timing.RouteLease+r.timing.RequestDeadline)
}

// withdrawnSince returns when the routes were first seen to show the move.
func (k *keeperState) withdrawnSince(m Move, now Instant) Instant {
	since, ok := k.withdrawnAt[m.Token]
	if !ok {
		since = now
		k.withdrawnAt[m.Token] = now
	}
	return since
}

// forgetWithdrawn drops what is known of moves that have ended.
func (k *keeperState) forgetWithdrawn() {
	for token := range k.withdrawnAt {
		underWay := slices.ContainsFunc(k.committed.Moves, func(m Move) bool { return m.Token == token })
		if !underWay {
			delete(k.withdrawnAt, token)
		}
	}
}

// revokeAcknowledged reports whether the old owner acknowledged a revoke of this move.
// A revoke covers the moves of the row that its token names, and a move keeps
// its token while it lasts; so the acknowledgement of an earlier move of the
// slot never counts for a later one.
func (r *Replica) revokeAcknowledged(m Move) bool {
	s := r.keeper.servers[m.From.ID]
	if s == nil || !s.heard || s.incarnation != m.From.Incarnation {
		return false
	}
	if r.bugs.anyRevokeCounts {
		return s.revoked != backend.Token{}
	}
	return s.revoked != backend.Token{} && !s.revoked.Less(m.Token)
}

// beginMoves adds the moves that are wanted, and gives slots that nobody has
// ever held to their first owner.
func (r *Replica) beginMoves(d *draft) {
	moving := movingSlots(d.current())
	for _, so := range d.base.Slots {
		if moving[so.Slot] || movedIn(d, so.Slot) {
			continue
		}
		to, kind, wanted := r.wantedMove(so)
		if !wanted {
			continue
		}
		token := d.raiseToken()
		if so.Owner.IsZero() {
			d.assign(so.Slot, to, token)
			r.logSlot("first owner", so.Slot, to.ID, token)
			continue
		}
		row := d.edit()
		row.Moves = append(row.Moves, Move{Slot: so.Slot, From: so.Owner, To: to, Kind: kind, Token: token})
		r.logSlot(fmt.Sprintf("move by %s to %s", kind, to.ID), so.Slot, so.Owner.ID, token)
	}
}

// movedIn reports whether the draft has just ended a move of the slot.
func movedIn(d *draft, slot uint32) bool {
	if d.row == nil || len(d.base.Moves) == 0 {
		return false
	}
	i, found := findSlot(d.row, slot)
	return found && d.row.Slots[i] != d.base.Slots[i]
}

// wantedMove returns where a slot should go, if it should go anywhere.
func (r *Replica) wantedMove(so SlotOwner) (to ServerRef, kind MoveKind, wanted bool) {
	if so.Owner.IsZero() {
		to, wanted = r.chooseOwner(so.Slot)
		return to, MoveByLapse, wanted
	}
	if r.responsiveAs(so.Owner) {
		to, wanted = r.betterOwner(so)
		return to, MoveByConsent, wanted
	}
	if !r.presumedLost(so.Owner) {
		return ServerRef{}, MoveByLapse, false
	}
	to, wanted = r.chooseOwner(so.Slot)
	return to, MoveByLapse, wanted
}

// betterOwner returns the server that a slot of a healthy owner should move to.
func (r *Replica) betterOwner(so SlotOwner) (ServerRef, bool) {
	if want, ok := r.plannedOwner(so.Slot); ok {
		return want, want != so.Owner
	}
	plan, named := r.plan.Servers[so.Owner.ID]
	if named && !plan.Drain {
		return ServerRef{}, false
	}
	if len(r.plan.Servers) == 0 {
		return ServerRef{}, false // no plan is known yet
	}
	return r.chooseOwner(so.Slot)
}

// presumedLost reports whether the silent owner of a slot has lost its lease, was
// reported lost, or started anew.
func (r *Replica) presumedLost(owner ServerRef) bool {
	s := r.keeper.servers[owner.ID]
	if s == nil {
		return r.leasesExpired(owner)
	}
	if s.lost || s.heard && s.incarnation != owner.Incarnation {
		return true
	}
	if r.keeper.outage.holdOverPossible && s.heard {
		return true // silent: the move has to be shown to the standby in time
	}
	return r.now >= max(s.leaseEndOf(owner), r.keeper.priorLeasesEnd)
}

// plannedOwner returns the owner that the plan names, if it can own.
func (r *Replica) plannedOwner(slot uint32) (ServerRef, bool) {
	id, ok := r.plan.Owners[slot]
	if !ok {
		return ServerRef{}, false
	}
	return r.usable(id)
}

// chooseOwner returns the planned owner of a slot, or else the usable server
// that is to hold the fewest slots.
func (r *Replica) chooseOwner(slot uint32) (ServerRef, bool) {
	if to, ok := r.plannedOwner(slot); ok {
		return to, true
	}
	if _, planned := r.plan.Owners[slot]; planned && r.now < r.keeper.activeFrom+r.timing.Lease {
		return ServerRef{}, false // the planned owner may not have been heard yet
	}
	best, found := "", false
	for _, id := range r.keeper.serverIDs {
		if _, ok := r.usable(id); !ok {
			continue
		}
		if !found || r.keeper.load(id) < r.keeper.load(best) {
			best, found = id, true
		}
	}
	if !found {
		return ServerRef{}, false
	}
	r.keeper.servers[best].pendingSlots++
	return r.keeper.servers[best].ref(best), true
}

// load counts the slots that a server holds or is about to get.
func (k *keeperState) load(id string) int { return len(k.servers[id].set) + k.servers[id].pendingSlots }

// usable returns a server that may own slots now.
func (r *Replica) usable(id string) (ServerRef, bool) {
	plan, ok := r.plan.Servers[id]
	s := r.keeper.servers[id]
	if !ok || plan.Drain || !r.responsive(s) {
		return ServerRef{}, false
	}
	return s.ref(id), true
}

// canOwn reports whether a start of a server may own slots now.
func (r *Replica) canOwn(ref ServerRef) bool {
	now, ok := r.usable(ref.ID)
	return ok && now == ref
}

// sendRevokes tells the old owners of moves.
func (r *Replica) sendRevokes() {
	k := r.keeper
	if len(k.committed.Moves) == 0 {
		return
	}
	slots := r.releasedSlots()
	for _, id := range k.serverIDs {
		s := k.servers[id]
		if len(slots[id]) == 0 || r.now < s.nextRevoke {
			continue
		}
		s.nextRevoke = r.now + r.timing.Retry
		r.emit(SendRevoke{Server: id, Request: backend.RevokeRequest{Group: r.group, Token: k.token(), Slots: slots[id]}})
	}
}

// releasedSlots returns the slots whose old owner answers and has not given them
// up yet, by old owner.
func (r *Replica) releasedSlots() map[string][]uint32 {
	slots := map[string][]uint32{}
	for _, m := range r.keeper.committed.Moves {
		if r.responsiveAs(m.From) && !r.revokeAcknowledged(m) {
			slots[m.From.ID] = append(slots[m.From.ID], m.Slot)
		}
	}
	return slots
}

// findSlot returns the index of a slot in the row, whose slots are sorted.
func findSlot(row *GroupRow, slot uint32) (int, bool) {
	return slices.BinarySearchFunc(row.Slots, slot, func(so SlotOwner, want uint32) int {
		return cmp.Compare(so.Slot, want)
	})
}

func (r *Replica) logSlot(what string, slot uint32, server string, token backend.Token) {
	r.emit(LogDecision{What: what, Slot: int64(slot), Server: server, Token: token})
}
