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
	policy        func(b *simulation) retry.Policy
	keyless       bool          // choose the less loaded of two servers
	feeder        bool          // one VM sends to each server, the others forward to that VM
	deferredShare float64       // share of the arrivals in the deferred class
	reportFrom    time.Duration // earlier arrivals are not reported
	reportTo      time.Duration // later arrivals are not reported; zero: no end
	injectFault   func(b *simulation)
}

// report counts the outcomes of the requests of one class.
type report struct {
	offered, good, refused, shed, failed, tries int
	latency                                     *hdrhistogram.Histogram // of good requests, in microseconds
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

func (b *simulation) window(arrived time.Duration) *window {
	return &b.windows[arrived/windowLength]
}

// recovered returns the time from since to the start of the first window in which 99 of
// 100 requests were answered within targetP99.
func (b *simulation) recovered(since time.Duration) time.Duration {
	for i, w := range b.windows {
		start := time.Duration(i) * windowLength
		if start >= since && float64(w.met) >= 0.99*float64(w.offered) {
			return start - since
		}
	}
	return b.length - since
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

func (b *simulation) schedule(wait time.Duration, run func()) {
	b.seq++
	heap.Push(&b.events, event{at: b.now + wait, seq: b.seq, run: run})
}

func (b *simulation) clock() time.Time { return epoch.Add(b.now) }

// simulate runs a scenario until its last request is answered.
func simulate(s scenario, seed uint64) *simulation {
	b := &simulation{scenario: s, windows: make([]window, s.length/windowLength+1), random: rand.New(rand.NewPCG(seed, 1)), reports: map[config.Class]*report{}}
	for _, class := range []config.Class{config.ClassInteractive, config.ClassDeferred} {
		b.reports[class] = &report{latency: hdrhistogram.New(1, 60_000_000, 3)}
	}
	feeders := s.vms
	if s.feeder {
		feeders = 1
	}
	for range s.servers {
		b.fakes = append(b.fakes, &fakeServer{b: b, slowFactor: 1})
	}
	for range s.vms {
		gates := make([]*serverGate, s.servers)
		for i := range gates {
			g := newGate("s", s.settings, s.slots, feeders)
			g.scheduleWake = func(wait time.Duration) { b.schedule(wait, func() { g.wake(b.clock) }) }
			gates[i] = g
		}
		b.gates = append(b.gates, gates)
		policy := retry.Policy(retry.NoRetry{})
		if s.policy != nil {
			policy = s.policy(b)
		}
		b.policies = append(b.policies, policy)
	}
	if s.injectFault != nil {
		s.injectFault(b)
	}
	b.schedule(0, b.arrival)
	for len(b.events) > 0 {
		e := heap.Pop(&b.events).(event)
		b.now = e.at
		e.run()
	}
	return b
}

// arrival creates one request and schedules the next one. Arrivals are a Poisson process.
func (b *simulation) arrival() {
	if b.now >= b.length {
		return
	}
	r := &request{b: b, vm: b.random.IntN(b.vms), class: config.ClassInteractive, arrived: b.now}
	r.deadline = b.now + b.timeout
	if b.random.Float64() < b.deferredShare {
		r.class = config.ClassDeferred
		r.deadline = b.now + b.settings.DeferredQueueWait.Duration()
	}
	r.report = b.reports[r.class]
	if b.now < b.reportFrom || b.reportTo > 0 && b.now >= b.reportTo {
		r.report = &report{latency: hdrhistogram.New(1, 60_000_000, 1)}
	}
	r.report.offered++
	if r.class == config.ClassInteractive {
		b.window(b.now).offered++
	}
	r.enter()
	capacity := float64(b.servers*b.slots) / float64(b.service)
	gap := -math.Log(1-b.random.Float64()) / (b.load * capacity)
	b.schedule(time.Duration(gap), b.arrival)
}

// request is one caller's request.
type request struct {
	b        *simulation
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
	b := r.b
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
	g.admit(b.clock(), w)
	if w.index == notQueued {
		return
	}
	b.schedule(w.deadline.Sub(b.clock()), func() {
		if g.abandon(b.clock(), w) {
			r.report.refused++
		}
	})
}

// pick chooses a random server as the owner of the key or, without keys, the less loaded of two.
func (r *request) pick() int {
	first := r.b.random.IntN(r.b.servers)
	second := r.b.random.IntN(r.b.servers)
	gates := r.b.gates[r.vm]
	if r.b.keyless && gates[second].load() < gates[first].load() {
		return second
	}
	return first
}

func (r *request) gate() *serverGate {
	if r.b.feeder {
		return r.b.gates[r.server%r.b.vms][r.server]
	}
	return r.b.gates[r.vm][r.server]
}

func (r *request) send() {
	hop := r.b.hop
	if r.b.feeder {
		hop *= 2
	}
	r.attempts++
	r.report.tries++
	r.sent = r.b.now
	r.b.schedule(hop, func() {
		r.b.fakes[r.server].offer(&job{deadline: r.deadline, done: func(result Result) {
			r.b.schedule(hop, func() { r.answered(result) })
		}})
	})
}

func (r *request) answered(result Result) {
	b := r.b
	r.gate().release(b.clock(), r.class, result, b.now-r.sent)
	if result == Succeeded {
		r.report.good++
		_ = r.report.latency.RecordValue(max((b.now - r.arrived).Microseconds(), 1))
		b.policies[r.vm].Succeeded()
		if r.class == config.ClassInteractive && b.now-r.arrived <= targetP99 {
			b.window(r.arrived).met++
		}
		return
	}
	kind := fault.ConnectFailed
	if result == Shed {
		kind = fault.ServerRefused
	}
	shouldRetry, wait := b.policies[r.vm].Next(retry.Attempt{
		Number: r.attempts, Idempotent: true, Kind: kind, Replayable: true, Remaining: r.deadline - b.now,
	})
	switch {
	case shouldRetry:
		b.schedule(wait, r.enter)
	case result == Shed:
		r.report.shed++
	default:
		r.report.failed++
	}
}
