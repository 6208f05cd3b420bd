package daemon

import (
	"context"
	"testing"

	"kumquatcleat/internal/backend"
	"kumquatcleat/internal/config"
)

// Server ids are unique only within a service. Guards against a grant that reaches the
// server of the same id in another service.
func TestSameServerIDInTwoServicesReachesOwnServer(t *testing.T) {
	c := newTestCluster(t, 0)
	first, second := c.servers["s1"], c.servers["s2"]
	store := config.NewStore()
	for name, server := range map[string]*testServer{"alpha": first, "beta": second} {
		store.Put(&config.Service{
			Schema: config.Schema1, Version: 1, Name: name, SlotCount: 1, Domains: []string{"a"},
			Servers: []config.Server{{ID: "same", FailureDomain: "a", Address: server.http.Listener.Addr().String(), Slots: 1}},
		})
	}
	clients := backend.NewControlClients()
	for name, want := range map[string]string{"alpha": "s1", "beta": "s2"} {
		finder := &serviceServers{service: name, store: store, clients: clients}
		controller, ok := finder.Controller("same")
		if !ok {
			t.Fatalf("service %s: no controller found for its server", name)
		}
		state, err := controller.State(context.Background(), name+"/a/0")
		if err != nil || state.Server != want {
			t.Errorf("service %s: got an answer from server %q, want %q, error %v", name, state.Server, want, err)
		}
	}
}
