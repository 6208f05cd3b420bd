package balance

import (
	"math"
	"time"

	"kumquatcleat/internal/dialect"
	"kumquatcleat/internal/registry"
)

const (
	smoothing = 0.15 // weight of a new sample; roughly the last ten answers count
	// failureSmoothing detects a server that fails half of its requests within three or
	// four requests.
	failureSmoothing = 0.3
	maxAnswers       = 10 // with more answers, older ones lose weight
)

// stats holds what this VM observed of one incarnation of a server.
type stats struct {
	firstSeen        time.Time // zero: not considered for a request yet
	inFlight         int
	serviceTime      float64 // mean service time of a request at the usual speed, in seconds
	answers          float64 // number of answers behind serviceTime, up to maxAnswers
	answeredAt       time.Time
	reported         dialect.Load
	reportedAt       time.Time
	inFlightAtReport int     // inFlight when the load was reported
	slowdown         float64 // in the last load report that stated one; 0: none did
	slowdownAt       time.Time
	averageLoad      float64 // moving average of running and waiting requests
	failureRate      float64 // moving average of failed attempts, 0 to 1
	failureRateAt    time.Time
	pausedUntil      time.Time // set after a refused or timed-out connection
}

func (b *Balancer) stats(s *registry.Server) *stats {
	key := s.Instance()
	st := b.servers[key]
	if st == nil {
		st = &stats{}
		b.servers[key] = st
	}
	return st
}

// Started records that a request is sent to a server.
func (b *Balancer) Started(s *registry.Server) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.stats(s).inFlight++
}

// Outcome is the result of one attempt.
type Outcome struct {
	Took          time.Duration
	Answered      bool // complete answer to a request that was executed
	Failed        bool // rejected, interrupted or late because of the server
	ConnectFailed bool // no connection could be opened
	Reset         bool // the server closed or reset the connection, as some do when full
	Load          dialect.Load
	HasLoad       bool
}

// connectFailurePause is how long a server is avoided after a connection to it could not
// be opened. After that, a request may try it again.
const connectFailurePause = 700 * time.Millisecond

// Finished records the outcome of a request that Started counted.
func (b *Balancer) Finished(now time.Time, s *registry.Server, o Outcome) {
	b.mu.Lock()
	defer b.mu.Unlock()
	st := b.stats(s)
	st.inFlight--
	slots := float64(max(s.Slots, 1))
	before := st.load(now, slots)
	if o.HasLoad {
		total := float64(o.Load.Running + o.Load.Waiting)
		if st.reportedAt.IsZero() {
			st.averageLoad = total
		}
		st.averageLoad += smoothing * (total - st.averageLoad)
		st.reported, st.reportedAt, st.inFlightAtReport = o.Load, now, st.inFlight
		if o.Load.Slowdown > 0 {
			st.slowdown, st.slowdownAt = o.Load.Slowdown, now
			b.slowdowns[s.Service] = smooth(b.slowdowns[s.Service], o.Load.Slowdown)
		}
	}
	if o.Reset {
		// Assume a full server until the estimate decays, to avoid overloading it further.
		full := int(math.Ceil(b.settings.MaxRequestsPerSlot * slots))
		st.reported, st.reportedAt, st.inFlightAtReport = dialect.Load{Running: full, Slots: s.Slots}, now, st.inFlight
	}
	st.recordFailure(now, o)
	if o.ConnectFailed {
		st.pausedUntil = now.Add(connectFailurePause)
	}
	if !o.Answered {
		return
	}
	// The latency includes the wait in the server's queue. Dividing it by one
	// plus the expected queue length per slot gives the service time.
	queue := max(0, min(before, float64(o.Load.Waiting)+slots)-slots) / slots
	took := o.Took.Seconds() / (1 + queue)
	usual := took
	if o.Load.Slowdown > 0 {
		usual /= o.Load.Slowdown
	}
	st.answers = min(st.answers+1, maxAnswers)
	st.serviceTime += (usual - st.serviceTime) / st.answers
	st.answeredAt = now
	key := s.Instance()
	sample := b.samples[key]
	b.samples[key] = Samples{sample.Count + 1, sample.Seconds + took}
	b.serviceTimes[s.Service] = smooth(b.serviceTimes[s.Service], usual)
}

func (st *stats) recordFailure(now time.Time, o Outcome) {
	decayed := st.failureRate * math.Exp(-now.Sub(st.failureRateAt).Seconds()/failureDecay.Seconds())
	target := 0.0
	if o.Failed || o.ConnectFailed {
		target = 1
	}
	st.failureRate = decayed + failureSmoothing*(target-decayed)
	st.failureRateAt = now
}

func smooth(old, sample float64) float64 {
	if old == 0 {
		return sample
	}
	return old + smoothing*(sample-old)
}

// TakeSamples returns and clears the service times of a server since the last call.
func (b *Balancer) TakeSamples(s *registry.Server) (Samples, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	key := s.Instance()
	sample, ok := b.samples[key]
	delete(b.samples, key)
	return sample, ok
}

// InFlight returns the requests that this VM has at servers, by server ID. Servers without
// any are left out.
func (b *Balancer) InFlight(servers []*registry.Server) map[string]int {
	b.mu.Lock()
	defer b.mu.Unlock()
	inFlight := map[string]int{}
	for _, s := range servers {
		if st := b.servers[s.Instance()]; st != nil && st.inFlight > 0 {
			inFlight[s.ID] = st.inFlight
		}
	}
	return inFlight
}

// Sweep drops the statistics of servers for which keep returns false and that have no
// request in flight.
func (b *Balancer) Sweep(keep func(registry.Instance) bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for key, st := range b.servers {
		if st.inFlight == 0 && !keep(key) {
			delete(b.servers, key)
			delete(b.samples, key)
		}
	}
}

// Samples sums up the measured service times of one incarnation of a server.
type Samples struct {
	Count   float64 `json:"count"`
	Seconds float64 `json:"seconds"` // sum
}
