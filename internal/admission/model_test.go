package admission

import (
	"fmt"
	"math"
	"time"

	"kumquatcleat/internal/balance"
	"kumquatcleat/internal/dialect"
	"kumquatcleat/internal/loadmodel"
	"kumquatcleat/internal/overload"
	"kumquatcleat/internal/registry"
)

// kind is one kind of requests.
type kind struct {
	rank                      int
	load                      func(at time.Duration) float64 // share of the capacity of all servers
	work, objective, deadline time.Duration
	retries                   int
	ignoresHints              bool
}

// setup is one pattern of load on the owners of the keys of a service, or on the servers of a
// service without keys.
type setup struct {
	vms, servers      int
	kinds             []kind
	keyless           bool
	noSignals         bool
	hotShare          float64       // of the requests goes to server 0, the rest to all alike
	cutFrom, cutUntil time.Duration // two thirds of the VMs reach no server
}

// decider is Decide or what it is compared with.
type decider func(now time.Time, r Request, s State, m *Mix, admitRandom, hintRandom float64) Decision

const (
	modelSlots     = 4
	modelQueue     = 20
	modelSpread    = 0.3
	modelRunTime   = 20 * time.Second
	modelCallers   = 30
	modelPerSlot   = 4.5
	reporting      = 400 * time.Millisecond
	signalInterval = reporting / 2
	demandDecay    = time.Second
	signalLife     = 1200 * time.Millisecond
	settleTime     = 2 * time.Second
	unreachedHint  = 400 * time.Millisecond
	impatientDelay = 50 * time.Millisecond
)

// tally counts first attempts by what became of them.
type tally struct{ requests, inTime, answered, refused, refusedAgain, final int }

type modelVM struct {
	balancer *balance.Balancer
	mix      Mix
	ages     *Ages
	inFlight []int // by server
	signals  []overload.Signal
	limited  []bool // by server
	at       time.Time
	since    time.Time // of the first signals after a gap
}

type model struct {
	*loadmodel.Sim
	setup
	decide    decider
	servers   []*loadmodel.Server
	entries   []*registry.Server
	vms       []*modelVM
	totals    *overload.Totals
	demand    []float64         // decaying counts by server
	signals   []overload.Signal // of the coordinator, by server
	limited   []bool            // by server: whether it has a signal
	signalsAt time.Time
	work      time.Duration // mean of all kinds
	objective time.Duration // shortest of all kinds

	all      tally
	ranks    map[int]*tally
	byServer []tally
	callers  [modelCallers]tally
	after    tally // first attempts in the five seconds after a cut
}

func play(seed uint64, s setup, decide decider) *model {
	m := &model{Sim: loadmodel.NewSim(seed), setup: s, decide: decide, totals: overload.NewTotals(), demand: make([]float64, s.servers),
		signalsAt: loadmodel.Start, signals: make([]overload.Signal, s.servers), limited: make([]bool, s.servers), ranks: map[int]*tally{}, byServer: make([]tally, s.servers)}
	load, rate := 0.0, 0.0
	m.objective = s.kinds[0].objective
	for _, k := range s.kinds {
		l := k.load(0)
		load, rate, m.objective = load+l, rate+l/k.work.Seconds(), min(m.objective, k.objective)
	}
	m.work = time.Duration(load / rate * float64(time.Second))
	for i := range s.servers {
		m.servers = append(m.servers, &loadmodel.Server{Sim: m.Sim, Slots: modelSlots, Queue: modelQueue})
		m.entries = append(m.entries, &registry.Server{ID: fmt.Sprint(i), Service: "s", Slots: modelSlots, Incarnation: 1})
	}
	for i := range s.vms {
		m.vms = append(m.vms, &modelVM{balancer: balance.New(balance.Settings{InitialServiceTime: m.work, MaxRequestsPerSlot: modelPerSlot}), ages: NewAges(),
			inFlight: make([]int, s.servers), signals: make([]overload.Signal, s.servers), limited: make([]bool, s.servers)})
		if !s.noSignals && !s.keyless {
			m.After(time.Duration(m.Rand.Int64N(int64(reporting))), func() { m.report(i) })
		}
	}
	end := loadmodel.Start.Add(modelRunTime)
	for i, k := range s.kinds {
		if m.ranks[k.rank] == nil {
			m.ranks[k.rank] = &tally{}
		}
		most := 0.0
		for at := time.Duration(0); at < modelRunTime; at += 100 * time.Millisecond {
			most = max(most, k.load(at))
		}
		m.Poisson(most*m.capacity(k.work)*float64(s.servers), end, func() {
			if m.Rand.Float64()*most < k.load(m.now()) {
				m.first(i, k)
			}
		})
	}
	m.Run(end.Add(5 * time.Second))
	return m
}

func (m *model) now() time.Duration { return m.Now.Sub(loadmodel.Start) }

// capacity returns how many requests a second a server can run.
func (m *model) capacity(work time.Duration) float64 { return modelSlots / work.Seconds() }

// cut reports whether a VM reaches no server.
func (m *model) cut(vm int) bool { return m.now() >= m.cutFrom && m.now() < m.cutUntil && vm%3 > 0 }

// first starts a request.
func (m *model) first(i int, k kind) {
	server := 0
	if m.Rand.Float64() >= m.hotShare {
		server = m.Rand.IntN(len(m.servers))
	}
	to := []*tally{&m.all, m.ranks[k.rank], &m.byServer[server], &m.callers[m.Rand.IntN(modelCallers)]}
	if since := m.now() - m.cutUntil; m.cutUntil > 0 && since >= 0 && since < 5*time.Second {
		to = append(to, &m.after)
	}
	count(to, func(c *tally) { c.requests++ })
	m.attempt(i, k, server, to, m.Now, 0)
}

func count(to []*tally, change func(*tally)) {
	for _, c := range to {
		change(c)
	}
}

// attempt is one request of a caller.
func (m *model) attempt(i int, k kind, server int, to []*tally, first time.Time, attempt int) {
	n := m.Rand.IntN(m.setup.vms)
	vm, left := m.vms[n], k.deadline-m.Now.Sub(first)
	again := func(hint time.Duration) {
		count(to, func(c *tally) {
			if attempt == 0 {
				c.refused++
			} else {
				c.refusedAgain++
			}
		})
		if k.ignoresHints {
			hint = impatientDelay
		}
		if attempt < k.retries && hint > 0 && hint < left {
			m.After(min(hint, left/3), func() { m.attempt(i, k, server, to, first, attempt+1) })
		}
	}
	if m.cut(n) {
		again(unreachedHint)
		return
	}
	choice := vm.balancer.Estimate(m.Now, m.entries[server])
	if m.keyless {
		choice, _ = vm.balancer.Choose(m.Now, m.entries, k.objective, func(*registry.Server) bool { return false })
		server = m.index(choice.Server)
	} else {
		m.demand[server] += 1
	}
	r := Request{Rank: k.rank, Objective: k.objective, Age: vm.ages.Infer(m.Now, fmt.Sprint(i), left, k.deadline), Left: left, CallerLeft: left}
	s := State{Load: choice.Load, Slots: modelSlots, ServiceTime: time.Duration(modelSlots / vm.balancer.Capacity(m.Now, choice.Server) * float64(time.Second)),
		Expected: choice.Expected, Full: choice.Full, Watched: m.Now.Sub(vm.at) <= signalLife && m.Now.Sub(vm.since) >= settleTime}
	if m.Now.Sub(vm.at) <= signalLife && vm.limited[server] {
		signal := vm.signals[server]
		s = s.Limit(signal.Load, signal.Admit, time.Duration(signal.WaitS*float64(time.Second)), m.Now.Sub(vm.at))
	}
	d := m.decide(m.Now, r, s, &vm.mix, m.Rand.Float64(), m.Rand.Float64())
	if d.Outcome != Admit {
		if d.Outcome == Final {
			count(to, func(c *tally) { c.final++ })
		}
		again(d.RetryAfter)
		return
	}
	m.send(vm, k, server, to, first, left)
}

func (m *model) index(s *registry.Server) int {
	for i, e := range m.entries {
		if e == s {
			return i
		}
	}
	panic("unknown server")
}

// send sends an admitted request.
func (m *model) send(vm *modelVM, k kind, server int, to []*tally, first time.Time, left time.Duration) {
	entry, sent, done := m.entries[server], m.Now, false
	vm.balancer.Started(entry)
	vm.inFlight[server]++
	finish := func(o balance.Outcome) {
		done = true
		vm.inFlight[server]--
		o.Took = m.Now.Sub(sent)
		vm.balancer.Finished(m.Now, entry, o)
	}
	m.After(left, func() {
		if !done {
			finish(balance.Outcome{Failed: true})
		}
	})
	m.servers[server].Arrive(m.LogNormal(k.work, modelSpread), func() {
		if done {
			return // the VM has given up
		}
		inTime := m.Now.Sub(first) <= k.objective
		count(to, func(c *tally) {
			c.answered++
			if inTime {
				c.inTime++
			}
		})
		finish(balance.Outcome{Answered: true, HasLoad: true, Load: dialect.Load{Running: m.servers[server].Running, Waiting: m.servers[server].Waiting(), Slots: modelSlots}})
	})
}

// report sends a VM's requests in flight to the coordinator, which answers with signals.
func (m *model) report(vm int) {
	m.After(reporting, func() { m.report(vm) })
	if m.cut(vm) {
		return
	}
	v, inFlight := m.vms[vm], map[string]int{}
	for i, n := range v.inFlight {
		inFlight[fmt.Sprint(i)] = n
	}
	m.totals.Add(m.now(), fmt.Sprint(vm), inFlight)
	if m.Now.Sub(m.signalsAt) >= signalInterval {
		m.computeSignals()
	}
	if m.Now.Sub(v.at) > signalLife {
		v.since = m.Now
	}
	v.signals, v.limited, v.at = m.signals, m.limited, m.Now
}

// computeSignals computes the coordinator's signals.
func (m *model) computeSignals() {
	loads := m.totals.Loads(m.now())
	decay := math.Exp(-m.Now.Sub(m.signalsAt).Seconds() / demandDecay.Seconds())
	window := max(demandDecay.Seconds()*(1-math.Exp(-m.now().Seconds()/demandDecay.Seconds())), 0.05)
	m.signalsAt, m.signals, m.limited = m.Now, make([]overload.Signal, len(m.servers)), make([]bool, len(m.servers))
	for i := range m.servers {
		m.demand[i] *= decay
		m.signals[i], m.limited[i] = overload.SignalFor(overload.Server{Slots: modelSlots, Capacity: m.capacity(m.work), Demand: m.demand[i] / window,
			Load: loads[fmt.Sprint(i)], Objective: m.objective})
	}
}

// jain returns Jain's index over the shares of the callers' requests that were answered.
func (m *model) jain() float64 {
	sum, squares := 0.0, 0.0
	for _, c := range m.callers {
		share := float64(c.answered) / float64(max(c.requests, 1))
		sum, squares = sum+share, squares+share*share
	}
	return sum * sum / (modelCallers * squares)
}

// of returns n as a share of all requests of a tally.
func (c tally) of(n int) float64 { return float64(n) / float64(max(c.requests, 1)) }

func (m *model) String() string {
	text := ""
	for rank := range 4 {
		if c := m.ranks[rank]; c != nil {
			text += fmt.Sprintf("rank %d: in time %.3f, answered %.3f, refused %.3f, again %.3f, final %.3f of %d; ", rank, c.of(c.inTime), c.of(c.answered), c.of(c.refused), c.of(c.refusedAgain), c.of(c.final), c.requests)
		}
	}
	hung := 0
	for _, s := range m.servers {
		hung += s.Hung
	}
	return text + fmt.Sprintf("all in time %.3f, answered %.3f, hung %d, Jain %.3f", m.all.of(m.all.inTime), m.all.of(m.all.answered), hung, m.jain())
}

func (c *tally) add(other tally) {
	c.requests += other.requests
	c.inTime += other.inTime
	c.answered += other.answered
	c.refused += other.refused
	c.refusedAgain += other.refusedAgain
	c.final += other.final
}
