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
	"kumquatcleat/internal/limits"
	"kumquatcleat/internal/retry"
)

// forwarder brings one call through its attempts. It belongs to one goroutine.
type forwarder struct {
	handler     *Handler
	call        *call
	body        *callerBody
	request     *http.Request
	writer      http.ResponseWriter
	fingerprint uint64
	mayHaveRun   bool      // an earlier attempt may have run
	sentAt      time.Time // of the last attempt
	headerAt      time.Time // when its answer began, or failed
	refusal     string    // why the last server that refused did not start the request
}

func (r *forwarder) computeFingerprint() uint64 {
	return retry.Fingerprint(r.request.Method, r.call.path, r.request.URL.RawQuery, r.body.buffered)
}

// sendWithRetries sends the request until it is answered, refused for good, or the
// deadline passes. Once an attempt may have run, the outcome of the whole is
// unknown whatever later sendWithRetries say.
func (r *forwarder) sendWithRetries(ctx context.Context) *fault.Error {
	for number := 1; ; number++ {
		err := r.attempt(ctx, number)
		if err == nil {
			r.handler.Policies.For(r.call.service.Name).Succeeded()
			return nil
		}
		if fault.AnswerFor(err.Kind).Outcome == fault.Unknown {
			r.mayHaveRun = true
		}
		if !r.waitForRetry(ctx, number, err) {
			return r.finalError(err)
		}
	}
}

// finalError keeps the answer truthful: a late 'not-run' of one attempt says nothing
// of an earlier attempt that may have run.
func (r *forwarder) finalError(err *fault.Error) *fault.Error {
	if !r.mayHaveRun || fault.AnswerFor(err.Kind).Outcome == fault.Unknown {
		return err
	}
	return fault.Wrap(fault.ConnectionLost, err, "an earlier attempt may have run; the last one was refused")
}

func (r *forwarder) waitForRetry(ctx context.Context, number int, err *fault.Error) bool {
	if err.Kind == fault.AnswerCut {
		return false // the caller has the beginning of this answer
	}
	if err.Kind == fault.Overloaded && r.call.key != "" {
		return false // the owner's queue is full here; another try would only join it again
	}
	deadline, _ := ctx.Deadline()
	again, wait := r.handler.Policies.For(r.call.service.Name).Next(retry.Attempt{
		Number:     number,
		Idempotent: r.call.idempotent,
		Kind:       err.Kind,
		Replayable: r.body.replayable(),
		Remaining:  time.Until(deadline),
	})
	if !again {
		return false
	}
	r.handler.metrics.retries.Inc(1)
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// attempt makes one try: quarantine, target, permit, send, answer.
func (r *forwarder) attempt(ctx context.Context, number int) *fault.Error {
	if err := r.handler.Quarantine.Admit(r.call.service.Name, r.fingerprint); err != nil {
		return toFaultError(err)
	}
	target, err := r.resolveTarget(ctx)
	if err != nil {
		return err
	}
	permit, gateErr := r.handler.Gate.Acquire(ctx, target.Server, r.call.class)
	if gateErr != nil {
		return toFaultError(gateErr)
	}
	start := time.Now()
	err = r.sendWithDeadline(ctx, target)
	took := time.Since(start)
	permit.Done(limitResult(err), r.serverLatency(took))
	r.logAttempt(number, target, err, took)
	r.recordResult(target, err)
	return err
}

// serverLatency returns the time until the answer began: what follows depends on the
// answer's length and on how fast the caller reads.
func (r *forwarder) serverLatency(whole time.Duration) time.Duration {
	if r.headerAt.IsZero() {
		return whole
	}
	return r.headerAt.Sub(r.sentAt)
}

func (r *forwarder) resolveTarget(ctx context.Context) (Target, *fault.Error) {
	if r.call.key == "" {
		return r.handler.chooser.choose(r.call.service)
	}
	target, err := r.handler.Resolver.Resolve(ctx, r.call.service, r.call.service.SlotOf(r.call.key))
	if err != nil {
		return Target{}, toFaultError(err)
	}
	return target, nil
}

// sendWithDeadline sends under the deadline that the target allows.
func (r *forwarder) sendWithDeadline(ctx context.Context, target Target) *fault.Error {
	if target.HasKey && !target.Server.Checks && r.handler.UncheckedDeadline > 0 {
		bounded, cancel := context.WithTimeout(ctx, r.handler.UncheckedDeadline)
		defer cancel()
		ctx = bounded
	}
	return r.send(ctx, target)
}

// send makes the attempt and, when the server answers, brings the answer to
// the caller.
func (r *forwarder) send(ctx context.Context, target Target) *fault.Error {
	if r.body.stream != nil && !r.body.replayable() {
		return fault.New(fault.BodyCut, "the body was streamed to a server and can't be sent again")
	}
	req, err := r.newRequest(ctx, target)
	if err != nil {
		return fault.Wrap(fault.BadRequest, err, "the request can't be forwarded")
	}
	guard := func() bool {
		return ctx.Err() == nil && (!target.HasKey || r.handler.Resolver.Confirm(target))
	}
	r.sentAt, r.headerAt = time.Now(), time.Time{}
	resp, sent, err := r.handler.Transport.send(req, guard)
	r.headerAt = time.Now()
	if err != nil {
		return r.sendError(ctx, target, sent, err)
	}
	defer func() { _ = resp.Body.Close() }()
	if reason := resp.Header.Get(backend.HeaderNotStarted); reason != "" && resp.StatusCode == http.StatusServiceUnavailable {
		r.refusal = reason
		_, _ = io.CopyN(io.Discard, resp.Body, copyBufferBytes)
		return fault.New(notStartedKind(reason), "server %s did not start the request: %s", target.Server.ID, reason)
	}
	return r.proxyAnswer(ctx, target, resp)
}

func (r *forwarder) newRequest(ctx context.Context, target Target) (*http.Request, error) {
	deadline, _ := ctx.Deadline()
	url := "http://" + target.Server.Address + r.call.path
	if r.request.URL.RawQuery != "" {
		url += "?" + r.request.URL.RawQuery
	}
	req, err := http.NewRequestWithContext(ctx, r.request.Method, url, r.body.open())
	if err != nil {
		return nil, err
	}
	req.GetBody = nil // see Transport
	req.ContentLength = r.body.length
	if r.body.length == 0 {
		// Keeps net/http from probing the body for a first byte on a goroutine of
		// its own, and from sending an empty POST as chunked.
		req.TransferEncoding = []string{"identity"}
	}
	req.Header = requestHeader(r.request.Header, r.call, target, time.Until(deadline))
	req.Host = r.request.Host
	return req, nil
}

// sendError classes a failed send by whether bytes may have left.
func (r *forwarder) sendError(ctx context.Context, target Target, sent sendResult, err error) *fault.Error {
	id := target.Server.ID
	switch {
	case errors.Is(err, errGuardRefused):
		r.handler.Resolver.MarkStale(target)
		return fault.Wrap(fault.NotOwner, err, "server %s may no longer be sent to", id)
	case sent == nothingSent && ctx.Err() != nil:
		return fault.Wrap(fault.QueueTimeout, err, "the deadline passed before anything was sent to server %s", id)
	case sent == nothingSent:
		return fault.Wrap(fault.ConnectFailed, err, "server %s took no connection", id)
	case r.body.overLimit.Load():
		return fault.Wrap(fault.BodyCut, err, "the body is over the limit of %d bytes", r.body.limit)
	}
	r.cancel(target)
	switch {
	case r.request.Context().Err() != nil || r.body.readFailed.Load():
		return fault.Wrap(fault.CallerGone, err, "the caller left before the answer of server %s", id)
	case ctx.Err() != nil:
		return fault.Wrap(fault.ServerTimeout, err, "server %s did not answer before the deadline", id)
	default:
		return fault.Wrap(fault.ConnectionLost, err, "the connection to server %s broke before the answer", id)
	}
}

func (r *forwarder) cancel(target Target) {
	r.handler.Canceler.Cancel(target.Server.Address, r.call.requestID)
}

// recordResult passes what the attempt showed to the parts that keep track of servers.
func (r *forwarder) recordResult(target Target, err *fault.Error) {
	if err == nil {
		r.handler.chooser.recordSuccess(target.Server.ID)
		r.handler.Quarantine.Ran(r.call.service.Name, r.fingerprint)
		return
	}
	switch err.Kind {
	case fault.NotOwner:
		r.handler.Resolver.MarkStale(target)
	case fault.ConnectFailed:
		r.handler.chooser.recordFailure(target.Server.ID)
		if target.HasKey {
			r.handler.Resolver.MarkStale(target)
		}
	case fault.ServerRefused:
		if target.HasKey && r.refusal == backend.NotStartedDraining {
			r.handler.Resolver.MarkDraining(target)
		}
	case fault.ConnectionLost, fault.AnswerCut:
		incarnation := r.handler.chooser.incarnationID(target)
		r.handler.chooser.recordFailure(target.Server.ID)
		if r.handler.Prober.Lost(target) {
			r.handler.Quarantine.ServerLost(r.call.service.Name, r.fingerprint, incarnation)
		}
	}
}

func (r *forwarder) logAttempt(number int, target Target, err *fault.Error, took time.Duration) {
	result := "answered"
	if err != nil {
		result = string(err.Kind)
	}
	r.handler.Decisions.Log("routing: sent",
		slog.String(logRequest, r.call.requestID),
		slog.String(logService, r.call.service.Name),
		slog.String(logServer, target.Server.ID),
		slog.Uint64("slot", uint64(target.Slot)),
		slog.Bool("keyed", target.HasKey),
		slog.String("token", target.Token.String()),
		slog.Int("attempt", number),
		slog.String("result", result),
		slog.Int64("took_us", took.Microseconds()))
}

// limitResult tells the limits what an attempt says about the server's load.
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

// chooser picks a server for requests without a key: the less loaded, as this VM
// sees it, of two picked at random.
type chooser struct {
	gate   limits.Gate
	health *healthTracker
}

func newChooser(gate limits.Gate) *chooser {
	return &chooser{gate: gate, health: newHealthTracker(time.Now)}
}

func (c *chooser) recordSuccess(server string) { c.health.recordSuccess(server) }

func (c *chooser) recordFailure(server string) { c.health.recordFailure(server) }

// incarnationID names one start of a server, so that a server which one request took
// down twice counts as two losses. Without a key the incarnation is not known;
// what this VM saw of the server's failures takes its place.
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
