package ownership

import (
	"slices"
)

// Replica is the state machine of one group on one VM. It does no I/O, starts no
// goroutine and reads no clock: Step is told what happened and when, and returns
// what is to be done. A Replica belongs to one goroutine.
type Replica struct {
	self       VMRef
	group      string
	slots      []uint32 // sorted
	timing     Timing
	newWriteID func() string

	now     Instant  // time of the running step
	actions []Action // gathered by the running step

	candidates   []VMRef
	gone         []VMRef
	plan         PlanChanged
	stopping     bool
	stopDeadline Instant // when a replica that stops waits no longer
	stopped      bool
	forcedBy     string // operator who ordered a takeover; empty: nobody

	// orphanedSince is when the row's keeper and standby were last not both gone.
	orphanedSince Instant

	table   tableView
	keeper  *keeperState  // nil: this VM is not the keeper
	standby *standbyState // nil: this VM is not the standby

	handover handoverState

	bugs injectedBugs
}

// injectedBugs are deliberate faults that tests set to show that the explorer finds
// them. All are false outside tests.
type injectedBugs struct {
	leaseFromSend       bool // counts a lease from the send of the grant
	takeoverWithoutWait bool // acts at once after a takeover
	lapseWithoutStandby bool // moves by lapse in outage mode unacknowledged
	lateReturnCancels   bool // a late return cancels a younger promise
	duplicateAskExtends bool // a doubled ask renews a promise
	holdOverFromRow     bool // hold-over grants what the row names
	dropUnansweredWrite bool // an unanswered write is dropped
	decidesAfterCede    bool // a keeper that handed over goes on deciding
	returnEndsRenewals  bool // no lease is waited for after a return
	anyRevokeCounts     bool // the acknowledgement of an earlier move counts
	movesKeepToken      bool // a move does not raise the token
	holdOverDuringMove  bool // hold-over renews while work of a moving slot runs
}

// NewReplica returns a Replica that holds no role. slots are the slots of the
// group. newWriteID returns an identifier that no other write ever has.
func NewReplica(self VMRef, group string, slots []uint32, timing Timing, newWriteID func() string) *Replica {
	sorted := slices.Clone(slots)
	slices.Sort(sorted)
	return &Replica{
		self:       self,
		group:      group,
		slots:      sorted,
		timing:     timing.withDefaults(),
		newWriteID: newWriteID,
	}
}

// Step takes an event at a time and returns what is to be done. Times never
// decrease; an earlier one counts as the latest seen.
func (r *Replica) Step(now Instant, ev Event) []Action {
	r.now = max(r.now, now)
	r.actions = nil
	if r.stopped {
		return nil
	}
	r.handle(ev)
	if answer, ok := ev.(ServerAnswered); ok && r.affectsOneServer() {
		r.sendGrantIfDue(answer.Server)
		return r.actions
	}
	r.advance()
	return r.actions
}

// affectsOneServer reports whether an answer of a server can only concern that server. Then
// the rest waits for the next Tick: looking at every server at every answer costs
// the square of their number.
func (r *Replica) affectsOneServer() bool {
	k := r.keeper
	if k == nil || k.planDirty || k.hasUnowned || k.recovering || k.pending != nil {
		return false
	}
	return len(k.committed.Moves) == 0 && r.deciding()
}

// handle notes what the event tells.
func (r *Replica) handle(ev Event) {
	switch ev := ev.(type) {
	case Tick:
	case RowRead:
		r.handleRowRead(ev)
	case RowWritten:
		r.handleRowWritten(ev)
	case ServerAnswered:
		r.handleServerAnswer(ev)
	case PeerReceived:
		r.handlePeerMessage(ev)
	case MembersChanged:
		r.candidates = slices.Clone(ev.Candidates)
		r.gone = slices.Clone(ev.Gone)
	case PlanChanged:
		r.handlePlanChanged(ev)
	case ServerLost:
		r.handleServerLost(ev.Server)
	case StopRequested:
		r.handleStop()
	case TakeoverForced:
		r.forcedBy = ev.By
	}
}

// advance does what is due now.
func (r *Replica) advance() {
	r.readRowWhenDue()
	r.advanceStandby()
	r.advanceKeeper()
	r.advanceHandover()
	r.advanceStop()
	r.advanceWrite()
}

func (r *Replica) emit(a Action) { r.actions = append(r.actions, a) }

func (r *Replica) log(what string) {
	r.emit(LogDecision{What: what, Slot: -1, Token: r.currentToken()})
}

// stretch lengthens a duration that this VM waits for another machine's clock.
func (r *Replica) stretch(d Instant) Instant {
	return d + d*Instant(r.timing.DriftPerMill)/1000
}

// isGone reports whether a VM surely runs no more: the platform's list says so,
// or it is an earlier start of this VM, which ended before this start began.
func (r *Replica) isGone(vm VMRef) bool {
	if vm.ID == r.self.ID && vm != r.self {
		return true
	}
	return slices.Contains(r.gone, vm)
}

// nextCandidate returns the first candidate behind skip that can be the standby
// of this VM, or the zero VMRef.
func (r *Replica) nextCandidate(skip VMRef) VMRef {
	n := len(r.candidates)
	start := slices.Index(r.candidates, skip) + 1
	for i := range n {
		c := r.candidates[(start+i)%n]
		if c != r.self && c != skip && !r.isGone(c) {
			return c
		}
	}
	return VMRef{}
}
