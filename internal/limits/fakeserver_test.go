package limits

import "time"

// fakeServer runs a few requests at once, queues a few more and sheds the rest.
// It honours deadlines: a queued request past its own is not run.
type fakeServer struct {
	b       *bench
	running int
	queue   []*job
	slow    float64 // factor of the service time
	down    bool    // refuses connections and loses what it runs
	faulty  float64 // part of the connections that it refuses
}

type job struct {
	deadline time.Duration
	done     func(Result)
}

func (s *fakeServer) offer(j *job) {
	switch {
	case s.down, s.faulty > 0 && s.b.random.Float64() < s.faulty:
		j.done(Failed)
	case s.running < s.b.slots:
		s.start(j)
	case len(s.queue) < s.b.backlog:
		s.queue = append(s.queue, j)
	default:
		j.done(Shed)
	}
}

func (s *fakeServer) start(j *job) {
	s.running++
	work := float64(s.b.service) * s.slow * s.b.random.ExpFloat64()
	s.b.in(time.Duration(work), func() {
		s.running--
		j.done(s.result(j))
		s.next()
	})
}

func (s *fakeServer) result(j *job) Result {
	if s.down || s.b.now > j.deadline {
		return Failed
	}
	return Succeeded
}

func (s *fakeServer) next() {
	for len(s.queue) > 0 && s.running < s.b.slots {
		j := s.queue[0]
		s.queue = s.queue[1:]
		if s.result(j) == Failed {
			j.done(Failed)
			continue
		}
		s.start(j)
	}
}
