package ownership

import (
	"cmp"
	"fmt"
	"slices"

	"kumquatcleat/internal/backend"
)

// A move takes two rows. The first contains the move: from then on neither server is
// granted the slot. The second names the new owner and is written only when the old
// owner can no longer run requests of the slot. In a move by consent that is when it
// has acknowledged a revoke of the move and nothing of the slot is running; in a move
// by lapse, when none of its leases can be valid. So if a row shows a slot with an
// owner and without a move, no other server holds the slot, whoever reads that row.
//
// Each of these rows raises the token, so that a late grant with the server's earlier
// slots is refused and cannot undo a revoke.

// draft builds the next row. It copies the base at the first change.
type draft struct {
	base      *GroupRow
	row       *GroupRow // nil: nothing changed
	raised    bool      // the token has been raised
	keepToken bool      // injected bug: the token is never raised
}

// current returns the row as drafted so far. The caller must not change it.
func (d *draft) current() *GroupRow {
	if d.row != nil {
		return d.row
	}
	return d.base
}

// edit returns the drafted row for changes, copying the base first if needed.
func (d *draft) edit() *GroupRow {
	if d.row == nil {
		d.row = d.base.Clone()
	}
	return d.row
}

// raiseToken raises the token above the base's, once per draft, and returns it.
func (d *draft) raiseToken() backend.Token {
	row := d.edit()
	if !d.raised && !d.keepToken {
		row.Seq++
		d.raised = true
	}
	return row.Token()
}

// planNextRow builds the next row if a move can end, a new one is wanted or the
// standby has to change.
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
	if r.bugs.lapseWithoutStandby && r.now < k.outage.outageLeaseEnd {
		k.commit(k.pending)
	}
}

// planDue reports whether an input of the wanted moves may have changed, by an event
// or because a server went silent.
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

// endMoves assigns the slots of moves that can end to their new owners.
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

// endMove assigns the slot of a move to its new owner, and reports whether the move
// could end.
func (r *Replica) endMove(d *draft, m Move) bool {
	if !r.mayEndMove(m) {
		return false
	}
	to, ok := r.moveTarget(m)
	if !ok {
		return false
	}
	token := d.raiseToken()
	d.assign(m.Slot, to, token)
	r.logSlot("move ended, new owner", m.Slot, to.ID, token)
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

// moveTarget returns the server that gets the slot of a move. It differs from the one
// in the move if that one was lost or has restarted since.
func (r *Replica) moveTarget(m Move) (ServerRef, bool) {
	if r.canOwn(m.To) {
		return m.To, true
	}
	return r.chooseOwner(m.Slot)
}

// mayEndMove reports whether a move may end: the old owner can no longer run requests
// of the slot.
func (r *Replica) mayEndMove(m Move) bool {
	if !r.checks(m.From.ID) {
		return r.mayEndUncheckedMove(m)
	}
	if r.revokeAcknowledged(m) {
		return true
	}
	if r.responsiveAs(m.From) {
		// Its lease is renewed for its other slots, so requests of this slot may
		// still be running. This also applies to a move by lapse whose old owner
		// is back.
		return false
	}
	return r.serverGone(m.From.ID) || r.leasesExpired(m.From) && r.now >= r.renewalsEnd(m)
}

// mayEndUncheckedMove reports whether a move away from an owner that does not check
// grants may end: no VM may send it requests of the slot, and the deadline of every
// request that was sent has passed.
//
// Such a server runs whatever arrives, so neither its lease nor a revoke counts. Only
// the route leases that named it as the owner count: this keeper's, none of which is
// handed out once the move is decided; its predecessor's, whose decision lease expired
// by activeFrom; and those of a standby in hold-over. Route leases that are handed out
// later for the group's other slots must not count, or the move would never end while
// VMs keep asking.
func (r *Replica) mayEndUncheckedMove(m Move) bool {
	k := r.keeper
	if r.serverGone(m.From.ID) {
		return true
	}
	lastHandedOut := max(k.firstSeen(m, r.now), k.activeFrom, r.renewalsEnd(m))
	return r.now >= lastHandedOut+r.stretch(r.timing.RouteLease+r.timing.RequestDeadline)
}

// firstSeen returns when this keeper first found the move in its committed row, and
// records the time if the move is new.
func (k *keeperState) firstSeen(m Move, now Instant) Instant {
	since, ok := k.moveFirstSeen[m.Token]
	if !ok {
		since = now
		k.moveFirstSeen[m.Token] = now
	}
	return since
}

// forgetEndedMoves drops the entries of ended moves from moveFirstSeen.
func (k *keeperState) forgetEndedMoves() {
	for token := range k.moveFirstSeen {
		underWay := slices.ContainsFunc(k.committed.Moves, func(m Move) bool { return m.Token == token })
		if !underWay {
			delete(k.moveFirstSeen, token)
		}
	}
}

// revokeAcknowledged reports whether the old owner acknowledged a revoke of this move.
// A revoke carries the token of the row that it was sent for. A move keeps the token of
// the row that began it, so the revoke's token is at least that of each move in its
// row. A revoke with a lower token than the move's was sent before this move began and
// does not count.
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

// beginMoves adds the wanted moves, and assigns slots that never had an owner to
// their first one.
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
			r.logSlot("assigned to its first owner", so.Slot, to.ID, token)
			continue
		}
		row := d.edit()
		row.Moves = append(row.Moves, Move{Slot: so.Slot, From: so.Owner, To: to, Kind: kind, Token: token})
		r.logSlot(fmt.Sprintf("move by %s to %s started", kind, to.ID), so.Slot, so.Owner.ID, token)
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

// wantedMove returns the server that a slot should move to and the kind of the move.
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

// betterOwner returns the server that a slot should move to although its owner
// responds, because the plan says so.
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

// presumedLost reports whether the slots of a silent owner may move: it was reported
// lost, has restarted, or no longer has a lease. While a standby may hold over, silence
// after an answer is enough.
func (r *Replica) presumedLost(owner ServerRef) bool {
	s := r.keeper.servers[owner.ID]
	if s == nil {
		return r.leasesExpired(owner)
	}
	if s.lost || s.heard && s.incarnation != owner.Incarnation {
		return true
	}
	if r.keeper.outage.holdOverPossible && s.heard {
		return true // the standby has to receive the move before the lease expires
	}
	return r.now >= max(s.leaseEndOf(owner), r.keeper.priorLeasesEnd)
}

// plannedOwner returns the owner that the plan names, if it may own slots now.
func (r *Replica) plannedOwner(slot uint32) (ServerRef, bool) {
	id, ok := r.plan.Owners[slot]
	if !ok {
		return ServerRef{}, false
	}
	return r.usable(id)
}

// chooseOwner returns the planned owner of a slot, or else the usable server with the
// fewest slots.
func (r *Replica) chooseOwner(slot uint32) (ServerRef, bool) {
	if to, ok := r.plannedOwner(slot); ok {
		return to, true
	}
	if _, planned := r.plan.Owners[slot]; planned && r.now < r.keeper.activeFrom+r.timing.Lease {
		return ServerRef{}, false // the planned owner may not have answered yet
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

// load returns the number of slots that a server holds or is about to get.
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

// canOwn reports whether an incarnation of a server may own slots now.
func (r *Replica) canOwn(ref ServerRef) bool {
	current, ok := r.usable(ref.ID)
	return ok && current == ref
}

// sendRevokes sends revokes to the old owners of moves.
func (r *Replica) sendRevokes() {
	k := r.keeper
	if len(k.committed.Moves) == 0 {
		return
	}
	slots := r.slotsToRevoke()
	for _, id := range k.serverIDs {
		s := k.servers[id]
		if len(slots[id]) == 0 || r.now < s.nextRevoke {
			continue
		}
		s.nextRevoke = r.now + r.timing.Retry
		r.emit(SendRevoke{Server: id, Request: backend.RevokeRequest{Group: r.group, Token: k.token(), Slots: slots[id]}})
	}
}

// slotsToRevoke returns, by old owner, the moving slots whose old owner responds and has
// not acknowledged their revoke yet.
func (r *Replica) slotsToRevoke() map[string][]uint32 {
	slots := map[string][]uint32{}
	for _, m := range r.keeper.committed.Moves {
		if r.responsiveAs(m.From) && !r.revokeAcknowledged(m) {
			slots[m.From.ID] = append(slots[m.From.ID], m.Slot)
		}
	}
	return slots
}

// findSlot returns the index of a slot in the row's sorted slots.
func findSlot(row *GroupRow, slot uint32) (int, bool) {
	return slices.BinarySearchFunc(row.Slots, slot, func(so SlotOwner, want uint32) int {
		return cmp.Compare(so.Slot, want)
	})
}

func (r *Replica) logSlot(what string, slot uint32, server string, token backend.Token) {
	r.emit(LogDecision{What: what, Slot: int64(slot), Server: server, Token: token})
}
