package ownership

import (
	"slices"
	"time"

	"kumquatcleat/internal/backend"
)

// serverRecord is what a keeper knows about one server.
//
// Lease: ExpiresAt of a grant is the clock in the server's last answer plus Lease.
// The server read that clock before the answer was received. So the lease expires
// before Lease, extended by the clock drift, has passed since the receipt. A grant
// that is delayed, duplicated or sent late carries the same old expiry. Clocks of
// different machines are never compared.
//
// Set: the slots that a server is granted are a pure function of the row, and each
// change of the row's slots or moves raises the token. So two grants with the same
// token have the same set, an accepted grant tells exactly what the server holds,
// and a delayed grant with another set is refused for its lower token.
type serverRecord struct {
	heard       bool // the server has answered this keeper
	incarnation string
	clock       int64   // server's clock in the last answer, in milliseconds
	heardAt     Instant // when that answer was received
	sentAt      Instant // when the call that it answered was sent
	lost        bool    // considered lost; an answer clears it

	leaseEnd        Instant // when every lease granted to this incarnation has certainly expired
	earlierLeaseEnd Instant // the same for its earlier incarnations
	nextCall        Instant // when the next grant or state query is due

	set      []backend.SlotToken // slots to grant, from the newest committed row
	setToken backend.Token       // token of the row that last changed set
	accepted backend.Token       // token of the newest accepted grant; zero: none
	revoked  backend.Token       // token of the newest revoke after which nothing runs
	fenced   bool                // answered the fencing revoke of a recovering keeper
	held     []backend.SlotToken // what it held at that time

	nextRevoke   Instant
	pendingSlots int  // slots that the draft of the next row assigns to the server
	releasing    bool // old owner of a move in progress
}

// ref returns the incarnation of the server that answered last.
func (s *serverRecord) ref(id string) ServerRef {
	return ServerRef{ID: id, Incarnation: s.incarnation}
}

// server returns the record of a server, creating it if needed.
func (k *keeperState) server(id string) *serverRecord {
	s := k.servers[id]
	if s != nil {
		return s
	}
	s = &serverRecord{setToken: k.token()}
	k.servers[id] = s
	i, _ := slices.BinarySearch(k.serverIDs, id)
	k.serverIDs = slices.Insert(k.serverIDs, i, id)
	return s
}

// indexSlots computes the slots of each server from the newest committed row.
func (k *keeperState) indexSlots() {
	moving := movingSlots(k.committed)
	k.sets = map[ServerRef][]backend.SlotToken{}
	k.hasUnowned = false
	for _, so := range k.committed.Slots {
		if so.Owner.IsZero() {
			k.hasUnowned = true
			continue
		}
		k.server(so.Owner.ID)
		if !moving[so.Slot] {
			k.sets[so.Owner] = append(k.sets[so.Owner], backend.SlotToken{Slot: so.Slot, Token: so.Token})
		}
	}
	for id, s := range k.servers {
		s.releasing = false
		k.updateSet(id, s)
	}
	for _, m := range k.committed.Moves {
		k.server(m.From.ID).releasing = true
	}
}

// updateSet updates the slots to grant to one server.
func (k *keeperState) updateSet(id string, s *serverRecord) {
	set := k.sets[s.ref(id)]
	if slices.Equal(set, s.set) {
		return
	}
	s.set = set
	s.setToken = k.token()
	s.nextCall = 0
}

// movingSlots returns the slots that are being moved.
func movingSlots(row *GroupRow) map[uint32]bool {
	moving := make(map[uint32]bool, len(row.Moves))
	for _, m := range row.Moves {
		moving[m.Slot] = true
	}
	return moving
}

// handlePlanChanged records the new plan.
func (r *Replica) handlePlanChanged(ev PlanChanged) {
	r.plan = ev
	if r.keeper != nil {
		r.keeper.planDirty = true
		r.addPlannedServers()
	}
}

// addPlannedServers creates a record for each server of the plan.
func (r *Replica) addPlannedServers() {
	for id := range r.plan.Servers {
		r.keeper.server(id)
	}
}

// handleServerLost records that a server is considered lost.
func (r *Replica) handleServerLost(id string) {
	k := r.keeper
	if k == nil || k.servers[id] == nil {
		return
	}
	k.servers[id].lost = true
	k.planDirty = true
}

// handleServerAnswer processes an answer of a server.
func (r *Replica) handleServerAnswer(ev ServerAnswered) {
	if ev.Err != nil {
		return
	}
	if r.standby != nil {
		r.handleHoldOverAnswer(ev)
	}
	k := r.keeper
	if k == nil {
		return
	}
	s := k.server(ev.Server)
	if s.heard && ev.SentAt < s.sentAt {
		return // out of order: a later call was already answered
	}
	r.recordAnswer(s, ev)
	switch ev.Call {
	case CallGrant:
		r.handleGrantAnswer(s, ev)
	case CallRevoke:
		r.handleRevokeAnswer(s, ev)
	case CallState:
	}
}

// recordAnswer records the clock and the incarnation of the server that answered.
func (r *Replica) recordAnswer(s *serverRecord, ev ServerAnswered) {
	k := r.keeper
	restarted := s.heard && s.incarnation != ev.State.Incarnation
	if restarted || !s.heard || s.lost || r.now >= s.heardAt+r.silenceTimeout() {
		k.planDirty = true
	}
	first := !s.heard
	s.heard = true
	s.lost = false
	s.sentAt = ev.SentAt
	s.heardAt = r.now
	s.clock = ev.State.Clock
	if restarted {
		s.earlierLeaseEnd = max(s.earlierLeaseEnd, s.leaseEnd)
		s.leaseEnd = 0
	}
	if first || restarted {
		s.incarnation = ev.State.Incarnation
		s.accepted = backend.Token{}
		s.revoked = backend.Token{}
		s.nextCall = 0
		k.updateSet(ev.Server, s)
	}
	if ev.State.Highest.Epoch > k.epoch {
		r.table.nextRead = min(r.table.nextRead, r.now) // a newer keeper has granted
	}
}

// handleGrantAnswer processes the answer to a grant.
func (r *Replica) handleGrantAnswer(s *serverRecord, ev ServerAnswered) {
	if !ev.State.Accepted {
		s.accepted = backend.Token{}
		r.keeper.routeChanges++
		return
	}
	if ev.Token == r.keeper.token() && heldCount(ev.State) != len(s.set) {
		// The server dropped slots, for example because its lease expired while it
		// was frozen. Grant the whole set again.
		s.accepted = backend.Token{}
		s.nextCall = r.now
		return
	}
	if s.accepted.Less(ev.Token) {
		s.accepted = ev.Token
		r.keeper.routeChanges++
	}
}

// heldCount returns the number of slots that a server reports as held.
func heldCount(state backend.ServerState) int { return max(len(state.Slots), state.Held) }

// handleRevokeAnswer records that no request for the revoked slots is running. The
// fencing revoke of a recovering keeper names no slots, so its answer ends no move.
func (r *Replica) handleRevokeAnswer(s *serverRecord, ev ServerAnswered) {
	k := r.keeper
	if !ev.State.Accepted || ev.Token.Epoch != k.epoch {
		return
	}
	if k.recovering {
		r.handleFenceAnswer(s, ev)
		return
	}
	if !k.fenceToken.Less(ev.Token) {
		return
	}
	if ev.State.Running == 0 && s.revoked.Less(ev.Token) {
		s.revoked = ev.Token
		k.planDirty = true
	}
}

// responsive reports whether a server answered within the silence timeout.
func (r *Replica) responsive(s *serverRecord) bool {
	return s != nil && s.heard && !s.lost && r.now < s.heardAt+r.silenceTimeout()
}

// silenceTimeout returns how long a server may be silent before its slots move. While
// a standby may hold over, a move by lapse waits for one more lease after the standby
// has received it, so the move begins before the lease expires. A server that misses
// one renewal is silent for two thirds of a lease, less than this timeout.
func (r *Replica) silenceTimeout() time.Duration {
	if r.keeper.outage.holdOverPossible {
		return r.timing.Lease * 3 / 4
	}
	return r.timing.Lease
}

// responsiveAs reports whether a given incarnation of a server is responsive.
func (r *Replica) responsiveAs(ref ServerRef) bool {
	s := r.keeper.servers[ref.ID]
	return r.responsive(s) && s.incarnation == ref.Incarnation
}

// renewInterval allows for two lost renewals before a lease expires.
func (r *Replica) renewInterval() time.Duration { return r.timing.Lease / 3 }

// askServers queries the state of the servers that get no grants now. The clock of a
// server must be known before its first grant, and a silent server may come back.
func (r *Replica) askServers() {
	k := r.keeper
	for _, id := range k.serverIDs {
		s := k.servers[id]
		if r.now < s.nextCall || r.needsGrant(s) && r.mayDecide() && !k.recovering {
			continue
		}
		s.nextCall = r.now + r.renewInterval()
		r.emit(AskState{Server: id})
	}
}

// needsGrant reports whether a server is sent grants rather than state queries, at its
// next call. A server without slots gets one empty grant. The lease of the old owner of a
// move is renewed, because a server stops running requests when its lease expires.
func (r *Replica) needsGrant(s *serverRecord) bool {
	if !s.heard || s.lost {
		return false
	}
	return len(s.set) > 0 || s.releasing || !r.keeper.holdsSet(s)
}

// sendGrants sends the grants and renewals that are due.
func (r *Replica) sendGrants() {
	for _, id := range r.keeper.serverIDs {
		r.sendGrantIfDue(id)
	}
}

// sendGrantIfDue sends one server its grant or renewal if that is due.
func (r *Replica) sendGrantIfDue(id string) {
	s := r.keeper.servers[id]
	if s != nil && r.now >= s.nextCall && r.needsGrant(s) && r.mayDecide() {
		r.sendGrant(id, s)
	}
}

// sendGrant sends one grant: the whole set, or a renewal if the server is known to
// hold that set already.
func (r *Replica) sendGrant(id string, s *serverRecord) {
	k := r.keeper
	s.nextCall = r.now + r.renewInterval()
	if !k.holdsSet(s) {
		s.nextCall = r.now + r.timing.Retry
	}
	request := backend.GrantRequest{
		Group:       r.group,
		Token:       k.token(),
		Incarnation: s.incarnation,
		ExpiresAt:   s.clock + r.timing.Lease.Milliseconds(),
		Renew:       k.holdsSet(s),
	}
	if !request.Renew {
		request.Slots = s.set
	}
	if len(s.set) > 0 || s.releasing {
		s.leaseEnd = max(s.leaseEnd, r.leaseEndAfter(s))
	}
	r.emit(SendGrant{Server: id, Request: request})
}

// leaseEndAfter returns when a lease counted from the last answer has certainly
// expired.
func (r *Replica) leaseEndAfter(s *serverRecord) Instant {
	if r.bugs.leaseFromSend {
		return s.sentAt + r.timing.Lease
	}
	return s.heardAt + r.stretch(r.timing.Lease)
}

// holdsSet reports whether a server accepted exactly the set that it should hold.
func (k *keeperState) holdsSet(s *serverRecord) bool {
	return s.accepted != backend.Token{} && !s.accepted.Less(s.setToken)
}

// leasesExpired reports whether no lease that a keeper granted to the server can be
// valid and, if the server does not check grants, no request that a VM sent to it can
// still be running.
func (r *Replica) leasesExpired(ref ServerRef) bool {
	k := r.keeper
	s := k.servers[ref.ID]
	if r.serverGone(ref.ID) {
		return true
	}
	end := k.priorLeasesEnd
	if s != nil {
		end = max(end, s.leaseEndOf(ref))
	}
	if !r.checks(ref.ID) {
		end = max(end, k.routeLeasesEnd, k.activeFrom+r.stretch(r.timing.RouteLease)) + r.timing.RequestDeadline
	}
	return r.now >= end
}

// serverGone reports whether a server's VM no longer exists and the server does not
// respond.
func (r *Replica) serverGone(id string) bool {
	return r.plan.Servers[id].Gone && !r.responsive(r.keeper.servers[id])
}

// leaseEndOf returns when every lease of an incarnation of the server has certainly
// expired.
func (s *serverRecord) leaseEndOf(ref ServerRef) Instant {
	if s.incarnation == ref.Incarnation {
		return max(s.leaseEnd, s.earlierLeaseEnd)
	}
	return s.earlierLeaseEnd
}

// checks reports whether a server refuses requests without a valid grant. A server
// that the plan does not name is assumed not to.
func (r *Replica) checks(id string) bool { return r.plan.Servers[id].Checks }
