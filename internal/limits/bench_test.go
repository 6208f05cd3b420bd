package limits

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"kumquatcleat/internal/config"
	"kumquatcleat/internal/fault"
	"kumquatcleat/internal/retry"
)

// scenario configures one simulation. The zero values of the optional fields, from
// policy on, disable their effect.
type scenario struct {
	settings      Settings
	vms           int
	servers       int
	slots         int
	backlog       int           // length of a server's own queue
	load          float64       // arrival rate as a multiple of capacity
	service       time.Duration // mean service time, exponentially distributed
	hop           time.Duration // one-way latency between VM and server
	timeout       time.Duration
	length        time.Duration
	policy        func(sim *simulation) retry.Policy
	keyless       bool          // choose the less loaded of two servers
	singleSender  bool          // one VM sends to each server, the others forward to that VM
	deferredShare float64       // share of the arrivals in the deferred class
	reportFrom    time.Duration // earlier arrivals are not reported
	reportTo      time.Duration // later arrivals are not reported; zero: no end
	injectFault   func(sim *simulation)
}

// report counts the outcomes of the requests of one class.
type report struct {
	offered, good, refused, shed, failed, attempts int
	latency                                        *hdrhistogram.Histogram // of good requests, in microseconds
}

func (r *report) p99() time.Duration {
	return time.Duration(r.latency.ValueAtQuantile(99)) * time.Microsecond
}

// share returns a count as a fraction of the offered requests.
func (r *report) share(count int) float64 { return float64(count) / float64(max(r.offered, 1)) }

// simulation is a discrete-event simulation of real gates and retry policies against
// fake servers in virtual time. The same seed gives the same figures on every
// machine.
type simulation struct {
	scenario
	now      time.Duration
	events   eventQueue
	seq      uint64
	random   *rand.Rand
	fakes    []*fakeServer
	gates    [][]*serverGate // by VM, then by server
	policies []retry.Policy
	reports  map[config.Class]*report
	windows  []window
}

// windowLength is the resolution at which the recovery time is measured.
const windowLength = 100 * time.Millisecond

// window counts the interactive requests that arrived within one windowLength, and how
// many of them were answered within targetP99.
type window struct{ offered, met int }

func (sim *simulation) window(arrived time.Duration) *window {
	return &sim.windows[arrived/windowLength]
}

// recoveryTime returns the time from since to the start of the first window in which 99 of
// 100 requests were answered within targetP99.
func (sim *simulation) recoveryTime(since time.Duration) time.Duration {
	for i, w := range sim.windows {
		start := time.Duration(i) * windowLength
		if start >= since && float64(w.met) >= 0.99*float64(w.offered) {
			return start - since
		}
	}
	return sim.length - since
}

type event struct {
	at  time.Duration
	seq uint64
	run func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	last := len(*q) - 1
	e := (*q)[last]
	*q = (*q)[:last]
	return e
}

func (sim *simulation) schedule(wait time.Duration, run func()) {
	sim.seq++
	heap.Push(&sim.events, event{at: sim.now + wait, seq: sim.seq, run: run})
}

func (sim *simulation) clock() time.Time { return epoch.Add(sim.now) }

// simulate runs a scenario until its last request is answered.
func simulate(s scenario, seed uint64) *simulation {
	sim := &simulation{scenario: s, windows: make([]window, s.length/windowLength+1), random: rand.New(rand.NewPCG(seed, 1)), reports: map[config.Class]*report{}}
	for _, class := range []config.Class{config.ClassInteractive, config.ClassDeferred} {
		sim.reports[class] = &report{latency: hdrhistogram.New(1, 60_000_000, 3)}
	}
	senders := s.vms
	if s.singleSender {
		senders = 1
	}
	for range s.servers {
		sim.fakes = append(sim.fakes, &fakeServer{sim: sim, slowFactor: 1})
	}
	for range s.vms {
		gates := make([]*serverGate, s.servers)
		for i := range gates {
			g := newGate("s", s.settings, s.slots, senders)
			g.scheduleWake = func(wait time.Duration) { sim.schedule(wait, func() { g.wake(sim.clock) }) }
			gates[i] = g
		}
		sim.gates = append(sim.gates, gates)
		policy := retry.Policy(retry.NoRetry{})
		if s.policy != nil {
			policy = s.policy(sim)
		}
		sim.policies = append(sim.policies, policy)
	}
	if s.injectFault != nil {
		s.injectFault(sim)
	}
	sim.schedule(0, sim.arrival)
	for len(sim.events) > 0 {
		e := heap.Pop(&sim.events).(event)
		sim.now = e.at
		e.run()
	}
	return sim
}

// arrival creates one request and schedules the next one. Arrivals are a Poisson process.
func (sim *simulation) arrival() {
	if sim.now >= sim.length {
		return
	}
	r := &request{sim: sim, vm: sim.random.IntN(sim.vms), class: config.ClassInteractive, arrived: sim.now}
	r.deadline = sim.now + sim.timeout
	if sim.random.Float64() < sim.deferredShare {
		r.class = config.ClassDeferred
		r.deadline = sim.now + sim.settings.DeferredQueueWait.Duration()
	}
	r.report = sim.reports[r.class]
	if sim.now < sim.reportFrom || sim.reportTo > 0 && sim.now >= sim.reportTo {
		r.report = &report{latency: hdrhistogram.New(1, 60_000_000, 1)}
	}
	r.report.offered++
	if r.class == config.ClassInteractive {
		sim.window(sim.now).offered++
	}
	r.enter()
	capacity := float64(sim.servers*sim.slots) / float64(sim.service)
	gap := -math.Log(1-sim.random.Float64()) / (sim.load * capacity)
	sim.schedule(time.Duration(gap), sim.arrival)
}

// request is one caller's request.
type request struct {
	sim      *simulation
	report   *report
	vm       int
	server   int
	class    config.Class
	arrived  time.Duration
	deadline time.Duration
	sent     time.Duration
	attempts int
}

// enter requests a permit from the gate.
func (r *request) enter() {
	sim := r.sim
	r.server = r.pick()
	w := &waiter{class: r.class, deadline: epoch.Add(r.deadline)}
	w.onDecision = func(err error) {
		if err != nil {
			r.report.refused++
			return
		}
		r.send()
	}
	g := r.gate()
	g.admit(sim.clock(), w)
	if w.index == notQueued {
		return
	}
	sim.schedule(w.deadline.Sub(sim.clock()), func() {
		if g.abandon(sim.clock(), w) {
			r.report.refused++
		}
	})
}

// pick chooses a random server as the owner of the key or, without keys, the less loaded
// of two.
func (r *request) pick() int {
	first := r.sim.random.IntN(r.sim.servers)
	second := r.sim.random.IntN(r.sim.servers)
	gates := r.sim.gates[r.vm]
	if r.sim.keyless && gates[second].load() < gates[first].load() {
		return second
	}
	return first
}

func (r *request) gate() *serverGate {
	if r.sim.singleSender {
		return r.sim.gates[r.server%r.sim.vms][r.server]
	}
	return r.sim.gates[r.vm][r.server]
}

func (r *request) send() {
	hop := r.sim.hop
	if r.sim.singleSender {
		hop *= 2
	}
	r.attempts++
	r.report.attempts++
	r.sent = r.sim.now
	r.sim.schedule(hop, func() {
		r.sim.fakes[r.server].offer(&job{deadline: r.deadline, done: func(result Result) {
			r.sim.schedule(hop, func() { r.answered(result) })
		}})
	})
}

func (r *request) answered(result Result) {
	sim := r.sim
	r.gate().release(sim.clock(), r.class, result, sim.now-r.sent)
	if result == Succeeded {
		r.report.good++
		_ = r.report.latency.RecordValue(max((sim.now - r.arrived).Microseconds(), 1))
		sim.policies[r.vm].Succeeded()
		if r.class == config.ClassInteractive && sim.now-r.arrived <= targetP99 {
			sim.window(r.arrived).met++
		}
		return
	}
	kind := fault.ConnectFailed
	if result == Shed {
		kind = fault.ServerRefused
	}
	shouldRetry, wait := sim.policies[r.vm].Next(retry.Attempt{
		Number: r.attempts, Idempotent: true, Kind: kind, Replayable: true, Remaining: r.deadline - sim.now,
	})
	switch {
	case shouldRetry:
		sim.schedule(wait, r.enter)
	case result == Shed:
		r.report.shed++
	default:
		r.report.failed++
	}
}
