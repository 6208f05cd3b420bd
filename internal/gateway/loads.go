package gateway

import (
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"maps"
	"net/http"
	"sync"
	"time"

	"kumquatcleat/internal/balance"
	"kumquatcleat/internal/keyspace"
	"kumquatcleat/internal/rows"
	"kumquatcleat/internal/wait"
)

// pathLoads takes a keyspace.Report and answers with a reportTaken.
const pathLoads = "/peer/loads"

// reportTaken says that a report was taken in.
type reportTaken struct{}

const (
	// reportInterval lets keys that become busy be seen in less than a second.
	reportInterval = 400 * time.Millisecond
	reportTimeout  = 500 * time.Millisecond
)

// loads counts requests by key and reports them to the coordinator.
type loads struct {
	// lost is told when the coordinator did not take reports, coordinates whether this
	// VM may take them.
	lost        func()
	coordinates func() bool
	misses      int // reports in a row that the coordinator did not take; of run alone

	self   string // this VM's peer address
	report func(keyspace.Report)
	times  func(service string) map[string]balance.Samples
	client *http.Client

	mu          sync.Mutex                    // owns the fields below
	counts      map[string]map[uint32]float64 // by service and key
	coordinator string                        // peer address
}

func newLoads(s *Settings, report func(keyspace.Report), times func(string) map[string]balance.Samples) *loads {
	return &loads{self: s.PeerListen, report: report, times: times, client: newPeerClient(s.IP, peerDialTimeout), counts: map[string]map[uint32]float64{}}
}

// count notes a request for a key.
func (l *loads) count(service string, key uint32) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.counts[service] == nil {
		l.counts[service] = map[uint32]float64{}
	}
	l.counts[service][key]++
}

// apply learns where the coordinator is.
func (l *loads) apply(changed []rows.Row) {
	for _, row := range changed {
		if address, ok := keyspace.CoordinatorAddress(row); ok {
			l.mu.Lock()
			l.coordinator = address
			l.mu.Unlock()
		}
	}
}

// coordinatorAddress returns the peer address of the VM that coordinates, if known.
func (l *loads) coordinatorAddress() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.coordinator
}

func (l *loads) take() (keyspace.Report, string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	report := keyspace.Report{Requests: l.counts, Times: map[string]balance.Samples{}}
	for service := range l.counts {
		maps.Copy(report.Times, l.times(service))
	}
	l.counts = map[string]map[uint32]float64{}
	return report, l.coordinator
}

// run reports until ctx ends. A report that is lost is not sent again: the next
// one tells enough.
func (l *loads) run(ctx context.Context) {
	for wait.For(ctx, reportInterval) {
		report, coordinator := l.take()
		switch {
		case len(report.Requests) == 0 || coordinator == "":
		case coordinator == l.self:
			l.report(report)
		default:
			l.note(l.send(ctx, coordinator, report))
		}
	}
}

// mostMisses is how many reports in a row may be lost before the coordinator is
// taken for lost: a single one may be due to a lost packet.
const mostMisses = 2

// note takes in whether the coordinator took a report.
func (l *loads) note(taken bool) {
	if taken {
		l.misses = 0
		return
	}
	if l.misses++; l.misses >= mostMisses {
		l.lost()
	}
}

// send reports whether the coordinator took a report.
func (l *loads) send(ctx context.Context, to string, report keyspace.Report) bool {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	var taken reportTaken
	if err := call(ctx, l.client, to, pathLoads, report, &taken); err != nil {
		slog.Debug("loads: a report was lost", "coordinator", to, "error", err.Error())
		return false
	}
	return true
}

// receive takes another VM's report.
func (l *loads) receive(w http.ResponseWriter, r *http.Request) {
	var report keyspace.Report
	if err := json.NewDecoder(io.LimitReader(r.Body, maxPeerAnswer)).Decode(&report); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !l.coordinates() {
		http.Error(w, "another VM coordinates", http.StatusConflict)
		return
	}
	l.report(report)
	if err := json.NewEncoder(w).Encode(reportTaken{}); err != nil {
		slog.Debug("loads: an answer was not sent", "error", err.Error())
	}
}
