package keyspace

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// Guards against rates that depend on how often they are looked at: requests that were counted since
// the last decay must not decay as if they had come right after it.
func TestRatesDoNotDependOnWhenTheyAreRead(t *testing.T) {
	const rate, keys = 1000.0, 100
	for _, every := range []time.Duration{50 * time.Millisecond, 200 * time.Millisecond, 400 * time.Millisecond, time.Second} {
		w := NewRequestCounts(0)
		const step = 10 * time.Millisecond
		for now := step; now <= 20*time.Second; now += step {
			w.Add(now, uint32(now/step)%keys, rate*step.Seconds())
			if now%every != 0 {
				continue
			}
			fast, slow := w.profiles(now, keys)
			for name, p := range map[string]profile{"fast": fast, "slow": slow} {
				if got := p.sums[keys]; now > time.Second && math.Abs(got-rate) > 0.05*rate {
					t.Fatalf("read each %v: got %s rate %.0f/s after %v, want about %.0f/s", every, name, got, now, rate)
				}
			}
		}
	}
}

// unevenService is a service of servers of uneven speed under a wave of demand, without a network.
type unevenService struct {
	rng     *rand.Rand
	members []Member
	share   []float64 // of the requests, up to each key
	counts  *RequestCounts
	ranges  []Range
}

const (
	unevenServers = 161
	unevenKeys    = 65536
	unevenRate    = 1819.0 // requests per second in the mean
)

// newUnevenService divides the keys evenly: speeds are not known before there are requests.
func newUnevenService(seed uint64) *unevenService {
	s := &unevenService{rng: rand.New(rand.NewPCG(seed, 1)), counts: NewRequestCounts(0), share: make([]float64, unevenKeys+1)}
	for i := range unevenServers {
		speed := []float64{0.7, 0.7, 1.7}[i%3]
		s.members = append(s.members, Member{Holder: Holder{Server: fmt.Sprint("s", i), Incarnation: 1}, Slots: 3, Capacity: 3 / 0.113 * speed})
	}
	for key := range unevenKeys { // Zipf, busy keys beside each other
		s.share[key+1] = s.share[key] + math.Pow(float64((key+unevenKeys/2)%unevenKeys+1), -0.39)
	}
	for key := range s.share {
		s.share[key] /= s.share[unevenKeys]
	}
	profile, _ := s.counts.profiles(0, unevenKeys)
	even := make([]Member, 0, len(s.members))
	for _, m := range s.members {
		m.Capacity = 1
		even = append(even, m)
	}
	s.ranges = newPlanner(testPlan, profile, even).initialRanges()
	return s
}

func (s *unevenService) rate(now time.Duration) float64 {
	return unevenRate * (1 + 0.55*math.Sin(2*math.Pi*now.Seconds()/17))
}

// report counts the requests of some time up to now.
func (s *unevenService) report(now, since time.Duration) {
	for range int(s.rate(now) * since.Seconds()) {
		x, low, high := s.rng.Float64(), 0, unevenKeys
		for high-low > 1 {
			if middle := (low + high) / 2; s.share[middle] <= x {
				low = middle
			} else {
				high = middle
			}
		}
		s.counts.Add(now, uint32(low), 1)
	}
}

// overloadedShare returns the share of the requests that go to servers above a utilization.
func (s *unevenService) overloadedShare(now time.Duration, utilization float64) float64 {
	load, share := map[string]float64{}, 0.0
	for _, r := range s.ranges {
		load[r.Owner.Server] += s.share[r.To+1] - s.share[r.From]
	}
	for _, m := range s.members {
		if load[m.Server]*s.rate(now) > utilization*m.Capacity {
			share += load[m.Server]
		}
	}
	return share
}

// Guards against slow servers that stay overloaded for seconds while fast ones are idle: a few
// overloaded keys kept the coordinator from moving the rest. Above 0.8 of its capacity the queue of
// a server with 3 slots is longer than a service time.
func TestSlowServersAreRelievedWithinSeconds(t *testing.T) {
	const (
		patience     = 4 * time.Second
		maxShare     = 0.1
		moveTime     = 800 * time.Millisecond
		planInterval = 400 * time.Millisecond
	)
	settings := testPlan
	settings.MaxMoves = 48
	for seed := range uint64(3) {
		s := newUnevenService(seed)
		movedAt := -moveTime
		for now := planInterval; now <= patience; now += planInterval {
			s.report(now, planInterval)
			if now-movedAt < moveTime {
				continue
			}
			fastProfile, slowProfile := s.counts.profiles(now, unevenKeys)
			next, reason := rebalance(newPlanner(settings, fastProfile, s.members), newPlanner(settings, slowProfile, s.members), settings.Overloaded, s.ranges, true)
			if reason != "" {
				s.ranges, _ = mergeAdjacent(acknowledged(next), func(*Range) bool { return true })
				movedAt = now
			}
		}
		share := s.overloadedShare(patience, 0.8)
		t.Logf("seed %d: share %.3f of the requests at overloaded servers, %d ranges", seed, share, len(s.ranges))
		if share > maxShare {
			t.Errorf("seed %d: after %v share %.3f of the requests goes to servers above 0.8 of their capacity, want at most %.2f", seed, patience, share, maxShare)
		}
	}
}

// Guards against a cold server whose keys become busy: it bears few requests, and no other server may
// run them. If most servers are cold, keys still get owners.
func TestColdServersGetNoKeysWhileWarmOnesSuffice(t *testing.T) {
	members := planMembers(6)
	members[1].WarmupRate, members[4].WarmupRate = 4.2, 4.2
	if got := withoutCold(members); len(got) != 4 {
		t.Errorf("two of six servers are cold: got %d that may get keys, want 4", len(got))
	}
	for i := range members[:5] {
		members[i].WarmupRate = 4.2
	}
	if got := withoutCold(members); len(got) != 6 {
		t.Errorf("five of six servers are cold: got %d that may get keys, want all", len(got))
	}
}
