package membership

import (
	"slices"
	"testing"
	"time"

	"kumquatcleat/internal/config"
	"kumquatcleat/internal/ownership"
	"kumquatcleat/internal/platform"
)

// at converts seconds to a time on the test's clock.
func at(seconds float64) time.Duration { return time.Duration(seconds * float64(time.Second)) }

func entryVM(id, incarnation, domain string) platform.VM {
	return platform.VM{
		ID: id, Incarnation: incarnation, Role: roleEntry, FailureDomain: domain,
		Address: id + ":7000", State: platform.VMLive,
	}
}

func ref(id, incarnation string) ownership.VMRef {
	return ownership.VMRef{ID: id, Incarnation: incarnation}
}

// newTestView returns the view of VM a in failure domain d1.
func newTestView() *View {
	return NewView(Self{ID: "a", Incarnation: "a1", FailureDomain: "d1", Address: "a:7000"}, DefaultSettings)
}

func liveIDs(v *View, now time.Duration) []string {
	var ids []string
	for _, vm := range v.Live(now) {
		ids = append(ids, vm.ID+"@"+vm.Incarnation)
	}
	return ids
}

func goneRefs(v *View, now time.Duration) []ownership.VMRef {
	_, gone := v.Candidates(now, "d1", config.IsolationKeep, "g")
	return gone
}

func candidates(v *View, now time.Duration, isolation config.Isolation) []ownership.VMRef {
	refs, _ := v.Candidates(now, "d1", isolation, "g")
	return refs
}

func expectLive(t *testing.T, v *View, now time.Duration, want ...string) {
	t.Helper()
	if got := liveIDs(v, now); !slices.Equal(got, want) {
		t.Fatalf("at %v: got live VMs %v, want %v", now, got, want)
	}
}

func expectGone(t *testing.T, v *View, now time.Duration, want ...ownership.VMRef) {
	t.Helper()
	if got := goneRefs(v, now); !slices.Equal(got, want) {
		t.Fatalf("at %v: got gone VMs %v, want %v", now, got, want)
	}
}

// failPings reports a failed ping of a VM once per ping interval.
func failPings(v *View, id string, from, to time.Duration) {
	for now := from; now <= to; now += v.settings.PingInterval {
		v.PingFailed(now, id)
	}
}

func TestSilentVMIsSuspectedButNotGone(t *testing.T) {
	v := newTestView()
	list := []platform.VM{entryVM("a", "a1", "d1"), entryVM("b", "b1", "d1")}
	v.ListRead(at(1), list, 0)
	v.PingAnswered(at(10), "b", "b1", false)
	failPings(v, "b", at(10.4), at(10.9))
	expectLive(t, v, at(10.9), "a@a1", "b@b1")
	v.Tick(at(11.1))
	expectLive(t, v, at(11.1), "a@a1")
	v.ListRead(at(12), list, 0)
	expectLive(t, v, at(12), "a@a1")
	expectGone(t, v, at(12))
}

func TestOneLostPingCausesNoSuspicion(t *testing.T) {
	v := newTestView()
	v.ListRead(at(1), []platform.VM{entryVM("b", "b1", "d1")}, 0)
	v.PingFailed(at(2), "b")
	expectLive(t, v, at(9), "a@a1", "b@b1")
}

func TestSuspectedVMIsLiveAgainOnceItAnswers(t *testing.T) {
	v := newTestView()
	v.ListRead(at(1), []platform.VM{entryVM("b", "b1", "d1")}, 0)
	failPings(v, "b", at(2), at(5))
	expectLive(t, v, at(5), "a@a1")
	before := v.Generation()
	v.PingAnswered(at(6), "b", "b1", false)
	expectLive(t, v, at(6), "a@a1", "b@b1")
	if v.Generation() == before {
		t.Fatal("got the same generation after the suspicion ended, want a new one")
	}
}

func TestIndirectEvidencePreventsSuspicion(t *testing.T) {
	v := newTestView()
	v.ListRead(at(1), []platform.VM{entryVM("b", "b1", "d1")}, 0)
	for now := at(2); now <= at(6); now += v.settings.PingInterval {
		v.PingFailed(now, "b")
		v.PeerHeard(now, ref("b", "b1"), at(0.1))
	}
	expectLive(t, v, at(6), "a@a1", "b@b1")
	failPings(v, "b", at(6.4), at(8))
	expectLive(t, v, at(8), "a@a1")
}

func TestStaleIndirectEvidenceDoesNotEndSuspicion(t *testing.T) {
	v := newTestView()
	v.ListRead(at(1), []platform.VM{entryVM("b", "b1", "d1")}, 0)
	failPings(v, "b", at(2), at(5))
	v.PeerHeard(at(6), ref("b", "b1"), at(5))
	v.PeerHeard(at(6), ref("b", "b0"), 0)
	expectLive(t, v, at(6), "a@a1")
}

func TestAnsweringVMIsLiveEvenIfUnlisted(t *testing.T) {
	v := newTestView()
	v.ListRead(at(1), []platform.VM{entryVM("a", "a1", "d1"), entryVM("b", "b1", "d1")}, 0)
	v.PingAnswered(at(10), "b", "b1", false)
	v.ListRead(at(11), []platform.VM{entryVM("a", "a1", "d1")}, at(3))
	expectLive(t, v, at(11), "a@a1", "b@b1")
	expectGone(t, v, at(11))
}

func TestLeavingVMIsLiveButNotCandidate(t *testing.T) {
	v := newTestView()
	leaving := entryVM("b", "b1", "d1")
	leaving.State = platform.VMLeaving
	v.ListRead(at(1), []platform.VM{leaving, entryVM("c", "c1", "d1")}, 0)
	v.PingAnswered(at(2), "c", "c1", true)
	expectLive(t, v, at(2), "a@a1", "b@b1", "c@c1")
	if got := candidates(v, at(2), config.IsolationKeep); !slices.Equal(got, []ownership.VMRef{ref("a", "a1")}) {
		t.Fatalf("got candidates %v, want only this VM", got)
	}
}

func TestAbsenceProvesGoneOnlyIfListIsNewerThanLastAnswer(t *testing.T) {
	v := newTestView()
	v.ListRead(at(1), []platform.VM{entryVM("a", "a1", "d1"), entryVM("b", "b1", "d1")}, 0)
	v.PingAnswered(at(10), "b", "b1", false)
	v.ListRead(at(12), []platform.VM{entryVM("a", "a1", "d1")}, at(2))
	expectGone(t, v, at(12))
	v.ListRead(at(13), []platform.VM{entryVM("a", "a1", "d1")}, at(2))
	expectGone(t, v, at(13), ref("b", "b1"))
	expectLive(t, v, at(13), "a@a1")
}

func TestEmptyListProvesNothing(t *testing.T) {
	v := newTestView()
	v.ListRead(at(1), []platform.VM{entryVM("b", "b1", "d1")}, 0)
	v.ListRead(at(9), nil, 0)
	expectLive(t, v, at(9), "a@a1", "b@b1")
	expectGone(t, v, at(9))
}

func TestOutOfOrderListReadDoesNotReviveGoneVM(t *testing.T) {
	v := newTestView()
	both := []platform.VM{entryVM("a", "a1", "d1"), entryVM("b", "b1", "d1")}
	v.ListRead(at(1), both, 0)
	v.ListRead(at(10), both[:1], 0)
	v.ListRead(at(11), both, at(8))
	v.ListRead(at(12), both, 0)
	expectLive(t, v, at(12), "a@a1")
	expectGone(t, v, at(12), ref("b", "b1"))
}

func TestOutOfOrderListReadDoesNotUnlistNewVM(t *testing.T) {
	v := newTestView()
	v.ListRead(at(10), []platform.VM{entryVM("b", "b1", "d1"), entryVM("c", "c1", "d1")}, 0)
	v.ListRead(at(11), []platform.VM{entryVM("b", "b1", "d1")}, at(8))
	expectLive(t, v, at(11), "a@a1", "b@b1", "c@c1")
}

func TestGonePredecessorDoesNotDisplaceReplacement(t *testing.T) {
	v := newTestView()
	v.ListRead(at(1), []platform.VM{entryVM("b", "b1", "d1")}, 0)
	v.PingAnswered(at(2), "b", "b1", false)
	v.PingAnswered(at(10), "b", "b2", false)
	expectLive(t, v, at(10), "a@a1", "b@b2")
	expectGone(t, v, at(10), ref("b", "b1"))

	v.PingAnswered(at(10.1), "b", "b1", false) // a late answer
	v.ListRead(at(11), []platform.VM{entryVM("b", "b1", "d1")}, 0)
	expectLive(t, v, at(11), "a@a1", "b@b2")
	v.ListRead(at(30), []platform.VM{entryVM("b", "b1", "d1")}, 0)
	expectGone(t, v, at(30), ref("b", "b1"))
}

func TestLateAnswerOfPredecessorDoesNotMarkSuccessorGone(t *testing.T) {
	v := newTestView()
	v.ListRead(at(9.9), []platform.VM{entryVM("b", "b2", "d1")}, 0)
	v.PingAnswered(at(10), "b", "b1", false)
	expectLive(t, v, at(10), "a@a1", "b@b2")
	expectGone(t, v, at(10))
}

func TestStaleListNamingPredecessorProvesNothing(t *testing.T) {
	v := newTestView()
	v.Learn(at(1), entryVM("b", "b2", "d1"))
	v.PingAnswered(at(5), "b", "b2", false)
	v.ListRead(at(6), []platform.VM{entryVM("b", "b1", "d1")}, at(2))
	expectLive(t, v, at(6), "a@a1", "b@b2")
	expectGone(t, v, at(6))
}

func TestNewVMAtSameAddressDisplacesOldOne(t *testing.T) {
	v := newTestView()
	successor := entryVM("c", "c1", "d1")
	successor.Address = "b:7000"
	v.ListRead(at(1), []platform.VM{entryVM("b", "b1", "d1"), successor}, 0)
	v.PingAnswered(at(2), "b", "b1", false)
	expectLive(t, v, at(2), "a@a1", "b@b1")
	v.PingAnswered(at(3), "c", "c1", false)
	expectLive(t, v, at(3), "a@a1", "c@c1")
	expectGone(t, v, at(3))
	v.PingAnswered(at(4), "b", "b1", false)
	expectLive(t, v, at(4), "a@a1", "b@b1")
}

func TestVMKnownOnlyFromRowIsGoneAfterListGrace(t *testing.T) {
	v := newTestView()
	v.RowNamesVM(at(1), ref("x", "x1"))
	list := []platform.VM{entryVM("a", "a1", "d1")}
	v.ListRead(at(1)+v.settings.ListGrace, list, 0)
	expectGone(t, v, at(7))
	v.ListRead(at(1.1)+v.settings.ListGrace, list, 0)
	expectGone(t, v, at(7), ref("x", "x1"))
}

func TestVMNamedInRowIsNotGoneWhileListed(t *testing.T) {
	v := newTestView()
	v.RowNamesVM(at(1), ref("b", "b1"))
	for second := 2.0; second < 20; second++ {
		v.ListRead(at(second), []platform.VM{entryVM("b", "b1", "d1")}, 0)
	}
	expectGone(t, v, at(20))
	expectLive(t, v, at(20), "a@a1", "b@b1")
}

func TestVMsReplacedUnderSameIDsAreGoneForReplacements(t *testing.T) {
	v := newTestView()
	v.RowNamesVM(at(2), ref("b", "b0.x"))
	list := []platform.VM{entryVM("a", "a1", "d1"), entryVM("b", "b1", "d1")}
	v.ListRead(at(3), list, at(2))
	expectGone(t, v, at(3))
	v.ListRead(at(5), list, at(2))
	expectGone(t, v, at(5), ref("b", "b0.x"))
}

func TestListDoesNotOrderDaemonStartsOnSameVM(t *testing.T) {
	v := newTestView()
	v.ListRead(at(1), []platform.VM{entryVM("b", "b1.old", "d1")}, 0)
	v.PingAnswered(at(1.5), "b", "b1.old", false)
	v.RowNamesVM(at(2), ref("b", "b1.new"))
	v.ListRead(at(3), []platform.VM{entryVM("b", "b1.old", "d1")}, 0)
	expectGone(t, v, at(3))
	if countPings(v, at(3), at(4))["b"] == 0 {
		t.Fatal("got no ping of the VM with two possible daemon starts, want at least one")
	}
	v.PingAnswered(at(4), "b", "b1.new", false)
	expectGone(t, v, at(4), ref("b", "b1.old"))
}

func TestAnswerProvesEarlierDaemonStartGone(t *testing.T) {
	v := newTestView()
	v.ListRead(at(1), []platform.VM{entryVM("b", "b1.new", "d1")}, 0)
	v.RowNamesVM(at(2), ref("b", "b1.old"))
	v.PingAnswered(at(2.1), "b", "b1.new", false) // the ping may have been sent before the row was read
	expectGone(t, v, at(2.1))
	v.PingAnswered(at(2.5), "b", "b1.new", false)
	expectGone(t, v, at(2.5), ref("b", "b1.old"))
}

func TestOwnPredecessorIsGoneOnlyAfterNewerListNamesThisVM(t *testing.T) {
	v := newTestView()
	list := []platform.VM{entryVM("a", "a1", "d1")}
	v.RowNamesVM(at(2), ref("a", "a0"))
	v.ListRead(at(3), list, at(2))
	expectGone(t, v, at(3))
	v.ListRead(at(5), list, at(2))
	expectGone(t, v, at(5), ref("a", "a0"))
}

func TestResumedVMDoesNotMarkItsSuccessorGone(t *testing.T) {
	v := newTestView()
	v.ListRead(at(1), []platform.VM{entryVM("a", "a1", "d1")}, 0)
	v.RowNamesVM(at(100), ref("a", "a2"))
	v.ListRead(at(101), []platform.VM{entryVM("a", "a2", "d1")}, 0)
	expectGone(t, v, at(101))
}

func TestNewVMIsNotGoneBeforeListGrace(t *testing.T) {
	v := newTestView()
	v.Learn(at(1), entryVM("b", "b1", "d1"))
	v.PingAnswered(at(1), "b", "b1", false)
	v.ListRead(at(2), []platform.VM{entryVM("a", "a1", "d1")}, 0)
	expectGone(t, v, at(2))
	expectLive(t, v, at(2), "a@a1", "b@b1")
	v.ListRead(at(6.1), []platform.VM{entryVM("a", "a1", "d1")}, 0)
	expectGone(t, v, at(6.1), ref("b", "b1"))
}

func TestListedVMNoLongerPingedIsNotSuspected(t *testing.T) {
	v := newTestView()
	v.ListRead(at(1), []platform.VM{entryVM("b", "b1", "d1")}, 0)
	failPings(v, "b", at(2), at(5))
	expectLive(t, v, at(6), "a@a1")
	expectLive(t, v, at(6)+fellowCandidateTTL, "a@a1", "b@b1")
}

func TestGoneSetIsBounded(t *testing.T) {
	g := newGoneSet(2)
	for _, id := range []string{"a", "b", "b", "c"} {
		g.add(ref(id, "1"))
	}
	if want := []ownership.VMRef{ref("b", "1"), ref("c", "1")}; !slices.Equal(g.list(), want) || g.has(ref("a", "1")) {
		t.Fatalf("got gone VMs %v, want %v", g.list(), want)
	}
}

func TestSettingsErrorNamesFieldValueAndRange(t *testing.T) {
	if err := DefaultSettings.Validate(); err != nil {
		t.Fatal(err)
	}
	s := DefaultSettings
	s.CoKeepers = 1
	const want = "membership.co_keepers: 1 is not between 2 and 16"
	if err := s.Validate(); err == nil || err.Error() != want {
		t.Fatalf("got error %v, want %q", err, want)
	}
}
