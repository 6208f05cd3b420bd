// Package balance chooses among the servers that may run a request: the one
// that is expected to answer first, nearer ones preferred.
package balance

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"kumquatcleat/internal/dialect"
	"kumquatcleat/internal/registry"
)

// Settings of a balancer.
type Settings struct {
	FailureDomain string
	// CrossDomainCost is the share of a request's worth that its bytes between
	// failure domains cost.
	CrossDomainCost float64
	// InitialService is the service time taken for a service without answers yet.
	InitialService time.Duration
	// MaxQueue is how many requests a slot of a server, counted over all VMs, may
	// have running or waiting before the server counts as full.
	MaxQueue float64
}

const (
	smoothing = 0.15 // weight of a new service time; about the last ten answers count
	// failureSmoothing finds a server that fails half of its requests within
	// three or four of them.
	failureSmoothing = 0.3
	// loadMemory is how long a told load stays true: a few service times.
	loadMemory = 300 * time.Millisecond
	// failureMemory is the time after which failures count a third: a server that
	// gets no requests is tried again.
	failureMemory = 2 * time.Second
	coldFactor    = 2.0 // how much slower a server is that has just started
	choices       = 3   // servers compared in the own failure domain, and two elsewhere
)

// stats is what this VM knows of one start of a server.
type stats struct {
	inFlight    int
	service     float64 // smoothed time that a request runs, in seconds
	answers     float64 // that service stands for, up to mostAnswers
	answeredAt  time.Time
	told        dialect.Load
	toldAt      time.Time
	toldFlight  int     // inFlight when told
	usual       float64 // slow average of running and waiting requests
	failing     float64 // share of recent attempts that failed, 0 to 1
	failingAt   time.Time
	pausedUntil time.Time // after a refused or timed-out connection
}

// Balancer holds the statistics. Safe for concurrent use.
type Balancer struct {
	settings Settings
	mu       sync.Mutex // owns the fields below
	servers  map[registry.Instance]*stats
	services map[string]float64 // smoothed service time of a service, in seconds
	samples  map[registry.Instance]Samples
}

// Samples are service times of one start of a server.
type Samples struct {
	Count   float64 `json:"count"`
	Seconds float64 `json:"seconds"` // sum
}

// New returns a balancer without statistics.
func New(s Settings) *Balancer {
	return &Balancer{settings: s, servers: map[registry.Instance]*stats{}, services: map[string]float64{}, samples: map[registry.Instance]Samples{}}
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

// Choice is a server with what is expected of it.
type Choice struct {
	Server   *registry.Server
	Expected time.Duration // until it answers
	Load     float64       // requests that probably run or wait there
	Full     bool          // it would probably reject the request
}

// Choose returns the best of a few servers for a request whose answer should come
// within its objective, or false when there is none.
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
	best, score, found := Choice{}, math.Inf(1), false
	consider := func(list []*registry.Server, most int, cost float64) {
		for range min(most, len(list)) {
			i := rand.IntN(len(list))
			s := list[i]
			list[i] = list[len(list)-1]
			list = list[:len(list)-1]
			c := b.judge(now, s)
			rank := cost + expectedLoss(c.Expected, objective) + b.doubt(now, s)
			if c.Full {
				rank += fullRank
			}
			if rank < score {
				best, score, found = c, rank, true
			}
		}
	}
	consider(near, choices, 0)
	farChoices := choices - 1
	if len(near) == 0 || best.Full || b.doubt(now, best.Server) >= pausedLoss {
		farChoices = len(far)
	}
	consider(far, farChoices, b.settings.CrossDomainCost)
	return best, found
}

// Losses are shares of a request's worth.
const (
	fullRank    = 60.0 // behind every server that is not full
	pausedLoss  = 30.0 // behind every server that connections reach
	forgiven    = 0.02 // share of failures that no longer counts
	failureLoss = 0.7  // of a failed attempt: some of them are repeated in time
	lateLoss    = 0.7  // of an answer after its objective: late ones earn 0.3
	// hasteLoss prefers the faster of two servers that both answer in time.
	hasteLoss = 0.05
	// workSpread is the standard deviation of the logarithm of answers' times, where
	// the users' kinds of work have 0.5 to 0.8.
	workSpread = 0.6
)

// expectedLoss is what lateness is expected to cost of an answer whose time is
// log-normal about its mean.
func expectedLoss(mean, objective time.Duration) float64 {
	if objective <= 0 {
		objective = defaultObjective
	}
	ratio := mean.Seconds() / objective.Seconds()
	if ratio <= 0 {
		return 0
	}
	// The median lies below the mean by half of the variance, in logarithms.
	deviation := (math.Log(ratio) - workSpread*workSpread/2) / workSpread
	late := math.Erfc(-deviation/math.Sqrt2) / 2
	return lateLoss*late + hasteLoss*ratio
}

// defaultObjective stands in where a route tells none.
const defaultObjective = 500 * time.Millisecond

// doubt is what failures of a server are expected to cost.
func (b *Balancer) doubt(now time.Time, s *registry.Server) float64 {
	st := b.stats(s)
	if now.Before(st.pausedUntil) {
		return pausedLoss
	}
	failing := st.failing * math.Exp(-now.Sub(st.failingAt).Seconds()/failureMemory.Seconds())
	if failing < forgiven {
		return 0
	}
	return failureLoss * failing
}

// Estimate returns what is expected of one server.
func (b *Balancer) Estimate(now time.Time, s *registry.Server) Choice {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.judge(now, s)
}

func (b *Balancer) judge(now time.Time, s *registry.Server) Choice {
	st := b.stats(s)
	service := b.serviceTime(now, s)
	slots := float64(max(s.Slots, 1))
	load := st.load(now, slots)
	waiting := max(0, load+1-slots)
	expected := service * (1 + waiting/slots)
	return Choice{
		Server:   s,
		Expected: time.Duration(expected * float64(time.Second)),
		Load:     load,
		Full:     load >= slots*b.settings.MaxQueue,
	}
}

// serviceTime is how long a request runs at a server, in seconds: its own mean,
// as far as that rests on enough recent answers, else the mean of its service. A
// server that a VM seldom sees must not be judged by one long request for good.
func (b *Balancer) serviceTime(now time.Time, s *registry.Server) float64 {
	mean := b.services[s.Service]
	if mean == 0 {
		mean = b.settings.InitialService.Seconds()
	}
	if s.Warmup > now.Sub(s.SeenAt) {
		mean *= coldFactor
	}
	st := b.servers[s.Instance()]
	if st == nil || st.answers == 0 {
		return mean
	}
	weight := st.answers * math.Exp(-now.Sub(st.answeredAt).Seconds()/serviceMemory.Seconds())
	return (st.service*weight + mean*priorAnswers) / (weight + priorAnswers)
}

const (
	mostAnswers = 10 // beyond them older answers fade
	// priorAnswers is how many answers the mean of a service counts for.
	priorAnswers  = 2
	serviceMemory = 10 * time.Second
)

// load estimates how many requests run or wait at the server: what it told last,
// fading into its usual load and then into a moderate one, and what this VM sent
// since. Without the fading a server that was full when it last answered would
// get no request that could show otherwise.
func (st *stats) load(now time.Time, slots float64) float64 {
	if st.toldAt.IsZero() {
		return float64(st.inFlight)
	}
	age := now.Sub(st.toldAt).Seconds()
	told, moderate := float64(st.told.Running+st.told.Waiting), moderateLoad*slots
	estimate := moderate + (st.usual-moderate)*math.Exp(-age/usualMemory.Seconds()) +
		(told-st.usual)*math.Exp(-age/loadMemory.Seconds()) + float64(st.inFlight-st.toldFlight)
	return max(estimate, float64(st.inFlight))
}

const (
	usualMemory  = 2 * time.Second
	moderateLoad = 0.6 // requests for each slot, where nothing was told lately
)

// Started counts a request that is sent to a server.
func (b *Balancer) Started(s *registry.Server) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.stats(s).inFlight++
}

// Outcome is what an attempt came to.
type Outcome struct {
	Took          time.Duration
	Answered      bool // a whole answer of a request that ran
	Failed        bool // rejected, broken or late: the server's doing
	ConnectFailed bool // no connection could be opened
	Reset         bool // the server broke the connection, as some do when full
	Load          dialect.Load
	HasLoad       bool
}

// unreachedPause keeps requests away from a server that can't be reached, until
// one of them tries again.
const unreachedPause = 700 * time.Millisecond

// Finished takes in the outcome of a request that was counted by Started.
func (b *Balancer) Finished(now time.Time, s *registry.Server, o Outcome) {
	b.mu.Lock()
	defer b.mu.Unlock()
	st := b.stats(s)
	st.inFlight--
	slots := float64(max(s.Slots, 1))
	before := st.load(now, slots)
	if o.HasLoad {
		total := float64(o.Load.Running + o.Load.Waiting)
		if st.toldAt.IsZero() {
			st.usual = total
		}
		st.usual += smoothing * (total - st.usual)
		st.told, st.toldAt, st.toldFlight = o.Load, now, st.inFlight
	}
	if o.Reset {
		// For a moment, so that a server that is full is not pressed further.
		full := int(math.Ceil(b.settings.MaxQueue * slots))
		st.told, st.toldAt, st.toldFlight = dialect.Load{Running: full, Slots: s.Slots}, now, st.inFlight
	}
	st.noteFailure(now, o)
	if o.ConnectFailed {
		st.pausedUntil = now.Add(unreachedPause)
	}
	if !o.Answered {
		return
	}
	// The answer's time includes the wait in the server's queue; dividing by the
	// queue that was expected leaves the time that the request ran.
	queue := max(0, min(before, float64(o.Load.Waiting)+slots)-slots) / slots
	took := o.Took.Seconds() / (1 + queue)
	st.answers = min(st.answers+1, mostAnswers)
	st.service += (took - st.service) / st.answers
	st.answeredAt = now
	key := s.Instance()
	sample := b.samples[key]
	b.samples[key] = Samples{sample.Count + 1, sample.Seconds + took}
	b.services[s.Service] = smooth(b.services[s.Service], took)
}

func (st *stats) noteFailure(now time.Time, o Outcome) {
	faded := st.failing * math.Exp(-now.Sub(st.failingAt).Seconds()/failureMemory.Seconds())
	target := 0.0
	if o.Failed || o.ConnectFailed {
		target = 1
	}
	st.failing = faded + failureSmoothing*(target-faded)
	st.failingAt = now
}

func smooth(old, sample float64) float64 {
	if old == 0 {
		return sample
	}
	return old + smoothing*(sample-old)
}

// TakeSamples returns the service times of a server since the last call.
func (b *Balancer) TakeSamples(s *registry.Server) (Samples, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	key := s.Instance()
	sample, ok := b.samples[key]
	delete(b.samples, key)
	return sample, ok
}

// Sweep drops the statistics of servers that keep does not name and that no
// request is at.
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

// Capacity returns how many requests a second a server can run.
func (b *Balancer) Capacity(now time.Time, s *registry.Server) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return float64(max(s.Slots, 1)) / b.serviceTime(now, s)
}
