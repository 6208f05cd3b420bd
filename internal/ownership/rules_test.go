package ownership

import (
	"testing"
	"time"
)

// Each test covers one rule of the agreement between keeper and standby. Most run one
// scenario twice: with the real code, which must not violate an invariant, and with an
// injected bug that breaks the rule, which must violate one.

// scenario is a sequence of faults and events that starts with a served group.
type scenario func(*world)

// ruleWorld returns a world with a served group, a drift limit of 0.1 percent and
// clocks that run at the same rate.
func ruleWorld(bugs injectedBugs) *world {
	timing := worldTiming
	timing.DriftPerMill = 1
	w := newWorld(3, 2, twoSlots, timing)
	w.tracing = true
	for _, vm := range w.vms {
		vm.replica.bugs = bugs
	}
	w.run(40 * unit)
	return w
}

// requireRule runs a scenario without and with the injected bug.
func requireRule(t *testing.T, bugs injectedBugs, sc scenario) {
	t.Helper()
	correct := ruleWorld(injectedBugs{})
	sc(correct)
	requireNoViolations(t, correct)
	buggy := ruleWorld(bugs)
	sc(buggy)
	if len(buggy.violations) == 0 {
		fail(t, buggy, "got no violation with the injected bug %+v, want one", bugs)
	}
}

// interceptPeer removes peer messages of a kind from the network and returns them.
func interceptPeer(w *world, kind PeerKind) *[]*packet {
	intercepted := &[]*packet{}
	inner := w.network
	w.network = func(p *packet) {
		switch {
		case p.kind == packetPeer && p.peer.Message.Kind == kind:
			*intercepted = append(*intercepted, p)
		case inner != nil:
			inner(p)
		default:
			w.inFlight = append(w.inFlight, p)
		}
	}
	return intercepted
}

// disconnect cuts a VM off from VMs, servers or the table; between VMs in both
// directions.
func disconnect(w *world, vm int, ids ...string) {
	for _, id := range ids {
		w.vms[vm].cut[id] = true
		for _, other := range w.vms {
			if other.ref.ID == id {
				other.cut[w.vms[vm].ref.ID] = true
			}
		}
	}
}

func TestDuplicateAskDoesNotExtendPromise(t *testing.T) {
	requireRule(t, injectedBugs{duplicateAskExtends: true}, func(w *world) {
		disconnect(w, 1, "table")
		confirms := interceptPeer(w, PeerConfirm)
		w.table.down = true
		for len(*confirms) == 0 {
			w.run(unit)
		}
		disconnect(w, 0, "vm1")
		w.table.down = false
		n := (*confirms)[0].peer.Message.Number
		ask := PeerReceived{From: w.vms[0].ref, Message: PeerMessage{Kind: PeerAsk, Number: n, Epoch: 1}}
		for range 12 {
			w.deliverEvent(1, ask)
			w.run(unit)
		}
		w.deliverEvent(1, (*confirms)[0].peer)
		disconnect(w, 0, "x")
		w.run(30 * unit)
	})
}

func TestLateReturnDoesNotCancelNewerPromise(t *testing.T) {
	requireRule(t, injectedBugs{lateReturnCancels: true}, func(w *world) {
		returns := interceptPeer(w, PeerReturn)
		w.table.down = true
		w.run(10 * unit)
		w.table.down = false
		w.run(3 * unit)
		w.network = nil // the return arrives late, in a second outage
		old := (*returns)[len(*returns)-1]
		disconnect(w, 0, "table")
		w.run(6 * unit)
		disconnect(w, 0, "vm1")
		w.deliverEvent(1, old.peer)
		w.run(12 * unit)
	})
}

func TestHoldOverDoesNotGrantFromStaleRow(t *testing.T) {
	requireRule(t, injectedBugs{holdOverFromRow: true}, func(w *world) {
		disconnect(w, 1, "table")
		w.server("x").down = true
		w.run(15 * unit)
		disconnect(w, 0, "x")
		w.server("x").down = false
		interceptPeer(w, PeerMove)
		w.table.down = true
		w.run(6 * unit)
		w.vms[0].gone = true
		w.run(12 * unit)
	})
}

func TestMoveByLapseWaitsForHoldOverRenewalsAfterReturn(t *testing.T) {
	requireRule(t, injectedBugs{returnEndsRenewals: true}, func(w *world) {
		w.table.down = true
		w.run(4 * unit)
		disconnect(w, 0, "x")
		disconnect(w, 0, "vm1") // the standby holds over and renews at x
		w.run(8 * unit)
		w.table.down = false
		clear(w.vms[1].cut)
		delete(w.vms[0].cut, "vm1")
		w.run(12 * unit)
	})
}

func TestTakeoverLearnedByReadWaitsForOldDecisionLease(t *testing.T) {
	requireRule(t, injectedBugs{takeoverWithoutWait: true}, func(w *world) {
		w.network = func(p *packet) {
			if p.kind == packetWrite && p.vm == 1 {
				w.vms[0].cut["table"] = true // its last read was sent just before the takeover
			}
			if p.kind != packetWriteAnswer {
				w.inFlight = append(w.inFlight, p)
			}
		}
		disconnect(w, 0, "vm1")
		w.run(10 * unit)
	})
}

func TestNoPromiseWhileTakeoverWriteIsOpen(t *testing.T) {
	requireRule(t, injectedBugs{dropUnansweredWrite: true}, func(w *world) {
		var open *packet
		w.network = func(p *packet) {
			if p.kind == packetWrite && p.write.Row.Keeper == w.vms[1].ref {
				open = p
				w.inFlight = append(w.inFlight, &packet{kind: packetWriteAnswer, vm: 1, ref: p.ref, written: RowWritten{WriteID: p.write.Row.WriteID, Result: WriteUnknown}})
				return
			}
			w.inFlight = append(w.inFlight, p)
		}
		disconnect(w, 0, "vm1")
		for range 20 {
			if open == nil {
				w.run(unit)
			}
		}
		delete(w.vms[0].cut, "vm1")
		delete(w.vms[1].cut, "vm0")
		w.table.down = true
		w.run(5 * unit)
		w.table.down = false
		disconnect(w, 0, "table")
		w.deliver(open)
		w.run(8 * unit)
	})
}

func TestNoAskWhileStandbyChangeIsOpen(t *testing.T) {
	w := ruleWorld(injectedBugs{})
	w.network = func(p *packet) {
		if p.kind != packetWrite {
			w.inFlight = append(w.inFlight, p)
		}
	}
	w.vms[1].gone = true
	w.run(worldTiming.StandbySilence + 2*unit)
	if open := w.vms[0].replica.table.write; open == nil || open.row.Standby != w.vms[2].ref {
		fail(t, w, "got open write %+v, want a change of the standby to vm2", open)
	}
	w.table.down = true
	for range 20 {
		w.advance(unit)
		for _, p := range w.inFlight {
			if p.kind == packetPeer && p.peer.Message.Kind == PeerAsk {
				fail(t, w, "got an ask while the write that changes the standby is open, want none")
			}
		}
		w.deliverAll()
	}
	if w.keeper() >= 0 {
		fail(t, w, "got a keeper, want none after its decision lease expired")
	}
}

func TestEarlierRevokeDoesNotCountForLaterMove(t *testing.T) {
	requireRule(t, injectedBugs{anyRevokeCounts: true}, func(w *world) {
		w.wantOwner(0, "y")
		w.run(4 * unit)
		w.wantOwner(0, "x")
		w.run(4 * unit)
		w.server("x").running[0] = true
		w.wantOwner(0, "y")
		w.run(4 * unit)
	})
}

func TestOutageMoveWaitsForRowOrStandby(t *testing.T) {
	requireRule(t, injectedBugs{lapseWithoutStandby: true}, func(w *world) {
		w.table.down = true
		w.run(6 * unit)
		disconnect(w, 0, "x", "vm1") // the standby holds over and renews at x
		w.run(14 * unit)
	})
}

func TestMoveRaisesToken(t *testing.T) {
	requireRule(t, injectedBugs{movesKeepToken: true}, func(w *world) {
		var late *packet
		w.network = func(p *packet) {
			if p.kind == packetCall && p.call == CallGrant && p.server == "x" && len(p.grant.Slots) > 0 {
				late = p
			}
			w.inFlight = append(w.inFlight, p)
		}
		w.wantOwner(0, "y")
		w.run(4 * unit)
		w.wantOwner(0, "x")
		for range 20 {
			if late == nil {
				w.run(unit)
			}
		}
		w.wantOwner(0, "y")
		for range 4 {
			w.run(unit)
			w.deliver(late)
		}
		w.deliverAll()
	})
}

// A lease also covers the running requests of a slot that is being moved away. If
// hold-over renewed the old owner's lease, these requests would continue after the
// keeper's wait for that lease.
func TestHoldOverDoesNotRenewLeaseWithMovingSlot(t *testing.T) {
	requireRule(t, injectedBugs{holdOverDuringMove: true}, func(w *world) {
		w.wantOwner(1, "x")
		w.run(6 * unit)
		w.table.down = true
		w.run(6 * unit)
		w.server("x").running[1] = true
		w.wantOwner(1, "y")
		w.run(3 * unit)
		w.vms[0].paused = true
		w.run(9 * unit)
		w.resume(0)
		w.run(3 * unit)
	})
}

// wantOwner changes the planned owner of one slot.
func (w *world) wantOwner(slot uint32, server string) {
	owners := map[uint32]string{}
	for s, id := range w.plan.Owners {
		owners[s] = id
	}
	owners[slot] = server
	w.plan = PlanChanged{Servers: w.plan.Servers, Owners: owners}
	for i := range w.vms {
		w.deliverEvent(i, w.plan)
	}
	w.deliverAll()
}

func TestKeeperStopsDecidingAfterOutageLeaseExpired(t *testing.T) {
	w := settledWorld(t, 3, 2)
	w.table.down = true
	w.run(5 * time.Second)
	w.vms[1].gone = true
	w.run(DefaultTiming.OutageLease + 5*time.Second)
	if w.keeper() >= 0 {
		fail(t, w, "got a keeper, want none after its outage lease expired")
	}
}
