package keyspace

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"sync"
	"time"

	"kumquatcleat/internal/bootclock"
	"kumquatcleat/internal/rows"
	"kumquatcleat/internal/wait"
)

// LeadSettings are the durations of the coordinator's lease.
type LeadSettings struct {
	// Lease is how long the right to coordinate lasts after the write that renewed it.
	Lease time.Duration
	// Renew is the interval at which renewals are sent.
	Renew time.Duration
	// Strain is how long an answer of the store may take before leases on keys are
	// lengthened: the right may end before the next one.
	Strain time.Duration
	// CallTimeout is when a renewal without an answer is given up.
	CallTimeout time.Duration
	// LongHold is the longest lease on keys that a coordinator gives.
	LongHold time.Duration
	// DriftPerMill is how much slower a clock may run than another, in thousandths.
	DriftPerMill int64
}

// Process is one start of a VM's process.
type Process struct {
	VM    string `json:"vm"`
	Start string `json:"start"`
}

// claim is the value of the row that names the coordinator.
type claim struct {
	Process
	Count   uint64  `json:"count"`   // makes each renewal a new version
	Standby Process `json:"standby"` // without whose consent no long leases are given
	// Long says that long leases may be out that the standby may not know of.
	Long bool `json:"long,omitempty"`
}

// Lead holds or awaits the right to coordinate. The right is a lease in the
// store: its holder counts it from before the write that renewed it, everyone
// else from the moment at which they saw the row's version, so no two VMs have
// it at once.
type Lead struct {
	settings LeadSettings
	store    rows.Store
	table    string
	self     claim
	clock    bootclock.Clock
	// rank is this VM's place among those that may coordinate; low ones look often.
	rank func() int
	// ask asks the VM that should stand by.
	ask AskStandby

	mu       sync.Mutex // owns the fields below
	version  uint64     // of the row while held, else of the row last seen
	until    time.Duration
	seenAt   time.Duration // when version was first seen
	held     bool
	paused   bool
	strained bool // the last renewal was not answered
	// longAt is when long leases may last have been given: by this VM under strain,
	// or by a predecessor that may have. Zero: none may be out.
	longAt time.Duration

	last        claim         // in the row when it was last read
	suspectedAt time.Duration // when the coordinator was last found not to answer; 0: never

	strains    chan struct{} // wakes RunStandby
	suspicions chan struct{} // wakes Run

	standby Process // that the next claim names
	named   Process // that the row names for certain; empty while that is not known
	consent bool    // of named, to long leases in the present strain
	// As a standby of another VM:
	standsIn    time.Duration // when it was last asked
	consentedTo Process       // coordinator that it allowed long leases
}

// coordinatorKey is the key of the row that names the coordinator.
const coordinatorKey = "coordinator"

// NewLead returns a lead that is not held.
func NewLead(s LeadSettings, store rows.Store, table string, self Process, clock bootclock.Clock, rank func() int, ask AskStandby) *Lead {
	return &Lead{settings: s, store: store, table: table, self: claim{Process: self}, clock: clock, rank: rank, ask: ask, strains: make(chan struct{}, 1), suspicions: make(chan struct{}, 1)}
}

// Held reports whether this VM may coordinate now. Ask again right before each
// order is sent.
func (l *Lead) Held() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.held && l.clock() < l.until
}

// Strained reports whether long leases may be given: the store left the last
// renewal unanswered, and the standby, which does not reach it either, consented.
func (l *Lead) Strained() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.strained && l.consent
}

// LongLeases reports whether long leases may be out: given by this VM under strain,
// or by a predecessor.
func (l *Lead) LongLeases() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.long()
}

// Condition is the check that makes a write fail once another VM coordinates.
func (l *Lead) Condition() (rows.Write, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.held {
		return rows.Write{}, false
	}
	return rows.Write{Table: l.table, Key: coordinatorKey, Expect: l.version, CheckOnly: true}, true
}

// Run takes and renews the right until ctx ends.
func (l *Lead) Run(ctx context.Context) {
	pause := time.Duration(0)
	if l.rank() > firstLooks {
		pause = l.lookInterval()
	}
	for l.pauseLooks(ctx, pause) {
		if l.isHeld() {
			sent := l.clock()
			l.renew(ctx)
			pause = l.settings.Renew - (l.clock() - sent)
			continue
		}
		answered := l.look(ctx)
		pause = l.lookInterval()
		if !answered {
			pause = max(pause, l.settings.Renew)
		}
	}
}

// pauseLooks waits for the next look, or for word that nobody coordinates.
func (l *Lead) pauseLooks(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-l.suspicions:
		return wait.For(ctx, time.Duration(l.rank())*suspectStep)
	case <-ctx.Done():
		return false
	}
}

const (
	// suspectRanks is how many VMs look when the coordinator does not answer, each a
	// step after the one before; the first that finds the lease over takes it.
	suspectRanks = 8
	suspectStep  = 50 * time.Millisecond
	// suspectMemory is how long a VM looks often after that.
	suspectMemory = 3 * time.Second
)

// Suspect tells that the coordinator does not answer, or coordinates no more.
func (l *Lead) Suspect() {
	if l.rank() >= suspectRanks {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.held || l.paused {
		return
	}
	l.suspectedAt = l.clock()
	select {
	case l.suspicions <- struct{}{}:
	default: // it looks already
	}
}

// suspects reports whether this VM looks often for a coordinator that is lost.
func (l *Lead) suspects() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.suspectedAt != 0 && l.clock()-l.suspectedAt < suspectMemory
}

// firstLooks is how many VMs look at their start, beside those that look often.
const firstLooks = 3

// isHeld reports whether this VM coordinated last, by what it knows, and its lease
// ended only lately if at all: it goes on renewing then.
func (l *Lead) isHeld() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.held && l.clock() < l.until+l.settings.Lease
}

// firstLook and othersLook are how many renewals pass between looks of VMs that
// stand in for the standby: the first two, and the rest, which look at once when the
// coordinator takes no reports.
const (
	firstLook  = 12
	othersLook = 150
)

// lookInterval spaces the reads of the row: the standby looks often, and again as
// soon as the lease that it knows of is over.
func (l *Lead) lookInterval() time.Duration {
	if l.isHeld() {
		return l.settings.Renew
	}
	switch rank := l.rank(); {
	case l.resigned():
		return l.settings.Renew * othersLook
	case l.standsBy(), l.suspects():
		return min(l.settings.Renew, max(l.untilFree(), leastLook))
	case rank <= 1:
		return min(l.settings.Renew*firstLook, max(l.untilFree(), leastLook))
	default:
		return l.settings.Renew * othersLook
	}
}

// leastLook spaces looks at a row whose lease is over: it may just be renewed.
const leastLook = 50 * time.Millisecond

func (l *Lead) resigned() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.paused
}

// untilFree returns when the lease ends that is known of; it may be over.
func (l *Lead) untilFree() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.seenAt + l.patience(l.last) - l.clock() + time.Millisecond
}

// look reads the row and takes the right when nobody holds it. It reports whether
// the store answered.
func (l *Lead) look(ctx context.Context) (answered bool) {
	row, err := l.store.Get(ctx, l.table, coordinatorKey)
	if err != nil {
		return false // the view of the store logs that it does not answer
	}
	now := l.clock()
	l.mu.Lock()
	if row.Version != l.version {
		l.version, l.seenAt = row.Version, now
	}
	last := readClaim(row)
	l.last = last
	// An earlier process of this VM has ended, as a VM runs one at a time.
	ownEarlier := last.VM == l.self.VM && last.Start != l.self.Start
	free := row.Version == 0 || ownEarlier || now-l.seenAt > l.patience(last)
	if free && !l.paused {
		l.longAt = 0
		if row.Version != 0 && l.mayBeLong(last) {
			l.longAt = now
		}
	}
	paused := l.paused
	l.mu.Unlock()
	if free && !paused {
		l.write(ctx, row.Version, "lead: this VM coordinates")
	}
	return true
}

// patience is how long after its last renewal a coordinator is taken for lost. The
// standby goes first: it knows whether long leases are out.
func (l *Lead) patience(last claim) time.Duration {
	lease := stretch(l.settings.Lease, l.settings.DriftPerMill)
	if last.Standby != (Process{}) && last.Standby != l.self.Process {
		lease += l.settings.Renew
	}
	return lease
}

// readClaim returns the claim in the coordinator's row, an empty one where there
// is none or where it can't be read.
func readClaim(row rows.Row) claim {
	var found claim
	if row.Version == 0 {
		return found
	}
	if err := json.Unmarshal(row.Value, &found); err != nil {
		slog.Warn("lead: the coordinator's row can't be read", "version", row.Version, "error", err.Error())
	}
	return found
}

// stretch lengthens a duration by the drift between two clocks.
func stretch(d time.Duration, perMill int64) time.Duration {
	return d + d*time.Duration(perMill)/1000
}

func (l *Lead) renew(ctx context.Context) {
	l.mu.Lock()
	version := l.version
	l.mu.Unlock()
	l.write(ctx, version, "")
}

// write claims the right. The lease counts from before the call.
func (l *Lead) write(ctx context.Context, expect uint64, message string) {
	sent := l.clock()
	standby := l.nextClaim()
	value, err := json.Marshal(l.self)
	if err != nil {
		slog.Error("lead: claim can't be encoded", "error", err.Error())
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, l.settings.CallTimeout)
	defer cancel()
	strain := time.AfterFunc(l.settings.Strain, l.noteStrain)
	defer strain.Stop()
	version, err := l.store.Commit(callCtx, []rows.Write{{Table: l.table, Key: coordinatorKey, Expect: expect, Value: value}})
	strain.Stop()
	l.noteAnswer(err == nil || errors.Is(err, rows.ErrConflict))
	switch {
	case err == nil:
		l.won(version, sent, standby)
	case errors.Is(err, rows.ErrConflict):
		l.reconcile(ctx, sent)
	default:
		slog.Warn("lead: the claim was not answered", "expect", expect, "error", err.Error())
		l.reconcile(ctx, sent)
		return
	}
	if message != "" && l.Held() {
		slog.Info(message, "version", version)
	}
}

// noteStrain begins a time in which the standby is asked for its consent.
func (l *Lead) noteStrain() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.strained = true
	l.wakeStandby()
}

// noteAnswer takes in whether the store answered a claim.
func (l *Lead) noteAnswer(answered bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.consent {
		l.longAt = l.clock() // long leases were given until now
	}
	l.strained = !answered
	l.consent = l.consent && l.strained
	if l.strained {
		l.wakeStandby()
	}
}

// wakeStandby lets the standby be asked at once. The caller holds the lock.
func (l *Lead) wakeStandby() {
	select {
	case l.strains <- struct{}{}:
	default: // it is about to be
	}
}

func (l *Lead) won(version uint64, sent time.Duration, standby Process) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.paused {
		return
	}
	l.version, l.held = version, true
	if l.named != standby {
		l.named, l.consent = standby, false
	}
	l.until = max(l.until, sent+l.settings.Lease)
}

// reconcile finds out whether an unanswered or refused claim was written after
// all: a claim of this process is as good as an answer.
func (l *Lead) reconcile(ctx context.Context, sent time.Duration) {
	row, err := l.store.Get(ctx, l.table, coordinatorKey)
	if err != nil {
		return
	}
	found := readClaim(row)
	if found.Process == l.self.Process {
		if found.Count == l.self.Count {
			l.won(row.Version, sent, found.Standby)
			return
		}
		l.earlier(row.Version, found.Standby)
		return
	}
	l.lost(row.Version, found.VM)
}

// earlier takes in that the row holds an earlier claim of this process. The last one
// may still be applied, so the standby is known only if both name the same.
func (l *Lead) earlier(version uint64, standby Process) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.version = version
	if standby != l.self.Standby || standby != l.named {
		l.named, l.consent = Process{}, false
	}
}

func (l *Lead) lost(version uint64, to string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.held {
		slog.Info("lead: another VM coordinates", "vm", to, "version", version)
	}
	l.held = false
	if l.version != version {
		l.version, l.seenAt = version, l.clock()
	}
}

// Resign gives the right up so that another VM takes it without waiting. While
// long leases may be out it only lets the right lapse.
func (l *Lead) Resign(ctx context.Context) error {
	l.mu.Lock()
	held, version := l.held, l.version
	long := l.long()
	l.held, l.paused = false, true
	l.mu.Unlock()
	if !held || long {
		return nil
	}
	_, err := l.store.Commit(ctx, []rows.Write{{Table: l.table, Key: coordinatorKey, Expect: version, Delete: true}})
	if err != nil {
		return fmt.Errorf("lead: resign: %w", err)
	}
	slog.Info("lead: resigned")
	return nil
}
