package gateway

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"kumquatcleat/internal/dialect"
	"kumquatcleat/internal/keyspace"
	"kumquatcleat/internal/ratelimit"
	"kumquatcleat/internal/registry"
	"kumquatcleat/internal/routetable"
	"kumquatcleat/internal/rows"
	"kumquatcleat/internal/serverconn"
)

// remove deletes a row.
func (s *fleetStore) remove(table, key string) {
	s.put(table, key, nil)
	s.mu.Lock()
	defer s.mu.Unlock()
	list := s.tables[table]
	list[len(list)-1].Deleted = true
}

// usable returns the VMs that would send requests to servers of a failure domain.
func (f *viewFleet) usable(service string) (names []string) {
	for _, vm := range f.vms {
		if len(vm.gateway.registry.Usable(service)) > 0 {
			names = append(names, vm.name)
		}
	}
	return names
}

// Guards against VMs that send requests to an evacuated failure domain because the store refuses
// them, and against ones that do not return to it.
func TestEvacuationReachesVMsThatStoreRefuses(t *testing.T) {
	const learnedWithin = 2500 * time.Millisecond // half of the time until requests must end
	for name, path := range map[string]storePath{"serves": storeServes, "rejects": storeRejects, "silent": storeSilent} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newViewFleet(t, 3, 6)
				f.store.put(fleetServersTable, "s", nil)
				time.Sleep(5 * time.Second)
				for _, vm := range f.readers("b") {
					vm.set(func(v *fleetVM) { v.path = path })
				}
				time.Sleep(time.Second)
				f.store.put(fleetConfigTable, "evacuate/b", []byte("{}"))
				time.Sleep(learnedWithin)
				if late := f.usable("svc"); len(late) > 0 {
					t.Errorf("%v after the evacuation these VMs still use the domain: %v", learnedWithin, late)
				}
				f.store.put(fleetServersTable, "joins meanwhile", nil)
				time.Sleep(5 * time.Second)
				if late := f.usable("svc"); len(late) > 0 {
					t.Errorf("these VMs use a server that joined the evacuated domain: %v", late)
				}
				f.store.remove(fleetConfigTable, "evacuate/b")
				time.Sleep(learnedWithin)
				if back := f.usable("svc"); len(back) != len(f.vms) {
					t.Errorf("%v after the evacuation ended only these VMs use the domain: %v", learnedWithin, back)
				}
			})
		})
	}
}

// evacuationGateway returns a gateway that knows two cold-starting servers of the domain b.
func evacuationGateway(service routetable.Service) *Gateway {
	g := New(testSettings("vm", "a"), Adapter{
		Dialect: &dialect.Dialect{}, EvacuatedDomain: func(key string) (string, bool) { return key, true },
		NewControl: func(*serverconn.Sender, func(string, int64, string)) keyspace.Control { return nil },
	})
	g.rateLimits = ratelimit.New(func(string) float64 { return 1 }, g.metrics)
	g.table.Store(routetable.Compile(routetable.Config{Services: []routetable.Service{service}}))
	for _, id := range []string{"s", "t"} {
		g.registry.Put(registry.Server{ID: id, Service: service.Name, FailureDomain: "b", Slots: 4, Incarnation: 1})
	}
	return g
}

// Guards against an evacuation that ends because its row is missing in a store that has just
// returned, and against one that never ends.
func TestUnsettledDeletionEndsEvacuationLater(t *testing.T) {
	g := evacuationGateway(routetable.Service{Name: "svc"})
	g.applyEvacuations([]rows.Row{{Key: "b"}})
	g.applyEvacuations([]rows.Row{{Key: "b", Deleted: true, Unsettled: true}})
	if _, evacuated := g.registry.Evacuated("b"); !evacuated {
		t.Error("got the evacuation ended by a deletion that may be undone")
	}
	if got := g.unsettledEvacuations.takeExpired(time.Now().Add(storeSettleTime + time.Second)); len(got) != 1 || got[0] != "b" {
		t.Errorf("got evacuations to end %v, want b", got)
	}
	g.applyEvacuations([]rows.Row{{Key: "b", Deleted: true, Unsettled: true}, {Key: "b"}})
	if got := g.unsettledEvacuations.takeExpired(time.Now().Add(time.Hour)); len(got) != 0 {
		t.Errorf("got evacuations to end %v whose row came back, want none", got)
	}
	g.applyEvacuations([]rows.Row{{Key: ""}, {Key: "unknown"}})
	if got := len(g.registry.Usable("svc")); got != 0 {
		t.Errorf("got %d usable servers while their domain is evacuated, want none", got)
	}
}

// Guards against a herd on servers that became cold while their failure domain was evacuated: the
// registrations that say so arrive after the end of the evacuation.
func TestServersCountAsColdAfterEvacuation(t *testing.T) {
	const rate = 6.8
	g := evacuationGateway(routetable.Service{Name: "svc", WarmupRate: rate})
	g.applyEvacuations([]rows.Row{{Key: "b"}})
	g.applyEvacuations([]rows.Row{{Key: "b", Deleted: true}})
	for _, s := range g.registry.Usable("svc") {
		if got := g.rateLimits.WarmupRate(time.Now(), s.Instance()); got != rate {
			t.Errorf("server %s: got a warm-up rate of %v after the evacuation, want %v", s.ID, got, rate)
		}
	}
	plain := evacuationGateway(routetable.Service{Name: "svc"})
	plain.applyEvacuations([]rows.Row{{Key: "b"}})
	plain.applyEvacuations([]rows.Row{{Key: "b", Deleted: true}})
	if plain.rateLimits.Any() {
		t.Error("got limits for a service without a warm-up rate")
	}
}

// Guards against keys that leave an evacuated failure domain all at once, or too late.
func TestServersOfEvacuatedDomainGiveKeysAwayInTurn(t *testing.T) {
	const servers, bound = 100, 5.0
	m := members{registry: registry.New(), evacuationTime: evacuationShare * bound}
	began := time.Now()
	var list []*registry.Server
	for i := range servers {
		s := registry.Server{ID: fmt.Sprintf("i-%010x", uint64(i+1)*2654435761), Service: "svc", FailureDomain: "b", Slots: 4, Incarnation: 1}
		m.registry.Put(s)
		list = append(list, &s)
	}
	m.registry.Evacuate(began, "b")
	giving := func(after time.Duration) (n int) {
		for _, s := range list {
			if m.givesKeysAway(began.Add(after), s) {
				n++
			}
		}
		return n
	}
	half := time.Duration(evacuationShare * bound / 2 * float64(time.Second))
	if got := giving(half); got < servers/4 || got > servers*3/4 {
		t.Errorf("got %d of %d servers giving keys away after half of the time, want about half", got, servers)
	}
	if got := giving(2 * half); got != servers {
		t.Errorf("got %d of %d servers giving keys away in the end, want all", got, servers)
	}
	m.registry.EndEvacuation("b")
	if got := m.State(keyspace.Holder{Server: list[0].ID, Incarnation: 1}); got != keyspace.Serving {
		t.Errorf("got state %v after the evacuation, want serving", got)
	}
}
