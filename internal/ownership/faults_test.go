package ownership

import (
	"fmt"
	"testing"
	"time"
)

func TestKeysServedDuringLongTableOutage(t *testing.T) {
	w := settledWorld(t, 3, 2)
	w.table.down = true
	for end := w.now + 3*DefaultTiming.OutageLease; w.now < end; {
		w.advance(5 * unit)
		w.deliverAll()
		requireServed(t, w)
	}
}

func TestKeysServedWhileTableIsSlow(t *testing.T) {
	w := settledWorld(t, 3, 2)
	const answerTime = 700 * time.Millisecond // more than half of RowLease
	w.network = func(p *packet) {
		if p.kind == packetReadAnswer || p.kind == packetWriteAnswer {
			p.deliverAt += answerTime
		}
		w.inFlight = append(w.inFlight, p)
	}
	for end := w.now + 30*time.Second; w.now < end; {
		w.advance(unit)
		w.deliverDue()
		requireServed(t, w)
	}
}

// replaceVM terminates a VM and starts another incarnation of it.
func (w *world) replaceVM(i int, incarnation string) {
	old := w.vms[i]
	old.gone = true
	fresh := &fakeVM{ref: VMRef{ID: old.ref.ID, Incarnation: incarnation}, rate: 1000, cut: map[string]bool{}}
	fresh.replica = NewReplica(fresh.ref, "g", twoSlots, DefaultTiming, fresh.writeID)
	w.vms[i] = fresh
	w.goneRefs = append(w.goneRefs, old.ref)
	for j := range w.vms {
		w.deliverEvent(j, MembersChanged{Candidates: w.candidates(), Gone: w.goneRefs})
	}
	w.deliverEvent(i, w.plan)
}

// requireAssignments fails unless each slot has its initial owner.
func requireAssignments(t *testing.T, w *world) {
	t.Helper()
	requireServed(t, w)
	if w.owner(0) != "x" || w.owner(1) != "y" {
		fail(t, w, "got owners %q and %q, want x and y", w.owner(0), w.owner(1))
	}
}

func TestAssignmentsKeptInRollingReplacementOfVMs(t *testing.T) {
	w := settledWorld(t, 3, 2)
	for round := range 3 {
		for i := range w.vms {
			w.replaceVM(i, fmt.Sprint(round+2))
			w.run(5 * time.Second)
			requireAssignments(t, w)
		}
	}
}

func TestAssignmentsKeptWhenAllVMsAreReplaced(t *testing.T) {
	w := settledWorld(t, 3, 2)
	for i := range w.vms {
		w.replaceVM(i, "2")
	}
	w.run(8 * time.Second)
	requireAssignments(t, w)
}

func TestKeysServedInIsolatedDomainOfKeeper(t *testing.T) {
	w := settledWorld(t, 3, 2)
	disconnect(w, 0, "vm2", "table")
	disconnect(w, 1, "vm2", "table")
	for range 100 {
		w.run(time.Second)
		requireServed(t, w)
	}
	for _, vm := range w.vms {
		clear(vm.cut)
	}
	w.run(5 * time.Second)
	requireAssignments(t, w)
	if w.keeper() != 0 {
		fail(t, w, "got keeper %d, want 0", w.keeper())
	}
}

func TestKeysOfIsolatedDomainMoveToOtherDomain(t *testing.T) {
	w := settledWorld(t, 3, 2)
	disconnect(w, 0, "vm1", "vm2", "table", "y")
	w.vms[1].cut["x"] = true
	w.vms[2].cut["x"] = true
	w.run(6 * time.Second)
	requireNoViolations(t, w)
	if w.keeper() != 1 || w.owner(0) != "y" || w.owner(1) != "y" {
		fail(t, w, "got keeper %d, owners %q and %q, want keeper 1 and owner y of both slots", w.keeper(), w.owner(0), w.owner(1))
	}
	for _, vm := range w.vms {
		clear(vm.cut)
	}
	w.run(5 * time.Second)
	requireAssignments(t, w)
}

func TestDrainingServerStartsNoRequestsAfterThreeSeconds(t *testing.T) {
	w := settledWorld(t, 3, 2)
	w.server("x").running[0] = true
	w.plan = PlanChanged{Servers: map[string]ServerPlan{"x": {Checks: true, Drain: true}, "y": {Checks: true}}, Owners: w.plan.Owners}
	for i := range w.vms {
		w.deliverEvent(i, w.plan)
	}
	w.run(3 * time.Second)
	if w.server("x").holds(w.now, 0) {
		fail(t, w, "got a draining server that still starts requests after 3 s, want none")
	}
	w.run(time.Minute)
	if !w.server("x").running[0] {
		fail(t, w, "got a running request cut off, want it to finish")
	}
	requireNoViolations(t, w)
}

func TestSlotOfUncheckedServerMovesAfterLastDeadline(t *testing.T) {
	w := settledWorld(t, 3, 2)
	w.plan = PlanChanged{Servers: map[string]ServerPlan{"x": {}, "y": {Checks: true}}, Owners: w.plan.Owners}
	for i := range w.vms {
		w.deliverEvent(i, w.plan)
	}
	w.run(time.Second)
	if routes := w.vms[0].replica.Routes(w.now, w.vms[2].ref); !routes.Keeper || routes.Slots[0].Moving {
		fail(t, w, "got routes %+v, want a route for slot 0 from the keeper", routes)
	}
	routesSentAt := w.now
	w.server("x").down = true
	deadline := routesSentAt + DefaultTiming.RouteLease + DefaultTiming.RequestDeadline
	for w.now < deadline {
		w.run(100 * time.Millisecond)
		if w.now < deadline && w.owner(0) != "" {
			fail(t, w, "slot moved %v before the last request deadline, want it to wait", deadline-w.now)
		}
	}
	w.run(5 * time.Second)
	requireServed(t, w)
}

func TestSlotOfGoneUncheckedServerMovesWithinThreeSeconds(t *testing.T) {
	w := settledWorld(t, 3, 2)
	w.server("x").down = true
	w.plan = PlanChanged{Servers: map[string]ServerPlan{"x": {Gone: true}, "y": {Checks: true}}, Owners: w.plan.Owners}
	for i := range w.vms {
		w.deliverEvent(i, w.plan)
	}
	w.run(3 * time.Second)
	requireServed(t, w)
}
