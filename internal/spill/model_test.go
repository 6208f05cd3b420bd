package spill

import (
	"fmt"
	"math"
	"slices"
	"time"

	"kumquatcleat/internal/balance"
	"kumquatcleat/internal/dialect"
	"kumquatcleat/internal/loadmodel"
	"kumquatcleat/internal/registry"
)

// Pattern: three failure domains with VMs and servers of one service. VMs report each 0.4 s.
type model struct {
	*loadmodel.Sim
	entries  []*registry.Server // as VMs know them
	servers  []*loadmodel.Server
	balancer []*balance.Balancer // by VM
	decider  []*Decider
	totals   *Totals
	decides  bool
	price    float64

	inTime, sent map[string]int // requests by domain of the VM; refused ones count as sent
	crossed      map[string]int // by domain of the VM and of the server
	shares       [][]float64    // total share of each VM at each of its reports
	mutual       int            // reports after which two domains send into each other
}

const (
	modelVMs         = 26 // by domain
	modelServers     = 35
	modelSlots       = 4
	modelQueue       = 4 * modelSlots // a server resets the connection beyond
	modelDeadline    = time.Second
	modelServiceTime = 110 * time.Millisecond
	modelSpread      = 0.5
	modelObjective   = 400 * time.Millisecond
	modelLatency     = 1400 * time.Microsecond
	modelPrice       = 0.05
	reporting        = 400 * time.Millisecond
)

// domainCapacity is the number of requests per second that the servers of one domain can run.
var domainCapacity = modelServers * modelSlots / modelServiceTime.Seconds()

var modelDomains = []string{"a", "b", "c"}

func newModel(seed uint64, decides bool) *model {
	m := &model{Sim: loadmodel.NewSim(seed), totals: NewTotals(), decides: decides, price: modelPrice,
		inTime: map[string]int{}, sent: map[string]int{}, crossed: map[string]int{}}
	for i := range modelServers * len(modelDomains) {
		m.entries = append(m.entries, &registry.Server{ID: fmt.Sprint("s", i), Service: "svc", FailureDomain: modelDomains[i%3], Slots: modelSlots, Incarnation: 1})
		m.servers = append(m.servers, &loadmodel.Server{Sim: m.Sim, Slots: modelSlots, Queue: modelQueue})
	}
	for vm := range modelVMs * len(modelDomains) {
		m.balancer = append(m.balancer, balance.New(balance.Settings{FailureDomain: vmDomain(vm), CrossDomainCost: modelPrice, InitialServiceTime: 100 * time.Millisecond, MaxRequestsPerSlot: 4.5}))
		m.decider = append(m.decider, New(Settings{Domain: vmDomain(vm), Latency: modelLatency}))
		m.shares = append(m.shares, nil)
		m.After(time.Duration(m.Rand.Int64N(int64(reporting))), func() { m.report(vm) })
	}
	return m
}

func vmDomain(vm int) string { return modelDomains[vm%3] }

func (m *model) properties(vm int) func(string) Service {
	return func(service string) Service {
		return Service{ServiceTime: m.balancer[vm].ServiceTime(service), Objective: modelObjective, Price: m.price}
	}
}

func (m *model) report(vm int) {
	m.After(reporting, func() { m.report(vm) })
	if !m.decides {
		return
	}
	now := m.Now.Sub(loadmodel.Start)
	r := Report{Domain: vmDomain(vm), InFlight: map[string]map[string]int{"svc": m.balancer[vm].InFlightByDomain(m.entries)}, Into: m.decider[vm].Into()}
	m.totals.Add(now, fmt.Sprint(vm), r)
	slots := map[string]float64{}
	for _, s := range m.entries {
		if !s.Draining {
			slots[s.FailureDomain] += float64(s.Slots)
		}
	}
	m.decider[vm].Update(m.Now, m.Now, m.totals.Figures(now, map[string]map[string]float64{"svc": slots}), m.properties(vm))
	total := 0.0
	for other, share := range m.decider[vm].Shares(m.Now, "svc") {
		total += share
		for i := range m.decider {
			if vmDomain(i) == other && m.decider[i].Shares(m.Now, "svc")[vmDomain(vm)] > 0 {
				m.mutual++
			}
		}
	}
	m.shares[vm] = append(m.shares[vm], total)
}

func (m *model) request(domain int) {
	vm := m.Rand.IntN(modelVMs)*3 + domain
	from := vmDomain(vm)
	m.sent[from]++
	to := m.decider[vm].Draw(m.Now, "svc", m.Rand.Float64())
	usable := slices.DeleteFunc(slices.Clone(m.entries), func(s *registry.Server) bool { return s.Draining })
	choice, ok := m.balancer[vm].ChooseIn(m.Now, to, usable, modelObjective, func(*registry.Server) bool { return false })
	if !ok || choice.Full || choice.Expected > modelDeadline {
		return
	}
	m.balancer[vm].Started(choice.Server)
	var i int
	_, _ = fmt.Sscanf(choice.Server.ID, "s%d", &i)
	sent, trip, server := m.Now, time.Duration(0), m.servers[i]
	if choice.Server.FailureDomain != from {
		trip = 2 * modelLatency
		m.crossed[from+choice.Server.FailureDomain]++
	}
	m.After(trip, func() {
		if server.Running == modelSlots && server.Waiting() == modelQueue {
			m.balancer[vm].Finished(m.Now, choice.Server, balance.Outcome{Took: m.Now.Sub(sent), Failed: true, Reset: true})
			return
		}
		server.Arrive(m.LogNormal(modelServiceTime, modelSpread), func() {
			took := m.Now.Sub(sent)
			if took <= modelObjective {
				m.inTime[from]++
			}
			m.balancer[vm].Finished(m.Now, choice.Server, balance.Outcome{Took: took, Answered: true, HasLoad: true,
				Load: dialect.Load{Running: server.Running, Waiting: server.Waiting(), Slots: modelSlots}})
		})
	})
}

// play sends requests for a time at a rate per domain, as multiples of its capacity.
func (m *model) play(d time.Duration, factors ...float64) {
	end := m.Now.Add(d)
	for domain, factor := range factors {
		m.Poisson(domainCapacity*factor, end, func() { m.request(domain) })
	}
	m.Run(end)
}

// forget clears the counts.
func (m *model) forget() {
	clear(m.inTime)
	clear(m.sent)
	clear(m.crossed)
	m.mutual = 0
	for vm := range m.shares {
		m.shares[vm] = nil
	}
}

// inTimeShare returns the share of the requests of domains that were answered in time.
func (m *model) inTimeShare(domains ...string) float64 {
	inTime, sent := 0, 0
	for _, d := range domains {
		inTime, sent = inTime+m.inTime[d], sent+m.sent[d]
	}
	return float64(inTime) / float64(sent)
}

// turns returns how often the share of a VM changed its direction by more than a size, in the
// worst VM.
func (m *model) turns(size float64) int {
	worst := 0
	for _, shares := range m.shares {
		n, direction, extreme := 0, 0.0, 0.0
		for _, s := range shares {
			switch {
			case direction >= 0 && s > extreme || direction < 0 && s < extreme:
				extreme = s
			case math.Abs(s-extreme) > size:
				n++
				direction, extreme = math.Copysign(1, s-extreme), s
			}
		}
		worst = max(worst, n)
	}
	return worst
}

// meanShare returns the mean share that leaves a domain.
func (m *model) meanShare(domain int) float64 {
	total, n := 0.0, 0
	for vm := domain; vm < len(m.shares); vm += len(modelDomains) {
		for _, s := range m.shares[vm] {
			total, n = total+s, n+1
		}
	}
	return total / float64(max(n, 1))
}

func (m *model) crossings() int {
	n := 0
	for _, c := range m.crossed {
		n += c
	}
	return n
}
