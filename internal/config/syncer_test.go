package config

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"math/rand"
	"slices"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/commands"
	"github.com/leanovate/gopter/gen"
	"github.com/rcrowley/go-metrics"

	"kumquatcleat/internal/platform"
)

// fleet is a set of syncers in one process that call each other directly.
type fleet struct {
	table   *fakeTable
	members []Member
	vms     map[string]*fleetVM
}

type fleetVM struct {
	syncer  *Syncer
	store   *Store
	cut     bool // neither reaches other VMs nor is reached by them
	offline bool // does not reach the platform
	highest uint64
}

func newFleet(domains, each int) *fleet {
	f := &fleet{table: newFakeTable(nil), vms: make(map[string]*fleetVM)}
	for d := range domains {
		for i := range each {
			f.members = append(f.members, Member{ID: fmt.Sprintf("vm-%d-%d", d, i), FailureDomain: fmt.Sprintf("d%d", d)})
		}
	}
	for _, m := range f.members {
		f.start(m)
	}
	return f
}

// start replaces a VM with a new one without records that has the same faults.
func (f *fleet) start(m Member) *fleetVM {
	vm := &fleetVM{store: NewStore()}
	if old := f.vms[m.ID]; old != nil {
		vm.cut, vm.offline = old.cut, old.offline
	}
	vm.syncer = NewSyncer(SyncerOptions{
		Self: m, Incarnation: "i", Store: vm.store, Table: &vmTable{fakeTable: f.table, vm: vm},
		Peers: fleetPeers{f, vm}, Members: func() []Member { return f.members },
		Log: slog.New(slog.NewTextHandler(io.Discard, nil)), Metrics: metrics.NewRegistry(),
	})
	f.vms[m.ID] = vm
	return vm
}

func (f *fleet) rounds(n int) {
	for range n {
		for _, m := range f.members {
			f.vms[m.ID].syncer.Round(context.Background())
		}
	}
}

func (f *fleet) accept(t testing.TB, version uint64) {
	t.Helper()
	if _, err := (&Acceptor{Table: f.table}).Apply(context.Background(), encoded(t, variant(version, 0)), version-1); err != nil {
		t.Fatal(err)
	}
}

func (vm *fleetVM) version() uint64 {
	if s, ok := vm.store.Service("swapbay"); ok {
		return s.Version
	}
	return 0
}

type vmTable struct {
	*fakeTable
	vm *fleetVM
}

func (v *vmTable) Get(ctx context.Context, key string) (platform.Row, error) {
	if v.vm.offline {
		return platform.Row{}, errNoAnswer
	}
	return v.fakeTable.Get(ctx, key)
}

func (v *vmTable) List(ctx context.Context, prefix string) ([]platform.Row, error) {
	if v.vm.offline {
		return nil, errNoAnswer
	}
	return v.fakeTable.List(ctx, prefix)
}

type fleetPeers struct {
	fleet *fleet
	asker *fleetVM
}

func (p fleetPeers) reach(id string) (*fleetVM, error) {
	vm := p.fleet.vms[id]
	if vm == nil || vm.cut || p.asker.cut {
		return nil, errNoAnswer
	}
	return vm, nil
}

func (p fleetPeers) Digest(_ context.Context, id string) (uint64, error) {
	vm, err := p.reach(id)
	if err != nil {
		return 0, err
	}
	return vm.store.Digest(), nil
}

func (p fleetPeers) Configs(_ context.Context, id string, known map[string]uint64) ([][]byte, error) {
	vm, err := p.reach(id)
	if err != nil {
		return nil, err
	}
	return vm.store.RawNewer(known), nil
}

func (f *fleet) wantAll(t *testing.T, version uint64) {
	t.Helper()
	for _, m := range f.members {
		if got := f.vms[m.ID].version(); got != version {
			t.Errorf("%s: got version %d, want %d", m.ID, got, version)
		}
	}
}

func TestChangeReachesDomainCutOffFromPlatform(t *testing.T) {
	f := newFleet(3, 4)
	f.accept(t, 1)
	f.rounds(3)
	for _, m := range f.members {
		f.vms[m.ID].offline = m.FailureDomain == "d1"
	}
	f.accept(t, 2)
	f.rounds(4)
	f.wantAll(t, 2)
}

// TestStalePeerAloneDoesNotMakeVMReady starts a VM while the platform is down and, at
// first, only a VM that missed the last change answers.
func TestStalePeerAloneDoesNotMakeVMReady(t *testing.T) {
	f := newFleet(1, 7)
	f.accept(t, 1)
	f.rounds(3)
	started := f.start(f.members[3])
	started.syncer.schedule.updateSources(f.members)
	stale := pick(started.syncer.schedule.sources.localPollers, 1, 1)[0] // polled in the first round
	f.vms[stale].cut, f.vms[stale].offline = true, true
	f.accept(t, 2)
	f.rounds(3)
	f.table.setDown(true)
	started = f.start(f.members[3])
	for id, vm := range f.vms {
		vm.cut = id != stale && vm != started
	}
	started.syncer.Round(context.Background())
	if started.version() != 1 {
		t.Fatalf("got version %d, want 1: test setup: the stale VM must be polled first", started.version())
	}
	if started.syncer.Synced() {
		t.Fatal("got ready with version 1, but version 2 was in force")
	}
	for _, vm := range f.vms {
		vm.cut = false
	}
	for range startupSampleRounds {
		started.syncer.Round(context.Background())
	}
	if !started.syncer.Synced() || started.version() != 2 {
		t.Errorf("got ready %t, version %d, want ready with version 2", started.syncer.Synced(), started.version())
	}
}

func TestAllVMsReplacedDuringPlatformOutageStayNotReady(t *testing.T) {
	f := newFleet(2, 4)
	f.accept(t, 1)
	f.rounds(3)
	f.table.setDown(true)
	for _, m := range f.members {
		f.start(m)
	}
	f.rounds(8)
	for _, m := range f.members {
		if f.vms[m.ID].syncer.Synced() {
			t.Errorf("%s: got ready without any record, want not ready", m.ID)
		}
	}
	f.table.setDown(false)
	f.rounds(3)
	f.wantAll(t, 1)
}

func TestRollingReplacementDuringPlatformOutageKeepsRecord(t *testing.T) {
	f := newFleet(2, 4)
	f.accept(t, 1)
	f.accept(t, 2)
	f.rounds(3)
	f.table.setDown(true)
	for _, m := range f.members {
		vm := f.start(m)
		for range startupSampleRounds {
			vm.syncer.Round(context.Background())
		}
		if !vm.syncer.Synced() || vm.version() != 2 {
			t.Fatalf("%s: got ready %t, version %d, want ready with version 2", m.ID, vm.syncer.Synced(), vm.version())
		}
	}
}

func TestUnreadableSchemaKeepsPreviousRecordInForce(t *testing.T) {
	f := newFleet(1, 3)
	f.accept(t, 1)
	f.rounds(1)
	vm := f.vms[f.members[0].ID]
	newer := []byte(`{"schema":3,"version":2,"name":"swapbay"}`)
	vm.syncer.applyRecords([][]byte{newer}, "vm-x")
	vm.syncer.applyRecords([][]byte{newer}, "vm-x")
	if vm.version() != 1 {
		t.Errorf("got version %d, want 1", vm.version())
	}
	if vm.syncer.unreadableCount.Count() != 1 {
		t.Errorf("got %d reports, want 1", vm.syncer.unreadableCount.Count())
	}
	if vm.syncer.knownVersions()["swapbay"] != 2 {
		t.Error("unreadable version is not known, so peers would send it every second")
	}
}

// TestFailedPollerNotPolledTwiceInARow fails each poller in turn. A VM that polls it
// twice in a row loses two rounds, which exceeds the bound of 5 s.
func TestFailedPollerNotPolledTwiceInARow(t *testing.T) {
	var members []Member
	for i := range 60 {
		members = append(members, Member{ID: fmt.Sprintf("vm-%d", i), FailureDomain: "d"})
	}
	for _, failed := range Pollers(members, "d") {
		for _, m := range members {
			s := schedule{self: m, synced: true}
			before := ""
			for range 6 {
				r := s.next(members)
				if len(r.Peers) == 1 && r.Peers[0] == failed && before == failed {
					t.Fatalf("%s polls the failed poller %s in two consecutive rounds", m.ID, failed)
				}
				before = ""
				if len(r.Peers) == 1 {
					before = r.Peers[0]
				}
				res := result{Answered: r.Peers}
				if before == failed {
					res = result{Failed: r.Peers}
				}
				s.recordResult(r, res)
			}
		}
	}
}

func TestPlatformPollsBoundedAtFullSize(t *testing.T) {
	const perDomain, domains, platformReadsPerSecond = 811, 9, 2000
	f := newFleet(1, 1)
	f.members = nil
	for i := range perDomain {
		f.members = append(f.members, Member{ID: fmt.Sprintf("vm-%d", i), FailureDomain: "d"})
	}
	polling := 0
	asked := make(map[string]int)
	for _, m := range f.members {
		s := schedule{self: m, synced: true}
		r := s.next(f.members)
		if r.Platform {
			polling++
		}
		for _, peer := range r.Peers {
			asked[peer]++
		}
	}
	if polling != PollerCount(perDomain) || polling*domains > platformReadsPerSecond/5 {
		t.Errorf("got %d pollers per domain, %d platform reads a second", polling, polling*domains)
	}
	most := 0
	for _, n := range asked {
		most = max(most, n)
	}
	if most > 2*vmsPerPoller {
		t.Errorf("got %d polls of one poller a second, want at most %d", most, 2*vmsPerPoller)
	}
}

// syncSystem is the system under test of the random walk.
type syncSystem struct {
	fleet      *fleet
	accepted   uint64
	revertedVM string // a VM whose version decreased
}

func (s *syncSystem) checkVersions() {
	for id, vm := range s.fleet.vms {
		if vm.version() < vm.highest {
			s.revertedVM = id
		}
		vm.highest = max(vm.highest, vm.version())
	}
}

type syncCommand struct {
	name string
	vm   int
}

func (c syncCommand) String() string { return fmt.Sprintf("%s(%d)", c.name, c.vm) }

func (c syncCommand) Run(sut commands.SystemUnderTest) commands.Result {
	s := sut.(*syncSystem)
	m := s.fleet.members[c.vm%len(s.fleet.members)]
	vm := s.fleet.vms[m.ID]
	switch c.name {
	case "accept":
		next, _ := Encode(variant(s.accepted+1, 0))
		if _, err := (&Acceptor{Table: s.fleet.table, Wait: waitTenTimes()}).Apply(context.Background(), next, s.accepted); err == nil {
			s.accepted++
		}
	case "round":
		vm.syncer.Round(context.Background())
	case "rounds":
		s.fleet.rounds(1)
	case "down":
		s.fleet.table.setDown(true)
	case "up":
		s.fleet.table.setDown(false)
	case "cut":
		vm.cut, vm.offline = true, true
	case "join":
		vm.cut, vm.offline = false, false
	case "restart":
		s.fleet.start(m)
	}
	s.checkVersions()
	return s
}

func (c syncCommand) NextState(state commands.State) commands.State { return state }
func (c syncCommand) PreCondition(commands.State) bool              { return true }

func (c syncCommand) PostCondition(_ commands.State, result commands.Result) *gopter.PropResult {
	if result.(*syncSystem).revertedVM != "" {
		return &gopter.PropResult{Status: gopter.PropFalse}
	}
	return &gopter.PropResult{Status: gopter.PropTrue}
}

// settle removes every fault, runs a few rounds and reports whether all VMs have the
// accepted version.
func (s *syncSystem) settle() bool {
	s.fleet.table.setDown(false)
	for _, vm := range s.fleet.vms {
		vm.cut, vm.offline = false, false
	}
	s.fleet.rounds(4)
	s.checkVersions()
	for _, vm := range s.fleet.vms {
		if vm.version() != s.accepted {
			return false
		}
	}
	return s.revertedVM == ""
}

func TestRandomWalkOfFaultsConvergesToAcceptedVersion(t *testing.T) {
	unsettled := 0
	names := gen.OneConstOf("accept", "round", "round", "rounds", "down", "up", "cut", "join", "restart")
	protocol := &commands.ProtoCommands{
		NewSystemUnderTestFunc: func(commands.State) commands.SystemUnderTest {
			return &syncSystem{fleet: newFleet(3, 4)}
		},
		DestroySystemUnderTestFunc: func(sut commands.SystemUnderTest) {
			if !sut.(*syncSystem).settle() {
				unsettled++
			}
		},
		InitialStateGen: gen.Const(struct{}{}),
		GenCommandFunc: func(commands.State) gopter.Gen {
			return gopter.CombineGens(names, gen.IntRange(0, 11)).Map(func(v []any) commands.Command {
				return syncCommand{name: v[0].(string), vm: v[1].(int)}
			})
		},
	}
	props := properties(100)
	props.Property("no VM reverts", commands.Prop(protocol))
	props.TestingRun(t)
	if unsettled > 0 {
		t.Errorf("got %d random walks that end with VMs without the accepted version, want 0", unsettled)
	}
}

// propagation simulates the rounds of many VMs on a virtual clock. The calls of a round
// see the other VMs as they were at its start, and the records that it fetches come
// into force at its end, as if every call took the full call time.
type propagation struct {
	fleet   *fleet
	inForce map[*fleetVM]time.Duration // when version 2 came into force
	commit  time.Duration
	now     time.Duration
}

const never = time.Hour

// roundStartPeers answers with the state of the other VMs at the start of the asker's
// round.
type roundStartPeers struct {
	fleetPeers
	propagation *propagation
	before      *Store // a store with version 1
}

func (p roundStartPeers) store(id string) (*Store, error) {
	vm, err := p.reach(id)
	if err != nil {
		return nil, err
	}
	if p.propagation.inForce[vm] <= p.propagation.now {
		return vm.store, nil
	}
	return p.before, nil
}

func (p roundStartPeers) Digest(_ context.Context, id string) (uint64, error) {
	st, err := p.store(id)
	if err != nil {
		return 0, err
	}
	return st.Digest(), nil
}

func (p roundStartPeers) Configs(_ context.Context, id string, known map[string]uint64) ([][]byte, error) {
	st, err := p.store(id)
	if err != nil {
		return nil, err
	}
	return st.RawNewer(known), nil
}

type roundStart struct {
	at time.Duration
	vm *fleetVM
}

// propagationTime returns the time from the commit until the last reachable VM has
// version 2. A round takes 2 x call. The fault is injected at faultAt.
func propagationTime(t *testing.T, f *fleet, call time.Duration, seed int64, faultAt time.Duration, fault func(*fleet)) time.Duration {
	t.Helper()
	f.accept(t, 1)
	f.rounds(3)
	before := NewStore()
	before.Put(variant(1, 0))
	p := &propagation{fleet: f, inForce: make(map[*fleetVM]time.Duration)}
	var starts []roundStart
	rng := rand.New(rand.NewSource(seed))
	for _, m := range f.members {
		vm := f.vms[m.ID]
		vm.syncer.opt.Peers = roundStartPeers{fleetPeers{f, vm}, p, before}
		p.inForce[vm] = never
		phase := time.Duration(rng.Int63n(int64(PollInterval)))
		for i := range 8 {
			starts = append(starts, roundStart{phase + time.Duration(i)*PollInterval, vm})
		}
	}
	slices.SortFunc(starts, func(a, b roundStart) int { return int(a.at - b.at) })
	p.commit = 2 * PollInterval
	committed, faulty := false, false
	for _, start := range starts {
		if start.at >= faultAt && !faulty {
			fault(f)
			faulty = true
		}
		if start.at >= p.commit && !committed {
			f.accept(t, 2)
			committed = true
		}
		p.now = start.at
		start.vm.syncer.Round(context.Background())
		if start.vm.version() == 2 && p.inForce[start.vm] == never {
			p.inForce[start.vm] = start.at + 2*call
		}
	}
	var last time.Duration
	for vm, at := range p.inForce {
		if !vm.cut {
			last = max(last, at-p.commit)
		}
	}
	return last
}

// propagationBound is the documented bound from the acceptance of a change until it is
// in force on every VM.
const propagationBound = 5 * time.Second

func TestAcceptedChangeInForceEverywhereWithinBound(t *testing.T) {
	cases := []struct {
		name          string
		domains, each int
		call          time.Duration // each call takes this long
		faultAt       time.Duration // the commit is at 2 x PollInterval
		fault         func(*fleet)
	}{
		{"12 VMs", 3, 4, callTimeout, 0, func(*fleet) {}},
		{"180 VMs in 9 domains", 9, 20, callTimeout, 0, func(*fleet) {}},
		{"one poller of each domain fails at the commit", 9, 20, callTimeout, 2 * PollInterval, func(f *fleet) {
			for d := range 9 {
				f.vms[Pollers(f.members, fmt.Sprintf("d%d", d))[0]].cut = true
			}
		}},
		{"a domain without the platform", 9, 20, 300 * time.Millisecond, 0, func(f *fleet) {
			for _, m := range f.members {
				f.vms[m.ID].offline = m.FailureDomain == "d4"
			}
		}},
		{"a domain that loses the platform at the commit", 9, 20, 300 * time.Millisecond, 2 * PollInterval, func(f *fleet) {
			for _, m := range f.members {
				f.vms[m.ID].offline = m.FailureDomain == "d4"
			}
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			for seed := int64(1); seed <= 2; seed++ {
				got := propagationTime(t, newFleet(c.domains, c.each), c.call, seed, c.faultAt, c.fault)
				if got > propagationBound {
					t.Errorf("seed %d: got in force everywhere after %v, want at most %v", seed, got, propagationBound)
				}
				t.Logf("seed %d: %v", seed, got)
			}
		})
	}
}

func TestVMFarBehindGetsRecordThatLeftChangeLog(t *testing.T) {
	f := newFleet(1, 1)
	f.accept(t, 1)
	f.rounds(1)
	a := &Acceptor{Table: f.table}
	if _, err := a.Apply(context.Background(), encoded(t, record("reefread", 1)), 0); err != nil {
		t.Fatal(err)
	}
	for v := uint64(2); v < recentChanges+5; v++ {
		f.accept(t, v)
	}
	f.rounds(1)
	if _, ok := f.vms[f.members[0].ID].store.Service("reefread"); !ok {
		t.Error("reefread is missing: it changed before the oldest change in the change log")
	}
}
