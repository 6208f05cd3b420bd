package balance

import (
	"math"
	"time"

	"kumquatcleat/internal/registry"
)

// Estimate returns the expected latency and load of one server.
func (b *Balancer) Estimate(now time.Time, s *registry.Server) Choice {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.estimate(now, s)
}

func (b *Balancer) estimate(now time.Time, s *registry.Server) Choice {
	st := b.stats(s)
	serviceTime := b.serviceTime(now, s)
	slots := float64(max(s.Slots, 1))
	load := st.load(now, slots)
	waiting := max(0, load+1-slots)
	expected := serviceTime * (1 + waiting/slots)
	return Choice{
		Server:   s,
		Expected: time.Duration(expected * float64(time.Second)),
		Load:     load,
		Full:     load >= slots*b.settings.MaxRequestsPerSlot,
	}
}

// serviceTime returns the expected service time of a request at a server at this moment, in seconds.
func (b *Balancer) serviceTime(now time.Time, s *registry.Server) float64 {
	slowdown := 1.0
	if average := b.slowdowns[s.Service]; average > 0 {
		slowdown = average
		if st := b.servers[s.Instance()]; st != nil && st.slowdown > 0 {
			slowdown += (st.slowdown - average) * math.Exp(-now.Sub(st.slowdownAt).Seconds()/slowdownDecay.Seconds())
		}
	}
	return slowdown * b.usualServiceTime(now, s)
}

// usualServiceTime returns the service time of a request at a server that is as fast as usual, in
// seconds: the server's own mean, weighted by the number and age of its answers, and otherwise the
// mean of its service. One long request must not permanently define the estimate for a
// server that this VM seldom uses.
func (b *Balancer) usualServiceTime(now time.Time, s *registry.Server) float64 {
	mean := b.serviceTimes[s.Service]
	if mean == 0 {
		mean = b.settings.InitialServiceTime.Seconds()
	}
	if s.Warmup > now.Sub(s.SeenAt) {
		mean *= warmupFactor
	}
	st := b.servers[s.Instance()]
	if st == nil || st.answers == 0 {
		return mean
	}
	weight := st.answers * math.Exp(-now.Sub(st.answeredAt).Seconds()/serviceTimeDecay.Seconds())
	return (st.serviceTime*weight + mean*priorAnswers) / (weight + priorAnswers)
}

const (
	warmupFactor = 2.0 // slowdown of a server during its warm-up
	// slowdownDecay is the time constant with which a reported slowdown decays to the average one
	// of the service: servers share their machines with others, and it changes several times
	// a second.
	slowdownDecay = 300 * time.Millisecond
	// loadDecay is the time constant with which a load report decays: a few service
	// times.
	loadDecay = 300 * time.Millisecond
	// priorAnswers is how many answers the mean of a service counts for.
	priorAnswers = 2
	// serviceTimeDecay is the time constant with which the weight of a server's own
	// answers decays.
	serviceTimeDecay = 10 * time.Second
)

// load estimates how many requests run or wait at the server. It starts from the last
// reported load, which decays to the average load and then to a moderate one, and adds
// the requests that this VM sent since the report. Without the decay a server that was
// full when it last answered would get no request that could report otherwise.
func (st *stats) load(now time.Time, slots float64) float64 {
	if st.reportedAt.IsZero() {
		return float64(st.inFlight)
	}
	age := now.Sub(st.reportedAt).Seconds()
	reported, moderate := float64(st.reported.Running+st.reported.Waiting), moderateLoad*slots
	estimate := moderate + (st.averageLoad-moderate)*math.Exp(-age/averageLoadDecay.Seconds()) +
		(reported-st.averageLoad)*math.Exp(-age/loadDecay.Seconds()) + float64(st.inFlight-st.inFlightAtReport)
	return max(estimate, float64(st.inFlight))
}

const (
	// averageLoadDecay is the time constant with which the estimate moves from the
	// average load to the moderate one.
	averageLoadDecay = 2 * time.Second
	moderateLoad     = 0.6 // requests per slot, without a recent load report
)

// Capacity returns how many requests per second a server can execute, in the mean over its slow
// and fast moments.
func (b *Balancer) Capacity(now time.Time, s *registry.Server) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	mean := b.usualServiceTime(now, s)
	if average := b.slowdowns[s.Service]; average > 0 {
		mean *= average
	}
	return float64(max(s.Slots, 1)) / mean
}
