package balance

import (
	"fmt"
	"math"
	"testing"
	"time"

	"kumquatcleat/internal/loadmodel"
	"kumquatcleat/internal/registry"
)

// Pattern: many VMs before many servers of one failure domain, each VM with a few requests a
// second. The model counts connections: a server closes one that is idle for too long.
type domainModel struct {
	*loadmodel.Sim
	domains  int                // of the same size
	entries  []*registry.Server // the servers as VMs know them
	servers  []*loadmodel.Server
	speeds   []float64
	vms      []*Balancer
	idle     []map[int][]time.Time // of each VM, by server: since when its connections are idle
	opened   int
	requests int
	served   []int
	far      int // requests sent to another domain
	late     int
	latency  time.Duration

	workload workload
	// slowdowns holds how long work takes at each server now; nil: as usual.
	slowdowns      []float64
	statesSlowdown bool // load reports say so
}

// workload is what callers ask of the servers of one failure domain.
type workload struct {
	vms, servers, slots int
	serviceTime         time.Duration
	spread              float64 // standard deviation of its logarithm
	objective           time.Duration
	load                float64 // of the capacity of all servers
}

// longRequests take servers most of a second.
var longRequests = workload{vms: 29, servers: 60, slots: 6, serviceTime: 800 * time.Millisecond, spread: 0.4, objective: 3 * time.Second, load: 0.69}

const (
	modelIdleTime = 8500 * time.Millisecond
	modelRunTime  = 60 * time.Second
)

func newDomainModel(seed uint64, domains int) *domainModel {
	return newModel(seed, domains, longRequests)
}

func newModel(seed uint64, domains int, w workload) *domainModel {
	m := &domainModel{Sim: loadmodel.NewSim(seed), domains: domains, workload: w}
	for range w.servers * domains {
		m.addServer()
	}
	for i := range w.vms * domains {
		m.vms = append(m.vms, New(Settings{
			FailureDomain: m.domain(i), CrossDomainCost: 0.05, InitialServiceTime: 100 * time.Millisecond, MaxRequestsPerSlot: 4.5,
			HasIdleConnection: func(s *registry.Server) bool { return m.hasIdle(i, s) },
		}))
		m.idle = append(m.idle, map[int][]time.Time{})
	}
	return m
}

// domain returns the failure domain of the VM or server with a number.
func (m *domainModel) domain(i int) string { return string(rune('a' + i%m.domains)) }

func (m *domainModel) addServer() {
	i := len(m.servers)
	m.entries = append(m.entries, &registry.Server{ID: fmt.Sprint("s", i), Service: "svc", FailureDomain: m.domain(i), Slots: m.workload.slots, Incarnation: 1})
	m.servers = append(m.servers, &loadmodel.Server{Sim: m.Sim, Slots: m.workload.slots, Queue: math.MaxInt})
	m.speeds = append(m.speeds, []float64{0.5, 1, 1, 1.5}[i/m.domains%4])
	m.served = append(m.served, 0)
}

// number returns the number of a server.
func (m *domainModel) number(s *registry.Server) (i int) {
	_, _ = fmt.Sscanf(s.ID, "s%d", &i)
	return i
}

// hasIdle reports whether a VM has an idle connection to a server.
func (m *domainModel) hasIdle(vm int, s *registry.Server) bool {
	list := m.idle[vm][m.number(s)]
	return len(list) > 0 && m.Now.Sub(list[len(list)-1]) <= modelIdleTime
}

// connect takes an idle connection of a VM to a server, or opens one.
func (m *domainModel) connect(vm, server int) {
	list := m.idle[vm][server]
	for len(list) > 0 && m.Now.Sub(list[len(list)-1]) > modelIdleTime {
		list = list[:len(list)-1]
	}
	if len(list) == 0 {
		m.opened++
	} else {
		list = list[:len(list)-1]
	}
	m.idle[vm][server] = list
}

func (m *domainModel) request() {
	vm := m.Rand.IntN(len(m.vms))
	m.requests++
	choice, _ := m.vms[vm].Choose(m.Now, m.entries, m.workload.objective, none)
	i := m.number(choice.Server)
	m.connect(vm, i)
	if choice.Server.FailureDomain != m.domain(vm) {
		m.far++
	}
	m.vms[vm].Started(choice.Server)
	sent, server := m.Now, m.servers[i]
	work := time.Duration(float64(m.LogNormal(m.workload.serviceTime, m.workload.spread)) * m.slowdown(i) / m.speeds[i])
	server.Arrive(work, func() {
		took := m.Now.Sub(sent)
		m.latency += took
		m.served[i]++
		if took > m.workload.objective {
			m.late++
		}
		m.idle[vm][i] = append(m.idle[vm][i], m.Now)
		m.vms[vm].Finished(m.Now, choice.Server, Outcome{
			Took: took, Answered: true, HasLoad: true, Load: m.load(i),
		})
	})
}

// play sends requests at a steady rate.
func (m *domainModel) play() {
	capacity := 0.0
	for _, speed := range m.speeds {
		capacity += speed * float64(m.workload.slots) / m.workload.serviceTime.Seconds()
	}
	end := m.Now.Add(modelRunTime)
	m.Poisson(capacity*m.workload.load, end, m.request)
	m.Run(end.Add(modelRunTime))
}

// VMs that each send few requests reuse their connections and still spread the load: all
// servers get requests, and few answers are late.
func TestManyVMsReuseConnections(t *testing.T) {
	const (
		maxOpenedShare = 0.15 // of the requests
		maxLateShare   = 0.02
	)
	for seed := range uint64(3) {
		m := newDomainModel(seed, 1)
		m.play()
		least := m.requests
		for _, n := range m.served {
			least = min(least, n)
		}
		opened, late := float64(m.opened)/float64(m.requests), float64(m.late)/float64(m.requests)
		t.Logf("seed %d: %d requests, opened %.3f, late %.3f, mean latency %v, least used server %d",
			seed, m.requests, opened, late, (m.latency / time.Duration(m.requests)).Round(time.Millisecond), least)
		if opened > maxOpenedShare {
			t.Errorf("seed %d: got connections opened for share %.3f of requests, want at most %.2f", seed, opened, maxOpenedShare)
		}
		if late > maxLateShare {
			t.Errorf("seed %d: got share %.3f of answers late, want at most %.2f", seed, late, maxLateShare)
		}
		if least == 0 {
			t.Errorf("seed %d: a server got no request", seed)
		}
	}
}

// Servers that join get requests within seconds, although VMs keep to those that they use.
func TestServersThatJoinGetRequests(t *testing.T) {
	const (
		joined   = 6
		joinedAt = 20 * time.Second
		patience = 4 * time.Second
		minShare = 0.2 // of the mean of all servers
	)
	m := newDomainModel(1, 1)
	m.After(joinedAt, func() {
		for range joined {
			m.addServer()
		}
	})
	m.After(joinedAt+patience, func() {
		mean := float64(m.requests) / float64(len(m.servers)) * patience.Seconds() / (joinedAt + patience).Seconds()
		for i := len(m.servers) - joined; i < len(m.servers); i++ {
			t.Logf("server %d: %d answers in %v, mean of all %.0f", i, m.served[i], patience, mean)
			if float64(m.served[i]) < minShare*mean {
				t.Errorf("server %d: got %d answers in the %v after it joined, want at least %.0f", i, m.served[i], patience, minShare*mean)
			}
		}
	})
	m.play()
}

// VMs that keep to a few servers of their own domain do not send more requests to another
// one: the load reports of the used servers are fresher than those of the others, which
// must not count in favor of the others.
func TestFewRequestsCrossDomains(t *testing.T) {
	const maxFarShare = 0.02
	for seed := range uint64(2) {
		m := newDomainModel(seed, 2)
		m.play()
		far := float64(m.far) / float64(m.requests)
		t.Logf("seed %d: %.3f of the requests cross, opened %.3f, mean latency %v", seed, far,
			float64(m.opened)/float64(m.requests), (m.latency / time.Duration(m.requests)).Round(time.Millisecond))
		if far > maxFarShare {
			t.Errorf("seed %d: got share %.3f of requests for another domain, want at most %.2f", seed, far, maxFarShare)
		}
	}
}
