package overload

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"kumquatcleat/internal/balance"
	"kumquatcleat/internal/dialect"
	"kumquatcleat/internal/registry"
)

// Pattern: keys of one server get several times what it can execute, from many VMs of
// which each sees a small part. The server never answers requests beyond its queue.
type hotServer struct {
	rng      *rand.Rand
	now      time.Time
	events   eventQueue
	server   *registry.Server
	vms      []*balance.Balancer
	inFlight []int
	gates    []*Gate
	totals   *Totals
	demand   int // requests since the last signal

	running int
	waiting []func()
	worth   float64 // earned
	late    int
	refused int
	hung    int
}

const (
	hotVMs         = 80
	hotSlots       = 6
	hotQueue       = 24
	hotServiceTime = 500 * time.Millisecond
	hotObjective   = 1200 * time.Millisecond
	hotTimeout     = 2500 * time.Millisecond
	hotRunTime     = 30 * time.Second
	hotLateWorth   = 0.3
	reporting      = 400 * time.Millisecond
)

type simEvent struct {
	at time.Time
	do func()
}

type eventQueue []simEvent

func (q eventQueue) Len() int           { return len(q) }
func (q eventQueue) Less(i, j int) bool { return q[i].at.Before(q[j].at) }
func (q eventQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *eventQueue) Push(x any) { *q = append(*q, x.(simEvent)) }

// Pop implements heap.Interface.
func (q *eventQueue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

func newHotServer(seed uint64, shared bool) *hotServer {
	h := &hotServer{rng: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1000, 0), totals: NewTotals(),
		server: &registry.Server{ID: "hot", Service: "keyed", Slots: hotSlots, Incarnation: 1}}
	for i := range hotVMs {
		b := balance.New(balance.Settings{InitialServiceTime: hotServiceTime, MaxRequestsPerSlot: 4.5})
		h.vms, h.gates, h.inFlight = append(h.vms, b), append(h.gates, NewGate()), append(h.inFlight, 0)
		if shared {
			h.after(time.Duration(h.rng.Int64N(int64(reporting))), func() { h.report(i) })
		}
	}
	return h
}

func (h *hotServer) after(d time.Duration, do func()) {
	heap.Push(&h.events, simEvent{h.now.Add(d), do})
}

func (h *hotServer) report(vm int) {
	now := h.now.Sub(time.Unix(1000, 0))
	h.totals.Add(now, fmt.Sprint(vm), map[string]int{"hot": h.inFlight[vm]})
	signals := map[string]Signal{}
	capacity := hotSlots / hotServiceTime.Seconds()
	if s, overloaded := SignalFor(Server{Slots: hotSlots, Capacity: capacity, Demand: h.demandRate(), Load: h.totals.Loads(now)["hot"], Objective: hotObjective}); overloaded {
		signals["hot"] = s
	}
	h.gates[vm].Update(h.now, signals)
	h.after(reporting, func() { h.report(vm) })
}

// demandRate returns the requests per second since the start.
func (h *hotServer) demandRate() float64 {
	return float64(h.demand) / max(h.now.Sub(time.Unix(1000, 0)).Seconds(), 0.4)
}

// request is one request of a caller; attempt is 0 or 1.
func (h *hotServer) request(first time.Time, attempt int) {
	h.demand++
	vm := h.rng.IntN(hotVMs)
	left := hotTimeout - h.now.Sub(first)
	choice := h.vms[vm].Estimate(h.now, h.server)
	_, admitted := h.gates[vm].Admit(h.now, "keyed", "hot", 1, h.rng.Float64())
	if !admitted || choice.Full || choice.Expected >= left {
		h.refused++
		if attempt == 0 {
			h.after(min(RetryAfter(hotObjective, h.rng.Float64()), left/3), func() { h.request(first, 1) })
		}
		return
	}
	h.vms[vm].Started(h.server)
	h.inFlight[vm]++
	sent := h.now
	done := false
	finish := func(o balance.Outcome) {
		if done {
			return
		}
		done = true
		h.inFlight[vm]--
		o.Took = h.now.Sub(sent)
		h.vms[vm].Finished(h.now, h.server, o)
	}
	h.after(left, func() { finish(balance.Outcome{Failed: true}) })
	h.arrive(func() {
		if done {
			return // the VM has given up
		}
		if h.now.Sub(first) <= hotObjective {
			h.worth++
		} else {
			h.worth += hotLateWorth
			h.late++
		}
		finish(balance.Outcome{Answered: true, HasLoad: true, Load: dialect.Load{Running: h.running, Waiting: len(h.waiting), Slots: hotSlots}})
	})
}

// arrive queues a request at the server. A full server never answers.
func (h *hotServer) arrive(answer func()) {
	run := func() {
		h.running++
		took := time.Duration(hotServiceTime.Seconds() * math.Exp(h.rng.NormFloat64()*0.3-0.045) * float64(time.Second))
		h.after(took, func() {
			h.running--
			answer()
			if len(h.waiting) > 0 {
				next := h.waiting[0]
				h.waiting = h.waiting[1:]
				next()
			}
		})
	}
	switch {
	case h.running < hotSlots:
		run()
	case len(h.waiting) < hotQueue:
		h.waiting = append(h.waiting, run)
	default:
		h.hung++
	}
}

// play sends requests at a multiple of the server's capacity and returns what they earned,
// as a share of what the server could have earned without any wait.
func (h *hotServer) play(factor float64) float64 {
	capacity := hotSlots / hotServiceTime.Seconds()
	end := h.now.Add(hotRunTime)
	var next func()
	next = func() {
		if h.now.Before(end) {
			h.request(h.now, 0)
			h.after(time.Duration(h.rng.ExpFloat64()/(capacity*factor)*float64(time.Second)), next)
		}
	}
	h.after(0, next)
	for len(h.events) > 0 {
		e := heap.Pop(&h.events).(simEvent)
		if e.at.After(end.Add(hotTimeout)) {
			break
		}
		h.now = e.at
		e.do()
	}
	return h.worth / (capacity * hotRunTime.Seconds())
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
				factor, seed, goodput, h.late, h.refused, h.hung, h.demand, aloneGoodput, alone.late, alone.refused, alone.hung, alone.demand)
			if goodput < minGoodput {
				t.Errorf("%.1f times the capacity, seed %d: got goodput %.2f, want at least %.2f", factor, seed, goodput, minGoodput)
			}
			if hung := float64(h.hung) / float64(h.demand); hung > maxHungShare {
				t.Errorf("%.1f times the capacity, seed %d: got share %.3f of requests hung, want at most %.3f", factor, seed, hung, maxHungShare)
			}
		}
	}
}
