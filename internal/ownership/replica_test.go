package ownership

import (
	"testing"
	"time"
)

var twoSlots = []uint32{0, 1}

// settledWorld returns a world whose group is served, in real timing.
func settledWorld(t *testing.T, vms, servers int) *world {
	t.Helper()
	w := newWorld(vms, servers, twoSlots, DefaultTiming)
	w.tracing = true
	w.run(2 * time.Second)
	requireServed(t, w)
	return w
}

func requireServed(t *testing.T, w *world) {
	t.Helper()
	for _, slot := range twoSlots {
		if w.owner(slot) == "" {
			fail(t, w, "slot %d is not served", slot)
		}
	}
	requireSound(t, w)
}

func requireSound(t *testing.T, w *world) {
	t.Helper()
	if len(w.faults) > 0 {
		fail(t, w, "faults: %v", w.faults)
	}
}

func fail(t *testing.T, w *world, format string, args ...any) {
	t.Helper()
	for _, line := range w.trace[max(0, len(w.trace)-200):] {
		t.Log(line)
	}
	t.Fatalf(format, args...)
}

// servedAgain returns how long it takes until every slot is served.
func servedAgain(w *world) time.Duration {
	start := w.now
	for w.now < start+time.Minute {
		w.advance(unit)
		w.settle()
		served := true
		for _, slot := range twoSlots {
			served = served && w.owner(slot) != ""
		}
		if served {
			break
		}
	}
	return w.now - start
}

func TestMissingRowIsCreatedByTheFirstCandidate(t *testing.T) {
	w := settledWorld(t, 3, 2)
	row := w.table.row
	if row.Epoch != 1 || row.Keeper != w.vms[0].ref || row.Standby != w.vms[1].ref {
		fail(t, w, "row %+v", row)
	}
	if w.owner(0) != "x" || w.owner(1) != "y" {
		fail(t, w, "owners %q %q", w.owner(0), w.owner(1))
	}
}

func TestRenewalKeepsALeaseWithoutSendingSlots(t *testing.T) {
	w := settledWorld(t, 3, 2)
	full := 0
	for end := w.now + 30*time.Second; w.now < end; {
		w.advance(unit)
		for len(w.flight) > 0 {
			p := w.take(0)
			if p.kind == packetCall && p.call == CallGrant && !p.grant.Renew {
				full++
			}
			w.deliver(p)
		}
		if w.owner(0) != "x" || w.owner(1) != "y" {
			fail(t, w, "a lease lapsed")
		}
	}
	if full > 0 {
		fail(t, w, "%d full grants without a change", full)
	}
}

func TestKeysOfALostServerAreServedWithinThreeSeconds(t *testing.T) {
	worst := time.Duration(0)
	for phase := range 50 {
		w := settledWorld(t, 3, 2)
		w.run(Instant(phase) * unit)
		w.server("x").down = true
		w.server("x").expires = 0
		if took := servedAgain(w); took > 3*time.Second {
			fail(t, w, "phase %d: took %v", phase, took)
		} else {
			worst = max(worst, took)
		}
		requireSound(t, w)
	}
	t.Logf("worst of 50 phases: %v", worst)
}

func TestKeysOfALostKeeperAreServedWithinThreeSeconds(t *testing.T) {
	worst := time.Duration(0)
	for phase := range 50 {
		w := settledWorld(t, 3, 2)
		w.run(Instant(phase) * unit)
		lost := w.now
		w.vms[0].gone = true
		w.run(1600 * time.Millisecond) // until every lease has lapsed
		servedAgain(w)
		if took := w.now - lost; took > 3*time.Second {
			fail(t, w, "phase %d: took %v", phase, took)
		} else {
			worst = max(worst, took)
		}
		w.run(3 * time.Second)
		requireServed(t, w)
		if w.keeper() != 1 || w.table.row.Standby != w.vms[2].ref {
			fail(t, w, "keeper %d, row %+v", w.keeper(), w.table.row)
		}
	}
	t.Logf("worst of 50 phases: %v", worst)
}

func TestFrozenServerThatReturnsHoldsNothingThatMoved(t *testing.T) {
	w := settledWorld(t, 3, 2)
	w.server("x").down = true
	w.run(3 * time.Second)
	if w.owner(0) != "y" {
		fail(t, w, "owner %q", w.owner(0))
	}
	w.server("x").down = false
	w.run(3 * time.Second)
	requireServed(t, w)
	if w.owner(0) != "x" {
		fail(t, w, "the slot did not move back by consent: owner %q", w.owner(0))
	}
}

func TestRestartedServerHoldsNothingUntilItsOldLeaseLapsed(t *testing.T) {
	w := settledWorld(t, 3, 2)
	w.server("x").restart(w.now)
	if took := servedAgain(w); took > 3*time.Second {
		fail(t, w, "took %v", took)
	}
	w.run(time.Second)
	requireServed(t, w)
	if w.owner(0) != "x" {
		fail(t, w, "owner %q", w.owner(0))
	}
}

func TestDrainMovesByConsentAfterRunningWorkEnds(t *testing.T) {
	w := settledWorld(t, 3, 2)
	x := w.server("x")
	x.running[0] = true
	w.plan.Servers["x"] = ServerPlan{Checks: true, Drain: true}
	for i := range w.vms {
		w.event(i, w.plan)
	}
	w.run(time.Second)
	if x.holds(w.now, 0) {
		fail(t, w, "the draining server may still start work")
	}
	if w.owner(0) != "" {
		fail(t, w, "moved while its work runs")
	}
	delete(x.running, 0)
	w.run(time.Second)
	if w.owner(0) != "y" {
		fail(t, w, "owner %q", w.owner(0))
	}
	requireSound(t, w)
}

func TestThirdVMTakesOverOnlyWhenBothAreGone(t *testing.T) {
	w := settledWorld(t, 3, 2)
	w.vms[0].gone = true
	w.vms[1].gone = true
	w.run(10 * time.Second)
	if w.table.row.Epoch != 1 {
		fail(t, w, "taken over without the list: %+v", w.table.row)
	}
	w.event(2, MembersChanged{Candidates: w.candidates(), Gone: []VMRef{w.vms[0].ref, w.vms[1].ref}})
	w.run(6 * time.Second)
	requireServed(t, w)
	if w.keeper() != 2 || w.table.row.Recovering {
		fail(t, w, "keeper %d row %+v", w.keeper(), w.table.row)
	}
}

func TestForcedTakeover(t *testing.T) {
	w := settledWorld(t, 3, 2)
	w.vms[0].gone = true
	w.vms[1].gone = true
	w.run(3 * time.Second)
	w.event(2, TakeoverForced{By: "ana"})
	w.run(6 * time.Second)
	requireServed(t, w)
}

func TestLostKeeperInAnOutageLeavesKeysServed(t *testing.T) {
	w := settledWorld(t, 3, 2)
	w.table.down = true
	w.run(10 * time.Second)
	requireServed(t, w)
	if st := w.vms[0].replica.Status(w.vms[0].clock(w.now)); !st.Outage {
		fail(t, w, "not in outage mode: %+v", st)
	}
	w.vms[0].gone = true
	for range 100 {
		w.run(time.Second)
		requireServed(t, w)
	}
	w.table.down = false
	w.run(100 * time.Second)
	requireServed(t, w)
	if w.keeper() != 1 {
		fail(t, w, "keeper %d", w.keeper())
	}
}

func TestLostStandbyInAnOutageLeavesKeysServed(t *testing.T) {
	w := settledWorld(t, 3, 2)
	w.table.down = true
	w.run(10 * time.Second)
	w.vms[1].gone = true
	for range 100 {
		w.run(time.Second)
		requireServed(t, w)
	}
	w.table.down = false
	w.run(10 * time.Second)
	requireServed(t, w)
}

func TestLostServerInAnOutageIsServedWithinThreeSeconds(t *testing.T) {
	worst := time.Duration(0)
	for phase := range 50 {
		w := settledWorld(t, 3, 2)
		w.table.down = true
		w.run(10*time.Second + Instant(phase)*unit)
		w.server("x").down = true
		w.server("x").expires = 0
		took := servedAgain(w)
		worst = max(worst, took)
		if took > 3*time.Second {
			fail(t, w, "phase %d: took %v", phase, took)
		}
		w.table.down = false
		w.run(5 * time.Second)
		requireServed(t, w)
		if got := w.table.row.Slots[0].Owner.ID; got != "y" {
			fail(t, w, "the move is not in the row: %+v", w.table.row)
		}
	}
	t.Logf("worst of 50 phases: %v", worst)
}

func TestPlannedStopHandsOver(t *testing.T) {
	for _, down := range []bool{false, true} {
		w := settledWorld(t, 3, 2)
		w.table.down = down
		w.run(5 * time.Second)
		w.event(0, StopRequested{})
		for range 100 {
			w.run(100 * time.Millisecond)
			requireServed(t, w)
		}
		w.table.down = false
		w.run(2 * time.Second)
		requireServed(t, w)
		if w.keeper() != 1 || w.vms[0].replica.Role() != RoleStopped {
			fail(t, w, "outage %v: keeper %d, role %v", down, w.keeper(), w.vms[0].replica.Role())
		}
	}
}

func TestKeeperPausedPastItsRightAndWokenDoesNothing(t *testing.T) {
	w := settledWorld(t, 3, 2)
	w.vms[0].paused = true
	w.run(4 * time.Second)
	requireServed(t, w)
	w.wake(0)
	for _, p := range w.flight {
		if p.vm == 0 && p.kind == packetCall && p.call != CallState {
			fail(t, w, "the old keeper sent %v", p)
		}
	}
	w.run(4 * time.Second)
	requireServed(t, w)
	if w.keeper() != 1 {
		fail(t, w, "keeper %d", w.keeper())
	}
}

func TestShortTimingServesAsWell(t *testing.T) {
	w := newWorld(3, 2, twoSlots, worldTiming)
	w.run(time.Second)
	requireServed(t, w)
}

func TestFenceOfANewKeeperEndsNoMove(t *testing.T) {
	for phase := range 60 {
		w := settledWorld(t, 3, 2)
		w.server("x").running[0] = true
		w.wantOwner(0, "y")
		w.run(200*time.Millisecond + Instant(phase)*unit)
		if len(w.table.row.Moves) != 1 {
			fail(t, w, "no move is under way: %+v", w.table.row)
		}
		w.vms[0].gone = true
		w.vms[1].gone = true
		w.event(2, MembersChanged{Candidates: w.candidates(), Gone: []VMRef{w.vms[0].ref, w.vms[1].ref}})
		w.event(2, Tick{})
		w.settle()
		w.run(6 * time.Second)
		requireSound(t, w)
	}
}
