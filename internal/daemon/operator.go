package daemon

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"kumquatcleat/internal/backend"
	"kumquatcleat/internal/config"
	"kumquatcleat/internal/fault"
	"kumquatcleat/internal/operator"
	"kumquatcleat/internal/ownership"
	"kumquatcleat/internal/routing"
	"kumquatcleat/internal/telemetry"
)

// operatorTimeout bounds the processing of one operator request.
const operatorTimeout = 2 * time.Second

// operatorRoutes registers the paths for operators and for the platform's load balancer.
func (d *Daemon) operatorRoutes(mux *http.ServeMux) {
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { writeLine(w, http.StatusOK, "ok") })
	mux.HandleFunc("GET /readyz", d.serveReady)
	mux.HandleFunc("GET /metrics", telemetry.ServeText(d.metrics))
	mux.HandleFunc("GET /metrics.json", telemetry.ServeJSON(d.metrics))
	mux.HandleFunc("GET "+operator.PathStatus, d.serveStatus)
	mux.HandleFunc("GET "+operator.PathExplain, d.serveExplain)
}

func writeLine(w http.ResponseWriter, status int, line string) {
	w.WriteHeader(status)
	_, _ = fmt.Fprintln(w, line)
}

func (d *Daemon) serveReady(w http.ResponseWriter, _ *http.Request) {
	if reason := d.notReady(); reason != "" {
		writeLine(w, http.StatusServiceUnavailable, reason)
		return
	}
	writeLine(w, http.StatusOK, "ready")
}

// notReady returns the reason why this VM should get no callers' requests, or "" if it
// is ready.
func (d *Daemon) notReady() string {
	switch {
	case d.stopping.Load():
		return "stopping"
	case !d.syncer.Synced():
		return "the configuration in force is not known yet: wait for the platform or for peers"
	case len(d.store.Services()) == 0:
		return "no configuration record is in force: apply one"
	default:
		return ""
	}
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (d *Daemon) serveStatus(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), operatorTimeout)
	defer cancel()
	status := operator.Status{VM: d.settings.ID, PlatformUp: d.members.PlatformUp()}
	d.addVMs(&status)
	owned := d.addGroups(ctx, &status)
	d.addServers(&status, owned)
	for _, service := range d.store.Services() {
		record := operator.ConfigRecord{Name: service.Name, Version: service.Version}
		status.ConfigVersions = append(status.ConfigVersions, record)
	}
	writeJSON(w, http.StatusOK, status)
}

func (d *Daemon) addVMs(status *operator.Status) {
	for _, vm := range d.members.Roster().VMs {
		digest := d.members.digests.get(vm.ID, d.members.clock())
		if vm.ID == d.settings.ID {
			digest = d.store.Digest()
		}
		status.VMs = append(status.VMs, operator.VM{
			ID: vm.ID, Incarnation: vm.Incarnation, FailureDomain: vm.FailureDomain, Address: vm.Address,
			Alive: true, ConfigDigest: digest,
		})
	}
}

// addGroups adds every group to the status and returns the number of slots owned, by
// server id. Servers of several services that have the same id share one count.
func (d *Daemon) addGroups(ctx context.Context, status *operator.Status) map[string]int {
	owned := map[string]int{}
	for _, service := range d.store.Services() {
		for _, id := range service.Groups() {
			status.Groups = append(status.Groups, d.describeGroup(ctx, id, owned))
		}
	}
	return owned
}

func (d *Daemon) describeGroup(ctx context.Context, id config.GroupID, owned map[string]int) operator.Group {
	group := operator.Group{Group: id.String(), Mode: operator.ModeNone}
	if run, ok := d.groups.find(id.String()); ok {
		if st, err := run.driver.Status(ctx); err == nil {
			group.Keeper, group.Standby = refText(st.Keeper), refText(st.Standby)
			group.Mode = d.modeOf(st)
		}
	}
	answer, err := d.directory.FetchRoutes(ctx, routing.RouteRequest{Group: id.String()})
	if err != nil {
		return group
	}
	if group.Keeper == "" {
		group.Keeper = d.directory.hint(id.String())
		group.Mode = operator.ModeElsewhere
	}
	group.Slots = len(answer.Slots)
	for _, route := range answer.Slots {
		group.Epoch = max(group.Epoch, route.Token.Epoch)
		switch {
		case route.Server == "":
			group.Unowned++
		case route.Moving:
			group.Moving++
		}
		if route.Server != "" {
			owned[route.Server]++
		}
	}
	return group
}

func refText(ref ownership.VMRef) string {
	if ref.IsZero() {
		return ""
	}
	return ref.String()
}

func (d *Daemon) modeOf(st ownership.Status) operator.Mode {
	switch {
	case !st.Keeper.IsZero() && st.Keeper != d.self:
		return operator.ModeElsewhere
	case st.LeaseLeft <= 0:
		return operator.ModeNone
	case st.Outage:
		return operator.ModeOutage
	default:
		return operator.ModeTable
	}
}

func (d *Daemon) addServers(status *operator.Status, owned map[string]int) {
	leaving := d.members.Roster().Leaving
	for _, service := range d.store.Services() {
		for _, server := range service.Servers {
			status.Servers = append(status.Servers, operator.Server{
				Service:       service.Name,
				ID:            server.ID,
				FailureDomain: server.FailureDomain,
				Healthy:       d.handler.Usable(server.ID),
				Draining:      server.Drain || leaving[server.ID],
				InFlight:      d.gates.InFlight(server.ID),
				SlotsOwned:    owned[server.ID],
			})
		}
	}
}

func (d *Daemon) serveExplain(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), operatorTimeout)
	defer cancel()
	name, key := r.URL.Query().Get("service"), r.URL.Query().Get("key")
	if r.URL.Query().Has("path") {
		d.serveExplainPath(ctx, w, r.URL.Query().Get("path"), key)
		return
	}
	service, ok := d.store.Service(name)
	if !ok {
		writeJSON(w, http.StatusNotFound, fault.New(fault.NotFound, "no service %q is in force here", name))
		return
	}
	writeJSON(w, http.StatusOK, d.explainKey(ctx, service, key))
}

func (d *Daemon) explainKey(ctx context.Context, service *config.Service, key string) operator.Explain {
	slot := service.SlotOf(key)
	id := service.GroupOf(slot)
	explain := operator.Explain{Service: service.Name, Key: key, Slot: slot, Group: id.String()}
	answer, err := d.directory.FetchRoutes(ctx, routing.RouteRequest{Group: id.String()})
	if err != nil {
		explain.Why = "No VM keeps the group now, so nobody is known to own the slot."
		return explain
	}
	route := answer.Slots[slot]
	explain.Owner, explain.Token, explain.Moving = route.Server, route.Token.String(), route.Moving
	explain.LeaseLeftMS = d.leaseLeft(ctx, id, route.Server).Milliseconds()
	explain.Why = explainRoute(route.Token, route.Moving, d.directory.hint(id.String()))
	return explain
}

func (d *Daemon) leaseLeft(ctx context.Context, id config.GroupID, server string) time.Duration {
	run, ok := d.groups.find(id.String())
	if !ok {
		return 0
	}
	st, err := run.driver.Status(ctx)
	if err != nil {
		return 0
	}
	for _, s := range st.Servers {
		if s.Server.ID == server {
			return s.LeaseLeft
		}
	}
	return 0
}

func explainRoute(token backend.Token, moving bool, keeper string) string {
	if moving {
		return fmt.Sprintf("The slot is moving, decided by keeper %s: no server may run its requests until the move ends.", keeper)
	}
	return fmt.Sprintf("Keeper %s holds the assignment that move %s made.", keeper, token)
}
