package ownership

import "kumquatcleat/internal/backend"

// In hold-over the standby renews the existing grants. It does so while a confirmed
// outage lease is valid and the keeper is silent, or after a stopping keeper ceded.
// It decides nothing. It renews only for a server that has just reported what it
// holds under a valid lease, and only if the newest row that the standby knows
// assigns all of those slots to that server under the same tokens, none of them being
// moved. The renewal carries the highest token that the server reported, so the
// server refuses it if the keeper has changed anything since.
//
// The owner in the row alone is not enough for a grant. The standby's row may be
// stale and the keeper may have moved the slot by lapse since; the old owner, back
// from a freeze, would accept the grant.

// holdOverRecord is the standby's record of one server during hold-over.
type holdOverRecord struct {
	nextAsk Instant
}

// mayHoldOver reports whether this standby may renew grants now.
func (r *Replica) mayHoldOver() bool {
	s := r.standby
	if s == nil || r.stopping {
		return false
	}
	if s.keeperStopping {
		return true
	}
	p := &s.promise
	confirmed := p.confirmed != 0 && r.now < p.confirmedAt+r.timing.OutageLease
	return confirmed && r.now >= s.heardAt+r.timing.HoldOverSilence
}

// advanceHoldOver queries the servers for what they hold.
func (r *Replica) advanceHoldOver() {
	if !r.mayHoldOver() {
		return
	}
	row := r.standby.newestRow(r.table.row)
	for _, id := range serverIDs(row) {
		record := r.standby.holdOver[id]
		if record == nil {
			record = &holdOverRecord{}
			r.standby.holdOver[id] = record
		}
		if r.now >= record.nextAsk {
			record.nextAsk = r.now + r.renewInterval()
			r.emit(AskState{Server: id})
		}
	}
}

// handleHoldOverAnswer renews what a server reported that it holds. A server that is
// the old owner of a move has to answer the revoke of that move first. A renewal for
// its other slots would let running requests of the moving slots continue, although
// the keeper waits for only one lease once the standby has the move.
func (r *Replica) handleHoldOverAnswer(ev ServerAnswered) {
	if !r.mayHoldOver() || ev.Call == CallGrant {
		return
	}
	row := r.standby.newestRow(r.table.row)
	owner := ServerRef{ID: ev.Server, Incarnation: ev.State.Incarnation}
	if r.bugs.holdOverFromRow && ev.Call == CallState {
		r.sendHoldOverGrant(ev, backend.GrantRequest{Token: row.Token(), Slots: assignedSlots(row, owner)})
		return
	}
	if len(ev.State.Slots) == 0 || !rowAssigns(row, owner, ev.State) {
		return
	}
	moving := slotsFrom(row, owner)
	revoked := ev.Call == CallRevoke && ev.Token == row.Token() && ev.State.Accepted && ev.State.Running == 0
	if len(moving) > 0 && !revoked && !r.bugs.holdOverDuringMove {
		r.repeatRevoke(ev, row, moving)
		return
	}
	r.sendHoldOverGrant(ev, backend.GrantRequest{Token: ev.State.Highest, Renew: true})
}

// sendHoldOverGrant sends a grant whose lease is counted from the clock in an answer.
func (r *Replica) sendHoldOverGrant(ev ServerAnswered, request backend.GrantRequest) {
	request.Group = r.group
	request.Incarnation = ev.State.Incarnation
	request.ExpiresAt = ev.State.Clock + r.timing.Lease.Milliseconds()
	r.emit(SendGrant{Server: ev.Server, Request: request})
}

// repeatRevoke resends the revoke of the keeper's moves, but only after a state query.
// The answer to the revoke itself triggers no other revoke; the next state query
// follows at its interval.
func (r *Replica) repeatRevoke(ev ServerAnswered, row *GroupRow, slots []uint32) {
	if ev.Call == CallState {
		r.emit(SendRevoke{Server: ev.Server, Request: backend.RevokeRequest{Group: r.group, Token: row.Token(), Slots: slots}})
	}
}

// slotsFrom returns the slots that are being moved away from owner.
func slotsFrom(row *GroupRow, owner ServerRef) []uint32 {
	var slots []uint32
	for _, m := range row.Moves {
		if m.From == owner {
			slots = append(slots, m.Slot)
		}
	}
	return slots
}

// rowAssigns reports whether row assigns to owner every slot that the server reported
// as held, under the same token.
func rowAssigns(row *GroupRow, owner ServerRef, state backend.ServerState) bool {
	if row.Token().Less(state.Highest) {
		return false
	}
	moving := movingSlots(row)
	for _, held := range state.Slots {
		i, found := findSlot(row, held.Slot)
		if !found || moving[held.Slot] || row.Slots[i].Owner != owner || row.Slots[i].Token != held.Token {
			return false
		}
	}
	return true
}

// assignedSlots returns the slots that the row assigns to owner, without those being
// moved.
func assignedSlots(row *GroupRow, owner ServerRef) []backend.SlotToken {
	var set []backend.SlotToken
	moving := movingSlots(row)
	for _, so := range row.Slots {
		if so.Owner == owner && !moving[so.Slot] {
			set = append(set, backend.SlotToken{Slot: so.Slot, Token: so.Token})
		}
	}
	return set
}

// holdOverRoutes returns the routes of the newest row that the standby knows. Their
// versions use the upper half of the counter's range, so that they follow those of the
// keeper of the same epoch. The keeper's wait for the renewals of hold-over also covers
// these route leases, which are shorter.
func (r *Replica) holdOverRoutes() Routes {
	routes := r.routesOf(r.standby.newestRow(r.table.row))
	routes.Version += 1<<(routeVersionBits-1) + routes.Token.Seq
	return routes
}
