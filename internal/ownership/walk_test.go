package ownership

import (
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"testing"
)

// walkOptions say what a random walk may do.
type walkOptions struct {
	units    int // length in units of time
	flaws    injectedBugs
	deaf     bool // the servers compare no tokens
	stopping bool // VMs are asked to stop
	losing   bool // VMs are lost and replaced
	reorder  bool // the order of the candidates changes, so that roles are handed over
	// outage turns to platform outages, partitions and late peer messages, with
	// clocks that run alike, so that the standby's steps are reached often.
	outage bool
}

// walker lets time pass in a world whose network and machines fail at random.
type walker struct {
	*world
	rng    *rand.Rand
	opts   walkOptions
	lost   int
	repair []repair
	timing Timing
}

// repair ends a fault at a time.
type repair struct {
	at Instant
	do func()
}

// newWalk returns a walk at the point where every slot is served.
func newWalk(seed uint64, opts walkOptions) *walker {
	rng := rand.New(rand.NewPCG(seed, 1))
	timing := worldTiming
	spread := int64(100)
	if opts.outage {
		timing.DriftPerMill = 1
		spread = 0
	}
	w := &walker{world: newWorld(3, 2, twoSlots, timing), rng: rng, opts: opts}
	w.timing = timing
	for _, vm := range w.vms {
		vm.rate = 1000 - spread + rng.Int64N(2*spread+1)
		vm.replica.bugs = opts.flaws
	}
	for _, s := range w.servers {
		s.rate = 1000 - spread + rng.Int64N(2*spread+1)
		s.deaf = opts.deaf
	}
	w.run(40 * unit)
	w.network = w.unreliable
	return w
}

// walk lets time pass until a fault is found, and returns the faults.
func (w *walker) walk() []string {
	for range w.opts.units {
		w.unitStep()
		if len(w.faults) > 0 {
			return w.faults
		}
	}
	return nil
}

func (w *walker) unitStep() {
	w.endFaults()
	w.beginFaults()
	w.advance(unit)
	w.deliverDue()
}

// unreliable delays, doubles and loses packets.
func (w *walker) unreliable(p *packet) {
	if w.opts.outage && p.kind != packetPeer && !w.chance(5) {
		w.flight = append(w.flight, p)
		return
	}
	switch n := w.rng.IntN(100); {
	case n < 80:
		w.flight = append(w.flight, p)
	case n < 88:
		w.delay(p)
	case n < 95:
		w.flight = append(w.flight, p)
		w.delay(p)
	default:
		w.lose(p)
	}
}

func (w *walker) delay(p *packet) {
	late := new(*p)
	late.due += Instant(1+w.rng.IntN(30)) * unit
	w.flight = append(w.flight, late)
}

// lose drops a packet. Its sender is told that there is no answer; a write may
// land later all the same.
func (w *walker) lose(p *packet) {
	w.note("lost %v", p)
	if p.kind == packetWrite && w.rng.IntN(2) == 0 {
		w.delay(p)
	}
	switch p.kind {
	case packetWrite, packetWriteAnswer:
		written := RowWritten{WriteID: p.write.Row.WriteID, SentAt: p.sentAt, Result: WriteUnknown}
		w.flight = append(w.flight, &packet{kind: packetWriteAnswer, vm: p.vm, ref: p.ref, due: p.due, written: written, write: p.write})
	}
}

// chance is true once in n times on average.
func (w *walker) chance(n int) bool { return w.rng.IntN(n) == 0 }

// lasting ends a fault after at least shortest and at most longest units.
func (w *walker) lasting(shortest, longest int, do func()) {
	units := shortest + w.rng.IntN(longest-shortest+1)
	w.repair = append(w.repair, repair{at: w.now + Instant(units)*unit, do: do})
}

func (w *walker) endFaults() {
	due := w.repair
	w.repair = nil
	for _, f := range due {
		if w.now < f.at {
			w.repair = append(w.repair, f)
			continue
		}
		f.do()
	}
}

func (w *walker) beginFaults() {
	if w.opts.outage {
		w.beginOutageFaults()
		return
	}
	if w.chance(30) && !w.table.down {
		w.note("table down")
		w.table.down = true
		w.lasting(5, 60, func() { w.note("table up"); w.table.down = false })
	}
	if w.chance(40) {
		w.pause(w.rng.IntN(len(w.vms)))
	}
	if w.chance(25) {
		w.cut(w.rng.IntN(len(w.vms)))
	}
	for _, s := range w.servers {
		w.serverFaults(s)
	}
	if w.chance(20) {
		w.changePlan()
	}
	if w.chance(60) {
		for i := range w.vms {
			w.event(i, ServerLost{Server: w.servers[0].id})
		}
	}
	if w.opts.reorder && w.chance(80) {
		w.note("candidates reordered")
		reorder(w.world, w.rng.Perm(len(w.vms))...)
	}
	if w.opts.stopping && w.chance(100) {
		w.stop(w.rng.IntN(len(w.vms)))
	}
	if w.opts.losing && w.chance(80) {
		w.replace(w.rng.IntN(len(w.vms)))
	}
}

// beginOutageFaults takes the table down and partitions VMs.
func (w *walker) beginOutageFaults() {
	if w.chance(15) && !w.table.down {
		w.note("table down")
		w.table.down = true
		w.lasting(5, 25, func() { w.note("table up"); w.table.down = false })
	}
	if w.chance(15) {
		w.partition(w.rng.IntN(len(w.vms)))
	}
	for _, s := range w.servers {
		if w.chance(60) && !s.down {
			w.note("server %s freezes", s.id)
			s.down = true
			w.lasting(2, 30, func() { w.note("server %s returns", s.id); s.down = false })
		}
	}
	if w.chance(20) {
		w.changePlan()
	}
}

// partition cuts a VM off from some of the others, some of the servers and
// perhaps the table.
func (w *walker) partition(i int) {
	vm := w.vms[i]
	for _, id := range []string{"vm0", "vm1", "vm2", "x", "y", "table"} {
		if id != vm.ref.ID && w.chance(2) {
			w.note("vm%d cut from %s", i, id)
			vm.cut[id] = true
			if j := w.indexID(id); j >= 0 {
				w.vms[j].cut[vm.ref.ID] = true
			}
		}
	}
	w.lasting(10, 60, func() {
		w.note("vm%d joins", i)
		clear(vm.cut)
		for _, other := range w.vms {
			delete(other.cut, vm.ref.ID)
		}
	})
}

// indexID returns the VM with an id, or -1.
func (w *walker) indexID(id string) int {
	return slices.IndexFunc(w.vms, func(v *fakeVM) bool { return v.ref.ID == id })
}

func (w *walker) pause(i int) {
	vm := w.vms[i]
	if vm.paused {
		return
	}
	w.note("vm%d pauses", i)
	vm.paused = true
	w.lasting(2, 40, func() {
		if w.vms[i] == vm {
			w.note("vm%d wakes", i)
			w.wake(i)
		}
	})
}

// cut cuts a VM off from one machine.
func (w *walker) cut(i int) {
	ids := []string{"vm0", "vm1", "vm2", "x", "y", "table"}
	id := ids[w.rng.IntN(len(ids))]
	vm := w.vms[i]
	w.note("vm%d cut from %s", i, id)
	vm.cut[id] = true
	w.lasting(3, 50, func() { delete(vm.cut, id) })
}

// serverFaults lets a server freeze or start anew, and begin and end work.
func (w *walker) serverFaults(s *fakeServer) {
	if w.chance(50) && !s.down {
		w.note("server %s freezes", s.id)
		s.down = true
		w.lasting(2, 30, func() { w.note("server %s returns", s.id); s.down = false })
	}
	if w.chance(150) {
		w.note("server %s restarts", s.id)
		s.restart(w.now)
	}
	for _, slot := range twoSlots {
		if s.running[slot] && w.chance(6) {
			delete(s.running, slot)
		}
		if !s.down && s.holds(w.now, slot) && w.chance(4) {
			s.running[slot] = true
		}
	}
	w.check()
}

// changePlan changes the wanted owners.
func (w *walker) changePlan() {
	owners := map[uint32]string{}
	for _, slot := range twoSlots {
		owners[slot] = w.servers[w.rng.IntN(len(w.servers))].id
	}
	w.plan = PlanChanged{Servers: w.plan.Servers, Owners: owners}
	for i := range w.vms {
		w.event(i, w.plan)
	}
}

// stop asks a VM to stop; another takes its place a while later.
func (w *walker) stop(i int) {
	vm := w.vms[i]
	w.note("vm%d is asked to stop", i)
	w.event(i, StopRequested{})
	w.lasting(30, 40, func() {
		if w.vms[i] == vm {
			w.replace(i)
		}
	})
}

// replace ends a VM for good and starts another in its place. The VM list tells
// so a while later.
func (w *walker) replace(i int) {
	old := w.vms[i]
	w.note("%s is lost", old.ref)
	old.gone = true
	w.lost++
	if w.lost > 1 {
		w.assignmentsMayBeLost = true // keeper and standby, perhaps in an outage
	}
	fresh := &fakeVM{ref: VMRef{ID: old.ref.ID, Incarnation: fmt.Sprint(w.lost + 1)}, rate: old.rate, cut: map[string]bool{}}
	fresh.replica = NewReplica(fresh.ref, "g", twoSlots, w.timing, fresh.writeID)
	fresh.replica.bugs = w.opts.flaws
	w.vms[i] = fresh
	w.tellMembers()
	w.event(i, w.plan)
	w.lasting(1, 40, func() {
		w.goneRefs = append(w.goneRefs, old.ref)
		w.tellMembers()
	})
}

func (w *walker) tellMembers() {
	for j := range w.vms {
		w.event(j, MembersChanged{Candidates: w.candidates(), Gone: w.goneRefs})
	}
}

// findFault walks from seed on until a walk finds a fault.
func findFault(seed uint64, walks int, opts walkOptions) (found *walker, at uint64) {
	for i := range uint64(walks) {
		w := newWalk(seed+i, opts)
		if w.walk() != nil {
			return w, seed + i
		}
	}
	return nil, 0
}

// logWalk takes a walk again and logs its trace.
func logWalk(t *testing.T, seed uint64, opts walkOptions) {
	t.Helper()
	w := newWalk(seed, opts)
	w.tracing = true
	w.walk()
	for _, line := range w.trace[max(0, len(w.trace)-300):] {
		t.Log(line)
	}
}

// walksVariable names the environment variable with the number of walks of each
// kind, to walk longer than CI does.
const walksVariable = "OWNERSHIP_WALKS"

// ciWalks is the number of walks of each kind without that variable.
const ciWalks = 100

// walks returns the number of walks of each kind.
func walks(t *testing.T) int {
	t.Helper()
	text := os.Getenv(walksVariable)
	if text == "" {
		return ciWalks
	}
	n, err := strconv.Atoi(text)
	if err != nil {
		t.Fatalf("%s=%q: want a number", walksVariable, text)
	}
	return n
}

func TestRandomWalksFindNoFault(t *testing.T) {
	for name, opts := range map[string]walkOptions{
		"faults":   {units: 400},
		"stopping": {units: 400, stopping: true},
		"losing":   {units: 400, losing: true},
		"outage":   {units: 400, outage: true},
		"reorder":  {units: 400, reorder: true, losing: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w, seed := findFault(1, walks(t), opts)
			if w == nil {
				return
			}
			logWalk(t, seed, opts)
			t.Errorf("%+v, seed %d: %v", opts, seed, w.faults)
		})
	}
}
