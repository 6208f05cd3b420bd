package balance

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"kumquatcleat/internal/dialect"
	"kumquatcleat/internal/registry"
)

// Pattern: many VMs before many servers of one failure domain, each VM with a few requests a
// second. The model counts connections: a server closes one that is idle for too long.
type domainModel struct {
	rng      *rand.Rand
	now      time.Time
	events   modelEvents
	servers  []*registry.Server
	running  []int
	waiting  [][]func()
	speeds   []float64
	vms      []*Balancer
	idle     []map[int][]time.Time // of each VM, by server: since when its connections are idle
	opened   int
	requests int
	served   []int
	late     int
	latency  time.Duration
}

const (
	modelVMs         = 29
	modelServers     = 60
	modelSlots       = 6
	modelServiceTime = 800 * time.Millisecond
	modelObjective   = 3 * time.Second
	modelIdleTime    = 8500 * time.Millisecond
	modelRunTime     = 60 * time.Second
	modelLoad        = 0.69 // of the capacity of all servers
)

type modelEvent struct {
	at time.Time
	do func()
}

type modelEvents []modelEvent

func (q modelEvents) Len() int           { return len(q) }
func (q modelEvents) Less(i, j int) bool { return q[i].at.Before(q[j].at) }
func (q modelEvents) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *modelEvents) Push(x any) { *q = append(*q, x.(modelEvent)) }

// Pop implements heap.Interface.
func (q *modelEvents) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

func newDomainModel(seed uint64) *domainModel {
	m := &domainModel{rng: rand.New(rand.NewPCG(seed, 1)), now: start}
	for i := range modelServers {
		m.servers = append(m.servers, &registry.Server{ID: fmt.Sprint("s", i), Service: "svc", FailureDomain: "a", Slots: modelSlots, Incarnation: 1})
		m.speeds = append(m.speeds, []float64{0.5, 1, 1, 1.5}[i%4])
	}
	m.running, m.waiting, m.served = make([]int, modelServers), make([][]func(), modelServers), make([]int, modelServers)
	for range modelVMs {
		m.vms = append(m.vms, New(Settings{FailureDomain: "a", CrossDomainCost: 0.05, InitialServiceTime: 100 * time.Millisecond, MaxRequestsPerSlot: 4.5}))
		m.idle = append(m.idle, map[int][]time.Time{})
	}
	return m
}

func (m *domainModel) after(d time.Duration, do func()) {
	heap.Push(&m.events, modelEvent{m.now.Add(d), do})
}

// connect takes an idle connection of a VM to a server, or opens one.
func (m *domainModel) connect(vm, server int) {
	list := m.idle[vm][server]
	for len(list) > 0 && m.now.Sub(list[len(list)-1]) > modelIdleTime {
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
	vm := m.rng.IntN(modelVMs)
	m.requests++
	choice, _ := m.vms[vm].Choose(m.now, m.servers, modelObjective, none)
	var i int
	_, _ = fmt.Sscanf(choice.Server.ID, "s%d", &i)
	m.connect(vm, i)
	m.vms[vm].Started(choice.Server)
	sent := m.now
	m.arrive(i, func() {
		took := m.now.Sub(sent)
		m.latency += took
		m.served[i]++
		if took > modelObjective {
			m.late++
		}
		m.idle[vm][i] = append(m.idle[vm][i], m.now)
		m.vms[vm].Finished(m.now, choice.Server, Outcome{
			Took: took, Answered: true, HasLoad: true, Load: dialect.Load{Running: m.running[i], Waiting: len(m.waiting[i]), Slots: modelSlots},
		})
	})
}

func (m *domainModel) arrive(i int, answer func()) {
	run := func() {
		m.running[i]++
		work := modelServiceTime.Seconds() * math.Exp(m.rng.NormFloat64()*0.4-0.08) / m.speeds[i]
		m.after(time.Duration(work*float64(time.Second)), func() {
			m.running[i]--
			answer()
			if len(m.waiting[i]) > 0 {
				next := m.waiting[i][0]
				m.waiting[i] = m.waiting[i][1:]
				next()
			}
		})
	}
	if m.running[i] < modelSlots {
		run()
		return
	}
	m.waiting[i] = append(m.waiting[i], run)
}

// play sends requests at a steady rate.
func (m *domainModel) play() {
	capacity := 0.0
	for _, speed := range m.speeds {
		capacity += speed * modelSlots / modelServiceTime.Seconds()
	}
	end := m.now.Add(modelRunTime)
	var next func()
	next = func() {
		if m.now.Before(end) {
			m.request()
			m.after(time.Duration(m.rng.ExpFloat64()/(capacity*modelLoad)*float64(time.Second)), next)
		}
	}
	m.after(0, next)
	for len(m.events) > 0 {
		e := heap.Pop(&m.events).(modelEvent)
		m.now = e.at
		e.do()
	}
}

// VMs that each send few requests reuse their connections and still spread the load: all
// servers get requests, and few answers are late.
func TestManyVMsReuseConnections(t *testing.T) {
	const (
		maxOpenedShare = 0.15 // of the requests
		maxLateShare   = 0.02
	)
	for seed := range uint64(3) {
		m := newDomainModel(seed)
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
