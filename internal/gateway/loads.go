package gateway

import (
	"context"
	"encoding/json"
	"log/slog"
	"maps"
	"net/http"
	"sync"
	"time"

	"kumquatcleat/internal/balance"
	"kumquatcleat/internal/bootclock"
	"kumquatcleat/internal/dispatch"
	"kumquatcleat/internal/keyspace"
	"kumquatcleat/internal/overload"
	"kumquatcleat/internal/ratelimit"
	"kumquatcleat/internal/registry"
	"kumquatcleat/internal/retry"
	"kumquatcleat/internal/rows"
	"kumquatcleat/internal/spill"
	"kumquatcleat/internal/wait"
)

// pathLoads accepts a loadReport and responds with a reportResponse.
const pathLoads = "/peer/loads"

// loadReport is what a VM reports to the coordinator.
type loadReport struct {
	keyspace.Report
	Stamp    reportStamp          `json:"stamp,omitzero"`
	Suspects retry.SuspectsReport `json:"suspects,omitzero"`
	// Unanswered are requests whose servers may have ended under them.
	Unanswered []dispatch.Unanswered `json:"unanswered,omitempty"`
	// Leaving are the servers that said in an answer that they leave.
	Leaving []registry.Instance `json:"leaving,omitempty"`
	// Spill holds the requests in flight for services without keys.
	Spill spill.Report `json:"spill,omitzero"`
}

// reportResponse acknowledges a report.
type reportResponse struct {
	// Overloads holds the signals for overloaded servers, by server ID.
	Overloads map[string]overload.Signal `json:"overloads,omitempty"`
	// RateLimits holds the rate limits that servers stated first, changed or lifted
	// recently.
	RateLimits []ratelimit.Statement `json:"rate_limits,omitempty"`
	Suspects   retry.SuspectsAnswer  `json:"suspects,omitzero"`
	Unanswered []dispatch.Unanswered `json:"unanswered,omitempty"`
	Leaving    []registry.Instance   `json:"leaving,omitempty"`
	// SlowKeys are the keys that moved without handover data lately, by service.
	SlowKeys map[string][]keyspace.SlowSpan `json:"slow_keys,omitempty"`
	// DomainLoads holds the loads of the services without keys by failure domain.
	DomainLoads spill.Figures `json:"domain_loads,omitempty"`
	// ClockMS is the coordinator's clock, see reportStamp.
	ClockMS int64 `json:"clock_ms,omitempty"`
	// TooOld says that the report did not count.
	TooOld bool `json:"too_old,omitempty"`
}

const (
	// reportInterval lets the coordinator detect newly busy keys in less than a second.
	reportInterval = 400 * time.Millisecond
	reportTimeout  = 500 * time.Millisecond
	// idleReportInterval is the interval of reports from a VM with nothing to report, which
	// learns from the responses what others saw.
	idleReportInterval = time.Second
)

// loadReporter counts requests by key and reports the counts to the coordinator.
type loadReporter struct {
	// suspectCoordinator is called when the coordinator did not accept several reports
	// in a row. isCoordinator reports whether this VM may accept reports.
	suspectCoordinator  func()
	isCoordinator       func() bool
	consecutiveFailures int // consecutive reports not accepted; used only by run
	// exchange shares quarantine, which other VMs add to if this one coordinates. process
	// identifies this run of the process.
	quarantine *retry.MemoryQuarantine
	exchange   *retry.Exchange // used only by run
	suspicions *dispatch.Suspicions
	unanswered *dispatch.UnansweredReports // used only by run
	process    string
	sentAt     time.Time       // of the last report; used only by run
	stamps     *reportStamps   // used only by run
	arrivals   *reportArrivals // of reports to this VM, if it coordinates
	// post keeps in the store what VMs have to know that the coordinator can't tell them.
	post func(retry.Post)

	vm           string // this VM
	selfAddress  string // this VM's peer address
	report       func(keyspace.Report)
	serviceTimes func(service string) map[string]balance.Samples
	inFlight     func(service string) map[string]int
	overloads    func() map[string]overload.Signal // of the coordinator
	gate         *overload.Gate
	// rateLimits are those of this VM, rateLimitChanges those of the coordinator.
	rateLimits       *ratelimit.Limits
	registry         *registry.Registry
	rateLimitChanges func() []ratelimit.Statement
	// slowKeys are those that this VM knows, currentSlowKeys those that the coordinator knows.
	slowKeys        *keyspace.SlowKeys
	currentSlowKeys func() map[string][]keyspace.SlowSpan
	spill           *spiller
	client          *http.Client

	mu          sync.Mutex                    // guards the fields below
	counts      map[string]map[uint32]float64 // by service and key
	coordinator string                        // peer address
}

func newLoadReporter(s *Settings, process string, suspicions *dispatch.Suspicions, report func(keyspace.Report), times func(string) map[string]balance.Samples) *loadReporter {
	q := suspicions.Quarantine()
	return &loadReporter{post: func(retry.Post) {}, slowKeys: &keyspace.SlowKeys{}, currentSlowKeys: func() map[string][]keyspace.SlowSpan { return nil }, process: process, stamps: &reportStamps{run: newRunID(process), now: bootclock.Now}, arrivals: newReportArrivals(process), quarantine: q, exchange: retry.NewExchange(q), suspicions: suspicions, unanswered: dispatch.NewUnansweredReports(suspicions), vm: s.VM, selfAddress: s.PeerListen, gate: overload.NewGate(), report: report, serviceTimes: times, client: newPeerClient(s.IP, peerDialTimeout, peerIdleConnections), counts: map[string]map[uint32]float64{}}
}

// count counts a request for a key.
func (l *loadReporter) count(service string, key uint32) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.counts[service] == nil {
		l.counts[service] = map[uint32]float64{}
	}
	l.counts[service][key]++
}

// apply takes the coordinator's address from changed rows of the keys table.
func (l *loadReporter) apply(changed []rows.Row) {
	for _, row := range changed {
		if address, ok := keyspace.CoordinatorAddress(row); ok {
			l.mu.Lock()
			l.coordinator = address
			l.mu.Unlock()
		}
	}
}

// coordinatorAddress returns the peer address of the coordinator, or "" if unknown.
func (l *loadReporter) coordinatorAddress() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.coordinator
}

func (l *loadReporter) takeReport() (keyspace.Report, string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	report := keyspace.Report{VM: l.vm, Requests: l.counts, ServiceTimes: map[string]balance.Samples{}, InFlight: map[string]int{}}
	for service := range l.counts {
		maps.Copy(report.ServiceTimes, l.serviceTimes(service))
		maps.Copy(report.InFlight, l.inFlight(service))
	}
	report.RateLimits = l.rateLimits.TakeStatements(time.Now())
	l.counts = map[string]map[uint32]float64{}
	return report, l.coordinator
}

// run reports until ctx ends. A lost report is not resent: the next one is enough.
func (l *loadReporter) run(ctx context.Context) {
	for wait.For(ctx, reportInterval) {
		report, coordinator := l.takeReport()
		suspects, change := l.exchange.Report()
		unanswered, lastUnanswered := l.unanswered.Next()
		l.spill.publish()
		spillReport := l.spill.report()
		idle := len(spillReport.InFlight) == 0 && len(spillReport.Into) == 0 && len(report.Requests) == 0 && len(report.RateLimits) == 0 && len(suspects.Suspects) == 0 && len(unanswered) == 0
		l.post(l.exchange.Post(l.isCoordinator()))
		switch {
		case coordinator == "":
			l.exchange.Failed()
		case idle && time.Since(l.sentAt) < idleReportInterval:
		case coordinator == l.selfAddress:
			l.report(report)
			l.spill.received(l.vm, spillReport)
			l.follow(time.Now(), l.response(retry.SuspectsReport{}))
		default:
			l.sentAt = time.Now()
			response, accepted := l.send(ctx, coordinator, loadReport{Report: report, Suspects: suspects, Unanswered: unanswered, Leaving: l.registry.Leaving(), Spill: spillReport})
			if accepted {
				l.suspicions.Learn(response.Unanswered)
				l.unanswered.Delivered(response.Suspects.Known.Process, lastUnanswered)
				l.exchange.Delivered(change, response.Suspects)
			} else {
				l.exchange.Failed()
			}
			l.recordDelivery(accepted)
		}
	}
}

// maxReportFailures is how many consecutive reports must fail before the coordinator is
// suspected to have failed. A single failure may be due to a lost packet.
const maxReportFailures = 2

// recordDelivery records whether the coordinator accepted a report.
func (l *loadReporter) recordDelivery(accepted bool) {
	if accepted {
		l.consecutiveFailures = 0
		return
	}
	if l.consecutiveFailures++; l.consecutiveFailures >= maxReportFailures {
		l.suspectCoordinator()
	}
}

// send delivers a report and follows the response. It returns whether the coordinator accepted
// the report.
func (l *loadReporter) send(ctx context.Context, to string, report loadReport) (response reportResponse, accepted bool) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	sentAt, sent := time.Now(), l.stamps.now()
	report.Stamp = l.stamps.next()
	if err := call(ctx, l.client, to, pathLoads, report, &response); err != nil {
		slog.Debug("loads: report not delivered to the coordinator", "coordinator", to, "error", err.Error())
		return response, false
	}
	l.stamps.answer(sent, response.Suspects.Known.Process, response.ClockMS)
	if response.TooOld {
		slog.Info("loads: report was too old for the coordinator", "coordinator", to, "number", report.Stamp.Number)
		return response, false
	}
	l.follow(sentAt, response)
	return response, true
}

// response returns this VM's response to a report, as the coordinator.
func (l *loadReporter) response(suspects retry.SuspectsReport) reportResponse {
	return reportResponse{Overloads: l.overloads(), RateLimits: l.rateLimitChanges(), Suspects: retry.Answer(l.quarantine, l.process, suspects), Leaving: l.registry.Leaving(), DomainLoads: l.spill.figures(), SlowKeys: l.currentSlowKeys()}
}

// follow applies the coordinator's response to a report that was sent at the given time. What it
// says may be as old as that.
func (l *loadReporter) follow(sent time.Time, response reportResponse) {
	l.gate.Update(sent, response.Overloads)
	l.slowKeys.Update(sent, response.SlowKeys)
	l.rateLimits.Learn(sent, response.RateLimits)
	l.markLeaving(response.Leaving)
	l.spill.follow(sent, response.DomainLoads)
}

// markLeaving records the servers that said to another VM that they leave.
func (l *loadReporter) markLeaving(servers []registry.Instance) {
	for _, instance := range servers {
		l.registry.MarkLeaving(instance)
	}
}

// receive handles a report from another VM.
func (l *loadReporter) receive(w http.ResponseWriter, r *http.Request) {
	var report loadReport
	if !decodeRequest(w, r, &report) {
		return
	}
	if !l.isCoordinator() {
		http.Error(w, "another VM coordinates", http.StatusConflict)
		return
	}
	if l.arrivals.tooOld(report.VM, report.Stamp) {
		slog.Info("loads: report ignored, its VM has given up on it or sent a newer one", "vm", report.VM, "number", report.Stamp.Number)
		l.respond(w, reportResponse{TooOld: true, Suspects: retry.SuspectsAnswer{Known: retry.Position{Process: l.process}}})
		return
	}
	l.report(report.Report)
	l.spill.received(report.VM, report.Spill)
	l.markLeaving(report.Leaving)
	response := l.response(report.Suspects)
	response.Unanswered = l.suspicions.Exchange(report.Unanswered)
	l.respond(w, response)
}

func (l *loadReporter) respond(w http.ResponseWriter, response reportResponse) {
	response.ClockMS = l.arrivals.clockMS()
	if err := json.NewEncoder(w).Encode(response); err != nil {
		slog.Debug("loads: response to a report not sent", "error", err.Error())
	}
}
