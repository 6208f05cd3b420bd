package daemon

import (
	"cmp"
	"context"
	"net/http"
	"slices"

	"kumquatcleat/internal/config"
	"kumquatcleat/internal/fault"
	"kumquatcleat/internal/operator"
	"kumquatcleat/internal/routing"
)

// maxExplainedServers bounds the servers in the explanation of a request without a key.
const maxExplainedServers = 50

// explainPath tells where a request would go now, and why, without sending it.
func (d *Daemon) explainPath(ctx context.Context, path, key string) (operator.Explain, *fault.Error) {
	parsed, err := d.handler.ParseRequest(path, key)
	if err != nil {
		return operator.Explain{}, err
	}
	request := &operator.DaemonRequest{Path: path, Class: string(parsed.Class), Idempotent: parsed.Idempotent, TimeoutMS: parsed.Timeout.Milliseconds()}
	explain := operator.Explain{Service: parsed.Service.Name, Why: "The request has no key: any server may run it."}
	if parsed.Key != "" {
		explain = d.explainKey(ctx, parsed.Service, parsed.Key)
	}
	explain.Request = request
	for _, server := range parsed.Service.Servers {
		if parsed.Key == "" || server.ID == explain.Owner {
			request.Servers = append(request.Servers, d.describeServer(server, parsed))
		}
	}
	loads := map[string]float64{} // read once, as they change
	for _, server := range request.Servers {
		loads[server.ID] = d.gates.Load(server.ID)
	}
	slices.SortStableFunc(request.Servers, func(a, b operator.DaemonServer) int {
		return cmp.Or(cmp.Compare(rank(a), rank(b)), cmp.Compare(loads[a.ID], loads[b.ID]))
	})
	request.Outcome = d.outcomeOf(explain, parsed)
	request.Omitted = max(len(request.Servers)-maxExplainedServers, 0)
	request.Servers = request.Servers[:len(request.Servers)-request.Omitted]
	return explain, nil
}

// rank orders servers for requests without a key.
func rank(s operator.DaemonServer) int {
	switch {
	case s.Draining || !s.Healthy:
		return 2
	case s.Refusal != "":
		return 1
	default:
		return 0
	}
}

func (d *Daemon) describeServer(server config.Server, parsed routing.ParsedRequest) operator.DaemonServer {
	status := d.gates.Peek(server.ID, parsed.Class, parsed.Timeout)
	described := operator.DaemonServer{
		ID: server.ID, FailureDomain: server.FailureDomain, Draining: server.Drain || d.members.Roster().Leaving[server.ID], Healthy: d.handler.Usable(server.ID),
		InFlight: status.InFlight, Waiting: status.Waiting, Limit: status.Limit, WaitMS: status.Wait.Milliseconds(),
	}
	if status.Refusal != nil {
		described.Refusal, described.RefusalKind = status.Refusal.Message, string(status.Refusal.Kind)
	}
	return described
}

// outcomeOf returns what would become of a request, in the order in which the handler decides.
func (d *Daemon) outcomeOf(explain operator.Explain, parsed routing.ParsedRequest) operator.RequestOutcome {
	refuse := func(kind fault.Kind, reason string) operator.RequestOutcome {
		answer := fault.AnswerFor(kind)
		return operator.RequestOutcome{Action: operator.ActionRefuse, Status: answer.Status, Kind: string(kind), RetryAfterMS: answer.RetryAfter.Milliseconds(), Reason: reason}
	}
	if parsed.Stopping {
		return refuse(fault.Stopping, "this VM stops before the deadline of the request")
	}
	if err := d.suspects.Peek(parsed.Service.Name, parsed.Fingerprints); err != nil {
		return refuse(fault.Quarantined, err.Error())
	}
	servers := explain.Request.Servers
	switch {
	case parsed.Key != "" && (explain.Owner == "" || explain.Moving):
		outcome := refuse(fault.NoOwner, explain.Why)
		outcome.Action, outcome.WaitMS = operator.ActionWait, parsed.Timeout.Milliseconds()
		return outcome
	case len(servers) == 0 && parsed.Key != "":
		return refuse(fault.NoOwner, "owner "+explain.Owner+" is not in the service's record here")
	case len(servers) == 0 || parsed.Key == "" && (servers[0].Draining || !servers[0].Healthy):
		return refuse(fault.NoServer, "no server of the service answers now")
	case servers[0].Refusal != "":
		return refuse(fault.Kind(servers[0].RefusalKind), servers[0].Refusal)
	}
	reason := "it owns the key"
	if parsed.Key == "" {
		reason = "it has the least load; a request goes to the less loaded of two servers at random"
	}
	if !servers[0].Healthy {
		reason += "; it did not answer the last request of this VM"
	}
	return operator.RequestOutcome{Action: operator.ActionSend, Server: servers[0].ID, WaitMS: servers[0].WaitMS, Reason: reason}
}

func (d *Daemon) serveExplainPath(ctx context.Context, w http.ResponseWriter, path, key string) {
	explain, err := d.explainPath(ctx, path, key)
	if err != nil {
		writeJSON(w, fault.AnswerFor(err.Kind).Status, err)
		return
	}
	writeJSON(w, http.StatusOK, explain)
}
