package limits

import "time"

// fakeServer runs up to slots requests at once, queues up to backlog more and sheds the
// rest. It does not run a queued request whose deadline has passed.
type fakeServer struct {
	sim         *simulation
	running     int
	queue       []*job
	slowFactor  float64 // multiplies the service time
	down        bool    // refuses connections and loses running requests
	refusalRate float64 // share of the connections that it refuses
}

type job struct {
	deadline time.Duration
	done     func(Result)
}

func (s *fakeServer) offer(j *job) {
	switch {
	case s.down, s.refusalRate > 0 && s.sim.random.Float64() < s.refusalRate:
		j.done(Failed)
	case s.running < s.sim.slots:
		s.start(j)
	case len(s.queue) < s.sim.backlog:
		s.queue = append(s.queue, j)
	default:
		j.done(Shed)
	}
}

func (s *fakeServer) start(j *job) {
	s.running++
	work := float64(s.sim.service) * s.slowFactor * s.sim.random.ExpFloat64()
	s.sim.schedule(time.Duration(work), func() {
		s.running--
		j.done(s.result(j))
		s.next()
	})
}

func (s *fakeServer) result(j *job) Result {
	if s.down || s.sim.now > j.deadline {
		return Failed
	}
	return Succeeded
}

func (s *fakeServer) next() {
	for len(s.queue) > 0 && s.running < s.sim.slots {
		j := s.queue[0]
		s.queue = s.queue[1:]
		if s.result(j) == Failed {
			j.done(Failed)
			continue
		}
		s.start(j)
	}
}
