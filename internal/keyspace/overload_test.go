package keyspace

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// The rates of owners, which are computed from the counted keys alone, agree with the
// profile of all keys but for the share that a profile spreads evenly.
func TestOwnerRatesAgreeWithProfile(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	counts := NewRequestCounts(0)
	for range 5000 {
		counts.Add(rng.Uint32N(planKeys)*rng.Uint32N(planKeys)/planKeys, 1)
	}
	record := Record{Ranges: newPlanner(testPlan, evenProfile(100), planMembers(7)).initialRanges()}
	now := 2 * time.Second
	rates := counts.ownerRates(now, &record)
	fast, _ := counts.profiles(now, planKeys)
	p := newPlanner(testPlan, fast, planMembers(7))
	p.computeLoads(record.Ranges)
	for _, m := range planMembers(7) {
		got, want := rates[m.Holder], p.load[holderKey(m.Holder)]
		if math.Abs(got-want) > 2*uniformShare*max(got, want)+0.1*p.total/7 {
			t.Errorf("server %s: got %.1f requests per second, the profile says %.1f", m.Server, got, want)
		}
	}
}

// The coordinator signals an owner that the reports of all VMs show to be overloaded, and
// no other.
func TestOverloadedOwnerIsSignaled(t *testing.T) {
	members := planMembers(3)
	for i := range members {
		members[i].Capacity = 12
	}
	now := 10 * time.Second
	c := NewCoordinator(Options{
		Settings: CoordinatorSettings{Keys: planKeys, Plan: testPlan}, Members: fixedMembers(members),
		Services: func() []string { return []string{"keyed"} }, Objective: func(string) time.Duration { return time.Second },
		Clock: func() time.Duration { return now },
	})
	record := Record{Ranges: newPlanner(testPlan, evenProfile(100), members).initialRanges()}
	c.serviceStates["keyed"] = &serviceState{service: "keyed", leases: NewLeaseTracker(Timing{}, record, 1, now, 0)}
	hot := record.Ranges[1]
	for _, vm := range []string{"a", "b"} {
		c.Report(Report{VM: vm, Requests: map[string]map[uint32]float64{"keyed": {hot.From: 15, record.Ranges[0].From: 2}}, InFlight: map[string]int{hot.Owner.Server: 8}})
	}
	signals := c.Overloads()
	if s, ok := signals[hot.Owner.Server]; !ok || s.Load != 16 || s.Admit >= 0.7 {
		t.Errorf("got signal %+v of the overloaded owner, want load 16 and a share well below 1", s)
	}
	if len(signals) != 1 {
		t.Errorf("got signals %v, want one", signals)
	}
	now += 2 * time.Second
	if got := c.Overloads(); len(got) != 0 {
		t.Errorf("got signals %v after the reports expired, want none", got)
	}
}
