package ownership

import "kumquatcleat/internal/backend"

// Hold-over. While a confirmed outage lease lasts and the keeper is silent, or
// after the keeper ceded, the standby renews the grants as they are. It decides
// nothing: it renews only for a server that just said what it holds, under a
// valid lease, and only if the newest row that the standby knows gives that server
// every one of those slots under the same tokens, none of them under a move. The
// renewal carries the highest token that the server told, so that whatever the
// keeper did since makes the server refuse it.
//
// An owner that a row merely names is not granted anything: the standby's row may
// be old, the keeper may have moved the slot by lapse since, and that server,
// back from a freeze, would take the grant.

// holdOverRecord is what the standby notes of one server.
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

// advanceHoldOver asks the servers what they hold.
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

// handleHoldOverAnswer renews what a server said that it holds. A server that is
// giving slots up has to answer the revoke of the keeper's move first: a renewal
// for its other slots would let running work of the moving ones go on, though the
// keeper, once the standby has the move, waits for one lease alone.
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
	giving := slotsFrom(row, owner)
	ended := ev.Call == CallRevoke && ev.Token == row.Token() && ev.State.Accepted && ev.State.Running == 0
	if len(giving) > 0 && !ended && !r.bugs.holdOverDuringMove {
		r.repeatRevoke(ev, row, giving)
		return
	}
	r.sendHoldOverGrant(ev, backend.GrantRequest{Token: ev.State.Highest, Renew: true})
}

// sendHoldOverGrant sends a grant that runs from the clock in an answer.
func (r *Replica) sendHoldOverGrant(ev ServerAnswered, request backend.GrantRequest) {
	request.Group = r.group
	request.Incarnation = ev.State.Incarnation
	request.ExpiresAt = ev.State.Clock + r.timing.Lease.Milliseconds()
	r.emit(SendGrant{Server: ev.Server, Request: request})
}

// repeatRevoke repeats the revoke of the keeper's moves. The answer to it is not
// answered with another one; the next question follows at its interval.
func (r *Replica) repeatRevoke(ev ServerAnswered, row *GroupRow, slots []uint32) {
	if ev.Call == CallState {
		r.emit(SendRevoke{Server: ev.Server, Request: backend.RevokeRequest{Group: r.group, Token: row.Token(), Slots: slots}})
	}
}

// slotsFrom returns the slots under a move whose old owner is owner.
func slotsFrom(row *GroupRow, owner ServerRef) []uint32 {
	var slots []uint32
	for _, m := range row.Moves {
		if m.From == owner {
			slots = append(slots, m.Slot)
		}
	}
	return slots
}

// rowAssigns reports whether row gives owner every slot that it says it holds.
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

// assignedSlots returns the slots whose owner the row names.
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

// holdOverRoutes returns the routes of the newest row that the standby knows.
// The keeper waits for these route leases as for the renewals: they are shorter.
func (r *Replica) holdOverRoutes() Routes {
	routes := r.routesOf(r.standby.newestRow(r.table.row))
	routes.Version += 1<<(routeVersionBits-1) + routes.Token.Seq
	return routes
}
