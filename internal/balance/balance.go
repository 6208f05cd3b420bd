// Package balance selects the server for a request among those that may execute it: the
// one with the lowest expected latency, with a preference for the VM's own failure domain.
package balance

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"kumquatcleat/internal/dialect"
	"kumquatcleat/internal/registry"
)

// Settings configure a balancer.
type Settings struct {
	// FailureDomain is the failure domain of this VM.
	FailureDomain string
	// CrossDomainCost is the cost of the bytes that a request sends between failure
	// domains, as a loss: 1 is the worth of an answer that arrives in time.
	CrossDomainCost float64
	// InitialServiceTime is the service time assumed for a service without answers yet.
	InitialServiceTime time.Duration
	// MaxRequestsPerSlot is how many requests per slot, running or queued and counted
	// over all VMs, a server may have before it counts as full.
	MaxRequestsPerSlot float64
}

const (
	smoothing = 0.15 // weight of a new sample; roughly the last ten answers count
	// failureSmoothing detects a server that fails half of its requests within three or
	// four requests.
	failureSmoothing = 0.3
	// loadDecay is the time constant with which a load report decays: a few service
	// times.
	loadDecay = 300 * time.Millisecond
	// failureDecay is the time constant with which the failure rate decays: it falls to
	// about a third in this time, so that a server that gets no requests is tried again.
	failureDecay = 2 * time.Second
	warmupFactor = 2.0 // slowdown of a server during its warmup
	candidates   = 3   // servers compared in the VM's own failure domain; one fewer in others
)

// stats holds what this VM observed of one incarnation of a server.
type stats struct {
	firstSeen        time.Time // zero: not considered for a request yet
	inFlight         int
	serviceTime      float64 // mean service time of a request, in seconds
	answers          float64 // number of answers behind serviceTime, up to maxAnswers
	answeredAt       time.Time
	reported         dialect.Load
	reportedAt       time.Time
	inFlightAtReport int     // inFlight when the load was reported
	averageLoad      float64 // moving average of running and waiting requests
	failureRate      float64 // moving average of failed attempts, 0 to 1
	failureRateAt    time.Time
	pausedUntil      time.Time // set after a refused or timed-out connection
}

// Balancer chooses servers by their statistics. It is safe for concurrent use.
type Balancer struct {
	settings     Settings
	mu           sync.Mutex // protects the fields below
	servers      map[registry.Instance]*stats
	serviceTimes map[string]float64 // smoothed service time of a service, in seconds
	samples      map[registry.Instance]Samples
}

// Samples sums up the measured service times of one incarnation of a server.
type Samples struct {
	Count   float64 `json:"count"`
	Seconds float64 `json:"seconds"` // sum
}

// New returns a balancer without statistics.
func New(s Settings) *Balancer {
	return &Balancer{settings: s, servers: map[registry.Instance]*stats{}, serviceTimes: map[string]float64{}, samples: map[registry.Instance]Samples{}}
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

// Choice is a server with its expected latency and load.
type Choice struct {
	Server   *registry.Server
	Expected time.Duration // latency of the answer
	Load     float64       // estimated requests running or waiting
	Full     bool          // the server would probably reject the request
}

// Choose returns the best of a few servers for a request whose answer should arrive
// within objective. It returns false if no server is available.
func (b *Balancer) Choose(now time.Time, servers []*registry.Server, objective time.Duration, excluded func(*registry.Server) bool) (Choice, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	var near, far []*registry.Server
	for _, s := range servers {
		if excluded(s) {
			continue
		}
		if s.FailureDomain == b.settings.FailureDomain {
			near = append(near, s)
		} else {
			far = append(far, s)
		}
	}
	near, unused, fresh := b.splitByUse(now, near)
	if len(fresh) > 0 && rand.Float64() < freshShare {
		if c, ok := b.promising(now, fresh[rand.IntN(len(fresh))], objective); ok {
			return c, true
		}
	}
	best, minLoss, found := Choice{}, math.Inf(1), false
	consider := func(list []*registry.Server, limit int, cost float64) {
		for range min(limit, len(list)) {
			i := rand.IntN(len(list))
			s := list[i]
			list[i] = list[len(list)-1]
			list = list[:len(list)-1]
			c := b.estimate(now, s)
			loss := cost + expectedLatenessLoss(c.Expected, objective) + b.expectedFailureLoss(now, s)
			if c.Full {
				loss += fullPenalty
			}
			if loss < minLoss {
				best, minLoss, found = c, loss, true
			}
		}
	}
	consider(near, candidates, 0)
	if rand.Float64() < exploreShare {
		consider(unused, 1, 0)
	} else {
		consider(unused, 1, unusedCost)
	}
	if best.Full || !found {
		consider(unused, len(unused), unusedCost)
	}
	farCandidates := candidates - 1
	if len(near)+len(unused) == 0 || best.Full || b.expectedFailureLoss(now, best.Server) >= pausedPenalty {
		farCandidates = len(far)
	}
	consider(far, farCandidates, b.settings.CrossDomainCost)
	return best, found
}

// promising returns a server as a choice, and whether it is expected to answer within
// objective and has not failed lately.
func (b *Balancer) promising(now time.Time, s *registry.Server, objective time.Duration) (Choice, bool) {
	c := b.estimate(now, s)
	return c, !c.Full && (objective <= 0 || c.Expected < objective) && b.expectedFailureLoss(now, s) == 0
}

// Local returns a server as a choice if it is in the VM's own failure domain, is expected to
// answer within objective and has not failed lately.
func (b *Balancer) Local(now time.Time, s *registry.Server, objective time.Duration) (Choice, bool) {
	if s.FailureDomain != b.settings.FailureDomain {
		return Choice{}, false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.promising(now, s, objective)
}

const (
	// usedServers is the number of servers of the VM's own failure domain that it keeps
	// using while they are not busy. With few servers it meets each one often: it has an
	// open connection and a recent load report.
	usedServers = 8
	// usedTime is how long a server counts as used after an answer. Servers close
	// connections that are idle for longer.
	usedTime = 6 * time.Second
	// unusedCost is the cost of the new connection that an unused server takes, as a loss.
	unusedCost = 0.03
	// exploreShare is the share of requests for which an unused server is not at a
	// disadvantage, so that the used ones change over time.
	exploreShare = 0.02
	// freshShare is the share of requests that go to servers that joined less than
	// freshTime ago, until this VM uses them: no VM does yet.
	freshShare = 0.1
	freshTime  = 6 * time.Second
)

// splitByUse separates the servers that this VM used recently from the others, and from
// these the ones that joined recently. All count as used while fewer than usedServers
// are.
func (b *Balancer) splitByUse(now time.Time, servers []*registry.Server) (used, unused, fresh []*registry.Server) {
	if len(servers) <= usedServers {
		return servers, nil, nil
	}
	for _, s := range servers {
		st := b.stats(s)
		if st.firstSeen.IsZero() {
			st.firstSeen = now
		}
		switch {
		case st.inFlight > 0 || now.Sub(st.answeredAt) < usedTime:
			used = append(used, s)
			continue
		case now.Sub(st.firstSeen) < freshTime:
			fresh = append(fresh, s)
		}
		unused = append(unused, s)
	}
	if len(used) < usedServers {
		return servers, nil, fresh
	}
	return used, unused, fresh
}

// Losses and penalties. A loss of 1 is the worth of an answer that arrives in time.
const (
	fullPenalty    = 60.0 // ranks a full server behind all that are not full
	pausedPenalty  = 30.0 // ranks an unreachable server behind all reachable ones that are not full
	minFailureRate = 0.02 // a lower failure rate is ignored
	failureLoss    = 0.7  // of a failed attempt; some are retried in time
	lateLoss       = 0.7  // of an answer after its objective; a late answer is worth 0.3
	// latencyLoss prefers the faster of two servers that both answer in time.
	latencyLoss = 0.05
	// latencySpread is the standard deviation of the logarithm of the latency. It is
	// between 0.5 and 0.8 for typical workloads.
	latencySpread = 0.6
)

// expectedLatenessLoss returns the expected loss through lateness, for a latency with a
// log-normal distribution around its mean.
func expectedLatenessLoss(mean, objective time.Duration) float64 {
	if objective <= 0 {
		objective = defaultObjective
	}
	ratio := mean.Seconds() / objective.Seconds()
	if ratio <= 0 {
		return 0
	}
	// In logarithms, the median is below the mean by half of the variance.
	deviation := (math.Log(ratio) - latencySpread*latencySpread/2) / latencySpread
	late := math.Erfc(-deviation/math.Sqrt2) / 2
	return lateLoss*late + latencyLoss*ratio
}

// defaultObjective is used for routes without an objective.
const defaultObjective = 500 * time.Millisecond

// expectedFailureLoss returns the expected loss through failures of a server.
func (b *Balancer) expectedFailureLoss(now time.Time, s *registry.Server) float64 {
	st := b.stats(s)
	if now.Before(st.pausedUntil) {
		return pausedPenalty
	}
	rate := st.failureRate * math.Exp(-now.Sub(st.failureRateAt).Seconds()/failureDecay.Seconds())
	if rate < minFailureRate {
		return 0
	}
	return failureLoss * rate
}

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

// serviceTime returns the expected service time of a request at a server, in seconds:
// the server's own mean, weighted by the number and age of its answers, and otherwise the
// mean of its service. One long request must not permanently define the estimate for a
// server that this VM seldom uses.
func (b *Balancer) serviceTime(now time.Time, s *registry.Server) float64 {
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
	maxAnswers = 10 // with more answers, older ones lose weight
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
	st.answers = min(st.answers+1, maxAnswers)
	st.serviceTime += (took - st.serviceTime) / st.answers
	st.answeredAt = now
	key := s.Instance()
	sample := b.samples[key]
	b.samples[key] = Samples{sample.Count + 1, sample.Seconds + took}
	b.serviceTimes[s.Service] = smooth(b.serviceTimes[s.Service], took)
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

// Capacity returns how many requests per second a server can execute.
func (b *Balancer) Capacity(now time.Time, s *registry.Server) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return float64(max(s.Slots, 1)) / b.serviceTime(now, s)
}
