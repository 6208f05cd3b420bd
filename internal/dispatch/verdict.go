package dispatch

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"kumquatcleat/internal/balance"
	"kumquatcleat/internal/fault"
	"kumquatcleat/internal/registry"
	"kumquatcleat/internal/serverconn"
)

// notRun reports whether an answer promises that the request did not run.
func (a *Answer) notRun() bool {
	return a.Refusal != "" && fault.AnswerFor(a.Refusal).Outcome == fault.NotRun
}

// answered judges a server's answer.
func (r *run) answered(choice balance.Choice, response *serverconn.Response) (*Answer, bool) {
	r.sends++
	if response.NotStarted {
		return r.notStarted(choice, response)
	}
	r.core.Suspicions.Ran(r.service.Name, r.fingerprint)
	answer := &Answer{Status: response.Status, Header: response.Header, Body: response.Body}
	again := response.Status >= 500 && r.route.Idempotent
	return answer, again
}

// notStarted judges a server's statement that it did not start the request.
func (r *run) notStarted(choice balance.Choice, response *serverconn.Response) (*Answer, bool) {
	server := choice.Server
	if response.Status != http.StatusMisdirectedRequest {
		return refuse(fault.ServerRefused, r.overloadRetry(choice, time.Until(r.deadline)),
			"server %s answered %d without starting the request", server.ID, response.Status), !r.service.DividedByKey || hasRoom(choice, response)
	}
	if response.ServerID != "" && response.ServerID != server.ID {
		r.core.Registry.Ended(server.ID, server.Incarnation, "server "+response.ServerID+" answers at its address")
	}
	r.notOwnerAt = time.Now()
	return refuse(fault.NotOwner, ownerRetry, "server %s does not hold key %d by record %d", server.ID, r.request.Key, r.recordAt), true
}

// hasRoom reports whether a server that did not start a request may take it the
// next moment, by what it tells or else by what was expected of it.
func hasRoom(choice balance.Choice, response *serverconn.Response) bool {
	if response.HasLoad {
		return response.Load.Running < response.Load.Slots
	}
	return choice.Load < float64(choice.Server.Slots)
}

// failed judges an attempt without an answer.
func (r *run) failed(ctx context.Context, server *registry.Server, failure *serverconn.Failure) (*Answer, bool) {
	if ctx.Err() != nil {
		return &Answer{Abandoned: true}, false
	}
	if failure.Progress == serverconn.NotSent {
		r.connects++
		if failure.Refused {
			// A cut refuses connections too, so the server counts as lost only for
			// the requests that it broke off.
			r.core.Suspicions.ServerTerminated(server.Start())
		}
		// The keys of an owner that can't be reached move after its lease at the
		// earliest: the caller may reach it through another VM before.
		return refuse(fault.ConnectFailed, unreachedRetry, "%v", failure), !r.service.DividedByKey
	}
	r.sends++
	if failure.Reset {
		r.core.Suspicions.ConnectionLost(r.service.Name, r.fingerprint, server.Start())
	}
	if time.Until(r.deadline) < leastUseful {
		return refuse(fault.ServerTimeout, 0, "%v", failure), false
	}
	return refuse(fault.ConnectionLost, 0, "%v", failure), r.route.Idempotent
}

// refuse builds an answer of the router's own. Its status comes from the table
// of kinds; a request that did not run and may be sent again is answered 503,
// which alone promises that.
func refuse(kind fault.Kind, after time.Duration, format string, args ...any) *Answer {
	row := fault.AnswerFor(kind)
	status := row.Status
	switch {
	case kind == fault.Quarantined:
		status = http.StatusInternalServerError // a 503 would invite the next try
	case row.Outcome == fault.NotRun && status >= 500:
		status = http.StatusServiceUnavailable
	}
	return &Answer{Status: status, Refusal: kind, Message: fmt.Sprintf(format, args...), RetryAfter: after}
}

// Refuse builds an answer of the router's own for a request that was not taken.
func Refuse(kind fault.Kind, format string, args ...any) *Answer {
	return refuse(kind, 0, format, args...)
}
