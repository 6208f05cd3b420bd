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

// fleet is a set of syncers in one process that reach each other by call.
type fleet struct {
	table   *fakeTable
	members []Member
	vms     map[string]*fleetVM
}

type fleetVM struct {
	syncer  *Syncer
	store   *Store
	cut     bool // reaches and is reached by no VM
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

// start puts a VM without any record in the place of its predecessor.
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
			t.Errorf("%s has version %d, want %d", m.ID, got, version)
		}
	}
}

func TestAChangeReachesADomainThatThePlatformCannot(t *testing.T) {
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

// TestAStalePeerDoesNotDecideWhatANewVMServes starts a VM while the platform is
// down and only a VM that missed the last change answers at first.
func TestAStalePeerDoesNotDecideWhatANewVMServes(t *testing.T) {
	f := newFleet(1, 7)
	f.accept(t, 1)
	f.rounds(3)
	started := f.start(f.members[3])
	started.syncer.schedule.use(f.members)
	stale := pick(started.syncer.schedule.sources.near, 1, 1)[0] // asked in the first round
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
		t.Fatalf("version %d: the stale VM was not met first, this test shows nothing", started.version())
	}
	if started.syncer.Synced() {
		t.Fatal("ready to serve with version 1, version 2 was in force")
	}
	for _, vm := range f.vms {
		vm.cut = false
	}
	for range startRounds {
		started.syncer.Round(context.Background())
	}
	if !started.syncer.Synced() || started.version() != 2 {
		t.Errorf("ready %t with version %d", started.syncer.Synced(), started.version())
	}
}

func TestAllVMsReplacedAtOnceWithoutThePlatformServeNothing(t *testing.T) {
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
			t.Errorf("%s is ready to serve without any record", m.ID)
		}
	}
	f.table.setDown(false)
	f.rounds(3)
	f.wantAll(t, 1)
}

func TestVMsReplacedOneAfterAnotherKeepTheRecordWithoutThePlatform(t *testing.T) {
	f := newFleet(2, 4)
	f.accept(t, 1)
	f.accept(t, 2)
	f.rounds(3)
	f.table.setDown(true)
	for _, m := range f.members {
		vm := f.start(m)
		for range startRounds {
			vm.syncer.Round(context.Background())
		}
		if !vm.syncer.Synced() || vm.version() != 2 {
			t.Fatalf("%s: ready %t, version %d", m.ID, vm.syncer.Synced(), vm.version())
		}
	}
}

func TestARecordOfANewerSchemaLeavesTheOneBeforeInForce(t *testing.T) {
	f := newFleet(1, 3)
	f.accept(t, 1)
	f.rounds(1)
	vm := f.vms[f.members[0].ID]
	newer := []byte(`{"schema":3,"version":2,"name":"swapbay"}`)
	vm.syncer.take([][]byte{newer}, "vm-x")
	vm.syncer.take([][]byte{newer}, "vm-x")
	if vm.version() != 1 {
		t.Errorf("version %d", vm.version())
	}
	if vm.syncer.refused.Count() != 1 {
		t.Errorf("reported %d times, want once", vm.syncer.refused.Count())
	}
	if vm.syncer.known()["swapbay"] != 2 {
		t.Error("the record would be sent again each second")
	}
}

// TestALostPollerIsNotAskedTwiceInARow loses each poller in turn, in each round:
// asked twice, it would cost two rounds, which is past the bound.
func TestALostPollerIsNotAskedTwiceInARow(t *testing.T) {
	var members []Member
	for i := range 60 {
		members = append(members, Member{ID: fmt.Sprintf("vm-%d", i), FailureDomain: "d"})
	}
	for _, lost := range Pollers(members, "d") {
		for _, m := range members {
			s := schedule{self: m, synced: true}
			before := ""
			for range 6 {
				r := s.next(members)
				if len(r.Peers) == 1 && r.Peers[0] == lost && before == lost {
					t.Fatalf("%s asks the lost %s in two rounds in a row", m.ID, lost)
				}
				before = ""
				if len(r.Peers) == 1 {
					before = r.Peers[0]
				}
				res := result{Answered: r.Peers}
				if before == lost {
					res = result{Failed: r.Peers}
				}
				s.finished(r, res)
			}
		}
	}
}

func TestPollsOfThePlatformStayBoundedAtFullSize(t *testing.T) {
	const perDomain, domains, readsGiven = 811, 9, 2000
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
	if polling != PollerCount(perDomain) || polling*domains > readsGiven/5 {
		t.Errorf("%d pollers a domain, %d reads a second", polling, polling*domains)
	}
	most := 0
	for _, n := range asked {
		most = max(most, n)
	}
	if most > 2*vmsPerPoller {
		t.Errorf("one poller is asked by %d VMs a second, want at most %d", most, 2*vmsPerPoller)
	}
}

// syncSystem is what the command sequences act on.
type syncSystem struct {
	fleet    *fleet
	accepted uint64
	fallen   string // a VM whose version fell
}

func (s *syncSystem) look() {
	for id, vm := range s.fleet.vms {
		if vm.version() < vm.highest {
			s.fallen = id
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
		if _, err := (&Acceptor{Table: s.fleet.table, Wait: tenTries()}).Apply(context.Background(), next, s.accepted); err == nil {
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
	s.look()
	return s
}

func (c syncCommand) NextState(state commands.State) commands.State { return state }
func (c syncCommand) PreCondition(commands.State) bool              { return true }

func (c syncCommand) PostCondition(_ commands.State, result commands.Result) *gopter.PropResult {
	if result.(*syncSystem).fallen != "" {
		return &gopter.PropResult{Status: gopter.PropFalse}
	}
	return &gopter.PropResult{Status: gopter.PropTrue}
}

// settle mends every fault, runs a few rounds and tells whether all agree.
func (s *syncSystem) settle() bool {
	s.fleet.table.setDown(false)
	for _, vm := range s.fleet.vms {
		vm.cut, vm.offline = false, false
	}
	s.fleet.rounds(4)
	s.look()
	for _, vm := range s.fleet.vms {
		if vm.version() != s.accepted {
			return false
		}
	}
	return s.fallen == ""
}

func TestSequencesOfFaultsEndWithTheAcceptedVersionEverywhere(t *testing.T) {
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
		t.Errorf("%d sequences ended with VMs that lack the accepted version", unsettled)
	}
}

// spread replays the rounds of many VMs on a virtual clock. A round's questions
// see the others as they were at its start; what it learns is in force at its
// end, as if every call took its whole time.
type spread struct {
	fleet   *fleet
	inForce map[*fleetVM]time.Duration // when version 2 came into force
	commit  time.Duration
	now     time.Duration
}

const never = time.Hour

// slowPeers shows the others as they are at the start of the asker's round.
type slowPeers struct {
	fleetPeers
	spread *spread
	before *Store // a store with version 1
}

func (p slowPeers) store(id string) (*Store, error) {
	vm, err := p.reach(id)
	if err != nil {
		return nil, err
	}
	if p.spread.inForce[vm] <= p.spread.now {
		return vm.store, nil
	}
	return p.before, nil
}

func (p slowPeers) Digest(_ context.Context, id string) (uint64, error) {
	st, err := p.store(id)
	if err != nil {
		return 0, err
	}
	return st.Digest(), nil
}

func (p slowPeers) Configs(_ context.Context, id string, known map[string]uint64) ([][]byte, error) {
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

// slowest returns when the last VM that is not lost has version 2, counted from
// the commit. A round takes 2 x call. The fault happens at faultAt.
func slowest(t *testing.T, f *fleet, call time.Duration, seed int64, faultAt time.Duration, fault func(*fleet)) time.Duration {
	t.Helper()
	f.accept(t, 1)
	f.rounds(3)
	before := NewStore()
	before.Put(variant(1, 0))
	sp := &spread{fleet: f, inForce: make(map[*fleetVM]time.Duration)}
	var starts []roundStart
	rng := rand.New(rand.NewSource(seed))
	for _, m := range f.members {
		vm := f.vms[m.ID]
		vm.syncer.opt.Peers = slowPeers{fleetPeers{f, vm}, sp, before}
		sp.inForce[vm] = never
		phase := time.Duration(rng.Int63n(int64(PollInterval)))
		for i := range 8 {
			starts = append(starts, roundStart{phase + time.Duration(i)*PollInterval, vm})
		}
	}
	slices.SortFunc(starts, func(a, b roundStart) int { return int(a.at - b.at) })
	sp.commit = 2 * PollInterval
	committed, faulty := false, false
	for _, start := range starts {
		if start.at >= faultAt && !faulty {
			fault(f)
			faulty = true
		}
		if start.at >= sp.commit && !committed {
			f.accept(t, 2)
			committed = true
		}
		sp.now = start.at
		start.vm.syncer.Round(context.Background())
		if start.vm.version() == 2 && sp.inForce[start.vm] == never {
			sp.inForce[start.vm] = start.at + 2*call
		}
	}
	var last time.Duration
	for vm, at := range sp.inForce {
		if !vm.cut {
			last = max(last, at-sp.commit)
		}
	}
	return last
}

// bound is the stated time from acceptance to force everywhere.
const bound = 5 * time.Second

func TestAcceptedIsInForceEverywhereWithinTheBound(t *testing.T) {
	cases := []struct {
		name          string
		domains, each int
		call          time.Duration // each call takes this long
		faultAt       time.Duration // the commit is at 2 x PollInterval
		fault         func(*fleet)
	}{
		{"12 VMs", 3, 4, callTimeout, 0, func(*fleet) {}},
		{"180 VMs in 9 domains", 9, 20, callTimeout, 0, func(*fleet) {}},
		{"one poller of each domain lost at the commit", 9, 20, callTimeout, 2 * PollInterval, func(f *fleet) {
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
				got := slowest(t, newFleet(c.domains, c.each), c.call, seed, c.faultAt, c.fault)
				if got > bound {
					t.Errorf("seed %d: in force everywhere after %v, want at most %v", seed, got, bound)
				}
				t.Logf("seed %d: %v", seed, got)
			}
		})
	}
}

func TestAVMFarBehindMissesNoRecordThatLeftTheDigest(t *testing.T) {
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
		t.Error("reefread, which changed before the digest's first entry, is missing")
	}
}
