package daemon

import (
	"testing"

	"kumquatcleat/internal/config"
	"kumquatcleat/internal/ownership"
	"kumquatcleat/internal/placement"
)

func TestMovingSlotNotPlannedBackToOldOwner(t *testing.T) {
	service := &config.Service{Name: "swapbay", SlotCount: 1, Domains: []string{"a"}, Servers: []config.Server{
		{ID: "s1", FailureDomain: "a", Slots: 1}, {ID: "s2", FailureDomain: "a", Slots: 1},
	}}
	old := ownership.ServerRef{ID: "s1", Incarnation: "i1"}
	move := ownership.Move{Slot: 0, From: old, To: ownership.ServerRef{ID: "s2", Incarnation: "i2"}}
	routes := ownership.Routes{Slots: []ownership.Route{{Slot: 0, Server: old, Moving: true}}}
	input := placementInput(service, service.Groups()[0], routes, nil)
	applyMoves(input, []ownership.Move{move})
	settings := placement.DefaultSettings
	settings.MoveBudget = 0
	if owner := placement.Plan(input, settings)[0]; owner != "s2" {
		t.Fatalf("got planned owner %s, want s2, the target of the move", owner)
	}
}
