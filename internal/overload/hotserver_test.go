package overload

import (
	"fmt"
	"testing"
	"time"

	"kumquatcleat/internal/admission"
	"kumquatcleat/internal/balance"
	"kumquatcleat/internal/dialect"
	"kumquatcleat/internal/loadmodel"
	"kumquatcleat/internal/registry"
)

// Pattern: keys of one server get several times what it can execute, from many VMs of
// which each sees a small part. The server never answers requests beyond its queue.
type hotServer struct {
	*loadmodel.Sim
	server   *loadmodel.Server
	entry    *registry.Server // the server as VMs know it
	vms      []*balance.Balancer
	inFlight []int
	gates    []*Gate
	mixes    []*admission.Mix
	totals   *Totals
	demand   int // requests of callers, repeats included

	worth   float64 // earned
	late    int
	refused int
}

const (
	hotVMs         = 80
	hotSlots       = 6
	hotQueue       = 24
	hotServiceTime = 500 * time.Millisecond
	hotSpread      = 0.3
	hotObjective   = 1200 * time.Millisecond
	hotTimeout     = 2500 * time.Millisecond
	hotRunTime     = 30 * time.Second
	hotLateWorth   = 0.3
	reporting      = 400 * time.Millisecond
)

// hotCapacity is the number of requests per second that the server can run.
var hotCapacity = hotSlots / hotServiceTime.Seconds()

func newHotServer(seed uint64, shared bool) *hotServer {
	sim := loadmodel.NewSim(seed)
	h := &hotServer{Sim: sim, server: &loadmodel.Server{Sim: sim, Slots: hotSlots, Queue: hotQueue}, totals: NewTotals(),
		entry: &registry.Server{ID: "hot", Service: "keyed", Slots: hotSlots, Incarnation: 1}}
	for i := range hotVMs {
		b := balance.New(balance.Settings{InitialServiceTime: hotServiceTime, MaxRequestsPerSlot: 4.5})
		h.vms, h.gates, h.mixes, h.inFlight = append(h.vms, b), append(h.gates, NewGate()), append(h.mixes, &admission.Mix{}), append(h.inFlight, 0)
		if shared {
			h.After(time.Duration(h.Rand.Int64N(int64(reporting))), func() { h.report(i) })
		}
	}
	return h
}

func (h *hotServer) report(vm int) {
	now := h.Now.Sub(loadmodel.Start)
	h.totals.Add(now, fmt.Sprint(vm), map[string]int{"hot": h.inFlight[vm]})
	signals := map[string]Signal{}
	if s, overloaded := SignalFor(Server{Slots: hotSlots, Capacity: hotCapacity, Demand: h.demandRate(), Load: h.totals.Loads(now)["hot"], Objective: hotObjective}); overloaded {
		signals["hot"] = s
	}
	h.gates[vm].Update(h.Now, signals)
	h.After(reporting, func() { h.report(vm) })
}

// demandRate returns the requests per second since the start.
func (h *hotServer) demandRate() float64 {
	return float64(h.demand) / max(h.Now.Sub(loadmodel.Start).Seconds(), reporting.Seconds())
}

// request is one request of a caller; attempt is 0 or 1.
func (h *hotServer) request(first time.Time, attempt int) {
	h.demand++
	vm := h.Rand.IntN(hotVMs)
	left := hotTimeout - h.Now.Sub(first)
	choice := h.vms[vm].Estimate(h.Now, h.entry)
	r := admission.Request{Rank: 1, Objective: hotObjective, Age: h.Now.Sub(first), Left: left, CallerLeft: left}
	s := admission.State{Load: choice.Load, Slots: hotSlots, ServiceTime: hotServiceTime, Expected: choice.Expected, Full: choice.Full, Watched: h.gates[vm].Watches(h.Now)}
	if signal, age, ok := h.gates[vm].Signal(h.Now, "hot"); ok {
		s = s.Limit(signal.Load, signal.Admit, time.Duration(signal.WaitS*float64(time.Second)), age)
	}
	if d := admission.Decide(h.Now, r, s, h.mixes[vm], h.Rand.Float64(), h.Rand.Float64()); d.Outcome != admission.Admit {
		h.refused++
		if attempt == 0 && d.Outcome == admission.Return {
			h.After(min(d.RetryAfter, left/3), func() { h.request(first, 1) })
		}
		return
	}
	h.vms[vm].Started(h.entry)
	h.inFlight[vm]++
	sent, done := h.Now, false
	finish := func(o balance.Outcome) {
		done = true
		h.inFlight[vm]--
		o.Took = h.Now.Sub(sent)
		h.vms[vm].Finished(h.Now, h.entry, o)
	}
	h.After(left, func() {
		if !done {
			finish(balance.Outcome{Failed: true})
		}
	})
	h.server.Arrive(h.LogNormal(hotServiceTime, hotSpread), func() {
		if done {
			return // the VM has given up
		}
		if h.Now.Sub(first) <= hotObjective {
			h.worth++
		} else {
			h.worth += hotLateWorth
			h.late++
		}
		finish(balance.Outcome{Answered: true, HasLoad: true, Load: dialect.Load{Running: h.server.Running, Waiting: h.server.Waiting(), Slots: hotSlots}})
	})
}

// play sends requests at a multiple of the server's capacity and returns what they earned,
// as a share of what the server could have earned without any wait.
func (h *hotServer) play(factor float64) float64 {
	end := h.Now.Add(hotRunTime)
	h.Poisson(hotCapacity*factor, end, func() { h.request(h.Now, 0) })
	h.Run(end.Add(hotTimeout))
	return h.worth / (hotCapacity * hotRunTime.Seconds())
}

// One server that is asked for a multiple of its capacity earns most of what it can, and few
// requests hang at it.
func TestHotServerKeepsItsGoodput(t *testing.T) {
	const (
		minGoodput   = 0.8 // of the worth of all answers of the server in time
		maxHungShare = 0.02
	)
	for _, factor := range []float64{1.2, 2, 3} {
		for seed := range uint64(3) {
			alone := newHotServer(seed, false)
			aloneGoodput := alone.play(factor)
			h := newHotServer(seed, true)
			goodput := h.play(factor)
			t.Logf("%.1f times the capacity, seed %d: goodput %.2f, late %d, refused %d, hung %d of %d; without reports: goodput %.2f, late %d, refused %d, hung %d of %d",
				factor, seed, goodput, h.late, h.refused, h.server.Hung, h.demand, aloneGoodput, alone.late, alone.refused, alone.server.Hung, alone.demand)
			if goodput < minGoodput {
				t.Errorf("%.1f times the capacity, seed %d: got goodput %.2f, want at least %.2f", factor, seed, goodput, minGoodput)
			}
			if hung := float64(h.server.Hung) / float64(h.demand); hung > maxHungShare {
				t.Errorf("%.1f times the capacity, seed %d: got share %.3f of requests hung, want at most %.3f", factor, seed, hung, maxHungShare)
			}
		}
	}
}
