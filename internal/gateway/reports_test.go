package gateway

import (
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"kumquatcleat/internal/keyspace"
	"kumquatcleat/internal/ratelimit"
	"kumquatcleat/internal/registry"
)

// reportPath carries the reports of one VM to the coordinator. Their clocks differ.
type reportPath struct {
	now      time.Duration
	stamps   *reportStamps
	arrivals *reportArrivals
}

const coordinatorProcess = "coordinator"

func newReportPath() *reportPath {
	p := &reportPath{now: time.Hour, arrivals: newReportArrivals(coordinatorProcess)}
	p.arrivals.now = func() time.Duration { return p.now + 7*time.Hour }
	p.restart("first")
	return p
}

// restart starts the VM again.
func (p *reportPath) restart(process string) {
	p.stamps = &reportStamps{run: newRunID(process), now: func() time.Duration { return p.now }}
}

// deliver delivers a report after a delay, with a prompt answer, and reports whether it counts.
func (p *reportPath) deliver(delay time.Duration) bool {
	sent, stamp := p.now, p.stamps.next()
	p.now += delay
	if p.arrivals.tooOld("vm", stamp) {
		return false
	}
	p.stamps.answer(sent, coordinatorProcess, p.arrivals.clockMS())
	p.now += reportInterval
	return true
}

// Guards against reports that the network, or a paused coordinator, held up and that count as if they
// were new, and against duplicates.
func TestReportsThatArriveLateDoNotCount(t *testing.T) {
	for _, late := range []time.Duration{reportTimeout + time.Second, 3 * time.Second, 10 * time.Second} {
		p := newReportPath()
		for range 3 {
			if !p.deliver(20 * time.Millisecond) {
				t.Fatal("a report in time does not count")
			}
		}
		held := p.stamps.next() // its VM gives up on it
		p.now += late
		if !p.arrivals.tooOld("vm", held) {
			t.Errorf("a report %v late counts", late)
		}
		if !p.deliver(20 * time.Millisecond) {
			t.Errorf("the next report, after one that was %v late, does not count", late)
		}
		if !p.arrivals.tooOld("vm", held) {
			t.Errorf("a report %v late counts once the next one has arrived", late)
		}
	}
}

// Guards against reports in another order, or twice, before and after a restart of the VM that tells.
func TestReportsOutOfOrderDoNotCount(t *testing.T) {
	p := newReportPath()
	held := p.stamps.next()
	if !p.deliver(0) || !p.arrivals.tooOld("vm", held) {
		t.Error("a report counts after a newer one")
	}
	repeated := p.stamps.next()
	if p.arrivals.tooOld("vm", repeated) || !p.arrivals.tooOld("vm", repeated) {
		t.Error("a report does not count just once")
	}
	p.restart("second")
	if !p.deliver(0) {
		t.Error("the first report after a restart does not count")
	}
	if p.now += 2 * reportTimeout; !p.arrivals.tooOld("vm", repeated) {
		t.Error("a report from before a restart counts")
	}
}

// A coordinator that starts again, and VMs of earlier builds, which send no stamp, lose no reports.
func TestReportsAfterChangeOfCoordinatorCount(t *testing.T) {
	p := newReportPath()
	for range 3 {
		p.deliver(0)
	}
	p.now += time.Minute
	next := newReportArrivals("another")
	next.now = func() time.Duration { return p.now - time.Hour }
	if next.tooOld("vm", p.stamps.next()) {
		t.Error("the first report to another coordinator does not count")
	}
	for range 2 {
		if next.tooOld("vm", reportStamp{}) {
			t.Error("a report without a stamp does not count")
		}
	}
	p.stamps.answer(p.now, "earlier build", 0)
	if stamp := p.stamps.next(); stamp.Coordinator != 0 {
		t.Errorf("got stamp %+v after the answer of an earlier build, want no coordinator", stamp)
	}
}

// Guards against a rate limit that was lifted, and that a VM's report brings back at all VMs because
// it was held up on its way to the coordinator.
func TestHeldUpReportDoesNotBringBackLiftedLimit(t *testing.T) {
	coordinator, vm := newTestReporter("coordinator"), newTestReporter("vm")
	board := ratelimit.NewBoard()
	coordinator.report = func(r keyspace.Report) { board.Add(coordinator.arrivals.now(), r.RateLimits) }
	server := httptest.NewServer((&viewSync{loads: coordinator}).mux())
	defer server.Close()
	to, limited := strings.TrimPrefix(server.URL, "http://"), registry.Instance{ID: "s", Incarnation: 1}
	report := func(l *loadReporter) loadReport {
		return loadReport{Report: keyspace.Report{VM: l.vm, RateLimits: l.rateLimits.TakeStatements(time.Now())}}
	}
	if _, accepted := vm.send(t.Context(), to, report(vm)); !accepted {
		t.Fatal("the coordinator did not accept a report")
	}
	vm.rateLimits.Stated(time.Now(), limited, 0.1)
	held := report(vm)
	held.Stamp = vm.stamps.next()
	other := newTestReporter("other")
	other.rateLimits.Stated(time.Now(), limited, 0.1)
	other.rateLimits.Unstated(time.Now(), limited)
	if _, accepted := other.send(t.Context(), to, report(other)); !accepted {
		t.Fatal("the coordinator did not accept a report")
	}
	time.Sleep(2 * reportTimeout)
	var response reportResponse
	if err := call(t.Context(), vm.client, to, pathLoads, held, &response); err != nil || !response.TooOld {
		t.Errorf("got response %+v, %v to a report that was held up; want that it is too old", response, err)
	}
	if rate, back := board.Rate(limited); back {
		t.Errorf("the limit is back, %v/s", rate)
	}
}
