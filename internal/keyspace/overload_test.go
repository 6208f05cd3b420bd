package keyspace

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"kumquatcleat/internal/ratelimit"
)

// The rates of owners, which are computed from the counted keys alone, agree with the
// profile of all keys but for the share that a profile spreads evenly.
func TestOwnerRatesAgreeWithProfile(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	counts := NewRequestCounts(0)
	for range 5000 {
		counts.Add(0, rng.Uint32N(planKeys)*rng.Uint32N(planKeys)/planKeys, 1)
	}
	record := Record{Ranges: newPlanner(testPlan, evenProfile(100), planMembers(7)).initialRanges()}
	now := 2 * time.Second
	rates := counts.ownerRates(now, &record, even)
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

// keyedCoordinator returns a coordinator of a service whose keys are divided among the members,
// with the record that says so.
func keyedCoordinator(members []Member, now *time.Duration) (*Coordinator, Record) {
	c := NewCoordinator(Options{
		Settings: CoordinatorSettings{Keys: planKeys, Plan: testPlan}, Members: fixedMembers(members),
		Services: func() []string { return []string{"keyed"} }, Objective: func(string) time.Duration { return time.Second }, SlowTime: func(string) time.Duration { return 0 },
		Clock: func() time.Duration { return *now },
	})
	record := Record{Ranges: newPlanner(testPlan, evenProfile(100), members).initialRanges()}
	c.serviceStates["keyed"] = &serviceState{service: "keyed", leases: NewLeaseTracker(Timing{}, record, 1, 1, *now, 0)}
	return c, record
}

// The coordinator signals an owner that the reports of all VMs show to be overloaded, and
// no other.
func TestOverloadedOwnerIsSignaled(t *testing.T) {
	members := planMembers(3)
	for i := range members {
		members[i].Capacity = 12
	}
	now := 10 * time.Second
	c, record := keyedCoordinator(members, &now)
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

// Guards against an owner with a rate limit that gets the requests for all its keys: the
// signal keeps the requests of all VMs within the limit, and plans take it for the owner's
// capacity. A limit that ends leaves no trace.
func TestOwnerIsKeptWithinItsRateLimit(t *testing.T) {
	members := planMembers(3)
	now := 10 * time.Second
	c, record := keyedCoordinator(members, &now)
	limited := record.Ranges[1]
	const rate = 4.0
	statement := ratelimit.Statement{Server: limited.Owner.Server, Incarnation: limited.Owner.Incarnation, Rate: rate}
	report := func(s ratelimit.Statement) {
		c.Report(Report{VM: "a", Requests: map[string]map[uint32]float64{"keyed": {limited.From: 10}}, RateLimits: []ratelimit.Statement{s}})
	}
	report(statement)
	demand := c.requestCountsOf("keyed").ownerRates(now, &record, even)[limited.Owner]
	s := c.Overloads()[limited.Owner.Server]
	if sent := s.Admit * demand; !s.RateLimited || sent > rate || sent < rate/2 {
		t.Errorf("got signal %+v, %.1f of %.1f requests per second sent; want at most %v", s, sent, demand, rate)
	}
	if got := c.withReportedCapacity(c.members.Members("keyed"))[1].Capacity; got != rate {
		t.Errorf("got capacity %v, want the rate limit %v", got, rate)
	}
	now += time.Second
	statement.Lifted = true
	report(statement)
	if got := c.Overloads(); len(got) != 0 {
		t.Errorf("got signals %v after the limit was lifted, want none", got)
	}
}

// even is the work of requests that all take the same.
func even(uint32) float64 { return 1 }
