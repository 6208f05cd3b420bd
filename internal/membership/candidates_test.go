package membership

import (
	"fmt"
	"math/rand"
	"slices"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"kumquatcleat/internal/config"
	"kumquatcleat/internal/ownership"
	"kumquatcleat/internal/platform"
)

// fleet returns n VMs spread over the failure domains d0, d1 and so on.
func fleet(n, domains int) []platform.VM {
	vms := make([]platform.VM, n)
	for i := range vms {
		vms[i] = entryVM(fmt.Sprintf("vm%04d", i), "1", fmt.Sprintf("d%d", i%domains))
	}
	return vms
}

// viewOf returns the view of VM vms[self], which read the list at 1 s.
func viewOf(vms []platform.VM, self int) *View {
	vm := vms[self]
	v := NewView(Self{ID: vm.ID, Incarnation: vm.Incarnation, FailureDomain: vm.FailureDomain, Address: vm.Address}, DefaultSettings)
	v.ListRead(at(1), vms, 0)
	return v
}

func TestVMsWithTheSameListFindTheSameCandidates(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(1)
	p := gopter.NewProperties(parameters)
	p.Property("same order on every VM", prop.ForAll(func(seed int64, n int, move bool) bool {
		rnd := rand.New(rand.NewSource(seed))
		vms := fleet(n, 3)
		isolation := config.IsolationKeep
		if move {
			isolation = config.IsolationMove
		}
		group := fmt.Sprint(seed)
		want, _ := viewOf(vms, 0).Candidates(at(2), "d1", isolation, group)
		rnd.Shuffle(n, func(i, j int) { vms[i], vms[j] = vms[j], vms[i] })
		got, _ := viewOf(vms, rnd.Intn(n)).Candidates(at(2), "d1", isolation, group)
		return slices.Equal(want, got) && len(got) == min(n, DefaultSettings.MaxCandidates)
	}, gen.Int64(), gen.IntRange(1, 40), gen.Bool()))
	p.TestingRun(t)
}

func TestStandbyDomainFollowsIsolation(t *testing.T) {
	vms := fleet(12, 3)
	domainOf := map[string]string{}
	for _, vm := range vms {
		domainOf[vm.ID] = vm.FailureDomain
	}
	v := viewOf(vms, 0)
	for group := range 50 {
		key := fmt.Sprintf("g%d", group)
		keep, _ := v.Candidates(at(2), "d1", config.IsolationKeep, key)
		move, _ := v.Candidates(at(2), "d1", config.IsolationMove, key)
		if domainOf[keep[0].ID] != "d1" || domainOf[keep[1].ID] != "d1" {
			t.Fatalf("under IsolationKeep, got first candidates %v, want both in domain d1", keep[:2])
		}
		if keep[0] != move[0] || domainOf[move[1].ID] == "d1" {
			t.Fatalf("under IsolationMove, got first candidates %v, want the keeper of %v and a standby outside domain d1", move[:2], keep[:2])
		}
	}
}

func TestLostVMDoesNotReorderOtherCandidates(t *testing.T) {
	v := viewOf(fleet(12, 3), 0)
	before, _ := v.Candidates(at(2), "d0", config.IsolationKeep, "g")
	lost := before[1]
	if lost.ID == "vm0000" {
		lost = before[0]
	}
	failPings(v, lost.ID, at(2), at(5))
	after, _ := v.Candidates(at(5), "d0", config.IsolationKeep, "g")
	want := slices.DeleteFunc(before, func(r ownership.VMRef) bool { return r == lost })
	if !slices.Equal(after, want) {
		t.Fatalf("got candidates %v, want %v", after, want)
	}
}

func TestStoppingVMIsNotItsOwnCandidate(t *testing.T) {
	v := newTestView()
	v.Stop()
	if got := candidates(v, at(1), config.IsolationKeep); len(got) != 0 {
		t.Fatalf("got candidates %v, want none", got)
	}
}

// countPings returns how often each VM is pinged in the given period.
func countPings(v *View, from, to time.Duration) map[string]int {
	pings := map[string]int{}
	for now := from; now < to; now += 100 * time.Millisecond {
		for _, vm := range v.PingTargets(now) {
			pings[vm.ID]++
		}
	}
	return pings
}

func TestPingsAreBoundedInALargeFleet(t *testing.T) {
	vms := fleet(7300, 9)
	v := viewOf(vms, 0)
	for group := range 300 {
		v.Candidates(at(1), fmt.Sprintf("d%d", group%9), config.IsolationKeep, fmt.Sprintf("g%d", group))
	}
	total := 0
	for _, n := range countPings(v, at(1), at(11)) {
		total += n
	}
	limit := DefaultSettings.MaxPingsPerSecond * 10
	if total == 0 || total > limit {
		t.Fatalf("got %d pings in 10 s, want 1 to %d", total, limit)
	}
}

func TestPingTargetsAreBoundedWhenAllVMsAreUnlisted(t *testing.T) {
	v := newTestView()
	for _, vm := range fleet(100, 3) {
		v.Learn(at(1), vm)
	}
	pings, total := countPings(v, at(1), at(11)), 0
	for _, n := range pings {
		total += n
	}
	if len(pings) != DefaultSettings.MaxPingTargets {
		t.Errorf("got %d targets, want %d", len(pings), DefaultSettings.MaxPingTargets)
	}
	if limit := 10 * DefaultSettings.MaxPingsPerSecond; total > limit {
		t.Errorf("got %d pings in 10 s, want at most %d", total, limit)
	}
}

func TestFellowCandidatesPingEachOtherInSmallFleet(t *testing.T) {
	v := viewOf(fleet(12, 3), 0)
	fellowCandidates := map[string]bool{}
	for group := range 24 {
		candidates, _ := v.Candidates(at(1), fmt.Sprintf("d%d", group%3), config.IsolationKeep, fmt.Sprintf("g%d", group))
		first := candidates[:DefaultSettings.CoKeepers]
		for _, r := range first {
			fellowCandidates[r.ID] = fellowCandidates[r.ID] || slices.Contains(first, ref("vm0000", "1"))
		}
	}
	pings := countPings(v, at(1), at(3))
	for id, want := range fellowCandidates {
		if want && id != "vm0000" && pings[id] == 0 {
			t.Errorf("got no ping of fellow candidate %s, want at least one", id)
		}
	}
}

func TestEveryVMIsPingedByEnoughOthers(t *testing.T) {
	for _, n := range []int{12, 60} {
		vms := fleet(n, 3)
		pinged := map[string]int{}
		for self := range vms {
			v := viewOf(vms, self)
			for group := range 24 {
				v.Candidates(at(1), fmt.Sprintf("d%d", group%3), config.IsolationKeep, fmt.Sprintf("g%d", group))
			}
			for id := range countPings(v, at(1), at(1.2)) {
				pinged[id]++
			}
		}
		for _, vm := range vms {
			if pinged[vm.ID] < DefaultSettings.RingSuccessors {
				t.Errorf("with %d VMs, %s is pinged by %d others, want at least %d", n, vm.ID, pinged[vm.ID], DefaultSettings.RingSuccessors)
			}
		}
	}
}

func TestStandbyStillPingsSuspectedKeeper(t *testing.T) {
	vms := fleet(60, 3)
	probe := viewOf(vms, 0)
	group, _ := probe.Candidates(at(1), "d1", config.IsolationMove, "g")
	keeper, standby := group[0].ID, group[1].ID
	self := slices.IndexFunc(vms, func(vm platform.VM) bool { return vm.ID == standby })
	v := viewOf(vms, self)
	v.Candidates(at(1), "d1", config.IsolationMove, "g")
	failPings(v, keeper, at(2), at(5))
	v.Candidates(at(5), "d1", config.IsolationMove, "g")
	if countPings(v, at(5), at(6))[keeper] == 0 {
		t.Fatalf("got no ping from standby %s to the suspected keeper %s, want at least one", standby, keeper)
	}
}

func TestNextCandidateBecomesFellowCandidateOfSuspectedVMs(t *testing.T) {
	vms := fleet(60, 3)
	ranked, _ := viewOf(vms, 0).Candidates(at(1), "d1", config.IsolationKeep, "g")
	next := ranked[DefaultSettings.CoKeepers].ID
	v := viewOf(vms, slices.IndexFunc(vms, func(vm platform.VM) bool { return vm.ID == next }))
	v.Candidates(at(1), "d1", config.IsolationKeep, "g")
	if len(v.fellowCandidateExpiry) != 0 {
		t.Fatalf("got fellow candidates %v while all VMs are live, want none", v.fellowCandidateExpiry)
	}
	failPings(v, ranked[0].ID, at(2), at(5))
	v.Candidates(at(5), "d1", config.IsolationKeep, "g")
	for _, r := range ranked[:DefaultSettings.CoKeepers] {
		if _, ok := v.fellowCandidateExpiry[r.ID]; !ok {
			t.Errorf("%s is not a fellow candidate of %s", r.ID, next)
		}
	}
}

func TestHeardRecentlyExcludesIndirectEvidence(t *testing.T) {
	v := newTestView()
	v.ListRead(at(1), []platform.VM{entryVM("b", "b1", "d1"), entryVM("c", "c1", "d1")}, 0)
	v.PingAnswered(at(2), "b", "b1", false)
	v.PeerHeard(at(2), ref("c", "c1"), 0)
	want := []Heard{{ref("b", "b1"), at(0.2)}}
	if got := v.HeardRecently(at(2.2)); !slices.Equal(got, want) {
		t.Fatalf("got heard VMs %v, want %v", got, want)
	}
	if got := v.HeardRecently(at(9)); len(got) != 0 {
		t.Fatalf("got heard VMs %v after a long silence, want none", got)
	}
}
