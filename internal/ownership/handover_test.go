package ownership

import (
	"testing"
	"time"
)

// reorder tells every VM another order of preference.
func reorder(w *world, order ...int) {
	var refs []VMRef
	for _, i := range order {
		refs = append(refs, w.vms[i].ref)
	}
	for i := range w.vms {
		w.event(i, MembersChanged{Candidates: refs})
	}
}

func TestKeeperOutsideTheFirstCandidatesHandsOverWithoutADarkMoment(t *testing.T) {
	w := settledWorld(t, 4, 2)
	reorder(w, 3, 2, 1, 0)
	for end := w.now + 60*time.Second; w.now < end; {
		w.run(unit)
		requireServed(t, w)
	}
	row := w.table.row
	preferred := map[VMRef]bool{w.vms[3].ref: true, w.vms[2].ref: true}
	if !preferred[row.Keeper] || !preferred[row.Standby] {
		fail(t, w, "keeper %v, standby %v", row.Keeper, row.Standby)
	}
	requireSound(t, w)
}

func TestGroupIsTakenBackWhenTheStandbyIsLostInAHandover(t *testing.T) {
	w := settledWorld(t, 3, 2)
	reorder(w, 2, 1, 0)
	for w.vms[0].replica.Role() != RoleCeding {
		w.advance(unit) // what it sends is not delivered yet
		if w.vms[0].replica.Role() != RoleCeding {
			w.settle()
		}
		if w.now > time.Minute {
			fail(t, w, "no handover was begun")
		}
	}
	w.vms[1].gone = true
	w.run(20 * time.Second)
	requireServed(t, w)
	if w.keeper() == 1 || w.table.row.Epoch < 2 {
		fail(t, w, "keeper %d, row %+v", w.keeper(), w.table.row)
	}
	requireSound(t, w)
}

// A VM that gave its epoch away reads the row that still names it: with its old
// right it would decide beside the standby that takes over.
func TestGivenAwayEpochIsNotDecidedUnderAgain(t *testing.T) {
	w := settledWorld(t, 3, 2)
	reorder(w, 2, 1, 0)
	replica := w.vms[0].replica
	for replica.handover.cededEpoch == 0 {
		w.advance(unit)
		if replica.handover.started {
			w.vms[1].paused = true // the cession arrives late
		}
		w.settle()
		if w.now > time.Minute {
			fail(t, w, "nothing was given away")
		}
	}
	given := replica.handover.cededEpoch
	for end := w.now + 2*time.Second; w.now < end; {
		w.run(unit)
		if replica.keeper != nil && replica.keeper.epoch <= given {
			fail(t, w, "decides under epoch %d again", given)
		}
	}
	w.wake(1)
	w.run(20 * time.Second)
	requireServed(t, w)
	requireSound(t, w)
}

func TestNewStandbyIsToldOfItsRoleWhileTheTableIsDown(t *testing.T) {
	w := settledWorld(t, 3, 2)
	w.vms[1].gone = true
	third := w.vms[2].ref
	for w.table.row.Standby != third {
		w.advance(unit)
		w.settle()
		if w.now > time.Minute {
			fail(t, w, "no other standby was named")
		}
	}
	w.table.down = true
	w.run(5 * time.Second)
	requireServed(t, w)
	if role := w.vms[0].replica.Role(); role != RoleKeeper {
		fail(t, w, "the keeper lost its right: %v", role)
	}
	requireSound(t, w)
}
