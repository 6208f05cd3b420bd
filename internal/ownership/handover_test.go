package ownership

import (
	"testing"
	"time"
)

// reorderCandidates sends every VM a new order of the candidates.
func reorderCandidates(w *world, order ...int) {
	var refs []VMRef
	for _, i := range order {
		refs = append(refs, w.vms[i].ref)
	}
	for i := range w.vms {
		w.deliverEvent(i, MembersChanged{Candidates: refs})
	}
}

func TestKeysServedDuringHandover(t *testing.T) {
	w := settledWorld(t, 4, 2)
	reorderCandidates(w, 3, 2, 1, 0)
	for end := w.now + 60*time.Second; w.now < end; {
		w.run(unit)
		requireServed(t, w)
	}
	row := w.table.row
	preferred := map[VMRef]bool{w.vms[3].ref: true, w.vms[2].ref: true}
	if !preferred[row.Keeper] || !preferred[row.Standby] {
		fail(t, w, "got keeper %v, standby %v, want vm3 and vm2 in either role", row.Keeper, row.Standby)
	}
	requireNoViolations(t, w)
}

func TestGroupReclaimedWhenStandbyIsLostInHandover(t *testing.T) {
	w := settledWorld(t, 3, 2)
	reorderCandidates(w, 2, 1, 0)
	for w.vms[0].replica.Role() != RoleCeding {
		w.advance(unit) // the packets that it sends stay in flight
		if w.vms[0].replica.Role() != RoleCeding {
			w.deliverAll()
		}
		if w.now > time.Minute {
			fail(t, w, "got no handover within a minute")
		}
	}
	w.vms[1].gone = true
	w.run(20 * time.Second)
	requireServed(t, w)
	if w.keeper() == 1 || w.table.row.Epoch < 2 {
		fail(t, w, "got keeper %d, row %+v, want another keeper than vm1 and a raised epoch", w.keeper(), w.table.row)
	}
	requireNoViolations(t, w)
}

// A VM that ceded its epoch reads the row that still names it as the keeper. If it
// resumed that role, it would decide at the same time as the standby that takes over.
func TestKeeperDoesNotDecideUnderCededEpoch(t *testing.T) {
	w := settledWorld(t, 3, 2)
	reorderCandidates(w, 2, 1, 0)
	replica := w.vms[0].replica
	for replica.handover.cededEpoch == 0 {
		w.advance(unit)
		if replica.handover.started {
			w.vms[1].paused = true // the cede message is processed late
		}
		w.deliverAll()
		if w.now > time.Minute {
			fail(t, w, "got no ceded epoch within a minute")
		}
	}
	cededEpoch := replica.handover.cededEpoch
	for end := w.now + 2*time.Second; w.now < end; {
		w.run(unit)
		if replica.keeper != nil && replica.keeper.epoch <= cededEpoch {
			fail(t, w, "got the role of keeper under epoch %d, which the VM ceded", cededEpoch)
		}
	}
	w.resume(1)
	w.run(20 * time.Second)
	requireServed(t, w)
	requireNoViolations(t, w)
}

func TestNewStandbyNotifiedWhileTableIsDown(t *testing.T) {
	w := settledWorld(t, 3, 2)
	w.vms[1].gone = true
	third := w.vms[2].ref
	for w.table.row.Standby != third {
		w.advance(unit)
		w.deliverAll()
		if w.now > time.Minute {
			fail(t, w, "got no new standby within a minute")
		}
	}
	w.table.down = true
	w.run(5 * time.Second)
	requireServed(t, w)
	if role := w.vms[0].replica.Role(); role != RoleKeeper {
		fail(t, w, "got role %v, want keeper: its decision lease expired", role)
	}
	requireNoViolations(t, w)
}
