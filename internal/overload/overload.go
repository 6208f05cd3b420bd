// Package overload limits the requests that all VMs together send to one server. A VM sees
// only its own requests, and a server that is the only one to own a key can't hand them
// to another. So each VM reports how many of its requests are at each server, one VM sums
// the reports up, and tells the others which share of their requests an overloaded
// server can take. Package admission refuses what it can't take.
package overload

import (
	"cmp"
	"encoding/json"
	"fmt"
	"maps"
	"math"
	"slices"
	"sync"
	"time"
)

// Signal tells VMs about one overloaded server.
type Signal struct {
	// Load is the number of requests that all VMs together have at the server.
	Load float64
	// Admit is the share of the requests for the server that may be sent, 0 to 1.
	Admit float64
	// WaitS is the time in seconds until the server has worked off what exceeds its target.
	WaitS float64
	// RateLimited says that Admit keeps the requests of all VMs within the server's rate
	// limit.
	RateLimited bool
}

// MarshalJSON implements json.Marshaler. Signals are sent to all VMs several times a second,
// so they are encoded as whole numbers: load, percent, milliseconds. For a server with a rate
// limit, whose share may be far below a percent, its parts per million plus one follow.
func (s Signal) MarshalJSON() ([]byte, error) {
	n := []int{int(math.Round(s.Load)), int(math.Round(100 * s.Admit)), int(math.Round(1000 * s.WaitS))}
	if s.RateLimited {
		n = append(n, 1+int(math.Round(1e6*s.Admit)))
	}
	return json.Marshal(n)
}

// UnmarshalJSON implements json.Unmarshaler.
func (s *Signal) UnmarshalJSON(data []byte) error {
	var n [4]int
	if err := json.Unmarshal(data, &n); err != nil {
		return fmt.Errorf("overload signal: %w", err)
	}
	*s = Signal{Load: float64(n[0]), Admit: float64(n[1]) / 100, WaitS: float64(n[2]) / 1000}
	if n[3] > 0 {
		s.RateLimited, s.Admit = true, float64(n[3]-1)/1e6
	}
	return nil
}

// Server is what is known of one server.
type Server struct {
	Slots    int
	Capacity float64 // requests per second that it can execute
	Demand   float64 // requests per second that callers send for it
	Load     float64 // requests that all VMs together have at the server
	// Objective is the latency within which its answers should arrive.
	Objective time.Duration
	// RateLimit is the rate of requests that the server states it takes.
	RateLimit    float64
	HasRateLimit bool
}

const (
	// latencyShare is the mean latency up to which a server is loaded, as a share of the
	// objective. Single answers take up to about twice the mean.
	latencyShare = 0.6
	// minPerSlot and maxPerSlot bound the requests per slot, running and waiting, up to
	// which a server is loaded, whatever the objective.
	minPerSlot, maxPerSlot = 1.2, 3.0
	// horizon is the time until a signal has taken effect at all VMs and their next
	// reports show it: two reporting intervals on average.
	horizon = 800 * time.Millisecond
)

// busyPerSlot is the number of requests per slot below which a server is not overloaded,
// whatever the demand.
const busyPerSlot = 0.5

// Busy reports whether a server has so many requests that it may be overloaded.
func Busy(load float64, slots int) bool { return load >= busyPerSlot*float64(slots) }

// rateLimitShare is the share of a server's rate limit that is sent: whether a request is
// sent is decided at random, and the demand is known only for the last seconds.
const rateLimitShare = 0.8

// SignalFor returns the signal for a server, and false if all requests may be sent. A server
// with a rate limit always has a signal.
func SignalFor(s Server) (Signal, bool) {
	signal, overloaded := loadSignal(s)
	if !s.HasRateLimit {
		return signal, overloaded
	}
	if !overloaded {
		signal = Signal{Load: s.Load, Admit: 1}
	}
	signal.RateLimited = true
	if allowed := rateLimitShare * s.RateLimit; allowed < s.Demand {
		signal.Admit = min(signal.Admit, allowed/s.Demand)
	}
	return signal, true
}

// loadSignal returns the signal for a server by its load alone.
func loadSignal(s Server) (Signal, bool) {
	if !Busy(s.Load, s.Slots) || s.Demand <= 0 || s.Capacity <= 0 {
		return Signal{}, false
	}
	serviceTime := float64(s.Slots) / s.Capacity
	perSlot := latencyShare * s.Objective.Seconds() / serviceTime
	target := min(max(perSlot, minPerSlot), maxPerSlot) * float64(s.Slots)
	room := target - s.Load + s.Capacity*horizon.Seconds()
	admit := room / (s.Demand * horizon.Seconds())
	if admit >= 1 {
		return Signal{}, false
	}
	return Signal{Load: s.Load, Admit: max(admit, 0), WaitS: max(s.Load-target, 0) / s.Capacity}, true
}

// maxSentSignals bounds the signals that are sent to all VMs together in one reporting
// interval, about 300 kB.
const maxSentSignals = 12_000

// Strongest returns the signals that turn away the most requests, as many as may be sent to
// each of a number of VMs. demands holds the demand by server.
func Strongest(signals map[string]Signal, demands map[string]float64, vms int) map[string]Signal {
	limit := maxSentSignals / max(vms, 1)
	if len(signals) <= limit {
		return signals
	}
	turnedAway := func(server string) float64 { return (1 - signals[server].Admit) * demands[server] }
	servers := slices.SortedFunc(maps.Keys(signals), func(a, b string) int {
		return cmp.Or(cmp.Compare(turnedAway(b), turnedAway(a)), cmp.Compare(a, b))
	})
	strongest := map[string]Signal{}
	for _, server := range servers[:limit] {
		strongest[server] = signals[server]
	}
	return strongest
}

// reportLife is how long the last report of a VM counts. A VM reports several times in
// this time.
const reportLife = 1500 * time.Millisecond

// Totals sums up the requests in flight that VMs report. It is not safe for concurrent
// use.
type Totals struct {
	reports map[string]report // by VM
}

type report struct {
	at       time.Duration
	inFlight map[string]int // by server
}

// NewTotals returns totals without any report.
func NewTotals() *Totals { return &Totals{reports: map[string]report{}} }

// Add replaces the report of a VM.
func (t *Totals) Add(now time.Duration, vm string, inFlight map[string]int) {
	t.reports[vm] = report{now, inFlight}
}

// VMs returns the number of VMs that reported recently, as of the last call of Loads.
func (t *Totals) VMs() int { return len(t.reports) }

// Loads returns the requests in flight by server and forgets old reports.
func (t *Totals) Loads(now time.Duration) map[string]float64 {
	loads := map[string]float64{}
	for vm, r := range t.reports {
		if now-r.at > reportLife {
			delete(t.reports, vm)
			continue
		}
		for server, n := range r.inFlight {
			loads[server] += float64(n)
		}
	}
	return loads
}

// signalLife is how long a VM follows a signal after it was received: longer than one lost
// report, shorter than the change of the coordinator.
const signalLife = 1200 * time.Millisecond

// settleTime is how long a VM must have received signals without a gap before a server without one
// counts as not overloaded: two time constants of the demand that the coordinator counts. After a
// domain was cut off it counts too little at first.
const settleTime = 2 * time.Second

// Gate holds the signals that one VM received. It is safe for concurrent use.
type Gate struct {
	mu       sync.Mutex // guards the fields below
	signals  map[string]Signal
	received time.Time
	since    time.Time // of the first signals after the last gap
}

// NewGate returns a gate without signals.
func NewGate() *Gate { return &Gate{} }

// Update replaces the signals.
func (g *Gate) Update(now time.Time, signals map[string]Signal) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if now.Sub(g.received) > signalLife {
		g.since = now
	}
	g.signals, g.received = signals, now
}

// Watches reports whether the coordinator would have sent a signal for any overloaded server.
func (g *Gate) Watches(now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return now.Sub(g.received) <= signalLife && now.Sub(g.since) >= settleTime
}

// Signal returns the signal for a server and its age, and false if none is in force.
func (g *Gate) Signal(now time.Time, server string) (Signal, time.Duration, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	signal, overloaded := g.signals[server]
	age := now.Sub(g.received)
	if !overloaded || age > signalLife {
		return Signal{}, 0, false
	}
	return signal, age, true
}
