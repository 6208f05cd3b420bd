package ownership

import "kumquatcleat/internal/backend"

// keeperState is what a keeper knows. It exists from the moment the row names
// this VM until the row names another.
//
// The rows of one keeper form a chain: decided is the newest row that is sure to
// outlive this VM, because the table has it or, in outage mode, because the
// standby acknowledged it; next is the row built on it that waits for that.
// Grants follow decided alone.
type keeperState struct {
	epoch     uint64
	committed *GroupRow
	pending   *GroupRow // nil: no change is wanted

	// activeFrom is when the predecessor's right has surely ended. Before it nothing
	// is decided or granted.
	activeFrom Instant
	// priorLeasesEnd is when every lease that a predecessor granted has surely ended.
	priorLeasesEnd Instant
	// recovering says that servers still have to be asked for moves that their
	// predecessors made and the row does not show.
	recovering bool
	fenceToken backend.Token // token of the fence; zero: none was sent

	tableLeaseEnd Instant // the row gives the right to decide before this
	outage        outageLease
	standby       standbyWatch

	servers    map[string]*serverRecord
	serverIDs  []string // keys of servers, sorted
	planDirty  bool     // the wanted moves have to be worked out again
	hasUnowned bool     // a slot of decided waits for its first owner
	// sets are the slots of each server in decided, without those under a move.
	sets map[ServerRef][]backend.SlotToken

	routeLeasesEnd Instant // every route lease handed out has ended by then
	// withdrawnAt is since when the routes show a move, by its token.
	withdrawnAt  map[backend.Token]Instant
	routeChanges uint64 // counts changes of the routes
	nextCede     Instant
}

// newKeeperState returns the state of a keeper that starts from row.
func newKeeperState(row *GroupRow) *keeperState {
	k := &keeperState{
		epoch:       row.Epoch,
		committed:   row,
		recovering:  row.Recovering,
		servers:     map[string]*serverRecord{},
		withdrawnAt: map[backend.Token]Instant{},
		planDirty:   true,
	}
	k.indexSlots()
	return k
}

// markStored notes that the table has row.
func (k *keeperState) markStored(row *GroupRow) {
	if k.pending != nil && k.pending.WriteID == row.WriteID {
		k.commit(k.pending)
	}
}

// commit makes row the newest sure one.
func (k *keeperState) commit(row *GroupRow) {
	if row.Standby != k.committed.Standby {
		k.outage.changeStandby()
	}
	k.committed = row
	k.pending = nil
	k.recovering = row.Recovering
	k.planDirty = true
	k.routeChanges++
	k.indexSlots()
	k.forgetWithdrawn()
}

// token returns the token of the newest sure row.
func (k *keeperState) token() backend.Token { return k.committed.Token() }

// extendTableLease counts the right from a read, or an applied write, that
// showed this VM as the keeper. The right runs from the send: the table answered
// at some later time, and a takeover after that waits RowRight from its own
// answer, later still. So the right has ended when the successor acts.
func (r *Replica) extendTableLease(sentAt Instant) {
	k := r.keeper
	if k == nil || r.table.row == nil || r.table.row.Keeper != r.self {
		return
	}
	k.tableLeaseEnd = max(k.tableLeaseEnd, sentAt+r.timing.RowLease)
}

// decisionLeaseEnd returns when this keeper's right to decide ends.
func (r *Replica) decisionLeaseEnd() Instant {
	if r.keeper == nil {
		return 0
	}
	return max(r.keeper.tableLeaseEnd, r.keeper.outage.leaseEnd)
}

// mayDecide reports whether this VM may decide and grant at this moment.
func (r *Replica) mayDecide() bool {
	k := r.keeper
	if k == nil || !r.deciding() {
		return false
	}
	return r.now >= k.activeFrom && r.now < r.decisionLeaseEnd()
}

// currentToken returns the token of the newest row known.
func (r *Replica) currentToken() backend.Token {
	if r.keeper != nil {
		return r.keeper.token()
	}
	if r.table.row != nil {
		return r.table.row.Token()
	}
	return backend.Token{}
}

// dropKeeper ends the role of keeper.
func (r *Replica) dropKeeper() {
	if r.keeper == nil {
		return
	}
	r.keeper = nil
	r.log("no longer the keeper")
}

// advanceKeeper does the keeper's work that is due.
func (r *Replica) advanceKeeper() {
	if r.keeper == nil || !r.deciding() {
		return
	}
	r.sendHeartbeat()
	r.advanceOutage()
	r.askServers()
	if !r.mayDecide() {
		return
	}
	if r.keeper.recovering {
		r.recover()
	}
	if r.keeper.recovering {
		return
	}
	r.planNextRow()
	r.sendGrants()
	r.sendRevokes()
}
