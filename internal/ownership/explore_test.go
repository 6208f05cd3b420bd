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

// exploreTiming keeps the order of DefaultTiming in as few units as can be, so
// that a few units reach every expiry.
var exploreTiming = Timing{
	Lease:           3 * unit,
	RowLease:        2 * unit,
	RowRead:         unit,
	Promise:         2 * unit,
	OutageLease:     6 * unit,
	TableSettled:    -1, // every return comes as early as it can
	RouteLease:      unit,
	Heartbeat:       unit,
	KeeperSilence:   2 * unit,
	HoldOverSilence: unit,
	StandbySilence:  100 * unit,
	Retry:           unit,
	RequestDeadline: unit,
	DriftPerMill:    1,
}

// change is what the surroundings may do before a unit of time passes. Each but
// the first begins a fault, and ends it when it is made again.
type change int

const (
	nothing change = iota
	tableDown
	cutVMs           // vm0 from vm1
	cutKeeperServer  // vm0 from server x
	cutKeeperTable   // vm0 from the table
	cutStandbyTable  // vm1 from the table
	freezeServer     // server x
	pauseKeeper      // vm0
	pauseStandby     // vm1
	holdWrites       // writes are late; their senders are told nothing is known
	holdPeers        // messages of vm0 to vm1 are late
	holdAnswers      // messages of vm1 to vm0 are late
	holdGrants       // grants to server x are late
	holdRows         // rows that vm0 shows to vm1 are late
	doubleHeld       // copies of what is held arrive now
	moveSlot         // the plan names the other server
	loseKeeper       // vm0, for good
	numberOfChanges  = iota
	exploredSlot     = 0
	changesVariable  = "OWNERSHIP_CHANGES"
	unitsVariable    = "OWNERSHIP_UNITS"
	ciChanges        = 2
	ciUnits          = 9
	sequenceMaxUnits = 40
	sequenceSeed     = 4
	ciSequences      = 1000
)

// start is a world from which the exploration begins.
type start string

const (
	startServed  start = "served"      // table mode
	startOutage  start = "outage"      // the keeper has the right from the standby
	startReturn  start = "return"      // table mode again, the return is not acknowledged
	startLate    start = "late grants" // grants to server x are under way
	startMoving  start = "moving"      // late grants, and a move away from server x
	startOrphans start = "hold-over"   // outage, the keeper is cut off from its standby
	// startStale is a standby that missed a move by lapse, and the old owner back
	// from a freeze.
	startStale start = "stale standby"
)

var starts = []start{startServed, startOutage, startReturn, startLate, startMoving, startOrphans, startStale}

// leadIn returns the changes that lead to a start.
func (s start) leadIn() []change {
	switch s {
	case startOutage:
		return []change{tableDown, nothing, nothing}
	case startReturn:
		return []change{tableDown, nothing, holdAnswers, tableDown}
	case startLate:
		return []change{holdGrants}
	case startMoving:
		return []change{holdGrants, moveSlot}
	case startOrphans:
		return []change{tableDown, nothing, cutVMs, nothing}
	case startStale:
		lapse := slices.Repeat([]change{nothing}, 7)
		return slices.Concat([]change{cutStandbyTable, freezeServer}, lapse, []change{cutKeeperServer, freezeServer, holdRows})
	default:
		return nil
	}
}

// startWorld returns the world of a start.
func startWorld(s start, f injectedBugs, deaf bool) *world {
	w := exploredWorld(f)
	for _, server := range w.servers {
		server.deaf = deaf
	}
	for _, c := range s.leadIn() {
		w.passUnit(c)
	}
	return w
}

// exploredWorld returns a served world with one slot and two servers.
func exploredWorld(f injectedBugs) *world {
	w := newWorld(3, 2, []uint32{exploredSlot}, exploreTiming)
	for _, vm := range w.vms {
		vm.replica.bugs = f
	}
	w.run(20 * unit)
	w.holding = map[string]bool{}
	return w
}

// passUnit makes a change and lets a unit of time pass.
func (w *world) passUnit(c change) {
	w.network = w.holdingNetwork
	w.make(c)
	w.advance(unit)
	w.deliverDue()
}

// holdingNetwork keeps back the packets of the kinds that are held.
func (w *world) holdingNetwork(p *packet) {
	if !w.holds(p) {
		w.flight = append(w.flight, p)
		return
	}
	w.held = append(w.held, p)
	if p.kind == packetWrite {
		unknown := RowWritten{WriteID: p.write.Row.WriteID, SentAt: p.sentAt, Result: WriteUnknown}
		w.flight = append(w.flight, &packet{kind: packetWriteAnswer, vm: p.vm, ref: p.ref, due: p.due, written: unknown})
	}
}

// Kinds of packets that are held.
const (
	heldWrites  = "writes"
	heldPeers   = "peers"
	heldAnswers = "answers"
	heldGrants  = "grants"
	heldRows    = "rows"
)

func (w *world) holds(p *packet) bool {
	switch {
	case p.kind == packetWrite:
		return w.holding[heldWrites]
	case p.kind == packetPeer && p.peer.Message.Kind == PeerMove && w.holding[heldRows]:
		return true
	case p.kind == packetPeer && p.vm == 1:
		return w.holding[heldPeers]
	case p.kind == packetPeer && p.vm == 0:
		return w.holding[heldAnswers]
	case p.kind == packetCall && p.call == CallGrant && p.server == "x":
		return w.holding[heldGrants]
	default:
		return false
	}
}

// hold begins to hold packets, or lets what is held arrive.
func (w *world) hold(what string) {
	w.holding = maps.Clone(w.holding)
	if !w.holding[what] {
		w.holding[what] = true
		return
	}
	delete(w.holding, what)
	late := w.held
	w.held = nil
	for _, p := range late {
		if w.holds(p) {
			w.held = append(w.held, p)
		} else {
			w.deliver(p)
		}
	}
}

// make makes a change.
func (w *world) make(c change) {
	w.note("change %d", c)
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
	case holdWrites:
		w.hold(heldWrites)
	case holdPeers:
		w.hold(heldPeers)
	case holdAnswers:
		w.hold(heldAnswers)
	case holdGrants:
		w.hold(heldGrants)
	case holdRows:
		w.hold(heldRows)
	case doubleHeld:
		for _, p := range slices.Clone(w.held) {
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
		w.wake(vm)
	} else {
		w.vms[vm].paused = true
	}
}

func (w *world) moveSlot() {
	other := map[string]string{"x": "y", "y": "x"}[w.plan.Owners[exploredSlot]]
	w.plan = PlanChanged{Servers: w.plan.Servers, Owners: map[uint32]string{exploredSlot: other}}
	for i := range w.vms {
		w.event(i, w.plan)
	}
}

// exploration visits every world that can be reached in so many units of time
// with so many changes, at most one a unit, and stops at the first fault.
type exploration struct {
	seen   map[uint64]bool // worlds by fingerprint, units and changes left
	path   []change
	faults []string
}

func explore(from *world, units, changes int) *exploration {
	e := &exploration{seen: map[uint64]bool{}}
	e.visit(from, units, changes)
	return e
}

// visit explores what follows w and reports whether a fault was found.
func (e *exploration) visit(w *world, units, changes int) bool {
	if units == 0 {
		return false
	}
	for c := range change(numberOfChanges) {
		left := changes
		if c != nothing {
			left--
		}
		if left < 0 {
			return false
		}
		to := w.clone()
		to.passUnit(c)
		e.path = append(e.path, c)
		if len(to.faults) > 0 {
			e.faults = to.faults
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

// number reads a bound from the environment.
func number(t *testing.T, variable string, std int) int {
	t.Helper()
	text := os.Getenv(variable)
	if text == "" {
		return std
	}
	n, err := strconv.Atoi(text)
	if err != nil {
		t.Fatalf("%s=%q: want a number", variable, text)
	}
	return n
}

func TestExhaustiveExplorationFindsNoFault(t *testing.T) {
	units, changes := number(t, unitsVariable, ciUnits), number(t, changesVariable, ciChanges)
	for _, s := range starts {
		t.Run(string(s), func(t *testing.T) {
			t.Parallel()
			result := explore(startWorld(s, injectedBugs{}, false), units, changes)
			t.Logf("%d states, %d units, %d changes", len(result.seen), units, changes)
			if len(result.faults) > 0 {
				t.Fatalf("path %v: %v", result.path, result.faults)
			}
		})
	}
}

// sequenceProperty says that no sequence of changes, one a unit, leads to a fault.
// Half of the changes drawn are nothing.
func sequenceProperty(f injectedBugs, start *world) gopter.Prop {
	return prop.ForAll(func(sequence []int) (string, error) {
		w := start.clone()
		for _, n := range sequence {
			w.passUnit(change(max(0, n)))
			if len(w.faults) > 0 {
				return fmt.Sprint(w.faults), nil
			}
		}
		return "", nil
	}, gen.SliceOf(gen.IntRange(-numberOfChanges, numberOfChanges-1)))
}

// sequenceParameters bounds the sequences, with a fixed seed.
func sequenceParameters() *gopter.TestParameters {
	parameters := gopter.DefaultTestParametersWithSeed(sequenceSeed)
	parameters.MinSuccessfulTests = ciSequences
	parameters.MinSize = 1
	parameters.MaxSize = sequenceMaxUnits
	return parameters
}

func TestChangeSequencesFindNoFault(t *testing.T) {
	t.Parallel()
	parameters := sequenceParameters()
	properties := gopter.NewProperties(parameters)
	properties.Property("no change sequence leads to a fault", sequenceProperty(injectedBugs{}, exploredWorld(injectedBugs{})))
	properties.TestingRun(t)
}
