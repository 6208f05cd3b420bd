package daemon

import (
	"context"
	"testing"

	"kumquatcleat/internal/backend"
	"kumquatcleat/internal/config"
)

// Two services may name their servers alike; a grant must not reach the other's.
func TestServersOfTwoServicesWithOneIDAreKeptApart(t *testing.T) {
	r := newRig(t, 0)
	first, second := r.servers["s1"], r.servers["s2"]
	store := config.NewStore()
	for name, server := range map[string]*rigServer{"alpha": first, "beta": second} {
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
			t.Fatalf("%s: not found", name)
		}
		state, err := controller.State(context.Background(), name+"/a/0")
		if err != nil || state.Server != want {
			t.Errorf("%s: asked server %q, want %q: %v", name, state.Server, want, err)
		}
	}
}
