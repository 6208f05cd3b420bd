// Package loadmodel simulates servers under load in virtual time, without a network. Tests
// of decisions about load drive the real deciders against it.
package loadmodel

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"time"
)

// Sim runs actions in virtual time. It is used by one goroutine.
type Sim struct {
	Now    time.Time
	Rand   *rand.Rand
	events events
}

// Start is the virtual time at which a simulation starts.
var Start = time.Unix(1000, 0)

// NewSim returns a simulation without actions. Equal seeds give equal random numbers.
func NewSim(seed uint64) *Sim { return &Sim{Now: Start, Rand: rand.New(rand.NewPCG(seed, 1))} }

// After schedules an action.
func (s *Sim) After(d time.Duration, do func()) { heap.Push(&s.events, event{s.Now.Add(d), do}) }

// Poisson starts a request again and again until end, rate times a second on average.
func (s *Sim) Poisson(rate float64, end time.Time, request func()) {
	var next func()
	next = func() {
		if s.Now.Before(end) {
			request()
			s.After(time.Duration(s.Rand.ExpFloat64()/rate*float64(time.Second)), next)
		}
	}
	s.After(0, next)
}

// LogNormal returns a random duration with the given mean. spread is the standard deviation
// of its logarithm.
func (s *Sim) LogNormal(mean time.Duration, spread float64) time.Duration {
	return time.Duration(mean.Seconds() * math.Exp(s.Rand.NormFloat64()*spread-spread*spread/2) * float64(time.Second))
}

// Run runs the actions up to a time.
func (s *Sim) Run(until time.Time) {
	for len(s.events) > 0 && !s.events[0].at.After(until) {
		e := heap.Pop(&s.events).(event)
		s.Now = e.at
		e.do()
	}
}

type event struct {
	at time.Time
	do func()
}

// events is a heap of events by time.
type events []event

// Len implements heap.Interface.
func (q events) Len() int { return len(q) }

// Less implements heap.Interface.
func (q events) Less(i, j int) bool { return q[i].at.Before(q[j].at) }

// Swap implements heap.Interface.
func (q events) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *events) Push(x any) { *q = append(*q, x.(event)) }

// Pop implements heap.Interface.
func (q *events) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

// Server is a simulated server. It never answers a request that it can't queue.
type Server struct {
	Sim     *Sim
	Slots   int // requests that it runs concurrently
	Queue   int // requests that may wait
	Running int
	Hung    int // requests that it never answers
	waiting []func()
}

// Waiting returns the number of requests in the queue.
func (s *Server) Waiting() int { return len(s.waiting) }

// Arrive runs a request that takes the given time once a slot is free, then calls answer.
func (s *Server) Arrive(work time.Duration, answer func()) {
	run := func() {
		s.Running++
		s.Sim.After(work, func() {
			s.Running--
			answer()
			if len(s.waiting) > 0 {
				next := s.waiting[0]
				s.waiting = s.waiting[1:]
				next()
			}
		})
	}
	switch {
	case s.Running < s.Slots:
		run()
	case len(s.waiting) < s.Queue:
		s.waiting = append(s.waiting, run)
	default:
		s.Hung++
	}
}
