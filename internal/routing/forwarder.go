package routing

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"kumquatcleat/internal/backend"
	"kumquatcleat/internal/config"
	"kumquatcleat/internal/fault"
	"kumquatcleat/internal/httphead"
	"kumquatcleat/internal/limits"
	"kumquatcleat/internal/retry"
)

// forwarder sends one call to a server, with retries, and proxies the answer. It is
// used by one goroutine.
type forwarder struct {
	handler      *Handler
	call         *call
	body         *callerBody
	request      *http.Request
	writer       http.ResponseWriter
	fingerprints retry.Fingerprints
	mayHaveRun   bool      // an earlier attempt may have run
	sentAt       time.Time // of the last attempt
	headerAt     time.Time // when its answer began, or failed
	status       int       // of the last answer
	refusal      string    // HeaderNotStarted of the last server that refused
}

func (f *forwarder) computeFingerprints() retry.Fingerprints {
	return retry.Fingerprints{
		Request: retry.Fingerprint(f.request.Method, f.call.path, f.request.URL.RawQuery, f.body.buffered),
		Path:    retry.Fingerprint(f.request.Method, f.call.path, "", f.body.buffered),
	}
}

// sendWithRetries sends the request until it is answered, the retry policy stops,
// or the deadline passes. Once an attempt may have run, the outcome of the call is
// unknown, whatever the result of later attempts.
func (f *forwarder) sendWithRetries(ctx context.Context) *fault.Error {
	for number := 1; ; number++ {
		err := f.attempt(ctx, number)
		if err == nil {
			f.handler.Policies.For(f.call.service.Name).Succeeded()
			return nil
		}
		if fault.AnswerFor(err.Kind).Outcome == fault.Unknown {
			f.mayHaveRun = true
		}
		if !f.waitForRetry(ctx, number, err) {
			return f.finalError(err)
		}
	}
}

// finalError returns the error for the caller. The outcome not-run of the last
// attempt does not apply to the call if an earlier attempt may have run.
func (f *forwarder) finalError(err *fault.Error) *fault.Error {
	if !f.mayHaveRun || fault.AnswerFor(err.Kind).Outcome == fault.Unknown {
		return err
	}
	return fault.Wrap(fault.ConnectionLost, err, "an earlier attempt may have run; the last one was refused")
}

func (f *forwarder) waitForRetry(ctx context.Context, number int, err *fault.Error) bool {
	if err.Kind == fault.AnswerCut {
		return false // the caller has received the start of this answer
	}
	if err.Kind == fault.Overloaded && f.call.key != "" {
		return false // the queue for the owner is full; a retry would meet the same queue
	}
	deadline, _ := ctx.Deadline()
	again, wait := f.handler.Policies.For(f.call.service.Name).Next(retry.Attempt{
		Number:     number,
		Idempotent: f.call.idempotent,
		Kind:       err.Kind,
		Replayable: f.body.replayable(),
		Remaining:  time.Until(deadline),
	})
	if !again {
		return false
	}
	f.handler.metrics.retries.Inc(1)
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// attempt makes one attempt: it checks the quarantine, resolves the target, acquires
// a permit, sends the request and records the result.
func (f *forwarder) attempt(ctx context.Context, number int) *fault.Error {
	if err := f.handler.Quarantine.Admit(f.call.service.Name, f.fingerprints); err != nil {
		return toFaultError(err)
	}
	target, err := f.resolveTarget(ctx)
	if err != nil {
		return err
	}
	permit, gateErr := f.handler.Gate.Acquire(ctx, target.Server, f.call.class)
	if gateErr != nil {
		return toFaultError(gateErr)
	}
	start := time.Now()
	err = f.sendWithDeadline(ctx, target)
	took := time.Since(start)
	permit.Done(limitResult(err), f.serverLatency(took))
	f.logAttempt(number, target, err, took)
	f.recordResult(target, err)
	return err
}

// serverLatency returns the time from the send to the answer's header. The time for
// the body is left out, because it depends on the length of the answer and on how
// fast the caller reads.
func (f *forwarder) serverLatency(whole time.Duration) time.Duration {
	if f.headerAt.IsZero() {
		return whole
	}
	return f.headerAt.Sub(f.sentAt)
}

func (f *forwarder) resolveTarget(ctx context.Context) (Target, *fault.Error) {
	if f.call.key == "" {
		return f.handler.chooser.choose(f.call.service)
	}
	target, err := f.handler.Resolver.Resolve(ctx, f.call.service, f.call.service.SlotOf(f.call.key))
	if err != nil {
		return Target{}, toFaultError(err)
	}
	return target, nil
}

// sendWithDeadline sends the request. The deadline is shortened to UncheckedDeadline for
// a server that does not check grants.
func (f *forwarder) sendWithDeadline(ctx context.Context, target Target) *fault.Error {
	if target.HasKey && !target.Server.Checks && f.handler.UncheckedDeadline > 0 {
		bounded, cancel := context.WithTimeout(ctx, f.handler.UncheckedDeadline)
		defer cancel()
		ctx = bounded
	}
	return f.send(ctx, target)
}

// send sends the request to target and proxies the answer, if there is one, to the
// caller.
func (f *forwarder) send(ctx context.Context, target Target) *fault.Error {
	if f.body.stream != nil && !f.body.replayable() {
		return fault.New(fault.BodyCut, "the body was streamed to a server and can't be sent again")
	}
	req, err := f.newRequest(ctx, target)
	if err != nil {
		return fault.Wrap(fault.BadRequest, err, "the request can't be forwarded")
	}
	guard := func() bool {
		return ctx.Err() == nil && (!target.HasKey || f.handler.Resolver.Confirm(target))
	}
	f.sentAt, f.headerAt = time.Now(), time.Time{}
	resp, sent, err := f.handler.Transport.send(req, guard)
	f.headerAt = time.Now()
	if err != nil {
		return f.sendError(ctx, target, sent, err)
	}
	f.status = resp.StatusCode
	defer func() { _ = resp.Body.Close() }()
	if reason := resp.Header.Get(backend.HeaderNotStarted); reason != "" && resp.StatusCode == http.StatusServiceUnavailable {
		f.refusal = reason
		_, _ = io.CopyN(io.Discard, resp.Body, copyBufferBytes)
		return fault.New(notStartedKind(reason), "server %s did not start the request: %s", target.Server.ID, reason)
	}
	return f.proxyAnswer(ctx, target, resp)
}

func (f *forwarder) newRequest(ctx context.Context, target Target) (*http.Request, error) {
	deadline, _ := ctx.Deadline()
	url := "http://" + target.Server.Address + f.call.path
	if f.request.URL.RawQuery != "" {
		url += "?" + f.request.URL.RawQuery
	}
	req, err := http.NewRequestWithContext(ctx, f.request.Method, url, f.body.open())
	if err != nil {
		return nil, err
	}
	req.GetBody = nil // prevents implicit resends; see Transport
	req.ContentLength = f.body.length
	if f.body.length == 0 {
		// Keeps net/http from reading the first byte of the body on another
		// goroutine, and from sending an empty POST as chunked.
		req.TransferEncoding = []string{"identity"}
	}
	req.Header = requestHeader(f.request.Header, f.call, target, time.Until(deadline))
	req.Host = f.request.Host
	return req, nil
}

// sendError maps a failed send to an error whose kind depends on whether bytes may
// have been sent. If so, it also cancels the request at the server, unless the send
// failed because the body is over its limit.
func (f *forwarder) sendError(ctx context.Context, target Target, sent sendResult, err error) *fault.Error {
	id := target.Server.ID
	switch {
	case errors.Is(err, errGuardRefused):
		f.handler.Resolver.MarkStale(target)
		return fault.Wrap(fault.NotOwner, err, "server %s may no longer be sent to", id)
	case sent == nothingSent && ctx.Err() != nil:
		return fault.Wrap(fault.QueueTimeout, err, "the deadline passed before anything was sent to server %s", id)
	case sent == nothingSent:
		return fault.Wrap(fault.ConnectFailed, err, "server %s took no connection", id)
	case f.body.overLimit.Load():
		return fault.Wrap(fault.BodyCut, err, "the body is over the limit of %d bytes", f.body.limit)
	}
	f.cancel(target)
	switch {
	case errors.Is(err, httphead.ErrInvalid):
		return fault.Wrap(fault.ConnectionLost, err, "the answer of server %s is invalid", id)
	case f.request.Context().Err() != nil || f.body.readFailed.Load():
		return fault.Wrap(fault.CallerGone, err, "the caller left before the answer of server %s", id)
	case ctx.Err() != nil:
		return fault.Wrap(fault.ServerTimeout, err, "server %s did not answer before the deadline", id)
	default:
		return fault.Wrap(fault.ConnectionLost, err, "the connection to server %s broke before the answer", id)
	}
}

func (f *forwarder) cancel(target Target) {
	f.handler.Canceler.Cancel(target.Server.Address, f.call.requestID)
}

// recordResult reports the result of an attempt to the resolver, the health tracker
// and the quarantine.
func (f *forwarder) recordResult(target Target, err *fault.Error) {
	if err == nil {
		f.handler.chooser.recordSuccess(target.Server.ID)
		if f.status < http.StatusInternalServerError { // a server that failed the request proves nothing of others
			f.handler.Quarantine.Ran(f.call.service.Name, f.fingerprints)
		}
		return
	}
	switch err.Kind {
	case fault.NotOwner:
		f.handler.Resolver.MarkStale(target)
	case fault.ConnectFailed:
		f.handler.chooser.recordFailure(target.Server.ID)
		if target.HasKey {
			f.handler.Resolver.MarkStale(target)
		}
	case fault.ServerRefused:
		if target.HasKey && f.refusal == backend.NotStartedDraining {
			f.handler.Resolver.MarkDraining(target)
		}
	case fault.ConnectionLost, fault.AnswerCut:
		incarnation := f.handler.chooser.incarnationID(target)
		f.handler.chooser.recordFailure(target.Server.ID)
		if f.handler.Prober.Lost(target) {
			f.handler.Quarantine.ServerLost(f.call.service.Name, f.fingerprints, incarnation)
		}
	}
}

func (f *forwarder) logAttempt(number int, target Target, err *fault.Error, took time.Duration) {
	result, reason := "answered", ""
	if err != nil {
		result, reason = string(err.Kind), err.Error()
	}
	f.handler.Decisions.Log("routing: sent",
		slog.String(logRequest, f.call.requestID),
		slog.String(logService, f.call.service.Name),
		slog.String(logServer, target.Server.ID),
		slog.Uint64("slot", uint64(target.Slot)),
		slog.Bool("keyed", target.HasKey),
		slog.String("token", target.Token.String()),
		slog.Int("attempt", number),
		slog.String("result", result),
		slog.String("reason", reason),
		slog.Int64("took_us", took.Microseconds()))
}

// limitResult maps the result of an attempt to the load signal that package limits
// uses.
func limitResult(err *fault.Error) limits.Result {
	if err == nil {
		return limits.Succeeded
	}
	switch err.Kind {
	case fault.ServerRefused:
		return limits.Shed
	case fault.ConnectionLost, fault.AnswerCut, fault.ServerTimeout, fault.ConnectFailed:
		return limits.Failed
	default:
		return limits.Ignored
	}
}

func toFaultError(err error) *fault.Error {
	var known *fault.Error
	if errors.As(err, &known) {
		return known
	}
	return fault.Wrap(fault.Internal, err, "unexpected error before the send")
}

// chooser selects a server for requests without a key: the less loaded of two
// random servers, by the load that this VM measures.
type chooser struct {
	gate   limits.Gate
	health *healthTracker
}

func newChooser(gate limits.Gate) *chooser {
	return &chooser{gate: gate, health: newHealthTracker(time.Now)}
}

func (c *chooser) recordSuccess(server string) { c.health.recordSuccess(server) }

func (c *chooser) recordFailure(server string) { c.health.recordFailure(server) }

// incarnationID identifies one incarnation of a server, so that a server that a
// request crashed twice counts as two lost servers. Without a key the incarnation
// is not known; the number of recoveries that this VM observed replaces it.
func (c *chooser) incarnationID(target Target) string {
	if target.Incarnation != "" {
		return target.Server.ID + "@" + target.Incarnation
	}
	return target.Server.ID + "#" + strconv.Itoa(c.health.recoveries(target.Server.ID))
}

func (c *chooser) choose(service *config.Service) (Target, *fault.Error) {
	usable := make([]config.Server, 0, len(service.Servers))
	for _, server := range service.Servers {
		if !server.Drain && c.health.usable(server.ID) {
			usable = append(usable, server)
		}
	}
	if len(usable) == 0 {
		return Target{}, fault.New(fault.NoServer, "service %q has no server that answers now", service.Name)
	}
	a := usable[rand.IntN(len(usable))]
	b := usable[rand.IntN(len(usable))]
	if c.gate.Load(b.ID) < c.gate.Load(a.ID) {
		a = b
	}
	return Target{Server: a}, nil
}
