package ownership

import "slices"

// A handover without an end. The VMs that should keep a group are the first two
// candidates: by the isolation of its service, VMs of the right failure domains.
// After starts and replacements the row may name others. The keeper then names
// one of the two as its standby, and once that one answers, cedes to it as in a
// planned stop, but goes on as a VM without a role.
//
// A cession can be lost together with the standby. The VM that ceded has given
// its epoch away for good: it decides nothing under it again, also when it reads
// the row that still names it. It tells so without a row, and the standby then
// takes over but does not hold over: hold-over has no end of its own, and a move
// by lapse after the group was taken back could not reckon with it. What it may do is take the group over like any
// other VM, by a compare-and-set that raises the epoch, and wait out RowRight.
// The standby's takeover is a compare-and-set over the same version, so that one
// of the two wins, and the loser reads so.

// orderSettleTime is how long the order of the candidates must stand before roles
// follow it. Shorter times move roles with each VM that is slow for a moment.
const orderSettleTime = 10 // in units of KeeperSilence

// preferredKeepers is how many of the first candidates should hold the roles.
const preferredKeepers = 2

// handoverState is what a VM knows of the order of candidates and of a handover.
type handoverState struct {
	preferred      []VMRef // the first candidates
	preferredSince Instant // since when they are the first
	started        bool    // this keeper has stopped deciding and cedes
	deadline       Instant // when it waits for the standby no longer

	cededEpoch uint64  // epoch that this VM gave away; 0: none
	cededAt    Instant // when
}

// updatePreferred notes the first candidates.
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
	return len(h.preferred) == preferredKeepers && r.now >= h.preferredSince+orderSettleTime*r.timing.KeeperSilence
}

// betterStandby returns a candidate that should stand by instead of the present
// one.
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

// advanceHandover begins, repeats and ends a handover.
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
		h.deadline = r.now + cedeTimeout*r.timing.KeeperSilence
		r.log("hands over to " + r.keeper.committed.Standby.String())
	}
	if r.now >= h.deadline {
		r.relinquish()
		return
	}
	r.sendCede(nil)
}

// handoverWanted reports whether this keeper should cede to its standby, and
// nothing is under way that the standby would have to guess.
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

// relinquish ends the role of keeper for the present epoch.
func (r *Replica) relinquish() {
	h := &r.handover
	h.started = false
	h.cededEpoch = r.keeper.epoch
	h.cededAt = r.now
	if r.bugs.decidesAfterCede {
		return
	}
	r.keeper = nil
	r.log("gave the group away")
}

// hasCeded reports whether a row names this VM as the keeper of an epoch that it
// gave away.
func (r *Replica) hasCeded(row *GroupRow) bool {
	return row.Keeper == r.self && row.Epoch <= r.handover.cededEpoch
}

// mayReclaim reports whether the VM that ceded was left with the group.
func (r *Replica) mayReclaim() bool {
	return r.now >= r.handover.cededAt+cedeTimeout*r.timing.KeeperSilence
}

// deciding reports whether this keeper has not stopped deciding for good.
func (r *Replica) deciding() bool {
	return !r.stopping && (!r.handover.started || r.bugs.decidesAfterCede)
}

// learnStandbyRole takes the role of standby from the keeper's own message: with
// the table down, the row that names this VM can't be read. A message that is
// late does no harm: a promise counts only with the keeper that still names this
// VM, and a takeover is begun from the row that was read.
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
		r.table.nextRead = r.now // a takeover starts from the row that was read
	}
}
