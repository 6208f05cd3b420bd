package dispatch

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"runtime/debug"
	"slices"
	"strconv"
	"time"

	"kumquatcleat/internal/balance"
	"kumquatcleat/internal/eligibility"
	"kumquatcleat/internal/registry"
	"kumquatcleat/internal/serverconn"
)

// attemptResult is the result of one attempt: a response or a failure.
type attemptResult struct {
	choice   balance.Choice
	repeat   bool // the request was sent to the server before
	took     time.Duration
	response *serverconn.Response
	failure  *serverconn.Failure
}

// hedge makes an attempt and, when its answer is long overdue and the request is
// idempotent, a second one in parallel. The first answer that is neither a refusal
// nor retryable wins; the other attempt is canceled. So a server that stopped
// responding does not delay the answer, and a server that is only slow can still
// answer until the other does.
func (r *requestState) hedge(ctx context.Context, choice balance.Choice) (*Answer, bool) {
	callerCtx := ctx
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(errAnswered)
	results := make(chan attemptResult, 2)
	running := 1
	r.startAttempt(ctx, choice, results)
	var overdue <-chan time.Time
	if r.route.Idempotent && !r.service.DividedByKey {
		timer := time.NewTimer(max(hedgeFactor*choice.Expected, minHedgeDelay))
		defer timer.Stop()
		overdue = timer.C
	}
	for {
		select {
		case <-overdue:
			overdue = nil
			if target, ok := r.chooseHedge(choice.Server); ok {
				running++
				r.startAttempt(ctx, target, results)
			}
		case e := <-results:
			running--
			answer, retryable := r.finishAttempt(ctx, e)
			final := answer.Refusal == "" && !retryable
			if final || running == 0 || answer.Abandoned {
				if answer.Stream != nil {
					answer.Stream.Follow(callerCtx)
				}
				return answer, retryable
			}
		}
	}
}

const (
	// An answer is overdue after hedgeFactor times its expected latency, but not before
	// minHedgeDelay. One request in a hundred takes three times the mean without any
	// fault.
	hedgeFactor   = 3
	minHedgeDelay = 120 * time.Millisecond
)

// chooseHedge returns the server for a second attempt, if one is allowed and
// expected to answer before the deadline. The server of the first attempt may have ended under it.
func (r *requestState) chooseHedge(first *registry.Server) (balance.Choice, bool) {
	r.sends++ // count the first attempt, which is in flight
	defer func() { r.sends-- }()
	choice, ok := r.untried()
	if !ok || choice.Full || choice.Expected >= time.Until(r.deadline) {
		return choice, false
	}
	suspected := append(slices.Clone(r.broken), first.ID)
	return choice, r.core.Suspicions.MayRepeat(r.service.Name, r.fingerprints, suspected) && r.mayRetry()
}

// errAnswered ends the attempt that is still running when another one was answered.
var errAnswered = errors.New("another attempt was answered")

// startAttempt sends the request to one server and delivers the result on results.
func (r *requestState) startAttempt(ctx context.Context, choice balance.Choice, results chan<- attemptResult) {
	server := choice.Server
	repeat := r.hasTried(server)
	r.tried = append(r.tried, server.Instance())
	began := time.Now()
	slowFor, _ := r.slowFor(began)
	r.core.Balancer.Started(server)
	request := &serverconn.Request{
		ID:         r.request.ID,
		Method:     r.request.Method,
		Target:     r.request.Target,
		Host:       r.request.Host,
		Header:     r.request.Header,
		Body:       r.request.Body,
		Deadline:   r.deadline,
		Server:     server,
		Idempotent: r.route.Idempotent,
		Repeat:     repeat,
		Guard:      func() error { return r.guard(server) },
		Memory:     r.request.AnswerMemory,
		Whole:      r.request.Relayed, // answers between VMs are not streamed
	}
	go func() {
		response, failure := r.send(ctx, request)
		now := time.Now()
		r.core.observeStatements(now, server, response)
		if response != nil && response.Stream != nil {
			r.observeStream(server, began, now.Sub(began), slowFor > 0, response)
		} else {
			outcome := balanceOutcome(ctx, now.Sub(began), response, failure)
			outcome.Answered = outcome.Answered && slowFor == 0 // it says nothing of how fast the server is
			r.core.Balancer.Finished(now, server, outcome)
			r.observeEnd(ctx, server, began, failure)
			if response != nil {
				r.core.Balancer.ObserveSize(server.Service, len(request.Body)+len(response.Body))
			}
		}
		results <- attemptResult{choice, repeat, now.Sub(began), response, failure}
	}()
}

// observeStream records the result of an attempt with a streamed body when the stream ends. What the
// server took is the time until the stream began and the time spent waiting for its bytes; the rest is
// the caller's.
func (r *requestState) observeStream(server *registry.Server, began time.Time, took time.Duration, slowKey bool, response *serverconn.Response) {
	response.Stream.OnEnd(func(failure *serverconn.Failure) {
		// A failure here is that of the server, whatever became of the attempt's context.
		ctx := context.Background()
		outcome := balanceOutcome(ctx, took+response.Stream.Waited(), response, failure)
		outcome.HasLoad = false // it came with the head and may be old
		outcome.Answered = outcome.Answered && !slowKey && response.Stream.Complete()
		r.core.Balancer.Finished(time.Now(), server, outcome)
		r.core.Balancer.ObserveSize(server.Service, len(r.request.Body)+int(response.Stream.Passed()))
		r.observeEnd(ctx, server, began, failure)
		if failure == nil && response.Stream.Complete() && response.Status < http.StatusInternalServerError {
			r.core.Suspicions.Ran(r.service.Name, r.fingerprints)
		}
	})
}

// observeEnd records what a failed attempt shows of the end of its server.
func (r *requestState) observeEnd(ctx context.Context, server *registry.Server, began time.Time, failure *serverconn.Failure) {
	switch {
	case failure == nil:
	case failure.Refused:
		r.core.Suspicions.ConnectionRefused(server.Instance())
	case failure.Reset:
		r.core.Suspicions.ConnectionLost(r.service.Name, r.fingerprints, server, began)
	case failure.Unanswered && context.Cause(ctx) != errAnswered:
		r.core.Suspicions.Unanswered(r.service.Name, r.fingerprints, server, began)
	}
}

// send sends a request to one server. A panic ends the attempt, not the process: an attempt
// shares no state with other requests but the statistics of its server, which are
// updated by the caller.
func (r *requestState) send(ctx context.Context, request *serverconn.Request) (response *serverconn.Response, failure *serverconn.Failure) {
	defer func() {
		if p := recover(); p != nil {
			slog.Error("dispatch: panic in an attempt", "request", request.ID, "server", request.Server.ID, "panic", fmt.Sprint(p), "stack", string(debug.Stack()))
			response, failure = nil, &serverconn.Failure{Progress: serverconn.Sent, Err: fmt.Errorf("server %s: internal error", request.Server.ID)}
		}
	}()
	return r.core.Sender.Do(ctx, request)
}

// finishAttempt turns the result of an attempt into an answer. The second result
// reports whether a retry may succeed.
func (r *requestState) finishAttempt(ctx context.Context, e attemptResult) (answer *Answer, retryable bool) {
	if e.failure != nil {
		answer, retryable = r.handleFailure(ctx, e.choice.Server, e.failure)
	} else {
		answer, retryable = r.handleResponse(e.choice, e.response)
	}
	if !answer.promisesNotRun() {
		r.mayHaveRunAnswer = answer
	}
	r.recordAttempt(e)
	return answer, retryable
}

// observeStatements records what an answer says of its server: that it leaves, wants a pause or
// has a rate limit. Only a successful answer without a limit says that it has none any more.
func (c *Core) observeStatements(now time.Time, server *registry.Server, response *serverconn.Response) {
	if response == nil {
		return
	}
	if response.Leaving {
		c.Registry.MarkLeaving(server.Instance())
	}
	if response.Pause > 0 {
		c.Pauses.Stated(now, server.Instance(), response.Pause)
	}
	if table := c.Tables.Current(); response.Warmup > 0 && table != nil {
		if service, ok := table.Service(server.Service); ok {
			c.RateLimits.WarmUp(now, server.Instance(), service.WarmupRate, now.Add(response.Warmup))
		}
	}
	switch {
	case response.HasRateLimit:
		c.RateLimits.Stated(now, server.Instance(), response.RateLimit)
	case response.Status/100 == 2:
		c.RateLimits.Unstated(now, server.Instance())
	}
}

// errNotEligible means that a request was not sent because of what became known of the server
// meanwhile.
var errNotEligible = errors.New("the server may get no request any more")

// guard checks again, just before a request is sent, that the server may still
// receive it. Its share of a rate was taken when it was chosen.
func (r *requestState) guard(server *registry.Server) error {
	now := time.Now()
	verdict := r.core.eligibility.CheckOwner(now, server)
	if verdict.Allowed() && !r.service.DividedByKey {
		verdict = r.core.eligibility.Check(now, server)
	}
	switch verdict.Reason {
	case "", eligibility.WarmingUp, eligibility.RateLimited:
		return nil
	}
	return fmt.Errorf("%w: %s", errNotEligible, verdict.Reason)
}

// recordAttempt adds the result of an attempt to the log of the request.
func (r *requestState) recordAttempt(e attemptResult) {
	what := ""
	if e.failure != nil {
		what = e.failure.Error()
	} else {
		what = strconv.Itoa(e.response.Status)
		if e.response.NotStarted {
			what += " not started"
		}
		if e.response.Stream != nil {
			what += " streamed"
		}
		if e.response.Leaving {
			what += " leaving"
		}
		if e.response.Pause > 0 {
			what += fmt.Sprintf(" pause %v", e.response.Pause)
		}
		if e.response.HasRateLimit {
			what += fmt.Sprintf(" limit %.1f/s", e.response.RateLimit)
		}
		for _, err := range e.response.Ignored {
			what += ", ignored: " + err.Error()
		}
	}
	if e.repeat {
		what += ", repeat"
	}
	r.attemptLog = append(r.attemptLog, fmt.Sprintf("%s %dms of %dms: %s", e.choice.Server.ID, e.took.Milliseconds(), e.choice.Expected.Milliseconds(), what))
}

// balanceOutcome returns what the result of an attempt tells the balancer about
// the server.
func balanceOutcome(ctx context.Context, took time.Duration, response *serverconn.Response, failure *serverconn.Failure) balance.Outcome {
	o := balance.Outcome{Took: took}
	if failure != nil {
		canceled := ctx.Err() != nil
		o.ConnectFailed = failure.Progress == serverconn.NotSent && !canceled && !errors.Is(failure.Err, errNotEligible)
		o.Failed = failure.Progress == serverconn.Sent && !canceled
		o.Reset = failure.Reset && !canceled
		return o
	}
	o.Load, o.HasLoad = response.Load, response.HasLoad
	o.Failed = response.NotStarted && response.Status != http.StatusMisdirectedRequest || response.Status >= 500
	o.Answered = !response.NotStarted && response.Status < 500
	return o
}
