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

// scenario is one run of the bench. Zero values of the optional fields, from
// policy on, leave the effect out.
type scenario struct {
	settings      Settings
	vms           int
	servers       int
	slots         int
	backlog       int           // requests that a server queues beyond its slots
	load          float64       // arrivals as a multiple of capacity
	service       time.Duration // mean service time, exponentially distributed
	hop           time.Duration // one way between VM and server
	patience      time.Duration
	length        time.Duration
	policy        func(b *bench) retry.Policy
	keyless       bool          // the less loaded of two servers
	feeder        bool          // one VM feeds each server, the others forward to it
	deferredShare float64       // part of the arrivals in the deferred class
	reportFrom    time.Duration // earlier arrivals are not reported
	reportTo      time.Duration // later ones neither; zero: all are
	disturb       func(b *bench)
}

// report counts what became of the requests of one class.
type report struct {
	offered, good, refused, shed, failed, tries int
	latency                                     *hdrhistogram.Histogram // microseconds, of good ones
}

func (r *report) p99() time.Duration {
	return time.Duration(r.latency.ValueAtQuantile(99)) * time.Microsecond
}

// share returns a count as a part of what was offered.
func (r *report) share(count int) float64 { return float64(count) / float64(max(r.offered, 1)) }

// bench drives real gates and retry policies against fake servers by an event
// queue on virtual time: one seed gives the same figures on every machine.
type bench struct {
	scenario
	now      time.Duration
	events   eventQueue
	seq      uint64
	random   *rand.Rand
	fakes    []*fakeServer
	gates    [][]*gate // by VM, then by server
	policies []retry.Policy
	reports  map[config.Class]*report
	windows  []window
}

// windowLength divides a run for the time that it takes to recover.
const windowLength = 100 * time.Millisecond

// window counts the interactive requests that arrived within windowLength, and
// those of them answered within targetP99.
type window struct{ offered, met int }

func (b *bench) window(arrived time.Duration) *window {
	return &b.windows[arrived/windowLength]
}

// recovered returns how long after a moment the service was first as it should be:
// the start of the first window with 99 of 100 requests answered in time.
func (b *bench) recovered(since time.Duration) time.Duration {
	for i, w := range b.windows {
		begin := time.Duration(i) * windowLength
		if begin >= since && float64(w.met) >= 0.99*float64(w.offered) {
			return begin - since
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

func (b *bench) in(wait time.Duration, run func()) {
	b.seq++
	heap.Push(&b.events, event{at: b.now + wait, seq: b.seq, run: run})
}

func (b *bench) clock() time.Time { return epoch.Add(b.now) }

// play runs a scenario until its last request is answered.
func play(s scenario, seed uint64) *bench {
	b := &bench{scenario: s, windows: make([]window, s.length/windowLength+1), random: rand.New(rand.NewPCG(seed, 1)), reports: map[config.Class]*report{}}
	for _, class := range []config.Class{config.ClassInteractive, config.ClassDeferred} {
		b.reports[class] = &report{latency: hdrhistogram.New(1, 60_000_000, 3)}
	}
	feeders := s.vms
	if s.feeder {
		feeders = 1
	}
	for range s.servers {
		b.fakes = append(b.fakes, &fakeServer{b: b, slow: 1})
	}
	for range s.vms {
		gates := make([]*gate, s.servers)
		for i := range gates {
			g := newGate("s", s.settings, s.slots, feeders)
			g.wakeIn = func(wait time.Duration) { b.in(wait, func() { g.wake(b.clock) }) }
			gates[i] = g
		}
		b.gates = append(b.gates, gates)
		policy := retry.Policy(retry.NoRetry{})
		if s.policy != nil {
			policy = s.policy(b)
		}
		b.policies = append(b.policies, policy)
	}
	if s.disturb != nil {
		s.disturb(b)
	}
	b.in(0, b.arrival)
	for len(b.events) > 0 {
		e := heap.Pop(&b.events).(event)
		b.now = e.at
		e.run()
	}
	return b
}

// arrival offers one request and schedules the next: a Poisson process.
func (b *bench) arrival() {
	if b.now >= b.length {
		return
	}
	r := &request{b: b, vm: b.random.IntN(b.vms), class: config.ClassInteractive, arrived: b.now}
	r.deadline = b.now + b.patience
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
	b.in(time.Duration(gap), b.arrival)
}

// request is one caller's request on its way.
type request struct {
	b         *bench
	report    *report
	vm        int
	server    int
	class     config.Class
	arrived   time.Duration
	deadline  time.Duration
	sent      time.Duration
	triesMade int
}

// enter asks the gate for a permit.
func (r *request) enter() {
	b := r.b
	r.server = r.pick()
	w := &waiter{class: r.class, deadline: epoch.Add(r.deadline)}
	w.decided = func(err error) {
		if err != nil {
			r.report.refused++
			return
		}
		r.send()
	}
	g := r.gate()
	g.arrive(b.clock(), w)
	if w.index == notQueued {
		return
	}
	b.in(w.deadline.Sub(b.clock()), func() {
		if g.abandon(b.clock(), w) {
			r.report.refused++
		}
	})
}

// pick chooses a server: the key's owner, or the less loaded of two.
func (r *request) pick() int {
	first := r.b.random.IntN(r.b.servers)
	second := r.b.random.IntN(r.b.servers)
	gates := r.b.gates[r.vm]
	if r.b.keyless && gates[second].load() < gates[first].load() {
		return second
	}
	return first
}

func (r *request) gate() *gate {
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
	r.triesMade++
	r.report.tries++
	r.sent = r.b.now
	r.b.in(hop, func() {
		r.b.fakes[r.server].offer(&job{deadline: r.deadline, done: func(result Result) {
			r.b.in(hop, func() { r.answered(result) })
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
	again, wait := b.policies[r.vm].Next(retry.Attempt{
		Number: r.triesMade, Idempotent: true, Kind: kind, Replayable: true, Remaining: r.deadline - b.now,
	})
	switch {
	case again:
		b.in(wait, r.enter)
	case result == Shed:
		r.report.shed++
	default:
		r.report.failed++
	}
}
