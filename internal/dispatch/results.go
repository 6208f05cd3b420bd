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

// promisesNotRun reports whether the answer promises that the request did not run.
func (a *Answer) promisesNotRun() bool {
	return a.Refusal != "" && fault.AnswerFor(a.Refusal).Outcome == fault.NotRun
}

// handleResponse classifies a server's response. The second result reports whether
// a retry may succeed.
func (r *requestState) handleResponse(choice balance.Choice, response *serverconn.Response) (*Answer, bool) {
	r.sends++
	r.core.Suspicions.Answered(choice.Server)
	r.core.Reach.Answered()
	if response.NotStarted {
		return r.handleNotStarted(choice, response)
	}
	if response.Status < http.StatusInternalServerError && response.Stream == nil { // a server that failed the request proves nothing of others
		r.core.Suspicions.Ran(r.service.Name, r.fingerprints)
	}
	answer := &Answer{Status: response.Status, Header: response.Header, Body: response.Body, Stream: response.Stream}
	retryable := response.Status >= 500 && r.route.Idempotent && response.Stream == nil // a stream can't wait for a retry
	return answer, retryable
}

// handleNotStarted classifies a response which states that the server did not
// start the request.
func (r *requestState) handleNotStarted(choice balance.Choice, response *serverconn.Response) (*Answer, bool) {
	server := choice.Server
	if response.Status != http.StatusMisdirectedRequest {
		return refuse(fault.ServerRefused, r.overloadRetryAfter(choice, time.Until(r.deadline)),
			"server %s answered status %d without starting the request", server.ID, response.Status), !r.service.DividedByKey || hasCapacity(choice, response)
	}
	if response.ServerID != "" && response.ServerID != server.ID {
		r.core.Registry.MarkTerminated(server.ID, server.Incarnation, "server "+response.ServerID+" answers at its address")
	}
	r.notOwnerAt = time.Now()
	return refuse(fault.NotOwner, r.honored(ownerRetryAfter), "server %s does not own key %d, record %d", server.ID, r.request.Key, r.recordVersion), true
}

// hasCapacity reports whether a server that did not start a request may accept it
// on an immediate retry. It uses the load that the server reports, otherwise the
// load that the balancer expected.
func hasCapacity(choice balance.Choice, response *serverconn.Response) bool {
	if response.HasLoad {
		return response.Load.Running < response.Load.Slots
	}
	return choice.Load < float64(choice.Server.Slots)
}

// handleFailure classifies an attempt without a response.
func (r *requestState) handleFailure(ctx context.Context, server *registry.Server, failure *serverconn.Failure) (*Answer, bool) {
	if ctx.Err() != nil {
		return &Answer{Abandoned: true}, false
	}
	if failure.Progress == serverconn.NotSent {
		r.connectFailures++
		// The keys of an unreachable owner move only after its lease expires. Until
		// then the caller may reach it through another VM, so refuse at once. An isolated
		// VM sends the request through another one.
		return refuse(fault.ConnectFailed, r.honored(unreachedRetryAfter), "%v", failure), !r.service.DividedByKey || r.core.Reach.Isolated()
	}
	r.sends++
	if failure.Reset {
		r.broken = append(r.broken, server.ID)
	}
	if time.Until(r.deadline) < minAttemptTime {
		return refuse(fault.ServerTimeout, 0, "%v", failure), false
	}
	return refuse(fault.ConnectionLost, 0, "%v", failure), r.route.Idempotent
}

// refuse builds a refusal by the router. Its status comes from the table of error
// kinds. A request that did not run is answered 503 instead of another 5xx status,
// as only 503 promises that it did not run and may be retried.
func refuse(kind fault.Kind, after time.Duration, format string, args ...any) *Answer {
	answer := fault.AnswerFor(kind)
	status := answer.Status
	switch {
	case kind == fault.Quarantined:
		status = http.StatusInternalServerError // 503 would invite a retry
	case answer.Outcome == fault.NotRun && status >= 500:
		status = http.StatusServiceUnavailable
	}
	return &Answer{Status: status, Refusal: kind, Message: fmt.Sprintf(format, args...), RetryAfter: after}
}

// Refuse builds a refusal for a request that was not admitted, without a
// Retry-After hint.
func Refuse(kind fault.Kind, format string, args ...any) *Answer {
	return refuse(kind, 0, format, args...)
}
