package dispatch

import (
	"context"
	"fmt"
	"time"

	"kumquatcleat/internal/fault"
)

// relay sends the request through another VM, which does all that this VM would do: it chooses
// the server, retries and counts. The second result reports whether a retry may succeed.
func (r *requestState) relay(ctx context.Context) (*Answer, bool) {
	began := time.Now()
	result := r.core.Relay.Send(ctx, r.request, r.deadline, r.table.Version)
	r.recordRelay(result, time.Since(began))
	switch {
	case ctx.Err() != nil:
		return &Answer{Abandoned: true}, false
	case result.Answer != nil:
		if !result.Answer.promisesNotRun() {
			r.mayHaveRunAnswer = result.Answer
		}
		return result.Answer, false
	case !result.Sent:
		return refuse(fault.Isolated, r.honored(unreachedRetryAfter), "%v", result.Err), false
	}
	r.sends++
	answer := refuse(fault.ConnectionLost, 0, "VM %s: %v", result.VM, result.Err)
	if time.Until(r.deadline) < minAttemptTime {
		answer = refuse(fault.ServerTimeout, 0, "VM %s: %v", result.VM, result.Err)
	}
	r.mayHaveRunAnswer = answer
	return answer, r.route.Idempotent
}

// recordRelay adds a request sent through another VM to the log of the request.
func (r *requestState) recordRelay(result RelayResult, took time.Duration) {
	what := "not sent: " + fmt.Sprint(result.Err)
	switch {
	case result.Answer != nil:
		what = fmt.Sprint(result.Answer.Status)
	case result.Sent:
		what = fmt.Sprint(result.Err)
	}
	r.attemptLog = append(r.attemptLog, fmt.Sprintf("via VM %s %dms: %s", result.VM, took.Milliseconds(), what))
}
