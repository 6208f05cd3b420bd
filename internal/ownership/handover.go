package ownership

import "slices"

// A handover moves the role of keeper without stopping the VM. The keeper and the
// standby of a group should be the first two candidates, which are VMs of the failure
// domains that the isolation of its service requires. After VMs have started or were
// replaced, the row may name others. The keeper then names one of the two as its
// standby, and once that one answers, cedes to it as in a planned stop, but goes on
// as a VM without a role.
//
// The cede message can be lost together with the standby. The VM that ceded has ended
// its epoch for good: it decides nothing under it again, even if it reads the row
// that still names it. It may take the group over like any other VM, by a
// compare-and-set that raises the epoch, and then waits RowLease. The standby's
// takeover is a compare-and-set over the same version, so one of the two wins, and
// the loser learns that from its next read.
//
// The cede message of a handover has no row, so the standby takes over but does not
// hold over. Hold-over has no time limit of its own, and after the VM that ceded took
// the group back, a move by lapse could not account for it.

// orderSettleFactor is how long the order of the candidates must be unchanged before
// roles follow it. A shorter time moves roles whenever a VM is slow for a moment.
const orderSettleFactor = 10 // in units of KeeperSilence

// preferredKeepers is the number of candidates that should hold the roles of keeper
// and standby.
const preferredKeepers = 2

// handoverState tracks the order of the candidates and a handover in progress.
type handoverState struct {
	preferred      []VMRef // the first preferredKeepers candidates
	preferredSince Instant // when preferred last changed
	started        bool    // this keeper has stopped deciding and is ceding
	deadline       Instant // when it stops waiting for the standby

	cededEpoch uint64  // epoch that this VM ceded; 0: none
	cededAt    Instant // when it ceded that epoch
}

// updatePreferred records the first candidates and when they changed.
func (h *handoverState) updatePreferred(candidates []VMRef, now Instant) {
	first := candidates[:min(preferredKeepers, len(candidates))]
	if !slices.Equal(first, h.preferred) {
		h.preferred = slices.Clone(first)
		h.preferredSince = now
	}
}

// orderSettled reports whether roles may follow the order of the candidates.
func (r *Replica) orderSettled() bool {
	h := &r.handover
	return len(h.preferred) == preferredKeepers && r.now >= h.preferredSince+orderSettleFactor*r.timing.KeeperSilence
}

// betterStandby returns a candidate that should replace the current standby.
func (r *Replica) betterStandby() (VMRef, bool) {
	h := &r.handover
	if !r.orderSettled() || slices.Contains(h.preferred, r.keeper.committed.Standby) {
		return VMRef{}, false
	}
	for _, c := range h.preferred {
		if c != r.self && !r.isGone(c) {
			return c, true
		}
	}
	return VMRef{}, false
}

// advanceHandover starts a handover if one is wanted, resends its cede message, and
// ends it after the deadline.
func (r *Replica) advanceHandover() {
	h := &r.handover
	h.updatePreferred(r.candidates, r.now)
	if r.keeper == nil || r.stopping {
		return
	}
	if !h.started {
		if !r.handoverWanted() {
			return
		}
		h.started = true
		h.deadline = r.now + cedeTimeoutFactor*r.timing.KeeperSilence
		r.log("handing over to " + r.keeper.committed.Standby.String())
	}
	if r.now >= h.deadline {
		r.relinquish()
		return
	}
	r.sendCede(nil)
}

// handoverWanted reports whether this keeper should cede to its standby, and nothing
// is in progress that the standby might not know.
func (r *Replica) handoverWanted() bool {
	k := r.keeper
	h := &r.handover
	if !r.orderSettled() || slices.Contains(h.preferred, r.self) || !slices.Contains(h.preferred, k.committed.Standby) {
		return false
	}
	quiet := r.table.write == nil && k.pending == nil && len(k.committed.Moves) == 0 && !k.outage.holdOverPossible
	heard := k.standby.answered && r.now < k.standby.heardAt+2*r.timing.Heartbeat &&
		r.now >= k.standby.namedAt+r.timing.KeeperSilence // it has read the row by then
	return r.mayDecide() && r.tableFresh() && !k.recovering && quiet && heard
}

// relinquish ends the role of keeper and cedes the current epoch.
func (r *Replica) relinquish() {
	h := &r.handover
	h.started = false
	h.cededEpoch = r.keeper.epoch
	h.cededAt = r.now
	if r.bugs.decidesAfterCede {
		return
	}
	r.keeper = nil
	r.log("ceded the group")
}

// hasCeded reports whether a row names this VM as the keeper of an epoch that it
// ceded.
func (r *Replica) hasCeded(row *GroupRow) bool {
	return row.Keeper == r.self && row.Epoch <= r.handover.cededEpoch
}

// mayReclaim reports whether the standby had enough time to take over, so that the
// VM that ceded may take the group back.
func (r *Replica) mayReclaim() bool {
	return r.now >= r.handover.cededAt+cedeTimeoutFactor*r.timing.KeeperSilence
}

// deciding reports whether this keeper still decides: it is neither stopping nor
// ceding.
func (r *Replica) deciding() bool {
	return !r.stopping && (!r.handover.started || r.bugs.decidesAfterCede)
}

// learnStandbyRole takes the role of standby from a message of the keeper, because
// the row that names this VM can't be read while the table is down. A late message
// does no harm: a promise counts only for a keeper that still names this VM, and a
// takeover starts from the row that was read.
func (r *Replica) learnStandbyRole(ev PeerReceived) {
	row := ev.Message.Row
	known := r.table.row
	if row == nil || known == nil || r.keeper != nil || r.stopping {
		return
	}
	if row.Standby != r.self || row.Keeper != ev.From || row.Epoch != known.Epoch || row.Token().Less(known.Token()) {
		return
	}
	if r.standby == nil {
		r.adoptStandbyRole(row)
		r.keepNewest(row)
		r.table.nextRead = r.now // a takeover needs the row from the table
	}
}
