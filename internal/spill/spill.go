// Package spill decides which share of the requests of a service leaves the failure domain of a
// VM, and to which domains. It does no I/O: the loads come from the coordinator, see Totals.
package spill

import (
	"maps"
	"math"
	"slices"
	"sync"
	"time"

	"kumquatcleat/internal/balance"
)

const (
	// maxAge is how old figures may be. VMs report each 0.4 s, so three reports in a row have
	// failed by then.
	maxAge = 1500 * time.Millisecond
	// maxStep is how far a share moves per report. A share takes effect at all VMs and shows in
	// the figures two reports later; a domain at 1.3 times its capacity has to send away a quarter
	// and does after three reports.
	maxStep = 0.1
	// stepPerLoss is how far a share moves per report and unit of loss that the move saves.
	// Smaller differences give smaller steps, so that the share settles.
	stepPerLoss = 0.12
	// minSaving is the loss per request below which a move is not worth it: the noise of the
	// figures of some tens of slots.
	minSaving = 0.02
	// roomPerSlot is the load per slot below which a domain has room: few requests wait.
	roomPerSlot = 0.8
	// minReturnStep makes a share that returns reach zero.
	minReturnStep = 0.02
	// settling is the change of the load per slot between two reports from which a share waits for
	// the change to end: the last steps take effect.
	settling = 0.05
	// smoothing is the weight of new loads: those of some tens of slots vary by a tenth.
	smoothing = 0.5
	// loadSpread is the standard deviation of the load per slot of the servers of one domain:
	// about one request at a server of four slots.
	loadSpread = 0.5
	// maxDisplaced bounds the loss of others through one more request. In a domain without free
	// capacity, it makes one answer late that would be in time, whose worth falls by as much.
	maxDisplaced = 0.7
	// fullPerSlot is the load per slot from which a domain counts as full. Servers count as full
	// at 4.5.
	fullPerSlot = 3.0
)

// Service holds the properties of a service on which a decision depends.
type Service struct {
	ServiceTime time.Duration // mean, without waiting
	Objective   time.Duration // latency within which answers should arrive
	// Price is the loss through the bytes of a request that crosses, in answers in time.
	Price float64
}

// Settings configure a Decider.
type Settings struct {
	Domain string // failure domain of this VM
	// Latency is the one-way latency between domains.
	Latency time.Duration
}

// Decider holds the decisions of one VM. It is safe for concurrent use.
type Decider struct {
	settings Settings
	mu       sync.RWMutex // guards the fields below
	states   map[string]*state
}

// state is the decision for one service.
type state struct {
	shares   map[string]float64 // by domain, without the VM's own and without zeros
	wanted   string             // domain that is to get a share once the coordinator permits it
	asked    []string           // domains that the last report named, see Into
	only     bool               // all other domains are full
	noHome   bool               // the VM's own domain has no usable server
	decided  bool               // false: shares are those of the last decision
	at       time.Time          // of the figures
	smoothed map[string]float64 // loads per slot by domain
	noted    Change             // last change that was returned
	notedAt  time.Time
}

// New returns a decider without decisions.
func New(s Settings) *Decider { return &Decider{settings: s, states: map[string]*state{}} }

// Change describes a change of the decision for a service.
type Change struct {
	Service string
	Decided bool               // false: no decision, each request is compared with servers of all domains
	Shares  map[string]float64 // of the requests, by other domain
	Loads   map[string]float64 // requests per slot by domain, smoothed
	Age     time.Duration      // of the loads
}

// Update moves the decisions by one step. figures are those of the coordinator's response to a
// report that was sent at the given time.
func (d *Decider) Update(now, sent time.Time, figures Figures, properties func(service string) Service) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for service, s := range d.states {
		if _, given := figures[service]; !given {
			s.wanted = ""
		}
	}
	for service, loads := range figures {
		s := d.states[service]
		if s == nil {
			s = &state{shares: map[string]float64{}}
			d.states[service] = s
		}
		s.update(&d.settings, now, sent, loads, properties(service))
	}
}

const (
	// changeInterval bounds the changes that are returned for a service.
	changeInterval = time.Second
	// notedDifference is the difference of a share from which a change is returned, unless the
	// share becomes zero or no longer is.
	notedDifference = 0.03
)

// Changes returns the decisions that changed since they were last returned, at most one a second for
// each service.
func (d *Decider) Changes(now time.Time) []Change {
	d.mu.Lock()
	defer d.mu.Unlock()
	var changes []Change
	for _, service := range slices.Sorted(maps.Keys(d.states)) {
		s := d.states[service]
		if now.Sub(s.notedAt) >= changeInterval && s.differs(now) {
			s.noted = Change{Service: service, Decided: s.valid(now), Shares: maps.Clone(s.shares), Loads: s.smoothed, Age: now.Sub(s.at)}
			s.notedAt = now
			changes = append(changes, s.noted)
		}
	}
	return changes
}

// differs reports whether the decision differs from the last one that was returned.
func (s *state) differs(now time.Time) bool {
	if s.valid(now) != s.noted.Decided {
		return true
	}
	differs := func(domain string) bool {
		is, was := s.shares[domain], s.noted.Shares[domain]
		return math.Abs(is-was) >= notedDifference || (is > 0) != (was > 0)
	}
	for domain := range s.shares {
		if differs(domain) {
			return true
		}
	}
	for domain := range s.noted.Shares {
		if differs(domain) {
			return true
		}
	}
	return false
}

// Draw returns where a request is to be executed. random is uniformly distributed below 1.
func (d *Decider) Draw(now time.Time, service string, random float64) balance.Placement {
	d.mu.RLock()
	defer d.mu.RUnlock()
	s := d.states[service]
	if !s.valid(now) || s.noHome {
		return balance.Placement{}
	}
	for domain, share := range s.shares {
		if random < share {
			return balance.Placement{Domain: domain}
		}
		random -= share
	}
	return balance.Placement{Domain: d.settings.Domain, Only: s.only}
}

// valid reports whether there is a decision whose figures are not too old.
func (s *state) valid(now time.Time) bool { return s != nil && s.decided && now.Sub(s.at) <= maxAge }

// Shares returns the shares of a service's requests by other domain, none without a decision.
func (d *Decider) Shares(now time.Time, service string) map[string]float64 {
	d.mu.RLock()
	defer d.mu.RUnlock()
	s := d.states[service]
	if !s.valid(now) {
		return nil
	}
	return maps.Clone(s.shares)
}

// Services returns the services of which there ever were figures.
func (d *Decider) Services() []string {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return slices.Sorted(maps.Keys(d.states))
}

// update moves the shares by one step.
func (s *state) update(settings *Settings, now, sent time.Time, loads map[string]Load, p Service) {
	home, known := loads[settings.Domain]
	s.at = sent.Add(-home.age())
	s.decided, s.wanted, s.only, s.noHome = false, "", false, false
	if !known || now.Sub(s.at) > maxAge || p.ServiceTime <= 0 {
		return
	}
	others := map[string]Load{}
	for domain, l := range loads {
		if domain != settings.Domain && l.Slots > 0 && now.Sub(sent)+l.age() <= maxAge {
			others[domain] = l
		}
	}
	if len(others) == 0 {
		return // the domain may be cut off from the others, or be the only one
	}
	s.decided = true
	if home.Slots <= 0 {
		// All requests leave. When servers come back, their share is taken back in steps.
		s.shares, s.noHome = shareBySlots(others), true
		return
	}
	s.withdraw(home, others)
	before := s.smoothed[settings.Domain]
	s.smooth(loads)
	s.step(settings, home.Into, others, s.smoothed[settings.Domain]-before, p)
}

// smooth updates the smoothed loads per slot.
func (s *state) smooth(loads map[string]Load) {
	smoothed := map[string]float64{}
	for domain, l := range loads {
		if l.Slots <= 0 {
			continue
		}
		smoothed[domain] = l.PerSlot()
		if before, known := s.smoothed[domain]; known {
			smoothed[domain] = before + smoothing*(l.PerSlot()-before)
		}
	}
	s.smoothed = smoothed
}

func shareBySlots(loads map[string]Load) map[string]float64 {
	total, shares := 0.0, map[string]float64{}
	for _, l := range loads {
		total += l.Slots
	}
	for domain, l := range loads {
		shares[domain] = l.Slots / total
	}
	return shares
}

// withdraw drops at once the shares of domains of which nothing is known any more, and those that
// the coordinator does not permit.
func (s *state) withdraw(home Load, others map[string]Load) {
	for other := range s.shares {
		if _, known := others[other]; !known || !slices.Contains(home.Into, other) {
			delete(s.shares, other)
		}
	}
}

// step moves a part of the requests from where one more of them costs most to where it costs
// least, so that the marginal losses become equal.
func (s *state) step(settings *Settings, permitted []string, others map[string]Load, trend float64, p Service) {
	home := s.smoothed[settings.Domain]
	homeLoss := marginalLoss(home, p, 0)
	if home < roomPerSlot {
		homeLoss = 0
	}
	homeShare := 1.0
	for _, share := range s.shares {
		homeShare -= share
	}
	worst, best, worstLoss, bestLoss := "", settings.Domain, math.Inf(-1), homeLoss
	if homeShare > 0 {
		worst, worstLoss = settings.Domain, homeLoss
	}
	s.only = true
	for _, domain := range slices.Sorted(maps.Keys(others)) {
		s.only = s.only && s.smoothed[domain] >= fullPerSlot
		loss := marginalLoss(s.smoothed[domain], p, 2*settings.Latency) + p.Price
		if s.shares[domain] > 0 && loss > worstLoss {
			worst, worstLoss = domain, loss
		}
		if s.smoothed[domain] < home && loss < bestLoss {
			best, bestLoss = domain, loss
		}
	}
	saving := worstLoss - bestLoss
	if worst == best || saving < minSaving {
		return
	}
	step := min(maxStep, stepPerLoss*saving)
	switch settings.Domain {
	case worst:
		if trend < -settling {
			return
		}
	case best:
		if trend > settling {
			return
		}
		step = max(step, minReturnStep)
	}
	// The permit of the domain ends with the last VM that asks for it, so each VM has to ask.
	if best != settings.Domain && !(slices.Contains(permitted, best) && slices.Contains(s.asked, best)) {
		s.wanted = best
		return
	}
	s.move(settings.Domain, worst, best, step)
}

func (s *state) move(home, from, to string, step float64) {
	if from != home {
		step = min(step, s.shares[from])
		if s.shares[from] -= step; s.shares[from] < 1e-9 {
			delete(s.shares, from)
		}
	}
	if to != home {
		s.shares[to] += step
	}
}

// marginalLoss returns the expected loss through one more request in a domain: through its own
// lateness, and through the wait that it adds to all others. The load of single servers is
// normally distributed around the load per slot of the domain. extra is added to the latency.
//
// With the mean latency T at the load x per slot, the rate of requests per slot is x/T, and the
// loss of all of them x/T f(T). Its derivative by the rate is f + x f'(T) T'(x) / (1 - x T'(x)/T).
func marginalLoss(load float64, p Service, extra time.Duration) float64 {
	z := (load - 1) / loadSpread
	waits := math.Erfc(-z/math.Sqrt2) / 2 // share of the servers where a request waits
	wait := loadSpread * (math.Exp(-z*z/2)/math.Sqrt(2*math.Pi) + z*waits)
	latency := p.ServiceTime.Seconds() * (1 + wait)
	loss := func(latency float64) float64 {
		return balance.LatenessLoss(time.Duration(latency*float64(time.Second))+extra, p.Objective)
	}
	used := load * waits / (1 + wait) // 1: no capacity is left
	const difference = 0.01
	slope := (loss(latency*(1+difference)) - loss(latency)) / (latency * difference)
	displaced := maxDisplaced
	if used < 1 {
		displaced = min(load*slope*p.ServiceTime.Seconds()*waits/(1-used), maxDisplaced)
	}
	return loss(latency) + displaced
}

// Into returns, for a report to the coordinator, the domains into which this VM sends requests, or
// wants to, by service. The next call of Update is taken for the answer to this report. Without a
// decision, the last shares are still named, so that they are in force at once with the next figures.
func (d *Decider) Into() map[string][]string {
	d.mu.Lock()
	defer d.mu.Unlock()
	into := map[string][]string{}
	for service, s := range d.states {
		s.asked = slices.Sorted(maps.Keys(s.shares))
		if s.wanted != "" {
			s.asked = append(s.asked, s.wanted)
		}
		if len(s.asked) > 0 {
			into[service] = s.asked
		}
	}
	return into
}
