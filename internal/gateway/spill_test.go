package gateway

import (
	"encoding/json"
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"

	"kumquatcleat/internal/balance"
	"kumquatcleat/internal/registry"
)

// newTestSpiller returns the spiller of a VM that knows the given servers, one for each domain.
func newTestSpiller(domain string, serverDomains ...string) *spiller {
	var servers []*registry.Server
	for _, d := range serverDomains {
		servers = append(servers, &registry.Server{ID: "s-" + d, Service: "svc", FailureDomain: d, Slots: 10})
	}
	settings := testSettings("vm", domain)
	settings.CrossDomainPrice, settings.CrossDomainMS = defaultCrossDomainPrice, defaultCrossDomainMS
	s := newSpiller(settings, balance.New(balance.Settings{FailureDomain: domain, InitialServiceTime: initialService, MaxRequestsPerSlot: maxQueue}), metrics.NewRegistry())
	s.services = func() []string { return []string{"svc"} }
	s.usable = func(string) []*registry.Server { return servers }
	s.objective = func(string) time.Duration { return 4 * initialService }
	return s
}

// Guards against VMs that do not learn from each other that their domain is full: the requests of
// two VMs together make the third one send some away.
func TestVMsSpillByTheLoadOfAll(t *testing.T) {
	coordinator := newTestReporter("coordinator")
	server := httptest.NewServer((&viewSync{loads: coordinator}).mux())
	defer server.Close()
	var vms []*loadReporter
	for i, domain := range []string{"a", "a", "a", "b"} {
		vm := newTestReporter(fmt.Sprint("vm-", i))
		vm.coordinator = strings.TrimPrefix(server.URL, "http://")
		vm.spill = newTestSpiller(domain, "a", "b")
		vms = append(vms, vm)
	}
	coordinator.spill = newTestSpiller("b", "a", "b")
	for _, vm := range vms[:2] {
		for range 20 { // 4 requests for each slot, with the other VM
			vm.spill.balancer.Started(vm.spill.usable("svc")[0])
		}
	}
	for _, vm := range vms {
		go vm.run(t.Context())
	}
	eventually(t, "the third VM to send requests away", func() bool {
		return vms[2].spill.decider.Shares(time.Now(), "svc")["b"] > 0
	})
	eventually(t, "a request to be sent away", func() bool {
		vms[2].spill.place("svc")
		return vms[2].spill.spilled.Count() > 0
	})
	if got := vms[3].spill.place("svc"); got.Domain != "b" {
		t.Errorf("got placement %+v for a VM of the domain with room, want its own domain", got)
	}
}

// Guards against reports that VMs of the previous version can't read, and against figures of which
// they do not know what they mean: without several domains, nothing is added.
func TestReportsHaveNoFieldsForOneDomain(t *testing.T) {
	one := newTestSpiller("a", "a")
	one.balancer.Started(one.usable("svc")[0])
	one.received("vm", one.report())
	for _, message := range []any{loadReport{Spill: one.report()}, reportResponse{DomainLoads: one.figures()}} {
		data, err := json.Marshal(message)
		if err != nil || strings.Contains(string(data), "spill") || strings.Contains(string(data), "domain") {
			t.Errorf("got %s, error %v, want no field on domains", data, err)
		}
	}
	if p := one.place("svc"); p != (balance.Placement{}) {
		t.Errorf("got placement %+v, want none", p)
	}
	if r := newTestSpiller("a", "a", "b").report(); r.Domain != "a" || len(r.InFlight) != 0 {
		t.Errorf("got report %+v for two domains, want domain a", r)
	}
}

// Guards against slow servers that count like fast ones: a domain of servers that take twice as long
// has half the slots.
func TestSlotsCountBySpeed(t *testing.T) {
	s := newTestSpiller("a", "a", "b")
	for i, server := range s.usable("svc") {
		for range 200 {
			s.balancer.Started(server)
			s.balancer.Finished(time.Now(), server, balance.Outcome{Took: time.Duration(i+1) * initialService, Answered: true})
		}
	}
	slots := s.currentSlots(0)["svc"]
	if ratio := slots["a"] / slots["b"]; ratio < 1.5 || ratio > 2 || slots["a"]+slots["b"] < 19.9 || slots["a"]+slots["b"] > 20.1 {
		t.Errorf("got slots %v, want about twice as many in domain a and 20 in all", slots)
	}
}
