package ownership

import (
	"slices"
)

// Replica is the state machine of one group on one VM. It does no I/O, starts no
// goroutine and reads no clock: Step receives an event and its time, and returns the
// actions to perform. A Replica is not safe for concurrent use.
type Replica struct {
	self       VMRef
	group      string
	slots      []uint32 // sorted
	timing     Timing
	newWriteID func() string

	now     Instant  // time of the current step
	actions []Action // collected by the current step

	candidates   []VMRef
	gone         []VMRef
	plan         PlanChanged
	stopping     bool
	stopDeadline Instant // when a stopping replica stops waiting for its standby
	stopped      bool
	forcedBy     string // operator who ordered a takeover; empty: none

	// orphanedSince is the last time at which the row's keeper or standby was not gone.
	orphanedSince Instant

	table   tableView
	keeper  *keeperState  // nil: this VM is not the keeper
	standby *standbyState // nil: this VM is not the standby

	handover handoverState

	bugs injectedBugs
}

// injectedBugs are bugs that tests enable to show that the random walks, the
// state-space exploration and the tests of the agreement's rules detect them. All are
// false outside tests.
type injectedBugs struct {
	leaseFromSend       bool // a lease is counted from the send of the call, not from the answer
	takeoverWithoutWait bool // a new keeper does not wait for the old decision lease to expire
	lapseWithoutStandby bool // a move by lapse in outage mode does not wait for the standby
	lateReturnCancels   bool // a late return cancels a newer promise
	duplicateAskExtends bool // a duplicate ask extends a promise
	holdOverFromRow     bool // hold-over grants what the row says, not what the server holds
	dropUnansweredWrite bool // an unanswered write is not retried
	decidesAfterCede    bool // a keeper that ceded continues to decide
	returnEndsRenewals  bool // leases renewed in hold-over are ignored after a return
	anyRevokeCounts     bool // the acknowledgement of an earlier revoke counts
	movesKeepToken      bool // a move does not raise the token
	holdOverDuringMove  bool // hold-over renews while requests of a moving slot run
}

// NewReplica returns a Replica without a role. slots are the slots of the group.
// newWriteID must return a different identifier for each write, on any VM.
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

// Step processes an event at a time and returns the actions to perform. Time never
// goes back: an earlier time counts as the latest one seen.
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

// affectsOneServer reports whether an answer of a server can affect only that server.
// Then everything else waits for the next Tick, because visiting every server at every
// answer costs time quadratic in their number.
func (r *Replica) affectsOneServer() bool {
	k := r.keeper
	if k == nil || k.planDirty || k.hasUnowned || k.recovering || k.pending != nil {
		return false
	}
	return len(k.committed.Moves) == 0 && r.deciding()
}

// handle updates the state with an event.
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

// advance performs the work that is due now.
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

// stretch extends d by the tolerated clock drift. It is used where this VM waits for a
// duration that another machine measures on its own clock.
func (r *Replica) stretch(d Instant) Instant {
	return d + d*Instant(r.timing.DriftPerMill)/1000
}

// isGone reports whether a VM has certainly stopped: the platform's list says so, or
// it is an earlier incarnation of this VM, which stopped before this one started.
func (r *Replica) isGone(vm VMRef) bool {
	if vm.ID == r.self.ID && vm != r.self {
		return true
	}
	return slices.Contains(r.gone, vm)
}

// nextCandidate returns the first candidate after skip that can be the standby of
// this VM, or the zero VMRef if there is none.
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
