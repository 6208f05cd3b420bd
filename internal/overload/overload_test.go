package overload

import (
	"encoding/json"
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

// Whatever the load, the admitted share lies between 0 and 1 and falls with the load and
// with the demand.
func TestAdmittedShareFallsWithLoad(t *testing.T) {
	properties := gopter.NewProperties(nil)
	admitted := func(s Server) float64 {
		signal, overloaded := SignalFor(s)
		if !overloaded {
			return 1
		}
		return signal.Admit
	}
	properties.Property("share", prop.ForAll(
		func(slots int, capacity, demand, load, more float64) bool {
			s := Server{Slots: slots, Capacity: capacity, Demand: demand, Load: load, Objective: time.Second}
			loaded, demanded := s, s
			loaded.Load += more
			demanded.Demand += more
			share := admitted(s)
			return share >= 0 && share <= 1 && admitted(loaded) <= share && admitted(demanded) <= share
		},
		gen.IntRange(1, 20), gen.Float64Range(0.1, 100), gen.Float64Range(0, 500), gen.Float64Range(0, 200), gen.Float64Range(0, 100)))
	properties.TestingRun(t)
}

// Guards against own estimates being set aside for a coordinator that does not know the demand yet,
// or that is lost.
func TestCoordinatorWatchesOnceItsSignalsCameForAWhile(t *testing.T) {
	now, g := time.Unix(1000, 0), NewGate()
	for _, step := range []struct {
		after   time.Duration
		updated bool
		want    bool
	}{{0, true, false}, {time.Second, true, false}, {time.Second, true, true}, {time.Second, false, true}, {time.Second, false, false}, {0, true, false}, {time.Second, true, false}, {time.Second, true, true}} {
		now = now.Add(step.after)
		if step.updated {
			g.Update(now, nil)
		}
		if got := g.Watches(now); got != step.want {
			t.Errorf("%v: got %v, want %v", now.Sub(time.Unix(1000, 0)), got, step.want)
		}
	}
}

func TestOldSignalsAndReportsAreForgotten(t *testing.T) {
	now := time.Unix(1000, 0)
	g := NewGate()
	g.Update(now, map[string]Signal{"s": {Admit: 0}})
	if s, age, ok := g.Signal(now.Add(time.Second), "s"); !ok || s.Admit != 0 || age != time.Second {
		t.Errorf("got signal %v, age %v, %v; want that of 1 s ago", s, age, ok)
	}
	if _, _, ok := g.Signal(now.Add(time.Second), "other"); ok {
		t.Error("got a signal for a server without one")
	}
	if _, _, ok := g.Signal(now.Add(2*time.Second), "s"); ok {
		t.Error("a signal of 2 s ago is in force")
	}
	totals := NewTotals()
	totals.Add(0, "a", map[string]int{"s": 3})
	totals.Add(time.Second, "b", map[string]int{"s": 4})
	if got := totals.Loads(time.Second)["s"]; got != 7 {
		t.Errorf("got load %v, want 7", got)
	}
	if got := totals.Loads(2 * time.Second)["s"]; got != 4 {
		t.Errorf("got load %v after the report of one VM expired, want 4", got)
	}
}

// With few VMs all signals are sent.
func TestAllSignalsAreSentToFewVMs(t *testing.T) {
	signals := map[string]Signal{}
	for i := range 200 {
		signals[fmt.Sprint(i)] = Signal{}
	}
	if got := len(Strongest(signals, nil, 60)); got != 200 {
		t.Errorf("got %d signals for 60 VMs, want all 200", got)
	}
}

// Signals are small, because each goes to hundreds of VMs several times a second.
func TestSignalsAreSmall(t *testing.T) {
	signals, demands := map[string]Signal{}, map[string]float64{}
	for i := range 200 {
		server := fmt.Sprintf("i-%010d", i)
		signals[server] = Signal{Load: 10 + float64(i)/7, Admit: float64(i%100) / 103, WaitS: float64(i) / 301}
		demands[server] = float64(i)
	}
	strongest := Strongest(signals, demands, 300)
	data, err := json.Marshal(strongest)
	if err != nil || len(data) > 1200 {
		t.Fatalf("got %d bytes, error %v; want at most 1,200 for 200 overloaded servers", len(data), err)
	}
	var got map[string]Signal
	if err := json.Unmarshal(data, &got); err != nil {
		t.Fatal(err)
	}
	for server, want := range strongest {
		s := got[server]
		if math.Abs(s.Load-want.Load) > 0.5 || math.Abs(s.Admit-want.Admit) > 0.005 || math.Abs(s.WaitS-want.WaitS) > 0.0005 {
			t.Errorf("server %s: got %+v, want %+v", server, s, want)
		}
	}
	weakest := math.Inf(1)
	for server, s := range strongest {
		weakest = min(weakest, (1-s.Admit)*demands[server])
	}
	for server, s := range signals {
		if _, kept := strongest[server]; !kept && (1-s.Admit)*demands[server] > weakest {
			t.Errorf("server %s: left out, although it turns away more requests than others", server)
		}
	}
}

// Whatever the load and the demand, a server with a rate limit gets no more than that, and
// the signal that VMs decode says so to within a millionth of the demand.
func TestRateLimitBoundsAdmittedRequests(t *testing.T) {
	properties := gopter.NewProperties(nil)
	properties.Property("rate", prop.ForAll(
		func(rate, demand, load float64) bool {
			sent, ok := SignalFor(Server{Slots: 6, Capacity: 50, Demand: demand, Load: load, Objective: time.Second, RateLimit: rate, HasRateLimit: true})
			data, err := json.Marshal(sent)
			var s Signal
			return ok && err == nil && json.Unmarshal(data, &s) == nil && s.RateLimited && s.Admit >= 0 && s.Admit <= 1 && s.Admit*demand <= rate+1e-6*demand
		},
		gen.Float64Range(0.1, 100), gen.Float64Range(0, 5000), gen.Float64Range(0, 200)))
	properties.TestingRun(t)
}
