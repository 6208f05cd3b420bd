package daemon

import (
	"context"
	"maps"
	"slices"

	"kumquatcleat/internal/config"
	"kumquatcleat/internal/ownership"
	"kumquatcleat/internal/placement"
)

// plan computes the wanted owners of a group's slots and delivers them to the driver.
func (g *Groups) plan(ctx context.Context, run *groupRun, roster *Roster) {
	service, ok := g.store.Service(run.id.Service)
	if !ok {
		return
	}
	status, err := run.driver.Status(ctx)
	if err != nil {
		return
	}
	routes, err := run.driver.Routes(ctx, g.self)
	if err != nil {
		return
	}
	now := g.env.Clock()
	input := placementInput(service, run.id, routes, run.rates.total(now))
	draining := run.rates.draining(now)
	maps.Copy(draining, roster.Leaving)
	applyMoves(input, status.Moves)
	markServers(input.Servers, status, draining)
	event := ownership.PlanChanged{Servers: make(map[string]ownership.ServerPlan, len(input.Servers))}
	if mayPlan(status) {
		event.Owners = placement.Plan(input, g.settingsFor(service))
	}
	for _, server := range service.ServersOf(run.id) {
		event.Servers[server.ID] = ownership.ServerPlan{
			Drain:  server.Drain || draining[server.ID],
			Checks: server.Checks,
			Gone:   roster.GoneServers[server.ID],
		}
	}
	run.driver.Deliver(ctx, event)
}

// settingsFor returns the placement settings of a service. If some servers do not check
// grants, a moved slot is unavailable for a whole request deadline, so no slot is moved
// just to balance load.
func (g *Groups) settingsFor(service *config.Service) placement.Settings {
	settings := g.placement
	if hasUnchecked(service) {
		settings.MoveBudget = 0
	}
	return settings
}

// hasUnchecked reports whether a service has a server that does not check grants.
func hasUnchecked(service *config.Service) bool {
	return slices.ContainsFunc(service.Servers, func(s config.Server) bool { return !s.Checks })
}

// mayPlan reports whether this VM can compute wanted owners: it is the keeper, which
// knows the current owners, or the group has no owners yet. A plan made without the
// current owners would move most slots after a change of keeper.
func mayPlan(status ownership.Status) bool {
	return status.Role == ownership.RoleKeeper || status.Token.Epoch == 0
}

func placementInput(service *config.Service, id config.GroupID, routes ownership.Routes, rates map[uint32]float64) placement.Input {
	input := placement.Input{Current: map[uint32]string{}}
	for _, slot := range service.SlotsOf(id) {
		input.Slots = append(input.Slots, placement.SlotLoad{Slot: slot, Load: rates[slot]})
	}
	for _, server := range service.ServersOf(id) {
		input.Servers = append(input.Servers, placement.Server{
			ID:       server.ID,
			Capacity: float64(server.Slots),
			Home:     server.FailureDomain == id.Domain,
			Drain:    server.Drain,
		})
	}
	for _, route := range routes.Slots {
		if !route.Server.IsZero() {
			input.Current[route.Slot] = route.Server.ID
		}
	}
	return input
}

// applyMoves assigns each moving slot to its new owner. A plan that assigned it to the
// old owner would move the slot back as soon as the move is complete.
func applyMoves(input placement.Input, moves []ownership.Move) {
	for _, move := range moves {
		input.Current[move.Slot] = move.To.ID
	}
}

// markServers marks the servers that are draining and those that do not answer the
// keeper.
func markServers(servers []placement.Server, status ownership.Status, draining map[string]bool) {
	answers := map[string]bool{}
	for _, s := range status.Servers {
		answers[s.Server.ID] = s.Answers
	}
	for i := range servers {
		s := &servers[i]
		s.Drain = s.Drain || draining[s.ID]
		answering, known := answers[s.ID]
		s.Unreachable = known && !answering
	}
}
