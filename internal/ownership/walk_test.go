package ownership

import (
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"testing"
)

// walkOptions selects the faults of a random walk.
type walkOptions struct {
	units             int // length of the walk
	bugs              injectedBugs
	ignoreTokens      bool // the servers accept grants and revokes with a lower token
	stopVMs           bool // VMs receive StopRequested
	loseVMs           bool // VMs are lost and replaced
	reorderCandidates bool // the order of the candidates changes, which triggers handovers
	// outage concentrates on table outages, partitions and delayed peer messages, with
	// clocks that run at the same rate, so that the standby often has to act.
	outage bool
}

// randomWalk runs a world whose network and machines fail at random.
type randomWalk struct {
	*world
	rng     *rand.Rand
	opts    walkOptions
	lostVMs int
	repairs []repair
	timing  Timing
}

// repair ends an injected fault at a given time.
type repair struct {
	at Instant
	do func()
}

// newWalk returns a random walk in a world whose slots are all served.
func newWalk(seed uint64, opts walkOptions) *randomWalk {
	rng := rand.New(rand.NewPCG(seed, 1))
	timing := worldTiming
	spread := int64(100)
	if opts.outage {
		timing.DriftPerMill = 1
		spread = 0
	}
	w := &randomWalk{world: newWorld(3, 2, twoSlots, timing), rng: rng, opts: opts}
	w.timing = timing
	for _, vm := range w.vms {
		vm.rate = 1000 - spread + rng.Int64N(2*spread+1)
		vm.replica.bugs = opts.bugs
	}
	for _, s := range w.servers {
		s.rate = 1000 - spread + rng.Int64N(2*spread+1)
		s.ignoresTokens = opts.ignoreTokens
	}
	w.run(40 * unit)
	w.network = w.unreliableNetwork
	return w
}

// walk runs until an invariant is violated, and returns the violations.
func (w *randomWalk) walk() []string {
	for range w.opts.units {
		w.step()
		if len(w.violations) > 0 {
			return w.violations
		}
	}
	return nil
}

func (w *randomWalk) step() {
	w.endFaults()
	w.beginFaults()
	w.advance(unit)
	w.deliverDue()
}

// unreliableNetwork delays, duplicates and drops packets.
func (w *randomWalk) unreliableNetwork(p *packet) {
	if w.opts.outage && p.kind != packetPeer && !w.oneIn(5) {
		w.inFlight = append(w.inFlight, p)
		return
	}
	switch n := w.rng.IntN(100); {
	case n < 80:
		w.inFlight = append(w.inFlight, p)
	case n < 88:
		w.delay(p)
	case n < 95:
		w.inFlight = append(w.inFlight, p)
		w.delay(p)
	default:
		w.drop(p)
	}
}

func (w *randomWalk) delay(p *packet) {
	late := new(*p)
	late.deliverAt += Instant(1+w.rng.IntN(30)) * unit
	w.inFlight = append(w.inFlight, late)
}

// drop drops a packet. The sender of a write gets WriteUnknown, and the write may still
// be applied later.
func (w *randomWalk) drop(p *packet) {
	w.tracef("dropped %v", p)
	if p.kind == packetWrite && w.rng.IntN(2) == 0 {
		w.delay(p)
	}
	switch p.kind {
	case packetWrite, packetWriteAnswer:
		written := RowWritten{WriteID: p.write.Row.WriteID, SentAt: p.sentAt, Result: WriteUnknown}
		w.inFlight = append(w.inFlight, &packet{kind: packetWriteAnswer, vm: p.vm, ref: p.ref, deliverAt: p.deliverAt, written: written, write: p.write})
	}
}

// oneIn returns true with probability 1/n.
func (w *randomWalk) oneIn(n int) bool { return w.rng.IntN(n) == 0 }

// scheduleRepair schedules the end of a fault, between shortest and longest units from
// now.
func (w *randomWalk) scheduleRepair(shortest, longest int, do func()) {
	units := shortest + w.rng.IntN(longest-shortest+1)
	w.repairs = append(w.repairs, repair{at: w.now + Instant(units)*unit, do: do})
}

func (w *randomWalk) endFaults() {
	due := w.repairs
	w.repairs = nil
	for _, f := range due {
		if w.now < f.at {
			w.repairs = append(w.repairs, f)
			continue
		}
		f.do()
	}
}

func (w *randomWalk) beginFaults() {
	if w.opts.outage {
		w.beginOutageFaults()
		return
	}
	if w.oneIn(30) && !w.table.down {
		w.tracef("table down")
		w.table.down = true
		w.scheduleRepair(5, 60, func() { w.tracef("table up"); w.table.down = false })
	}
	if w.oneIn(40) {
		w.pause(w.rng.IntN(len(w.vms)))
	}
	if w.oneIn(25) {
		w.cut(w.rng.IntN(len(w.vms)))
	}
	for _, s := range w.servers {
		w.serverFaults(s)
	}
	if w.oneIn(20) {
		w.changePlan()
	}
	if w.oneIn(60) {
		for i := range w.vms {
			w.deliverEvent(i, ServerLost{Server: w.servers[0].id})
		}
	}
	if w.opts.reorderCandidates && w.oneIn(80) {
		w.tracef("order of the candidates changes")
		reorderCandidates(w.world, w.rng.Perm(len(w.vms))...)
	}
	if w.opts.stopVMs && w.oneIn(100) {
		w.stop(w.rng.IntN(len(w.vms)))
	}
	if w.opts.loseVMs && w.oneIn(80) {
		w.replace(w.rng.IntN(len(w.vms)))
	}
}

// beginOutageFaults takes the table down, partitions VMs and freezes servers.
func (w *randomWalk) beginOutageFaults() {
	if w.oneIn(15) && !w.table.down {
		w.tracef("table down")
		w.table.down = true
		w.scheduleRepair(5, 25, func() { w.tracef("table up"); w.table.down = false })
	}
	if w.oneIn(15) {
		w.partition(w.rng.IntN(len(w.vms)))
	}
	for _, s := range w.servers {
		if w.oneIn(60) && !s.down {
			w.tracef("server %s freezes", s.id)
			s.down = true
			w.scheduleRepair(2, 30, func() { w.tracef("server %s answers again", s.id); s.down = false })
		}
	}
	if w.oneIn(20) {
		w.changePlan()
	}
}

// partition cuts a VM off from a random set of other VMs, servers and the table.
func (w *randomWalk) partition(i int) {
	vm := w.vms[i]
	for _, id := range []string{"vm0", "vm1", "vm2", "x", "y", "table"} {
		if id != vm.ref.ID && w.oneIn(2) {
			w.tracef("vm%d cut from %s", i, id)
			vm.cut[id] = true
			if j := w.indexID(id); j >= 0 {
				w.vms[j].cut[vm.ref.ID] = true
			}
		}
	}
	w.scheduleRepair(10, 60, func() {
		w.tracef("vm%d reconnects", i)
		clear(vm.cut)
		for _, other := range w.vms {
			delete(other.cut, vm.ref.ID)
		}
	})
}

// indexID returns the index of the VM with an id, or -1.
func (w *randomWalk) indexID(id string) int {
	return slices.IndexFunc(w.vms, func(v *fakeVM) bool { return v.ref.ID == id })
}

func (w *randomWalk) pause(i int) {
	vm := w.vms[i]
	if vm.paused {
		return
	}
	w.tracef("vm%d pauses", i)
	vm.paused = true
	w.scheduleRepair(2, 40, func() {
		if w.vms[i] == vm {
			w.tracef("vm%d resumes", i)
			w.resume(i)
		}
	})
}

// cut cuts a VM off from one VM, one server or the table.
func (w *randomWalk) cut(i int) {
	ids := []string{"vm0", "vm1", "vm2", "x", "y", "table"}
	id := ids[w.rng.IntN(len(ids))]
	vm := w.vms[i]
	w.tracef("vm%d cut from %s", i, id)
	vm.cut[id] = true
	w.scheduleRepair(3, 50, func() { delete(vm.cut, id) })
}

// serverFaults freezes or restarts a server at random, and starts and finishes
// requests.
func (w *randomWalk) serverFaults(s *fakeServer) {
	if w.oneIn(50) && !s.down {
		w.tracef("server %s freezes", s.id)
		s.down = true
		w.scheduleRepair(2, 30, func() { w.tracef("server %s answers again", s.id); s.down = false })
	}
	if w.oneIn(150) {
		w.tracef("server %s restarts", s.id)
		s.restart(w.now)
	}
	for _, slot := range twoSlots {
		if s.running[slot] && w.oneIn(6) {
			delete(s.running, slot)
		}
		if !s.down && s.holds(w.now, slot) && w.oneIn(4) {
			s.running[slot] = true
		}
	}
	w.checkInvariants()
}

// changePlan chooses the planned owners at random.
func (w *randomWalk) changePlan() {
	owners := map[uint32]string{}
	for _, slot := range twoSlots {
		owners[slot] = w.servers[w.rng.IntN(len(w.servers))].id
	}
	w.plan = PlanChanged{Servers: w.plan.Servers, Owners: owners}
	for i := range w.vms {
		w.deliverEvent(i, w.plan)
	}
}

// stop asks a VM to stop and schedules its replacement.
func (w *randomWalk) stop(i int) {
	vm := w.vms[i]
	w.tracef("vm%d is asked to stop", i)
	w.deliverEvent(i, StopRequested{})
	w.scheduleRepair(30, 40, func() {
		if w.vms[i] == vm {
			w.replace(i)
		}
	})
}

// replace terminates a VM and starts another incarnation in its place. The VM list
// reports the loss later.
func (w *randomWalk) replace(i int) {
	old := w.vms[i]
	w.tracef("%s is lost", old.ref)
	old.gone = true
	w.lostVMs++
	if w.lostVMs > 1 {
		w.assignmentsMayBeLost = true // keeper and standby may both be lost, perhaps in an outage
	}
	fresh := &fakeVM{ref: VMRef{ID: old.ref.ID, Incarnation: fmt.Sprint(w.lostVMs + 1)}, rate: old.rate, cut: map[string]bool{}}
	fresh.replica = NewReplica(fresh.ref, "g", twoSlots, w.timing, fresh.writeID)
	fresh.replica.bugs = w.opts.bugs
	w.vms[i] = fresh
	w.sendMembers()
	w.deliverEvent(i, w.plan)
	w.scheduleRepair(1, 40, func() {
		w.goneRefs = append(w.goneRefs, old.ref)
		w.sendMembers()
	})
}

func (w *randomWalk) sendMembers() {
	for j := range w.vms {
		w.deliverEvent(j, MembersChanged{Candidates: w.candidates(), Gone: w.goneRefs})
	}
}

// findViolation runs walks with consecutive seeds and returns the first that violates
// an invariant, with its seed, or nil.
func findViolation(seed uint64, walks int, opts walkOptions) (found *randomWalk, at uint64) {
	for i := range uint64(walks) {
		w := newWalk(seed+i, opts)
		if w.walk() != nil {
			return w, seed + i
		}
	}
	return nil, 0
}

// logWalk repeats a walk and logs the end of its trace.
func logWalk(t *testing.T, seed uint64, opts walkOptions) {
	t.Helper()
	w := newWalk(seed, opts)
	w.tracing = true
	w.walk()
	for _, line := range w.trace[max(0, len(w.trace)-300):] {
		t.Log(line)
	}
}

// walksVariable is the environment variable that sets the number of walks of each kind,
// for longer runs than in CI.
const walksVariable = "OWNERSHIP_WALKS"

// ciWalks is the number of walks of each kind if the variable is not set.
const ciWalks = 100

// walks returns the number of walks of each kind to run.
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

func TestRandomWalksFindNoViolation(t *testing.T) {
	for name, opts := range map[string]walkOptions{
		"faults":   {units: 400},
		"stopping": {units: 400, stopVMs: true},
		"losing":   {units: 400, loseVMs: true},
		"outage":   {units: 400, outage: true},
		"reorder":  {units: 400, reorderCandidates: true, loseVMs: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w, seed := findViolation(1, walks(t), opts)
			if w == nil {
				return
			}
			logWalk(t, seed, opts)
			t.Errorf("options %+v, seed %d: got violations %v, want none", opts, seed, w.violations)
		})
	}
}
