package bench

import (
	"cmp"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"kumquatcleat/internal/fault"
	"kumquatcleat/internal/standin"
)

const (
	latencyLowestUS  = 1                  // lowest latency that the histograms resolve
	latencyHighestUS = 120 * 1000 * 1000  // highest latency recorded, above every caller's timeout
	latencyDigits    = 3                  // significant digits kept
	slowAnswerNS     = int64(time.Second) // while an answer takes longer than this, its key is unavailable
	nanosPerMS       = float64(time.Millisecond)
)

// Report holds the figures of a bench run.
type Report struct {
	Scenario  string          `json:"scenario"`
	Seed      uint64          `json:"seed"`
	DurationS float64         `json:"duration_s"`
	Targets   int             `json:"targets"`
	Calls     int             `json:"calls"`
	Skipped   int             `json:"skipped"`        // calls that the bench could not send; above 0 the figures are too favorable
	Cost      *Cost           `json:"cost,omitempty"` // of the daemons; nil: unknown
	Services  []ServiceReport `json:"services"`
	Faults    []FaultRecord   `json:"faults,omitempty"`
}

// ServiceReport holds the figures of one service. Calls that repeat another call
// count only in Resent and in the figures from the servers' run records.
type ServiceReport struct {
	Service     string              `json:"service"`
	Calls       int                 `json:"calls"`
	Resent      int                 `json:"resent"`
	Outcomes    map[CallOutcome]int `json:"outcomes"`
	Refusals    map[fault.Kind]int  `json:"refusals"`
	GoodputPerS float64             `json:"goodput_per_s"` // answered calls per second
	Latencies   []LatencyReport     `json:"latencies"`

	// Imbalance is the ratio of the runs of the most loaded server to the mean of
	// all servers, each divided by the server's execution slots. 0: no runs were
	// recorded.
	Imbalance float64 `json:"imbalance"`
	// Floor is the imbalance that the hottest key alone causes, since it has one
	// owner: no placement goes below it unless the key moves during the bench run.
	Floor float64        `json:"imbalance_floor"`
	Runs  map[string]int `json:"runs"` // by server
	// Changes counts, over all slots of keys, how often successive runs of a slot were at
	// different servers; ChangedSlots is the share of slots with any change.
	Changes      int     `json:"ownership_changes"`
	SlotsSeen    int     `json:"slots_seen"`
	ChangedSlots float64 `json:"changed_slots"`
	// Tries is the number of runs and refusals at servers per call, resent calls
	// included.
	Tries float64 `json:"tries_per_request"`

	Unavailable Unavailability `json:"unavailable"`
	Probes      Unavailability `json:"probes"` // the same for the probed keys, from their probes alone
}

// Unavailability measures how long keys went without an answer. Only keys that were
// called at least once a second on average over the load count.
//
// A key is unavailable from the intended time of a call that ended neither as
// answered nor as deferred, until a call of that key with a later intended time is
// answered or deferred, or until the end of the load; and while a call waits for an
// answer that takes longer than 1 s. Calls that repeat another call, and calls that
// the bench skipped, don't count.
type Unavailability struct {
	KeySeconds float64 `json:"key_seconds"` // sum over keys
	KeysSeen   int     `json:"keys_seen"`
	Share      float64 `json:"share"`      // of KeysSeen x the duration of the load
	LongestMS  float64 `json:"longest_ms"` // longest interval of one key
}

// LatencyReport holds the latencies of answered calls of one kind, measured from
// the intended send time of each call, so that a slow answer also shows in the
// calls that should have been sent meanwhile (no coordinated omission).
type LatencyReport struct {
	Kind   string  `json:"kind"`
	Class  string  `json:"class"`
	Count  int64   `json:"count"`
	P50MS  float64 `json:"p50_ms"`
	P99MS  float64 `json:"p99_ms"`
	P999MS float64 `json:"p999_ms"`
	MaxMS  float64 `json:"max_ms"`
}

// MakeReport computes the figures of a recorded history.
func MakeReport(h *History) *Report {
	report := &Report{
		Scenario:  h.Info.Scenario.Name,
		Seed:      h.Info.Seed,
		DurationS: h.Info.Scenario.Duration().Seconds(),
		Targets:   len(h.Info.Targets),
		Calls:     len(h.Calls),
		Cost:      h.Info.Cost,
		Faults:    h.Faults,
	}
	byService := map[string][]Call{}
	for _, call := range h.Calls {
		if call.Outcome == CallSkipped {
			report.Skipped++
			continue
		}
		byService[call.Service] = append(byService[call.Service], call)
	}
	reported := map[string]bool{}
	for _, traffic := range h.Info.Scenario.Services {
		if reported[traffic.Service] {
			continue // a service may have more than one kind of traffic
		}
		reported[traffic.Service] = true
		report.Services = append(report.Services, serviceReport(h, traffic.Service, byService[traffic.Service]))
	}
	return report
}

func serviceReport(h *History, service string, all []Call) ServiceReport {
	r := ServiceReport{
		Service:  service,
		Outcomes: map[CallOutcome]int{},
		Refusals: map[fault.Kind]int{},
		Runs:     map[string]int{},
	}
	first := slices.DeleteFunc(slices.Clone(all), func(c Call) bool { return c.ResendOf != "" })
	r.Calls = len(first)
	r.Resent = len(all) - len(first)
	for _, call := range first {
		r.Outcomes[call.Outcome]++
		if call.Refusal != "" {
			r.Refusals[call.Refusal]++
		}
	}
	seconds := h.Info.Scenario.Duration().Seconds()
	r.GoodputPerS = float64(r.Outcomes[CallAnswered]) / seconds
	r.Latencies = latencies(first)
	r.countRuns(h, len(all))
	r.Unavailable = unavailable(first, h.Info)
	r.Probes = unavailable(onlyProbes(first), h.Info)
	return r
}

func onlyProbes(calls []Call) []Call {
	return slices.DeleteFunc(slices.Clone(calls), func(c Call) bool { return c.Kind != probeKind.Name })
}

// latencies returns one report per kind, ordered by name.
func latencies(calls []Call) []LatencyReport {
	type kindID struct{ kind, class string }
	histograms := map[kindID]*hdrhistogram.Histogram{}
	for _, call := range calls {
		if call.Outcome != CallAnswered {
			continue
		}
		id := kindID{call.Kind, call.Class}
		if histograms[id] == nil {
			histograms[id] = newHistogram()
		}
		_ = histograms[id].RecordValue(call.latencyUS())
	}
	var reports []LatencyReport
	for id, histogram := range histograms {
		reports = append(reports, latencyReport(id.kind, id.class, histogram))
	}
	slices.SortFunc(reports, func(a, b LatencyReport) int { return cmp.Compare(a.Kind, b.Kind) })
	return reports
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(latencyLowestUS, latencyHighestUS, latencyDigits)
}

func latencyReport(kind, class string, histogram *hdrhistogram.Histogram) LatencyReport {
	at := func(percentile float64) float64 { return float64(histogram.ValueAtPercentile(percentile)) / 1000 }
	return LatencyReport{
		Kind: kind, Class: class, Count: histogram.TotalCount(),
		P50MS: at(50), P99MS: at(99), P999MS: at(99.9), MaxMS: float64(histogram.Max()) / 1000,
	}
}

// latencyUS returns the time from the intended send to the whole answer, limited
// to the range of the histograms.
func (call *Call) latencyUS() int64 {
	us := (call.AnsweredNS - call.IntendedNS) / int64(time.Microsecond)
	return min(max(us, latencyLowestUS), latencyHighestUS)
}

// countRuns fills in the figures that come from the servers' run records.
func (r *ServiceReport) countRuns(h *History, calls int) {
	slots := map[string]int{}
	for _, server := range h.Info.Servers {
		if server.Service == r.Service {
			slots[server.ID] = server.Slots
			r.Runs[server.ID] = 0
		}
	}
	var started []standin.RunRecord
	tries := 0
	byKey := map[string]int{}
	for _, run := range h.Runs {
		if slots[run.Server] == 0 || run.StartNS < h.Info.StartNS {
			continue
		}
		tries++
		if run.Outcome != standin.RunRefused {
			r.Runs[run.Server]++
			byKey[run.Key]++
			started = append(started, run)
		}
	}
	if calls > 0 {
		r.Tries = float64(tries) / float64(calls)
	}
	r.Imbalance = imbalance(r.Runs, slots)
	r.Floor = imbalanceFloor(byKey, r.Runs, slots)
	r.countChanges(started)
}

// imbalance returns the ratio of maximum to mean of the servers' runs per execution
// slot.
func imbalance(runs, slots map[string]int) float64 {
	total, highest := 0.0, 0.0
	for server, count := range runs {
		load := float64(count) / float64(slots[server])
		total += load
		highest = max(highest, load)
	}
	if total == 0 {
		return 0
	}
	return highest / (total / float64(len(runs)))
}

// imbalanceFloor returns the ratio of the hottest key's runs per execution slot, at a
// server with the most such slots, to the mean of all servers; at least 1.
func imbalanceFloor(byKey, runs, slots map[string]int) float64 {
	hottest, mostSlots, total := 0, 0, 0.0
	for key, count := range byKey {
		if key != "" {
			hottest = max(hottest, count)
		}
	}
	for server, count := range runs {
		mostSlots = max(mostSlots, slots[server])
		total += float64(count) / float64(slots[server])
	}
	if total == 0 {
		return 0
	}
	mean := total / float64(len(runs))
	return max(1, float64(hottest)/float64(mostSlots)/mean)
}

// countChanges counts the changes of server between successive runs of a slot.
func (r *ServiceReport) countChanges(started []standin.RunRecord) {
	changed := 0
	bySlot := runsBySlot(started)
	for _, runs := range bySlot {
		tenures := tenuresOf(runs)
		changes := 0
		for i := 1; i < len(tenures); i++ {
			if tenures[i].server != tenures[i-1].server {
				changes++
			}
		}
		r.Changes += changes
		if changes > 0 {
			changed++
		}
	}
	r.SlotsSeen = len(bySlot)
	if r.SlotsSeen > 0 {
		r.ChangedSlots = float64(changed) / float64(r.SlotsSeen)
	}
}
