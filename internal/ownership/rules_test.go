package ownership

import (
	"testing"
	"time"
)

// The numbered rules of the agreement between keeper and standby. Most tests run
// one history twice: on the real code, which must stay sound, and with a seeded
// bug that breaks the rule, which must show.

// history is a run of the world from a served group on.
type history func(*world)

// ruleWorld returns a served world whose clocks run alike.
func ruleWorld(f injectedBugs) *world {
	timing := worldTiming
	timing.DriftPerMill = 1
	w := newWorld(3, 2, twoSlots, timing)
	w.tracing = true
	for _, vm := range w.vms {
		vm.replica.bugs = f
	}
	w.run(40 * unit)
	return w
}

// requireRule runs a history without and with the flaw.
func requireRule(t *testing.T, f injectedBugs, h history) {
	t.Helper()
	sound := ruleWorld(injectedBugs{})
	h(sound)
	requireSound(t, sound)
	broken := ruleWorld(f)
	h(broken)
	if len(broken.faults) == 0 {
		fail(t, broken, "the history does not show the seeded bug %+v", f)
	}
}

// keepPeer keeps peer messages of a kind out of the network and returns them.
func keepPeer(w *world, kind PeerKind) *[]*packet {
	kept := &[]*packet{}
	inner := w.network
	w.network = func(p *packet) {
		switch {
		case p.kind == packetPeer && p.peer.Message.Kind == kind:
			*kept = append(*kept, p)
		case inner != nil:
			inner(p)
		default:
			w.flight = append(w.flight, p)
		}
	}
	return kept
}

// part cuts a VM off from machines, both ways between VMs.
func part(w *world, vm int, ids ...string) {
	for _, id := range ids {
		w.vms[vm].cut[id] = true
		for _, other := range w.vms {
			if other.ref.ID == id {
				other.cut[w.vms[vm].ref.ID] = true
			}
		}
	}
}

func TestRule1DoubledAskLengthensNothing(t *testing.T) {
	requireRule(t, injectedBugs{duplicateAskExtends: true}, func(w *world) {
		part(w, 1, "table")
		confirms := keepPeer(w, PeerConfirm)
		w.table.down = true
		for len(*confirms) == 0 {
			w.run(unit)
		}
		part(w, 0, "vm1")
		w.table.down = false
		n := (*confirms)[0].peer.Message.Number
		ask := PeerReceived{From: w.vms[0].ref, Message: PeerMessage{Kind: PeerAsk, Number: n, Epoch: 1}}
		for range 12 {
			w.event(1, ask)
			w.run(unit)
		}
		w.event(1, (*confirms)[0].peer)
		part(w, 0, "x")
		w.run(30 * unit)
	})
}

func TestRule2LateReturnLeavesAYoungerPromiseAlone(t *testing.T) {
	requireRule(t, injectedBugs{lateReturnCancels: true}, func(w *world) {
		returns := keepPeer(w, PeerReturn)
		w.table.down = true
		w.run(10 * unit)
		w.table.down = false
		w.run(3 * unit)
		w.network = nil // the second outage: the return was late
		old := (*returns)[len(*returns)-1]
		part(w, 0, "table")
		w.run(6 * unit)
		part(w, 0, "vm1")
		w.event(1, old.peer)
		w.run(12 * unit)
	})
}

func TestRule3HoldOverGrantsNoOwnerThatARowMerelyNames(t *testing.T) {
	requireRule(t, injectedBugs{holdOverFromRow: true}, func(w *world) {
		part(w, 1, "table")
		w.server("x").down = true
		w.run(15 * unit)
		part(w, 0, "x")
		w.server("x").down = false
		keepPeer(w, PeerMove)
		w.table.down = true
		w.run(6 * unit)
		w.vms[0].gone = true
		w.run(12 * unit)
	})
}

func TestRule4LapseAfterAReturnWaitsOneMoreLease(t *testing.T) {
	requireRule(t, injectedBugs{returnEndsRenewals: true}, func(w *world) {
		w.table.down = true
		w.run(4 * unit)
		part(w, 0, "x")
		part(w, 0, "vm1") // the standby holds over and renews at x
		w.run(8 * unit)
		w.table.down = false
		clear(w.vms[1].cut)
		delete(w.vms[0].cut, "vm1")
		w.run(12 * unit)
	})
}

func TestRule5TakeoverLearntByReadingWaits(t *testing.T) {
	requireRule(t, injectedBugs{takeoverWithoutWait: true}, func(w *world) {
		w.network = func(p *packet) {
			if p.kind == packetWrite && p.vm == 1 {
				w.vms[0].cut["table"] = true // its last read was just before
			}
			if p.kind != packetWriteAnswer {
				w.flight = append(w.flight, p)
			}
		}
		part(w, 0, "vm1")
		w.run(10 * unit)
	})
}

func TestRule6VMWithAnOpenTakeoverPromisesNothing(t *testing.T) {
	requireRule(t, injectedBugs{dropUnansweredWrite: true}, func(w *world) {
		var open *packet
		w.network = func(p *packet) {
			if p.kind == packetWrite && p.write.Row.Keeper == w.vms[1].ref {
				open = p
				w.flight = append(w.flight, &packet{kind: packetWriteAnswer, vm: 1, ref: p.ref, written: RowWritten{WriteID: p.write.Row.WriteID, Result: WriteUnknown}})
				return
			}
			w.flight = append(w.flight, p)
		}
		part(w, 0, "vm1")
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
		part(w, 0, "table")
		w.deliver(open)
		w.run(8 * unit)
	})
}

func TestRule6KeeperWithAnOpenChangeOfStandbyAsksNobody(t *testing.T) {
	w := ruleWorld(injectedBugs{})
	w.network = func(p *packet) {
		if p.kind != packetWrite {
			w.flight = append(w.flight, p)
		}
	}
	w.vms[1].gone = true
	w.run(worldTiming.StandbySilence + 2*unit)
	if open := w.vms[0].replica.table.write; open == nil || open.row.Standby != w.vms[2].ref {
		fail(t, w, "no change of standby is open: %+v", open)
	}
	w.table.down = true
	for range 20 {
		w.advance(unit)
		for _, p := range w.flight {
			if p.kind == packetPeer && p.peer.Message.Kind == PeerAsk {
				fail(t, w, "asked while the standby is uncertain")
			}
		}
		w.settle()
	}
	if w.keeper() >= 0 {
		fail(t, w, "the keeper still decides")
	}
}

func TestRule7AcknowledgementBelongsToItsMove(t *testing.T) {
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

func TestRule8OutageMoveWaitsForRowOrStandby(t *testing.T) {
	requireRule(t, injectedBugs{lapseWithoutStandby: true}, func(w *world) {
		w.table.down = true
		w.run(6 * unit)
		part(w, 0, "x", "vm1") // the standby holds over and renews at x
		w.run(14 * unit)
	})
}

func TestRule9EveryMoveRaisesTheToken(t *testing.T) {
	requireRule(t, injectedBugs{movesKeepToken: true}, func(w *world) {
		var late *packet
		w.network = func(p *packet) {
			if p.kind == packetCall && p.call == CallGrant && p.server == "x" && len(p.grant.Slots) > 0 {
				late = p
			}
			w.flight = append(w.flight, p)
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
		w.settle()
	})
}

// A lease covers running work of a slot that its server is giving up.
func TestHoldOverRenewsNoRunningWorkOfAMovingSlot(t *testing.T) {
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
		w.wake(0)
		w.run(3 * unit)
	})
}

// wantOwner changes the plan for one slot.
func (w *world) wantOwner(slot uint32, server string) {
	owners := map[uint32]string{}
	for s, id := range w.plan.Owners {
		owners[s] = id
	}
	owners[slot] = server
	w.plan = PlanChanged{Servers: w.plan.Servers, Owners: owners}
	for i := range w.vms {
		w.event(i, w.plan)
	}
	w.settle()
}

func TestOutageLeaseEndsWithTheStandbysPatience(t *testing.T) {
	w := settledWorld(t, 3, 2)
	w.table.down = true
	w.run(5 * time.Second)
	w.vms[1].gone = true
	w.run(DefaultTiming.OutageLease + 5*time.Second)
	if w.keeper() >= 0 {
		fail(t, w, "the keeper decides without a right")
	}
}
