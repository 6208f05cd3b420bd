package admission

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

var start = time.Unix(1000, 0)

// Guards against hints that a caller does not honor or that leave it no time for an answer, and
// against final refusals of requests that could still be answered.
func TestRefusalsLeaveTimeForReturnOrAreFinal(t *testing.T) {
	properties := gopter.NewProperties(nil)
	properties.Property("hint", prop.ForAll(
		func(left, service, wait int, limited bool, random, spread float64) bool {
			r := Request{Objective: 400 * time.Millisecond, Left: time.Duration(left) * time.Millisecond, CallerLeft: time.Duration(left) * time.Millisecond}
			s := State{Slots: 4, Load: 20, Full: true, ServiceTime: time.Duration(service) * time.Millisecond, Expected: 6 * time.Duration(service) * time.Millisecond}
			if limited {
				s = s.Limit(30, 0, time.Duration(wait)*time.Millisecond, 0)
			}
			d := Decide(start, r, s, &Mix{}, random, spread)
			fastest := s.ServiceTime / 2
			if d.Outcome == Final {
				return r.CallerLeft <= MinRetryAfter+fastest
			}
			return d.Outcome == Return && d.RetryAfter >= MinRetryAfter && d.RetryAfter < r.CallerLeft-fastest &&
				(d.RetryAfter <= r.CallerLeft/3 || d.RetryAfter == MinRetryAfter)
		},
		gen.IntRange(1, 5000), gen.IntRange(1, 2000), gen.IntRange(0, 5000), gen.Bool(), gen.Float64Range(0, 1), gen.Float64Range(0, 1)))
	properties.TestingRun(t)
	unstated := Request{Left: 10 * time.Millisecond}
	if d := Decide(start, unstated, State{Full: true, ServiceTime: time.Second}, &Mix{}, 0, 0); d.Outcome != Return {
		t.Errorf("a caller that does not state its time left: got outcome %v, want %v", d.Outcome, Return)
	}
}

// Guards against own estimates deciding where the coordinator knows better, refusing requests that
// the server has room for, or letting less urgent requests delay others.
func TestOwnEstimateDecidesByObjectiveAndRank(t *testing.T) {
	const ms = time.Millisecond
	busy := State{Slots: 4, Load: 8, ServiceTime: 100 * ms, Expected: 280 * ms}
	idle, watched := busy, busy
	idle.Load, watched.Watched = 4, true
	request := func(rank int, objective, age time.Duration) Request {
		return Request{Rank: rank, Objective: objective, Age: age, Left: time.Second}
	}
	for name, c := range map[string]struct {
		r      Request
		s      State
		random float64
		want   Outcome
	}{
		"in time":                       {request(0, 400*ms, 0), busy, 0.9, Admit},
		"no objective":                  {request(0, 0, 0), busy, 0.9, Admit},
		"too late for the objective":    {request(0, 300*ms, 0), busy, 0, Return},
		"a return too late":             {request(0, 400*ms, 150*ms), busy, 0, Return},
		"too late, the server has room": {request(0, 100*ms, 150*ms), idle, 0.9, Admit},
		"too late, watched":             {request(0, 100*ms, 150*ms), watched, 0.9, Admit},
		"delays the urgent":             {request(1, 2000*ms, 0), busy, 0.3, Return},
		"delays the urgent, floor":      {request(1, 2000*ms, 0), busy, 0.2, Admit},
		"delays the urgent, watched":    {request(1, 2000*ms, 0), watched, 0.3, Admit},
	} {
		m := &Mix{}
		Decide(start, request(0, 400*ms, 0), busy, m, 0, 0) // a more urgent request was seen lately
		if got := Decide(start, c.r, c.s, m, c.random, 0); got.Outcome != c.want {
			t.Errorf("%s: got outcome %v (%s), want %v", name, got.Outcome, got.Reason, c.want)
		}
	}
}

// Guards against shares that admit more or less than the coordinator allows, or less than the floor, at
// any mix of ranks and late requests.
func TestSharesKeepToAdmittedShare(t *testing.T) {
	properties := gopter.NewProperties(nil)
	properties.Property("share", prop.ForAll(
		func(counts []int, admit float64) bool {
			m := &Mix{at: start}
			total, admitted, admittedLast, last := 0.0, 0.0, 0.0, 0
			for rank, n := range counts {
				if n > 0 {
					m.ranks = append(m.ranks, rankCount{rank: rank, all: float64(n), limited: float64(n), late: float64(n / (rank + 2))})
					total, last = total+float64(n), rank
				}
			}
			for _, c := range m.ranks {
				for _, late := range []bool{false, true} {
					if n := c.number(late); n > 0 {
						admitted += n * shareOf(m.ranks, c, late, admit)
						if c.rank == last {
							admittedLast += n * shareOf(m.ranks, c, late, admit)
						}
					}
				}
			}
			return math.Abs(admitted-admit*total) < 1e-6 && (total == 0 || admittedLast >= leastNeeded*admit*float64(counts[last])-1e-6)
		},
		gen.SliceOfN(3, gen.IntRange(0, 100)), gen.Float64Range(0, 1)))
	properties.TestingRun(t)
}

// Guards against urgent requests being refused while others are admitted, and against a limit that
// is not kept to.
func TestUrgentRequestsAreAdmittedFirst(t *testing.T) {
	m, admitted := &Mix{}, map[int]float64{}
	const requests = 10_000
	for i := range requests {
		rank := 2
		if i%10 < 3 {
			rank = 1
		}
		r := Request{Rank: rank, Left: time.Second}
		if Decide(start, r, State{Slots: 4}.Limit(1, 0.5, 0, 0), m, float64(i*7919%requests)/requests, 0).Outcome == Admit {
			admitted[rank]++
		}
	}
	if share := admitted[1] / (0.3 * requests); share < 0.98 {
		t.Errorf("got share %.2f of urgent requests admitted, want all", share)
	}
	if share := (admitted[1] + admitted[2]) / requests; math.Abs(share-0.5) > 0.02 {
		t.Errorf("got share %.2f of all requests admitted, want 0.5", share)
	}
}

// Guards against late requests at other servers letting more requests pass to a server with a rate
// limit than that allows.
func TestRateLimitHoldsBesideLateRequestsElsewhere(t *testing.T) {
	m, admitted := &Mix{}, 0
	const requests, share = 10_000, 0.2
	r := Request{Objective: time.Second, Left: 4 * time.Second}
	for i := range requests {
		late := r
		late.Age = 2 * time.Second
		Decide(start, late, State{Slots: 4}.Limit(1, 0.5, 0, 0), m, 0.5, 0)
		s := State{Slots: 4}.Limit(1, share, 0, 0)
		s.RateLimited = true
		if Decide(start, r, s, m, float64(i*7919%requests)/requests, 0).Outcome == Admit {
			admitted++
		}
	}
	if got := float64(admitted) / requests; math.Abs(got-share) > 0.01 {
		t.Errorf("got share %.3f admitted, want %.2f", got, share)
	}
}

// Guards against ages that are taken from odd statements of callers, from callers with a deadline of
// their own, or from first attempts that differ.
func TestAgeIsInferredFromTimeLeft(t *testing.T) {
	const ms = time.Millisecond
	random := rand.New(rand.NewPCG(1, 1))
	varied := func() time.Duration { return time.Duration(200+random.IntN(700)) * ms }
	for name, c := range map[string]struct {
		others               func(i int) time.Duration // stated by other callers
		stated, timeout, age time.Duration
	}{
		"return":                   {func(i int) time.Duration { return []time.Duration{1000 * ms, varied()}[i%2] }, 800 * ms, 0, 200 * ms},
		"first attempt":            {func(i int) time.Duration { return []time.Duration{1000 * ms, varied()}[i%2] }, 1000 * ms, 0, 0},
		"delayed on its way":       {func(int) time.Duration { return 1000 * ms }, 990 * ms, 0, 0},
		"odd deadline":             {func(i int) time.Duration { return []time.Duration{1000 * ms, time.Hour + time.Duration(i)}[i/63%2] }, 800 * ms, 0, 200 * ms},
		"longer than others":       {func(int) time.Duration { return 1000 * ms }, time.Hour, 0, 0},
		"negative":                 {func(int) time.Duration { return 1000 * ms }, -ms, 0, 0},
		"two deadlines, the lower": {func(i int) time.Duration { return []time.Duration{1000 * ms, 4000 * ms}[i%2] }, 1000 * ms, 0, 0},
		"two deadlines, return":    {func(i int) time.Duration { return []time.Duration{1000 * ms, 4000 * ms}[i%2] }, 900 * ms, 0, 100 * ms},
		"random deadlines":         {func(int) time.Duration { return varied() }, 300 * ms, 0, 0},
		"timeout of the route":     {func(int) time.Duration { return time.Hour }, 500 * ms, 400 * ms, 400 * ms},
		"nothing known":            {func(int) time.Duration { return 0 }, 500 * ms, 400 * ms, 0},
	} {
		ages := NewAges()
		for i := range 200 {
			ages.Infer(start, "r", c.others(i), c.timeout)
		}
		if got := ages.Infer(start, "r", c.stated, c.timeout); got != c.age {
			t.Errorf("%s: got age %v, want %v", name, got, c.age)
		}
		if got := ages.Infer(start.Add(deadlinesLife+time.Second), "r", c.stated, c.timeout); got != 0 {
			t.Errorf("%s: got age %v a minute later, want 0", name, got)
		}
	}
}

// Pattern: a failure domain was cut off, and its keys are slow at their new owners. Guards against
// requests for them that take the slots in which several other requests could be answered in time,
// against refusals where there is room, and against callers that return while the key is still slow.
func TestRequestsForSlowKeysGoLastWhereRoomIsShort(t *testing.T) {
	const ms = time.Millisecond
	r := Request{Objective: 600 * ms, Left: 4 * time.Second, CallerLeft: 4 * time.Second}
	server := State{Slots: 3, Load: 2, ServiceTime: 120 * ms, Expected: 120 * ms, Watched: true}
	slow := server
	slow.SlowFor = 3 * time.Second
	if d := Decide(start, r, slow, &Mix{}, 0.99, 0); d.Outcome != Admit {
		t.Errorf("server with room: got outcome %v", d.Outcome)
	}
	admitted, asked := map[bool]int{}, map[bool]int{}
	m := &Mix{}
	for i := range 4000 {
		s, isSlow := server, i%3 == 0 // a third of the keys moved
		if isSlow {
			s = slow
		}
		d := Decide(start.Add(time.Duration(i)*ms), r, s.Limit(6, 0.6, 0, 0), m, float64(i*7919%1000)/1000, 0.5)
		if i < 1000 {
			continue // the mix is not known yet
		}
		asked[isSlow]++
		switch {
		case d.Outcome == Admit:
			admitted[isSlow]++
		case isSlow && d.RetryAfter < r.CallerLeft/3:
			t.Fatalf("got a hint of %v while the key is slow for 3s, want a third of the 4s left", d.RetryAfter)
		}
	}
	if share := float64(admitted[false]) / float64(asked[false]); share < 0.8 {
		t.Errorf("share admitted 0.6: got share %.2f of the requests for other keys, want at least 0.8 of the 0.9 possible", share)
	}
	if share := float64(admitted[true]) / float64(asked[true]); share > 0.2 {
		t.Errorf("share admitted 0.6: got share %.2f of the requests for slow keys, want at most 0.2", share)
	}
}

// Pattern: keys of a lost server get an owner, and all VMs send what has waited for it. Guards against
// a queue that is filled with slow requests before any load report shows it.
func TestRequestsForJustMovedKeysComeInParts(t *testing.T) {
	const ms, n = time.Millisecond, 1000
	r := Request{Objective: 600 * ms, Left: 4 * time.Second, CallerLeft: 4 * time.Second}
	s := State{Slots: 3, ServiceTime: 120 * ms, Expected: 120 * ms, Watched: true, SlowFor: 5 * time.Second, JustMoved: true}
	admitted := 0
	for i := range n {
		d := Decide(start, r, s, &Mix{}, float64(i)/n, float64(i%10)/10)
		if d.Outcome == Admit {
			admitted++
		} else if d.RetryAfter < 400*ms || d.RetryAfter > r.CallerLeft/3 {
			t.Fatalf("got a hint of %v, want one after two reports, within a third of the time left", d.RetryAfter)
		}
	}
	if admitted != n/5 {
		t.Errorf("got %d of %d requests admitted, want a fifth", admitted, n)
	}
	limited := s.Limit(3, 0.05, 0, 0)
	limited.RateLimited = true
	if d := Decide(start, r, limited, &Mix{}, 0.1, 0); d.Outcome == Admit {
		t.Error("a server with a rate limit that leaves 0.05 of the requests gets a fifth of those for keys that just moved")
	}
}
