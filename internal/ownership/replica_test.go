package ownership

import (
	"testing"
	"time"
)

var twoSlots = []uint32{0, 1}

// settledWorld returns a world with a served group and DefaultTiming.
func settledWorld(t *testing.T, vms, servers int) *world {
	t.Helper()
	w := newWorld(vms, servers, twoSlots, DefaultTiming)
	w.tracing = true
	w.run(2 * time.Second)
	requireServed(t, w)
	return w
}

// requireServed fails unless every slot is served and no invariant was violated.
func requireServed(t *testing.T, w *world) {
	t.Helper()
	for _, slot := range twoSlots {
		if w.owner(slot) == "" {
			fail(t, w, "got no owner of slot %d, want it served", slot)
		}
	}
	requireNoViolations(t, w)
}

// requireNoViolations fails if an invariant was violated.
func requireNoViolations(t *testing.T, w *world) {
	t.Helper()
	if len(w.violations) > 0 {
		fail(t, w, "got violations %v, want none", w.violations)
	}
}

// fail logs the end of the trace and fails the test.
func fail(t *testing.T, w *world, format string, args ...any) {
	t.Helper()
	for _, line := range w.trace[max(0, len(w.trace)-200):] {
		t.Log(line)
	}
	t.Fatalf(format, args...)
}

// timeUntilServed runs until every slot is served, for at most a minute, and returns the
// time that passed.
func timeUntilServed(w *world) time.Duration {
	start := w.now
	for w.now < start+time.Minute {
		w.advance(unit)
		w.deliverAll()
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

func TestFirstCandidateCreatesMissingRow(t *testing.T) {
	w := settledWorld(t, 3, 2)
	row := w.table.row
	if row.Epoch != 1 || row.Keeper != w.vms[0].ref || row.Standby != w.vms[1].ref {
		fail(t, w, "got row %+v, want epoch 1, keeper vm0 and standby vm1", row)
	}
	if w.owner(0) != "x" || w.owner(1) != "y" {
		fail(t, w, "got owners %q and %q, want x and y", w.owner(0), w.owner(1))
	}
}

func TestRenewalKeepsLeaseWithoutSendingSlots(t *testing.T) {
	w := settledWorld(t, 3, 2)
	fullGrants := 0
	for end := w.now + 30*time.Second; w.now < end; {
		w.advance(unit)
		for len(w.inFlight) > 0 {
			p := w.removePacket(0)
			if p.kind == packetCall && p.call == CallGrant && !p.grant.Renew {
				fullGrants++
			}
			w.deliver(p)
		}
		if w.owner(0) != "x" || w.owner(1) != "y" {
			fail(t, w, "got an expired lease, want it renewed")
		}
	}
	if fullGrants > 0 {
		fail(t, w, "got %d full grants without a change of the slots, want 0", fullGrants)
	}
}

func TestKeysOfLostServerServedWithinThreeSeconds(t *testing.T) {
	worst := time.Duration(0)
	for phase := range 50 {
		w := settledWorld(t, 3, 2)
		w.run(Instant(phase) * unit)
		w.server("x").down = true
		w.server("x").expiresAt = 0
		if took := timeUntilServed(w); took > 3*time.Second {
			fail(t, w, "phase %d: slots served after %v, want at most 3 s", phase, took)
		} else {
			worst = max(worst, took)
		}
		requireNoViolations(t, w)
	}
	t.Logf("longest unavailability in 50 phases: %v", worst)
}

func TestKeysServedWithinThreeSecondsAfterKeeperLoss(t *testing.T) {
	worst := time.Duration(0)
	for phase := range 50 {
		w := settledWorld(t, 3, 2)
		w.run(Instant(phase) * unit)
		lost := w.now
		w.vms[0].gone = true
		w.run(1600 * time.Millisecond) // until every lease has expired
		timeUntilServed(w)
		if took := w.now - lost; took > 3*time.Second {
			fail(t, w, "phase %d: slots served after %v, want at most 3 s", phase, took)
		} else {
			worst = max(worst, took)
		}
		w.run(3 * time.Second)
		requireServed(t, w)
		if w.keeper() != 1 || w.table.row.Standby != w.vms[2].ref {
			fail(t, w, "got keeper %d, row %+v, want keeper 1 and standby vm2", w.keeper(), w.table.row)
		}
	}
	t.Logf("longest unavailability in 50 phases: %v", worst)
}

func TestFrozenServerLosesSlotAndGetsItBackByConsent(t *testing.T) {
	w := settledWorld(t, 3, 2)
	w.server("x").down = true
	w.run(3 * time.Second)
	if w.owner(0) != "y" {
		fail(t, w, "got owner %q, want y", w.owner(0))
	}
	w.server("x").down = false
	w.run(3 * time.Second)
	requireServed(t, w)
	if w.owner(0) != "x" {
		fail(t, w, "got owner %q, want x after a move back by consent", w.owner(0))
	}
}

func TestRestartedServerGetsSlotBack(t *testing.T) {
	w := settledWorld(t, 3, 2)
	w.server("x").restart(w.now)
	if took := timeUntilServed(w); took > 3*time.Second {
		fail(t, w, "slots served after %v, want at most 3 s", took)
	}
	w.run(time.Second)
	requireServed(t, w)
	if w.owner(0) != "x" {
		fail(t, w, "got owner %q, want x", w.owner(0))
	}
}

func TestDrainMovesSlotAfterRunningRequestsEnd(t *testing.T) {
	w := settledWorld(t, 3, 2)
	x := w.server("x")
	x.running[0] = true
	w.plan.Servers["x"] = ServerPlan{Checks: true, Drain: true}
	for i := range w.vms {
		w.deliverEvent(i, w.plan)
	}
	w.run(time.Second)
	if x.holds(w.now, 0) {
		fail(t, w, "got a draining server that may still start requests, want none")
	}
	if w.owner(0) != "" {
		fail(t, w, "got the slot moved while a request of it is running, want it to wait")
	}
	delete(x.running, 0)
	w.run(time.Second)
	if w.owner(0) != "y" {
		fail(t, w, "got owner %q, want y", w.owner(0))
	}
	requireNoViolations(t, w)
}

func TestThirdVMTakesOverOnlyAfterKeeperAndStandbyAreGone(t *testing.T) {
	w := settledWorld(t, 3, 2)
	w.vms[0].gone = true
	w.vms[1].gone = true
	w.run(10 * time.Second)
	if w.table.row.Epoch != 1 {
		fail(t, w, "got row %+v, want no takeover before the VM list reports both as gone", w.table.row)
	}
	w.deliverEvent(2, MembersChanged{Candidates: w.candidates(), Gone: []VMRef{w.vms[0].ref, w.vms[1].ref}})
	w.run(6 * time.Second)
	requireServed(t, w)
	if w.keeper() != 2 || w.table.row.Recovering {
		fail(t, w, "got keeper %d, row %+v, want keeper 2 after the recovery", w.keeper(), w.table.row)
	}
}

func TestForcedTakeoverSucceeds(t *testing.T) {
	w := settledWorld(t, 3, 2)
	w.vms[0].gone = true
	w.vms[1].gone = true
	w.run(3 * time.Second)
	w.deliverEvent(2, TakeoverForced{By: "ana"})
	w.run(6 * time.Second)
	requireServed(t, w)
}

func TestKeysServedAfterKeeperLossInOutage(t *testing.T) {
	w := settledWorld(t, 3, 2)
	w.table.down = true
	w.run(10 * time.Second)
	requireServed(t, w)
	if st := w.vms[0].replica.Status(w.vms[0].clock(w.now)); !st.Outage {
		fail(t, w, "got status %+v, want outage mode", st)
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
		fail(t, w, "got keeper %d, want 1", w.keeper())
	}
}

func TestKeysServedAfterStandbyLossInOutage(t *testing.T) {
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

func TestKeysOfLostServerServedWithinThreeSecondsInOutage(t *testing.T) {
	worst := time.Duration(0)
	for phase := range 50 {
		w := settledWorld(t, 3, 2)
		w.table.down = true
		w.run(10*time.Second + Instant(phase)*unit)
		w.server("x").down = true
		w.server("x").expiresAt = 0
		took := timeUntilServed(w)
		worst = max(worst, took)
		if took > 3*time.Second {
			fail(t, w, "phase %d: slots served after %v, want at most 3 s", phase, took)
		}
		w.table.down = false
		w.run(5 * time.Second)
		requireServed(t, w)
		if got := w.table.row.Slots[0].Owner.ID; got != "y" {
			fail(t, w, "got row %+v, want owner y of slot 0", w.table.row)
		}
	}
	t.Logf("longest unavailability in 50 phases: %v", worst)
}

func TestKeysServedDuringPlannedStop(t *testing.T) {
	for _, down := range []bool{false, true} {
		w := settledWorld(t, 3, 2)
		w.table.down = down
		w.run(5 * time.Second)
		w.deliverEvent(0, StopRequested{})
		for range 100 {
			w.run(100 * time.Millisecond)
			requireServed(t, w)
		}
		w.table.down = false
		w.run(2 * time.Second)
		requireServed(t, w)
		if w.keeper() != 1 || w.vms[0].replica.Role() != RoleStopped {
			fail(t, w, "outage %v: got keeper %d, role %v, want keeper 1 and vm0 stopped", down, w.keeper(), w.vms[0].replica.Role())
		}
	}
}

func TestResumedKeeperDoesNotActAfterLeaseExpired(t *testing.T) {
	w := settledWorld(t, 3, 2)
	w.vms[0].paused = true
	w.run(4 * time.Second)
	requireServed(t, w)
	w.resume(0)
	for _, p := range w.inFlight {
		if p.vm == 0 && p.kind == packetCall && p.call != CallState {
			fail(t, w, "got %v from the old keeper, want no grant or revoke", p)
		}
	}
	w.run(4 * time.Second)
	requireServed(t, w)
	if w.keeper() != 1 {
		fail(t, w, "got keeper %d, want 1", w.keeper())
	}
}

func TestKeysServedWithShortTiming(t *testing.T) {
	w := newWorld(3, 2, twoSlots, worldTiming)
	w.run(time.Second)
	requireServed(t, w)
}

func TestFencingRevokeDoesNotEndMove(t *testing.T) {
	for phase := range 60 {
		w := settledWorld(t, 3, 2)
		w.server("x").running[0] = true
		w.wantOwner(0, "y")
		w.run(200*time.Millisecond + Instant(phase)*unit)
		if len(w.table.row.Moves) != 1 {
			fail(t, w, "got row %+v, want one move in progress", w.table.row)
		}
		w.vms[0].gone = true
		w.vms[1].gone = true
		w.deliverEvent(2, MembersChanged{Candidates: w.candidates(), Gone: []VMRef{w.vms[0].ref, w.vms[1].ref}})
		w.deliverEvent(2, Tick{})
		w.deliverAll()
		w.run(6 * time.Second)
		requireNoViolations(t, w)
	}
}
