package ownership

import (
	"slices"
	"time"

	"kumquatcleat/internal/backend"
)

// serverRecord is what a keeper knows of one server.
//
// The lease. ExpiresAt of a grant is the clock in the server's last answer plus
// Lease. The server read that clock before the answer was received; so the
// lease ends before Lease, stretched by the drift, has passed since the receipt.
// A grant that is delayed, doubled or sent late carries the same old expiry. No
// clock is compared with another machine's.
//
// The set. The slots that a server is granted are a pure function of the row,
// and each change of the row's slots or moves raises the token. So two grants
// with one token give one set, an accepted grant tells exactly what the server
// holds, and a delayed grant with another set is refused by its lower token.
type serverRecord struct {
	heard       bool
	incarnation string
	clock       int64   // in the last answer, milliseconds
	heardAt     Instant // receipt of that answer
	askedAt     Instant // send of the call that it answered
	lost        bool    // taken for lost; an answer clears it

	leaseEnd        Instant // every lease granted to this start has surely ended by then
	earlierLeaseEnd Instant // every lease granted to its earlier starts has surely ended by then
	nextCall        Instant // next grant or question

	set      []backend.SlotToken // slots to be granted, from the newest sure row
	setToken backend.Token       // token of the row at which set changed last
	accepted backend.Token       // token of the youngest grant accepted; zero: none
	revoked  backend.Token       // token of the youngest revoke that ended
	fenced   bool                // answered the fence of a recovering keeper
	held     []backend.SlotToken // what it held at the fence

	nextRevoke   Instant
	pendingSlots int  // slots that the row in the making gives to the server
	releasing    bool // old owner of a move
}

// ref names the start of the server that answered last.
func (s *serverRecord) ref(id string) ServerRef {
	return ServerRef{ID: id, Incarnation: s.incarnation}
}

// server returns the record of a server, making it if needed.
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

// indexSlots works out the set of each server from the newest sure row.
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

// updateSet notes the set of one server.
func (k *keeperState) updateSet(id string, s *serverRecord) {
	set := k.sets[s.ref(id)]
	if slices.Equal(set, s.set) {
		return
	}
	s.set = set
	s.setToken = k.token()
	s.nextCall = 0
}

// movingSlots returns the slots under a move.
func movingSlots(row *GroupRow) map[uint32]bool {
	moving := make(map[uint32]bool, len(row.Moves))
	for _, m := range row.Moves {
		moving[m.Slot] = true
	}
	return moving
}

// handlePlanChanged notes the wanted owners.
func (r *Replica) handlePlanChanged(ev PlanChanged) {
	r.plan = ev
	if r.keeper != nil {
		r.keeper.planDirty = true
		r.addPlannedServers()
	}
}

// addPlannedServers makes a record of each server of the plan.
func (r *Replica) addPlannedServers() {
	for id := range r.plan.Servers {
		r.keeper.server(id)
	}
}

// handleServerLost notes that a server is taken for lost.
func (r *Replica) handleServerLost(id string) {
	k := r.keeper
	if k == nil || k.servers[id] == nil {
		return
	}
	k.servers[id].lost = true
	k.planDirty = true
}

// handleServerAnswer notes a server's answer.
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
	if s.heard && ev.SentAt < s.askedAt {
		return // overtaken by the answer to a younger call
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

// recordAnswer notes the clock and the start of the server that answered.
func (r *Replica) recordAnswer(s *serverRecord, ev ServerAnswered) {
	k := r.keeper
	restarted := s.heard && s.incarnation != ev.State.Incarnation
	if restarted || !s.heard || s.lost || r.now >= s.heardAt+r.silenceTimeout() {
		k.planDirty = true
	}
	first := !s.heard
	s.heard = true
	s.lost = false
	s.askedAt = ev.SentAt
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
		r.table.nextRead = min(r.table.nextRead, r.now) // a younger keeper has granted
	}
}

// handleGrantAnswer notes what became of a grant.
func (r *Replica) handleGrantAnswer(s *serverRecord, ev ServerAnswered) {
	if !ev.State.Accepted {
		s.accepted = backend.Token{}
		r.keeper.routeChanges++
		return
	}
	if ev.Token == r.keeper.token() && heldCount(ev.State) != len(s.set) {
		// The server dropped slots, for instance after its lease lapsed while it
		// was frozen: grant the whole set again.
		s.accepted = backend.Token{}
		s.nextCall = r.now
		return
	}
	if s.accepted.Less(ev.Token) {
		s.accepted = ev.Token
		r.keeper.routeChanges++
	}
}

// heldCount returns how many slots a server says that it holds.
func heldCount(state backend.ServerState) int { return max(len(state.Slots), state.Held) }

// handleRevokeAnswer notes that no request of the revoked slots runs any more. The
// fence of a recovering keeper names no slots, so that its answer ends no move.
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

// responsive reports whether a server answered lately.
func (r *Replica) responsive(s *serverRecord) bool {
	return s != nil && s.heard && !s.lost && r.now < s.heardAt+r.silenceTimeout()
}

// silenceTimeout returns how long a server may be silent before its slots move. While a
// standby may hold over, a move by lapse waits one lease more after the standby
// has it; so it begins before the lease has lapsed. One lost renewal leaves a gap
// of two thirds of a lease, which is still shorter.
func (r *Replica) silenceTimeout() time.Duration {
	if r.keeper.outage.holdOverPossible {
		return r.timing.Lease * 3 / 4
	}
	return r.timing.Lease
}

// responsiveAs reports whether a start of a server answered lately.
func (r *Replica) responsiveAs(ref ServerRef) bool {
	s := r.keeper.servers[ref.ID]
	return r.responsive(s) && s.incarnation == ref.Incarnation
}

// renewInterval leaves room for two lost renewals before a lease runs out.
func (r *Replica) renewInterval() time.Duration { return r.timing.Lease / 3 }

// askServers asks the servers that get no grants now for their state: a clock
// has to be known before the first grant, and a silent server may come back.
func (r *Replica) askServers() {
	k := r.keeper
	for _, id := range k.serverIDs {
		s := k.servers[id]
		if r.now < s.nextCall || r.grantDue(s) && r.mayDecide() && !k.recovering {
			continue
		}
		s.nextCall = r.now + r.renewInterval()
		r.emit(AskState{Server: id})
	}
}

// grantDue reports whether a server is to be told what it holds. One that holds
// nothing is told so once. While it runs work of slots that it gives up, its
// lease goes on: a server ends running work when its lease lapses.
func (r *Replica) grantDue(s *serverRecord) bool {
	if !s.heard || s.lost {
		return false
	}
	return len(s.set) > 0 || s.releasing || !r.keeper.holdsSet(s)
}

// sendGrants grants and renews what is due.
func (r *Replica) sendGrants() {
	for _, id := range r.keeper.serverIDs {
		r.sendGrantIfDue(id)
	}
}

// sendGrantIfDue grants or renews what is due at one server.
func (r *Replica) sendGrantIfDue(id string) {
	s := r.keeper.servers[id]
	if s != nil && r.now >= s.nextCall && r.grantDue(s) && r.mayDecide() {
		r.sendGrant(id, s)
	}
}

// sendGrant sends one grant: the whole set, or a renewal if the server is known
// to hold that set already.
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

// leaseEndAfter returns when a lease from the last answer has surely ended.
func (r *Replica) leaseEndAfter(s *serverRecord) Instant {
	if r.bugs.leaseFromSend {
		return s.askedAt + r.timing.Lease
	}
	return s.heardAt + r.stretch(r.timing.Lease)
}

// holdsSet reports whether a server accepted exactly the set that it should hold.
func (k *keeperState) holdsSet(s *serverRecord) bool {
	return s.accepted != backend.Token{} && !s.accepted.Less(s.setToken)
}

// leasesExpired reports whether no lease that a keeper granted to the server can be
// alive, nor a request run that a VM sent to it if it does not check.
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

// serverGone reports whether a server's VM no longer exists.
func (r *Replica) serverGone(id string) bool {
	return r.plan.Servers[id].Gone && !r.responsive(r.keeper.servers[id])
}

// leaseEndOf returns when every lease of a start of the server has surely ended.
func (s *serverRecord) leaseEndOf(ref ServerRef) Instant {
	if s.incarnation == ref.Incarnation {
		return max(s.leaseEnd, s.earlierLeaseEnd)
	}
	return s.earlierLeaseEnd
}

// checks reports whether a server refuses requests without a valid grant. One
// that the plan does not name may not.
func (r *Replica) checks(id string) bool { return r.plan.Servers[id].Checks }
