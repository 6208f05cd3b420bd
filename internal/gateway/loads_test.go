package gateway

import (
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"

	"kumquatcleat/internal/dispatch"
	"kumquatcleat/internal/keyspace"
	"kumquatcleat/internal/overload"
	"kumquatcleat/internal/ratelimit"
	"kumquatcleat/internal/registry"
	"kumquatcleat/internal/retry"
)

func newTestSuspicions() *dispatch.Suspicions {
	return dispatch.NewSuspicions(retry.NewQuarantine(retry.DefaultQuarantineSettings(), time.Now), time.Now, nil)
}

// A VM that is no longer the coordinator refuses load reports. After two consecutive
// reports that are not accepted, the reporting VM has to suspect the coordinator.
func TestCoordinatorIsSuspectedAfterTwoRefusedReports(t *testing.T) {
	accepted := 0
	coordinator := newLoadReporter(testSettings("c", "a"), "p", newTestSuspicions(), func(keyspace.Report) { accepted++ }, nil)
	coordinator.overloads = func() map[string]overload.Signal { return map[string]overload.Signal{"s": {Admit: 0}} }
	coordinator.registry = registry.New()
	coordinator.spill = newTestSpiller("a")
	coordinating := true
	limited := ratelimit.Statement{Server: "limited", Incarnation: 1, Rate: 0.5}
	coordinator.rateLimitChanges = func() []ratelimit.Statement { return []ratelimit.Statement{limited} }
	coordinator.isCoordinator = func() bool { return coordinating }
	server := httptest.NewServer((&viewSync{loads: coordinator}).mux())
	defer server.Close()
	to := strings.TrimPrefix(server.URL, "http://")
	suspicions := 0
	vm := newLoadReporter(testSettings("vm", "a"), "q", newTestSuspicions(), nil, nil)
	vm.rateLimits = ratelimit.New(func(string) float64 { return 0.01 }, metrics.NewRegistry())
	vm.suspectCoordinator = func() { suspicions++ }
	vm.registry = registry.New()
	vm.spill = newTestSpiller("a")
	for _, step := range []struct {
		coordinating bool
		suspicions   int
	}{{true, 0}, {false, 0}, {true, 0}, {false, 0}, {false, 1}} {
		coordinating = step.coordinating
		_, delivered := vm.send(t.Context(), to, loadReport{})
		vm.recordDelivery(delivered)
		if suspicions != step.suspicions {
			t.Fatalf("step %+v: got %d suspicions", step, suspicions)
		}
	}
	if s, _, ok := vm.gate.Signal(time.Now(), "s"); !ok || s.Admit > 0 {
		t.Error("the VM does not follow the signals in the responses to its reports")
	}
	if wait := vm.rateLimits.Wait(time.Now(), registry.Instance{ID: "limited", Incarnation: 1}); wait == 0 {
		t.Error("the VM does not follow the rate limits in the responses to its reports")
	}
	if accepted != 2 {
		t.Fatalf("got %d accepted reports, want 2", accepted)
	}
}

// newTestReporter returns the reporter of a VM; the one called "coordinator" coordinates.
func newTestReporter(vm string) *loadReporter {
	l := newLoadReporter(testSettings(vm, "a"), vm, newTestSuspicions(), func(keyspace.Report) {}, nil)
	l.overloads = func() map[string]overload.Signal { return nil }
	l.rateLimits = ratelimit.New(func(string) float64 { return 1 }, metrics.NewRegistry())
	l.rateLimitChanges = func() []ratelimit.Statement { return nil }
	l.isCoordinator = func() bool { return vm == "coordinator" }
	l.suspectCoordinator = func() {}
	l.registry = registry.New()
	l.spill = newTestSpiller("a")
	return l
}

// Guards against VMs that each count the servers which end under a request: the losses that two
// VMs saw reach a third one through the coordinator.
func TestVMsShareSuspectsThroughCoordinator(t *testing.T) {
	coordinator := newTestReporter("coordinator")
	server := httptest.NewServer((&viewSync{loads: coordinator}).mux())
	defer server.Close()
	var vms []*loadReporter
	for _, name := range []string{"vm-1", "vm-2", "vm-3"} {
		vm := newTestReporter(name)
		vm.coordinator = strings.TrimPrefix(server.URL, "http://")
		vms = append(vms, vm)
		go vm.run(t.Context())
	}
	vms[0].quarantine.ServerLost("svc", retry.Fingerprints{Request: 7, Path: 7}, "s1")
	vms[1].quarantine.ServerLost("svc", retry.Fingerprints{Request: 7, Path: 7}, "s2")
	eventually(t, "all VMs to refuse the request", func() bool {
		for _, vm := range append(vms, coordinator) {
			if vm.quarantine.Admit("svc", retry.Fingerprints{Request: 7, Path: 7}) == nil {
				return false
			}
		}
		return true
	})
}

// Guards against forgetting a request that ended a server because the VM that sent it, or the
// coordinator, ends before the registration of the server shows it.
func TestUnansweredRequestIsKnownWhenItsVMEnds(t *testing.T) {
	request, server := retry.Fingerprints{Request: 7, Path: 7}, &registry.Server{ID: "s1", Incarnation: 1}
	for _, sender := range []string{"coordinator", "vm-1"} {
		coordinator := newTestReporter("coordinator")
		to := httptest.NewServer((&viewSync{loads: coordinator}).mux())
		defer to.Close()
		vms := map[string]*loadReporter{"coordinator": coordinator, "vm-1": newTestReporter("vm-1")}
		vms[sender].suspicions.Unanswered("svc", request, server, time.Now())
		vms["vm-1"].coordinator = strings.TrimPrefix(to.URL, "http://")
		go vms["vm-1"].run(t.Context())
		other := vms["vm-1"]
		if sender == "vm-1" {
			other = coordinator
		}
		eventually(t, "the loss to be counted by another VM than "+sender, func() bool {
			other.suspicions.Ended(server.Instance(), "its entry is gone")
			return other.quarantine.LostElsewhere("svc", request, nil) == 1
		})
	}
}

// Guards against overload signals that hold for longer because their message took time.
func TestSignalsHoldFromReportOn(t *testing.T) {
	vm := newTestReporter("vm")
	var response reportResponse
	response.Overloads = map[string]overload.Signal{"s": {Admit: 0}}
	vm.follow(time.Now().Add(-2*time.Second), response)
	if _, _, ok := vm.gate.Signal(time.Now(), "s"); ok {
		t.Error("a signal holds that was sent for longer ago than signals hold")
	}
	vm.follow(time.Now(), response)
	if s, _, ok := vm.gate.Signal(time.Now(), "s"); !ok || s.Admit > 0 {
		t.Error("a new signal does not hold")
	}
}
