package balance

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"kumquatcleat/internal/dialect"
	"kumquatcleat/internal/registry"
)

var start = time.Unix(1000, 0)

const testObjective = 300 * time.Millisecond

func none(*registry.Server) bool { return false }

func newTest() *Balancer {
	return New(Settings{FailureDomain: "a", CrossDomainCost: 0.05, InitialServiceTime: 100 * time.Millisecond, MaxRequestsPerSlot: 4})
}

func servers(domains ...string) []*registry.Server {
	var list []*registry.Server
	for i, d := range domains {
		list = append(list, &registry.Server{ID: fmt.Sprint("s", i), Service: "svc", FailureDomain: d, Slots: 6, Incarnation: 1})
	}
	return list
}

// observe records one answer of a server.
func observe(b *Balancer, now time.Time, s *registry.Server, took time.Duration, waiting int) {
	b.Started(s)
	b.Finished(now, s, Outcome{Took: took, Answered: true, HasLoad: true, Load: dialect.Load{Running: 1 + waiting, Waiting: waiting, Slots: 6}})
}

func shares(b *Balancer, now time.Time, list []*registry.Server, rounds int) map[string]float64 {
	counts := map[string]float64{}
	for range rounds {
		if c, ok := b.Choose(now, list, testObjective, none); ok {
			counts[c.Server.ID] += 1 / float64(rounds)
		}
	}
	return counts
}

func TestNearServersArePreferredUntilCrowded(t *testing.T) {
	b, list := newTest(), servers("a", "a", "b", "b")
	for _, s := range list {
		observe(b, start, s, 100*time.Millisecond, 0)
	}
	got := shares(b, start, list, 200)
	if got["s2"]+got["s3"] > 0 {
		t.Fatalf("got shares %v; want none for the far servers", got)
	}
	for range 30 { // crowds the near servers
		observe(b, start, list[0], 100*time.Millisecond, 15)
		observe(b, start, list[1], 100*time.Millisecond, 15)
	}
	if got := shares(b, start, list, 200); got["s2"]+got["s3"] < 0.9 {
		t.Fatalf("near servers crowded: got shares %v; want at least 0.9 for the far servers", got)
	}
}

// A server that fails some of its requests is detected from the outcomes and tried again
// after some time.
func TestFailingServerIsAvoidedTemporarily(t *testing.T) {
	b, list := newTest(), servers("a", "a", "a")
	for _, s := range list {
		observe(b, start, s, 100*time.Millisecond, 0)
	}
	for i := range 6 {
		b.Started(list[0])
		b.Finished(start, list[0], Outcome{Failed: i%2 == 0, Answered: i%2 == 1, Took: 100 * time.Millisecond})
	}
	if got := shares(b, start, list, 300); got["s0"] > 0.05 {
		t.Fatalf("failing server: got share %.2f, want at most 0.05", got["s0"])
	}
	if got := shares(b, start.Add(12*time.Second), list, 300); got["s0"] < 0.15 {
		t.Fatalf("failing server 12 s later: got share %.2f, want at least 0.15", got["s0"])
	}
}

func TestUnreachableServerIsAvoided(t *testing.T) {
	b, list := newTest(), servers("a", "a")
	b.Started(list[0])
	b.Finished(start, list[0], Outcome{ConnectFailed: true})
	if got := shares(b, start, list, 50); got["s0"] > 0 {
		t.Fatalf("got shares %v; want none for the unreachable server", got)
	}
}

func TestServerAtMaxQueueIsFull(t *testing.T) {
	b, list := newTest(), servers("a")
	for range 24 {
		b.Started(list[0])
	}
	if c := b.Estimate(start, list[0]); !c.Full {
		t.Fatalf("24 requests at 6 slots: got %+v, want full", c)
	}
}

// On servers of three speeds under the same queue model, choosing by expected latency has
// a lower mean latency than a random choice, and every server gets requests.
func TestFasterServersGetMoreRequests(t *testing.T) {
	speeds := []float64{0.5, 1, 1, 1.5}
	run := func(choose func(*Balancer, time.Time, []*registry.Server) *registry.Server) (mean time.Duration, counts map[string]int) {
		rng := rand.New(rand.NewPCG(1, 1))
		b, list := newTest(), servers("a", "a", "a", "a")
		free := make([][]time.Time, len(list)) // when each slot becomes free
		for i := range free {
			free[i] = make([]time.Time, 6)
		}
		type completion struct {
			at   time.Time
			s    *registry.Server
			took time.Duration
			wait int
		}
		var completions []completion
		counts = map[string]int{}
		var total time.Duration
		now := start
		const requests = 4000
		for range requests {
			now = now.Add(time.Duration(rng.ExpFloat64() * float64(6*time.Millisecond)))
			pending := completions[:0]
			for _, e := range completions {
				if e.at.After(now) {
					pending = append(pending, e)
					continue
				}
				b.Finished(e.at, e.s, Outcome{Took: e.took, Answered: true, HasLoad: true, Load: dialect.Load{Running: 6, Waiting: e.wait, Slots: 6}})
			}
			completions = pending
			s := choose(b, now, list)
			i := int(s.ID[1] - '0')
			slot, busy := 0, 0
			for k := range free[i] {
				if free[i][k].Before(free[i][slot]) {
					slot = k
				}
				if free[i][k].After(now) {
					busy++
				}
			}
			startAt := now
			if free[i][slot].After(now) {
				startAt = free[i][slot]
			}
			end := startAt.Add(time.Duration(float64(100*time.Millisecond) / speeds[i]))
			free[i][slot] = end
			b.Started(s)
			completions = append(completions, completion{end, s, end.Sub(now), max(0, busy-6)})
			counts[s.ID]++
			total += end.Sub(now)
		}
		return total / requests, counts
	}
	chosen, counts := run(func(b *Balancer, now time.Time, list []*registry.Server) *registry.Server {
		c, _ := b.Choose(now, list, testObjective, none)
		return c.Server
	})
	random, _ := run(func(_ *Balancer, _ time.Time, list []*registry.Server) *registry.Server {
		return list[rand.IntN(len(list))]
	})
	if chosen >= random {
		t.Fatalf("got mean latency %v, want less than %v of a random choice", chosen, random)
	}
	if counts["s3"] <= counts["s0"] || counts["s0"] == 0 {
		t.Fatalf("got requests per server %v; want s3 above s0 and s0 above 0", counts)
	}
}

// Neither one long request nor an old report of a full queue keeps a VM from using a server
// that it seldom uses.
func TestOldObservationsDecay(t *testing.T) {
	b, list := newTest(), servers("a", "a")
	for range 20 {
		observe(b, start, list[1], 100*time.Millisecond, 0)
	}
	observe(b, start, list[0], 3*time.Second, 20)
	now := start.Add(5 * time.Second)
	if c := b.Estimate(now, list[0]); c.Full || c.Expected > 1500*time.Millisecond { // half of the long request
		t.Fatalf("5 s after one long request: got %+v, want not full and at most 1.5 s expected", c)
	}
}
