package ownership

import "kumquatcleat/internal/backend"

// keeperState is the state of a keeper. It exists from the moment the row names
// this VM until the row names another, or until this VM cedes or stops.
//
// A keeper may decide and grant only while it holds a decision lease. The table
// gives one with each read that shows this VM as the keeper; in outage mode the
// standby gives one.
//
// The rows of one keeper form a chain. committed is the newest row that survives
// the loss of this VM, because the table has it or, in outage mode, because the
// standby acknowledged it. pending is built on it and waits to be committed.
// Grants follow committed only.
type keeperState struct {
	epoch     uint64
	committed *GroupRow
	pending   *GroupRow // nil: no change is waiting

	// activeFrom is when the predecessor's decision lease has certainly expired.
	// Nothing is decided or granted before it.
	activeFrom Instant
	// priorLeasesEnd is when every lease that a predecessor granted has certainly expired.
	priorLeasesEnd Instant
	// recovering means that servers still have to be asked for moves that earlier
	// keepers made and the row does not show.
	recovering bool
	fenceToken backend.Token // token of the revoke that fences the predecessor; zero: none was sent

	tableLeaseEnd Instant // end of the decision lease from the table
	outage        outageState
	standby       standbyWatch

	servers    map[string]*serverRecord
	serverIDs  []string // keys of servers, sorted
	planDirty  bool     // the wanted moves have to be recomputed
	hasUnowned bool     // a slot of committed has no owner yet
	// sets holds the slots of each server in committed, without those being moved.
	sets map[ServerRef][]backend.SlotToken

	routeLeasesEnd Instant // when every route lease handed out has expired
	// moveFirstSeen is when this keeper first found a move in its committed row, by the
	// move's token.
	moveFirstSeen map[backend.Token]Instant
	routeChanges  uint64 // counts changes of the routes
	nextCede      Instant
}

// newKeeperState returns the initial state of a keeper that row names.
func newKeeperState(row *GroupRow) *keeperState {
	k := &keeperState{
		epoch:         row.Epoch,
		committed:     row,
		recovering:    row.Recovering,
		servers:       map[string]*serverRecord{},
		moveFirstSeen: map[backend.Token]Instant{},
		planDirty:     true,
	}
	k.indexSlots()
	return k
}

// markStored commits the pending row if row, which the table has, is that one.
func (k *keeperState) markStored(row *GroupRow) {
	if k.pending != nil && k.pending.WriteID == row.WriteID {
		k.commit(k.pending)
	}
}

// commit makes row the newest committed row.
func (k *keeperState) commit(row *GroupRow) {
	if row.Standby != k.committed.Standby {
		k.outage.discardStandbyState()
	}
	k.committed = row
	k.pending = nil
	k.recovering = row.Recovering
	k.planDirty = true
	k.routeChanges++
	k.indexSlots()
	k.forgetEndedMoves()
}

// token returns the token of the newest committed row.
func (k *keeperState) token() backend.Token { return k.committed.Token() }

// extendTableLease extends the decision lease after a read, or an applied write,
// that showed this VM as the keeper. The lease starts when the call was sent. The
// table answered later, and a takeover after that waits RowLease from its own
// answer, which is later still. So the lease has expired when the successor acts.
func (r *Replica) extendTableLease(sentAt Instant) {
	k := r.keeper
	if k == nil || r.table.row == nil || r.table.row.Keeper != r.self {
		return
	}
	k.tableLeaseEnd = max(k.tableLeaseEnd, sentAt+r.timing.RowLease)
}

// decisionLeaseEnd returns when this keeper's decision lease expires.
func (r *Replica) decisionLeaseEnd() Instant {
	if r.keeper == nil {
		return 0
	}
	return max(r.keeper.tableLeaseEnd, r.keeper.outage.outageLeaseEnd)
}

// mayDecide reports whether this VM may decide and grant now.
func (r *Replica) mayDecide() bool {
	k := r.keeper
	if k == nil || !r.deciding() {
		return false
	}
	return r.now >= k.activeFrom && r.now < r.decisionLeaseEnd()
}

// currentToken returns the token of the newest known row.
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

// advanceKeeper performs the keeper's work that is due.
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
