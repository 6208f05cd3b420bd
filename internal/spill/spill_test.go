package spill

import (
	"encoding/json"
	"fmt"
	"slices"
	"testing"
	"time"

	"kumquatcleat/internal/loadmodel"
)

const (
	settleTime  = 12 * time.Second
	measureTime = 12 * time.Second
)

// Guards against requests that wait at home while servers elsewhere are idle, and against sending
// away far more than has to leave.
func TestOverloadedDomainSendsAwayItsExcess(t *testing.T) {
	const (
		load      = 1.3
		elsewhere = 0.5
		// At least what exceeds the capacity has to leave. More than evens out the loads of all
		// domains can't pay; a tenth of the requests is left for the noise of the figures.
		minShare = 1 - 1/load
		maxShare = 1 - (load+2*elsewhere)/3/load + 0.1
		// All servers together are used to 0.77 of their capacity.
		minInTime = 0.97
	)
	for seed := range uint64(2) {
		before, after := newModel(seed, false), newModel(seed, true)
		for _, m := range []*model{before, after} {
			m.play(settleTime, load, elsewhere, elsewhere)
			m.forget()
			m.play(measureTime, load, elsewhere, elsewhere)
		}
		share, inTime := after.meanShare(0), after.inTimeShare(modelDomains...)
		t.Logf("seed %d: share %.3f leaves, %d turns, in time %.4f with %d crossings; each VM by itself %.4f with %d",
			seed, share, after.turns(0.1), inTime, after.crossings(), before.inTimeShare(modelDomains...), before.crossings())
		if share < minShare || share > maxShare {
			t.Errorf("seed %d: got share %.3f that leaves, want %.3f to %.3f", seed, share, minShare, maxShare)
		}
		if inTime < minInTime {
			t.Errorf("seed %d: got share %.4f in time, want at least %.2f", seed, inTime, minInTime)
		}
	}
}

// Guards against paying for crossings that gain nothing: domains that are equally loaded, below or
// above their capacity, have nothing to offer each other.
func TestEquallyLoadedDomainsKeepTheirRequests(t *testing.T) {
	for load, maxShare := range map[float64]float64{0.6: 0.001, 0.9: 0.05, 1.3: 0} {
		m, before := newModel(1, true), newModel(1, false)
		for _, m := range []*model{before, m} {
			m.play(settleTime, load, load, load)
			m.forget()
			m.play(measureTime, load, load, load)
		}
		sent := float64(m.sent["a"] + m.sent["b"] + m.sent["c"])
		share := float64(m.crossings()) / sent
		t.Logf("load %.1f: share %.4f crosses, in time %.4f; each VM by itself %.4f, in time %.4f",
			load, share, m.inTimeShare(modelDomains...), float64(before.crossings())/sent, before.inTimeShare(modelDomains...))
		if share > maxShare {
			t.Errorf("load %.1f: got share %.4f of requests that cross, want at most %.3f", load, share, maxShare)
		}
		if m.mutual > 0 {
			t.Errorf("load %.1f: got %d reports at which two domains send into each other", load, m.mutual)
		}
	}
}

// Guards against oscillation when a domain loses half of its servers and gets them back.
func TestSharesTurnOnceForEachChangeOfServers(t *testing.T) {
	const (
		load = 0.65
		away = 12 * time.Second
		// One turn to go back after overshooting, one when the servers return, and one more for
		// noise in each of the two periods.
		maxTurns = 4
		// returnTime is enough for a share of 0.6 to return in the smallest steps and one as large
		// as it may be again before.
		returnTime = 16 * time.Second
	)
	for seed := range uint64(2) {
		m := newModel(seed, true)
		m.play(settleTime, load, load, load)
		if share := m.meanShare(0); share > 0.001 {
			t.Errorf("seed %d: got share %.3f that leaves a domain with room", seed, share)
		}
		m.forget()
		m.setHalf("a", true)
		m.play(away, load, load, load)
		lost, inTime := m.meanShare(0), m.inTimeShare("a")
		m.setHalf("a", false)
		m.play(returnTime, load, load, load)
		t.Logf("seed %d: without half of the servers mean share %.3f leaves, in time %.3f; %d turns", seed, lost, inTime, m.turns(0.1))
		if lost == 0 {
			t.Errorf("seed %d: nothing left the domain", seed)
		}
		for vm, shares := range m.shares {
			for i := 1; i < len(shares); i++ {
				if d := shares[i] - shares[i-1]; d > maxStep+1e-9 || d < -maxStep-1e-9 {
					t.Errorf("seed %d: VM %d moved its share from %.2f to %.2f at once", seed, vm, shares[i-1], shares[i])
				}
			}
			if end := shares[len(shares)-1]; end > 0 {
				t.Errorf("seed %d: VM %d still sends away share %.2f", seed, vm, end)
			}
		}
		if n := m.turns(0.1); n > maxTurns {
			t.Errorf("seed %d: got %d turns, want at most %d", seed, n, maxTurns)
		}
		if m.mutual > 0 {
			t.Errorf("seed %d: got %d reports at which two domains send into each other", seed, m.mutual)
		}
	}
}

func (m *model) setHalf(domain string, draining bool) {
	for i, s := range m.entries {
		if s.FailureDomain == domain && i/len(modelDomains)%2 == 0 {
			s.Draining = draining
		}
	}
}

// Guards against paying more for a crossing than it saves: one request more costs at most its own
// lateness and that of a displaced one.
func TestNothingLeavesAtTooHighAPrice(t *testing.T) {
	m := newModel(1, true)
	m.price = 2
	m.play(settleTime, 1.3, 0.5, 0.5)
	if share := m.meanShare(0); share != 0 {
		t.Errorf("got share %.3f that leaves, want none", share)
	}
}

var testService = Service{ServiceTime: modelServiceTime, Objective: modelObjective, Price: modelPrice}

func properties(string) Service { return testService }

// exchange sends the report of a VM to the coordinator and follows the answer.
func exchange(d *Decider, totals *Totals, now time.Time, vm, domain string, inFlight map[string]int, slots map[string]float64) {
	since := now.Sub(loadmodel.Start)
	totals.Add(since, vm, Report{Domain: domain, InFlight: map[string]map[string]int{"svc": inFlight}, Into: d.Into()})
	d.Update(now, now, totals.Figures(since, map[string]map[string]float64{"svc": slots}), properties)
}

// Guards against following old figures, and against sending into a domain that is cut off: its load
// seems to vanish because its VMs do not report.
func TestDomainsThatAreCutOffGetNothing(t *testing.T) {
	totals, now := NewTotals(), loadmodel.Start
	a, c := New(Settings{Domain: "a"}), New(Settings{Domain: "c"})
	slots := map[string]float64{"a": 100, "b": 100, "c": 100}
	step := func(withB, withC bool) {
		now = now.Add(reporting)
		if withC {
			exchange(c, totals, now, "vm-c", "c", map[string]int{"c": 10}, slots)
		}
		if withB {
			exchange(New(Settings{Domain: "b"}), totals, now, "vm-b", "b", map[string]int{"b": 250}, slots)
		}
		exchange(a, totals, now, "vm-a", "a", map[string]int{"a": 250}, slots)
	}
	for range 10 {
		step(true, true)
	}
	if share := a.Shares(now, "svc")["c"]; share < 0.2 {
		t.Fatalf("got share %.2f for the idle domain, want more", share)
	}
	for range 4 { // 1.6 s
		step(true, false)
	}
	if got := a.Draw(now, "svc", 0); got.Domain != "a" {
		t.Errorf("got %v while one of two domains does not report, want the VM's own", got)
	}
	for range 4 {
		step(false, false)
	}
	if got := a.Draw(now, "svc", 0); got.Domain != "" || a.Shares(now, "svc") != nil {
		t.Errorf("got %v for a domain that does not report any more, want no decision", got)
	}
	step(true, true)
	if got := a.Draw(now, "svc", 0.99); got.Domain != "a" {
		t.Errorf("got %v after the cut, want a decision", got)
	}
	if got := a.Draw(now.Add(maxAge+time.Millisecond), "svc", 0.99); got.Domain != "" {
		t.Errorf("got %v by old figures, want no decision", got)
	}
}

// Guards against permits of two domains to send into each other, and against one that outlives the
// requests of the VMs which rely on it.
func TestOnlyOneOfTwoDomainsGetsAPermit(t *testing.T) {
	totals, slots := NewTotals(), map[string]map[string]float64{"svc": {"a": 1, "b": 1}}
	add := func(now time.Duration, vm, domain string, into ...string) Figures {
		totals.Add(now, vm, Report{Domain: domain, Into: map[string][]string{"svc": into}})
		return totals.Figures(now, slots)
	}
	add(0, "a-1", "a", "b")
	add(0, "a-2", "a", "b")
	add(0, "b-1", "b", "a")
	for _, step := range []struct {
		at   time.Duration
		vm   string
		into []string
		a, b []string // permitted
	}{
		{collectTime, "b-1", []string{"a"}, []string{"b"}, nil},
		{collectTime, "a-1", nil, []string{"b"}, nil},
		{collectTime, "a-2", nil, nil, []string{"a"}},
		{collectTime, "a-2", []string{"b"}, nil, []string{"a"}},
		{collectTime + reportLife, "a-2", []string{"b"}, nil, []string{"a"}},
		{collectTime + reportLife + 1, "a-2", []string{"b"}, []string{"b"}, nil},
	} {
		f := add(step.at, step.vm, step.vm[:1], step.into...)["svc"]
		if !slices.Equal(f["a"].Into, step.a) || !slices.Equal(f["b"].Into, step.b) {
			t.Errorf("%+v: got permits %v and %v", step, f["a"].Into, f["b"].Into)
		}
	}
}

// Guards against a permit that is used by a VM which has not asked for it: it could end while the VM
// relies on it.
func TestPermitIsUsedOnlyAfterAsking(t *testing.T) {
	a, now := New(Settings{Domain: "a"}), loadmodel.Start
	for i, want := range []float64{0, maxStep, 0} {
		loads := map[string]Load{"a": {InFlight: 300, Slots: 100, Into: []string{"b"}}, "b": {InFlight: 40, Slots: 100}}
		if i == 2 { // the permit has ended
			loads["a"] = Load{InFlight: 300, Slots: 100}
		}
		a.Into()
		a.Update(now, now, Figures{"svc": loads}, properties)
		if got := a.Shares(now, "svc")["b"]; got != want {
			t.Errorf("report %d: got share %.2f, want %.2f", i, got, want)
		}
	}
}

// Guards against sums that lack the requests of some VMs: of those that run a version which does not
// count them, and at a new coordinator.
func TestNoFiguresFromIncompleteReports(t *testing.T) {
	slots := map[string]map[string]float64{"svc": {"a": 4, "b": 4}}
	totals := NewTotals()
	for i := range 3 {
		totals.Add(0, fmt.Sprint(i), Report{Domain: "a", InFlight: map[string]map[string]int{"svc": {"a": 2, "b": -1}}})
	}
	totals.Add(0, "b", Report{Domain: "b"})
	if f := totals.Figures(collectTime-1, slots); f != nil {
		t.Errorf("got figures %v from a coordinator that has just started", f)
	}
	if l := totals.Figures(collectTime, slots)["svc"]; l["a"].InFlight != 6 || l["b"].InFlight != 0 {
		t.Errorf("got loads %v, want 6 requests in domain a and none in b", l)
	}
	var old Report
	if err := json.Unmarshal([]byte(`{}`), &old); err != nil {
		t.Fatal(err)
	}
	totals.Add(collectTime, "old", old)
	if f := totals.Figures(collectTime, slots); f != nil {
		t.Errorf("got figures %v while a VM does not count its requests", f)
	}
}

// Guards against a jump when the servers of a domain come back after it had none, and against a
// flood of log lines.
func TestRequestsReturnInStepsToServersThatComeBack(t *testing.T) {
	a, now, lines := New(Settings{Domain: "a"}), loadmodel.Start, 0
	last := 1.0
	for i := range 80 {
		now = now.Add(reporting)
		a.Into()
		loads := map[string]Load{"a": {Slots: 100, Into: []string{"b", "c"}}, "b": {InFlight: 60, Slots: 100}, "c": {InFlight: 60, Slots: 100}}
		if i < 5 {
			loads["a"] = Load{}
		}
		a.Update(now, now, Figures{"svc": loads}, properties)
		lines += len(a.Changes(now))
		share := 0.0
		for _, s := range a.Shares(now, "svc") {
			share += s
		}
		if share < last-maxStep-1e-9 {
			t.Errorf("report %d: got share %.2f after %.2f", i, share, last)
		}
		if i < 5 && a.Draw(now, "svc", 0.5).Domain != "" {
			t.Errorf("report %d: got a decision without servers in the VM's own domain", i)
		}
		last = share
	}
	if last != 0 {
		t.Errorf("got share %.2f that still leaves", last)
	}
	now = now.Add(2 * maxAge)
	if c := a.Changes(now); len(c) != 1 || c[0].Decided {
		t.Errorf("got changes %+v when the figures are too old, want one without a decision", c)
	}
	if most := int(80 * reporting / changeInterval); lines == 0 || lines > most {
		t.Errorf("got %d reported changes, want 1 to %d", lines, most)
	}
}
