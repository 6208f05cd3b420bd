package ownership

import (
	"fmt"
	"maps"
	"os"
	"slices"
	"strconv"
	"testing"

	"github.com/cespare/xxhash/v2"
	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

// exploreTiming keeps the order of the durations in DefaultTiming with as few units as
// possible, so that every expiry is reached within a few units.
var exploreTiming = Timing{
	Lease:           3 * unit,
	RowLease:        2 * unit,
	RowRead:         unit,
	Promise:         2 * unit,
	OutageLease:     6 * unit,
	TableSettled:    -1, // the keeper returns each outage lease as early as possible
	RouteLease:      unit,
	Heartbeat:       unit,
	KeeperSilence:   2 * unit,
	HoldOverSilence: unit,
	StandbySilence:  100 * unit,
	Retry:           unit,
	RequestDeadline: unit,
	DriftPerMill:    1,
}

// change is a change of the environment that is applied before a unit of time passes.
// A change that begins a fault ends it when it is applied again.
type change int

const (
	noChange change = iota
	tableDown
	cutVMs           // vm0 and vm1 from each other
	cutKeeperServer  // vm0 from server x
	cutKeeperTable   // vm0 from the table
	cutStandbyTable  // vm1 from the table
	freezeServer     // stops server x from answering
	pauseKeeper      // vm0
	pauseStandby     // vm1
	delayWrites      // table writes are delayed; their senders get WriteUnknown
	delayPeers       // peer messages to vm1 are delayed
	delayAnswers     // peer messages to vm0 are delayed
	delayGrants      // grants to server x are delayed
	delayRows        // move messages with the keeper's row are delayed
	duplicateDelayed // copies of the delayed packets are delivered now
	moveSlot         // the plan assigns the slot to the other server
	loseKeeper       // vm0, permanently
	numberOfChanges  = iota

	exploredSlot = 0 // the only slot of the explored worlds

	// Environment variables that set the bounds of the exploration.
	changesVariable = "OWNERSHIP_CHANGES"
	unitsVariable   = "OWNERSHIP_UNITS"

	// Bounds of the exploration in CI.
	ciChanges = 2
	ciUnits   = 9

	// Length, seed and number of the random change sequences.
	sequenceMaxUnits = 40
	sequenceSeed     = 4
	ciSequences      = 1000
)

// startState is a state of the world from which an exploration starts.
type startState string

const (
	startServed        startState = "served"      // table mode
	startOutage        startState = "outage"      // the keeper has an outage lease from the standby
	startReturn        startState = "return"      // table mode again; the return is not acknowledged
	startDelayedGrants startState = "late grants" // grants to server x are in flight
	startMoving        startState = "moving"      // delayed grants, and a move away from server x
	startHoldOver      startState = "hold-over"   // outage; the keeper is cut off from its standby
	// startStale has a standby that missed a move by lapse, and an old owner that
	// answers again after a freeze.
	startStale startState = "stale standby"
)

var starts = []startState{startServed, startOutage, startReturn, startDelayedGrants, startMoving, startHoldOver, startStale}

// initialChanges returns the changes that lead from a served group to the start state.
func (s startState) initialChanges() []change {
	switch s {
	case startOutage:
		return []change{tableDown, noChange, noChange}
	case startReturn:
		return []change{tableDown, noChange, delayAnswers, tableDown}
	case startDelayedGrants:
		return []change{delayGrants}
	case startMoving:
		return []change{delayGrants, moveSlot}
	case startHoldOver:
		return []change{tableDown, noChange, cutVMs, noChange}
	case startStale:
		lapse := slices.Repeat([]change{noChange}, 7)
		return slices.Concat([]change{cutStandbyTable, freezeServer}, lapse, []change{cutKeeperServer, freezeServer, delayRows})
	default:
		return nil
	}
}

// startWorld returns a world in a start state.
func startWorld(s startState, bugs injectedBugs, ignoreTokens bool) *world {
	w := exploredWorld(bugs)
	for _, server := range w.servers {
		server.ignoresTokens = ignoreTokens
	}
	for _, c := range s.initialChanges() {
		w.passUnit(c)
	}
	return w
}

// exploredWorld returns a world with one slot, which is served, and two servers.
func exploredWorld(bugs injectedBugs) *world {
	w := newWorld(3, 2, []uint32{exploredSlot}, exploreTiming)
	for _, vm := range w.vms {
		vm.replica.bugs = bugs
	}
	w.run(20 * unit)
	w.delaying = map[string]bool{}
	return w
}

// passUnit applies a change and advances the time by one unit.
func (w *world) passUnit(c change) {
	w.network = w.delayingNetwork
	w.apply(c)
	w.advance(unit)
	w.deliverDue()
}

// delayingNetwork delays the packets of the kinds that a change has selected.
func (w *world) delayingNetwork(p *packet) {
	if !w.isDelayed(p) {
		w.inFlight = append(w.inFlight, p)
		return
	}
	w.delayed = append(w.delayed, p)
	if p.kind == packetWrite {
		unknown := RowWritten{WriteID: p.write.Row.WriteID, SentAt: p.sentAt, Result: WriteUnknown}
		w.inFlight = append(w.inFlight, &packet{kind: packetWriteAnswer, vm: p.vm, ref: p.ref, deliverAt: p.deliverAt, written: unknown})
	}
}

// Kinds of packets that can be delayed.
const (
	delayedWrites  = "writes"
	delayedPeers   = "peers"
	delayedAnswers = "answers"
	delayedGrants  = "grants"
	delayedRows    = "rows"
)

func (w *world) isDelayed(p *packet) bool {
	switch {
	case p.kind == packetWrite:
		return w.delaying[delayedWrites]
	case p.kind == packetPeer && p.peer.Message.Kind == PeerMove && w.delaying[delayedRows]:
		return true
	case p.kind == packetPeer && p.vm == 1:
		return w.delaying[delayedPeers]
	case p.kind == packetPeer && p.vm == 0:
		return w.delaying[delayedAnswers]
	case p.kind == packetCall && p.call == CallGrant && p.server == "x":
		return w.delaying[delayedGrants]
	default:
		return false
	}
}

// toggleDelay starts to delay packets of a kind, or delivers the delayed ones.
func (w *world) toggleDelay(kind string) {
	w.delaying = maps.Clone(w.delaying)
	if !w.delaying[kind] {
		w.delaying[kind] = true
		return
	}
	delete(w.delaying, kind)
	late := w.delayed
	w.delayed = nil
	for _, p := range late {
		if w.isDelayed(p) {
			w.delayed = append(w.delayed, p)
		} else {
			w.deliver(p)
		}
	}
}

// apply applies a change of the environment.
func (w *world) apply(c change) {
	w.tracef("apply change %d", c)
	switch c {
	case tableDown:
		w.table.down = !w.table.down
	case cutVMs:
		w.toggleCut(0, "vm1")
		w.toggleCut(1, "vm0")
	case cutKeeperServer:
		w.toggleCut(0, "x")
	case cutKeeperTable:
		w.toggleCut(0, "table")
	case cutStandbyTable:
		w.toggleCut(1, "table")
	case freezeServer:
		w.server("x").down = !w.server("x").down
	case pauseKeeper:
		w.togglePause(0)
	case pauseStandby:
		w.togglePause(1)
	case delayWrites:
		w.toggleDelay(delayedWrites)
	case delayPeers:
		w.toggleDelay(delayedPeers)
	case delayAnswers:
		w.toggleDelay(delayedAnswers)
	case delayGrants:
		w.toggleDelay(delayedGrants)
	case delayRows:
		w.toggleDelay(delayedRows)
	case duplicateDelayed:
		for _, p := range slices.Clone(w.delayed) {
			w.deliver(p)
		}
	case moveSlot:
		w.moveSlot()
	case loseKeeper:
		w.vms[0].gone = true
	}
}

func (w *world) toggleCut(vm int, id string) {
	cut := w.vms[vm].cut
	if cut[id] {
		delete(cut, id)
	} else {
		cut[id] = true
	}
}

func (w *world) togglePause(vm int) {
	if w.vms[vm].paused {
		w.resume(vm)
	} else {
		w.vms[vm].paused = true
	}
}

func (w *world) moveSlot() {
	other := map[string]string{"x": "y", "y": "x"}[w.plan.Owners[exploredSlot]]
	w.plan = PlanChanged{Servers: w.plan.Servers, Owners: map[uint32]string{exploredSlot: other}}
	for i := range w.vms {
		w.deliverEvent(i, w.plan)
	}
}

// exploration is a state-space exploration. It visits every state that can be reached
// within a number of units of time and changes, at most one change per unit, and stops
// at the first violation.
type exploration struct {
	seen       map[uint64]bool // hashes of visited states, with the units and changes left
	path       []change
	violations []string
}

func explore(from *world, units, changes int) *exploration {
	e := &exploration{seen: map[uint64]bool{}}
	e.visit(from, units, changes)
	return e
}

// visit explores the successors of w and reports whether a violation was found.
func (e *exploration) visit(w *world, units, changes int) bool {
	if units == 0 {
		return false
	}
	for c := range change(numberOfChanges) {
		left := changes
		if c != noChange {
			left--
		}
		if left < 0 {
			return false
		}
		to := w.clone()
		to.passUnit(c)
		e.path = append(e.path, c)
		if len(to.violations) > 0 {
			e.violations = to.violations
			return true
		}
		key := xxhash.Sum64String(fmt.Sprintf("%d %d %s", units, left, to.fingerprint()))
		if !e.seen[key] {
			e.seen[key] = true
			if e.visit(to, units-1, left) {
				return true
			}
		}
		e.path = e.path[:len(e.path)-1]
	}
	return false
}

// envInt returns the integer in an environment variable, or fallback if it is not set.
func envInt(t *testing.T, variable string, fallback int) int {
	t.Helper()
	text := os.Getenv(variable)
	if text == "" {
		return fallback
	}
	n, err := strconv.Atoi(text)
	if err != nil {
		t.Fatalf("%s=%q: want a number", variable, text)
	}
	return n
}

func TestStateSpaceExplorationFindsNoViolation(t *testing.T) {
	units, changes := envInt(t, unitsVariable, ciUnits), envInt(t, changesVariable, ciChanges)
	for _, s := range starts {
		t.Run(string(s), func(t *testing.T) {
			t.Parallel()
			result := explore(startWorld(s, injectedBugs{}, false), units, changes)
			t.Logf("%d states, %d units, %d changes", len(result.seen), units, changes)
			if len(result.violations) > 0 {
				t.Fatalf("path %v: got violations %v, want none", result.path, result.violations)
			}
		})
	}
}

// sequenceProperty is the property that no sequence of changes, one per unit, leads to a
// violation. Half of the generated changes are noChange.
func sequenceProperty(bugs injectedBugs, start *world) gopter.Prop {
	return prop.ForAll(func(sequence []int) (string, error) {
		w := start.clone()
		for _, n := range sequence {
			w.passUnit(change(max(0, n)))
			if len(w.violations) > 0 {
				return fmt.Sprint(w.violations), nil
			}
		}
		return "", nil
	}, gen.SliceOf(gen.IntRange(-numberOfChanges, numberOfChanges-1)))
}

// sequenceParameters returns the number and length of the sequences and a fixed seed.
func sequenceParameters() *gopter.TestParameters {
	parameters := gopter.DefaultTestParametersWithSeed(sequenceSeed)
	parameters.MinSuccessfulTests = ciSequences
	parameters.MinSize = 1
	parameters.MaxSize = sequenceMaxUnits
	return parameters
}

func TestChangeSequencesFindNoViolation(t *testing.T) {
	t.Parallel()
	parameters := sequenceParameters()
	properties := gopter.NewProperties(parameters)
	properties.Property("no change sequence leads to a fault", sequenceProperty(injectedBugs{}, exploredWorld(injectedBugs{})))
	properties.TestingRun(t)
}
