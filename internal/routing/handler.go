package routing

import (
	"context"
	"log/slog"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/rcrowley/go-metrics"

	"kumquatcleat/internal/backend"
	"kumquatcleat/internal/fault"
	"kumquatcleat/internal/limits"
	"kumquatcleat/internal/logging"
	"kumquatcleat/internal/retry"
	"kumquatcleat/internal/wait"
)

// Canceler notifies a server that no caller waits for a request anymore.
type Canceler interface {
	Cancel(address, requestID string)
}

// Policies returns the retry policy of a service. Each service has its own retry
// budget, so that an outage of one does not use up the budget of another.
type Policies interface {
	For(service string) retry.Policy
}

// Prober checks a server whose connection broke. Lost reports whether the server
// is down or has restarted, as opposed to having closed just the connection.
type Prober interface {
	Lost(target Target) bool
}

// Parts are the dependencies of a Handler. All but UncheckedDeadline are required.
type Parts struct {
	Services   Services
	Resolver   Resolver
	Gate       limits.Gate
	Policies   Policies
	Prober     Prober
	Claimer    retry.Claimer
	Quarantine retry.Quarantine
	Transport  *Transport
	Canceler   Canceler
	Deferrals  Deferrals
	Decisions  *logging.Decisions
	Metrics    metrics.Registry
	// UncheckedDeadline bounds a request with a key to a server that does not check
	// grants. It must not exceed ownership.Timing.RequestDeadline: the keeper gives
	// the key to a new owner only that long after the last route lease expired. Zero
	// means no bound, which is safe only if all servers check grants.
	UncheckedDeadline time.Duration
}

// Handler is the HTTP handler for callers. It is safe for concurrent use.
type Handler struct {
	Parts
	chooser  *chooser
	metrics  *handlerMetrics
	inFlight atomic.Int64
	stopping atomic.Bool
	stopBy   atomic.Pointer[time.Time] // nil until StopBy
}

// NewHandler returns a Handler.
func NewHandler(parts Parts) *Handler {
	return &Handler{
		Parts:   parts,
		chooser: newChooser(parts.Gate),
		metrics: newHandlerMetrics(parts.Metrics),
	}
}

// Stop makes further answers close their connections, so that callers connect to
// another VM.
func (h *Handler) Stop() { h.stopping.Store(true) }

// StopBy makes the handler refuse new requests whose deadline is after end, when the process
// stops: they might be cut off without an answer.
func (h *Handler) StopBy(end time.Time) { h.stopBy.Store(&end) }

// InFlight returns how many requests are being served.
func (h *Handler) InFlight() int64 { return h.inFlight.Load() }

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	start := time.Now()
	h.inFlight.Add(1)
	defer h.inFlight.Add(-1)
	if h.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	call, err := h.answer(w, r)
	h.metrics.recordAnswer(err, time.Since(start))
	if err != nil {
		h.refuse(w, r, call, err)
	}
}

// answer serves a request or returns the error to refuse it with. The call it
// returns is never nil.
func (h *Handler) answer(w http.ResponseWriter, r *http.Request) (*call, *fault.Error) {
	if strings.HasPrefix(r.URL.Path, TicketPath) {
		return &call{requestID: uuid.NewString()}, h.serveTicket(w, r)
	}
	call, err := parseCall(r, h.Services)
	if err != nil {
		return call, err
	}
	return call, h.serve(w, r, call)
}

// serve answers the caller or returns an error. After an error nothing has been
// written to w, except for the kind AnswerCut.
func (h *Handler) serve(w http.ResponseWriter, r *http.Request, call *call) *fault.Error {
	ctx, cancel := context.WithTimeout(r.Context(), call.timeout)
	defer cancel()
	body, err := readCallerBody(r, maxBody(call.service))
	if err != nil {
		return bodyError(err, call)
	}
	if h.answerFromDeferred(ctx, w, call) {
		return nil
	}
	if call.deferOK && wantsDeferral(r) && body.stream == nil {
		return h.acceptDeferred(w, r, call, body)
	}
	ferr := h.serveNow(ctx, w, r, call, body)
	if ferr != nil && canDefer(call, body, ferr) {
		return h.acceptDeferred(w, r, call, body)
	}
	return ferr
}

// serveNow acquires a claim if one is needed, sends the request and settles the
// claim.
func (h *Handler) serveNow(ctx context.Context, w http.ResponseWriter, r *http.Request, call *call, body *callerBody) *fault.Error {
	if deadline, _ := ctx.Deadline(); h.stopsBefore(deadline) {
		return fault.New(fault.Stopping, "this VM stops before the deadline of the request")
	}
	claim, ferr := h.acquireClaim(ctx, call, 0)
	if ferr != nil {
		return ferr
	}
	forwarder := &forwarder{handler: h, call: call, body: body, request: r, writer: w}
	forwarder.fingerprints = forwarder.computeFingerprints()
	ferr = forwarder.sendWithRetries(ctx)
	h.settle(r.Context(), claim, ferr)
	return ferr
}

// stopsBefore reports whether the process stops before a deadline.
func (h *Handler) stopsBefore(deadline time.Time) bool {
	end := h.stopBy.Load()
	return end != nil && deadline.After(*end)
}

func bodyError(err error, call *call) *fault.Error {
	if err == errBodyOverLimit {
		return fault.New(fault.BodyTooLarge, "the body is over the limit of %d bytes of service %q", maxBody(call.service), call.service.Name)
	}
	return fault.Wrap(fault.BadRequest, err, "the body broke off before it was whole")
}

// acquireClaim acquires the at-most-once claim of a non-idempotent request that
// carries an idempotency key. A nil claim means that none is needed. A deferred
// request acquires a claim at each attempt, counted from 1; a request that is
// served immediately is attempt 0.
func (h *Handler) acquireClaim(ctx context.Context, call *call, attempt int) (retry.Claim, *fault.Error) {
	if call.idempotent || call.idempotencyKey == "" {
		return nil, nil
	}
	name := call.key
	if name == "" {
		name = call.idempotencyKey
	}
	group := call.service.GroupOf(call.service.SlotOf(name)).String()
	scoped := call.service.Name + "\x00" + call.key + "\x00" + call.idempotencyKey
	id := call.requestID + "/" + strconv.Itoa(attempt)
	claim, verdict, err := h.acquireClaimWithRetry(ctx, group, scoped, id)
	switch {
	case verdict == retry.ClaimFirst:
		return claim, nil
	case verdict == retry.ClaimDuplicate:
		return nil, fault.New(fault.DuplicateRequest, "a request with this %s ran or may have run: ask for its result instead of sending it again", HeaderIdempotencyKey)
	default:
		return nil, fault.Wrap(fault.ClaimUnavailable, err, "no VM could record the %s now: send the request again", HeaderIdempotencyKey)
	}
}

const (
	// maxClaimAttempts and claimRetryDelay cover the time until a VM that has just
	// become standby knows it: one read of the group's row.
	maxClaimAttempts = 6
	claimRetryDelay  = 100 * time.Millisecond
)

// acquireClaimWithRetry retries while no VM can record the claim. Each attempt has
// its own ID, so that an abandoned attempt is not mistaken for a later one.
func (h *Handler) acquireClaimWithRetry(ctx context.Context, group, key, requestID string) (retry.Claim, retry.Verdict, error) {
	for number := 1; ; number++ {
		id := requestID + "/" + strconv.Itoa(number)
		claim, verdict, err := h.Claimer.Claim(ctx, group, key, id)
		if verdict != retry.ClaimRefused || number == maxClaimAttempts || !wait.For(ctx, claimRetryDelay) {
			return claim, verdict, err
		}
	}
}

// settle reports the outcome of a request to its claim. When the outcome is
// unknown the claim stays: the request may have run, so a copy must be refused.
func (h *Handler) settle(ctx context.Context, claim retry.Claim, err *fault.Error) {
	if claim == nil {
		return
	}
	ctx = context.WithoutCancel(ctx)
	switch {
	case err == nil:
		claim.Finished(ctx)
	case fault.AnswerFor(err.Kind).Outcome == fault.NotRun:
		claim.NotRun(ctx)
	}
}

func (h *Handler) refuse(w http.ResponseWriter, r *http.Request, call *call, err *fault.Error) {
	service := ""
	if call.service != nil {
		service = call.service.Name
	}
	h.Decisions.Log("routing: refused",
		slog.String(logRequest, call.requestID),
		slog.String(logService, service),
		slog.String("method", r.Method),
		slog.String("kind", string(err.Kind)),
		slog.String("outcome", string(fault.AnswerFor(err.Kind).Outcome)),
		slog.String("reason", err.Error()))
	if err.Kind == fault.AnswerCut {
		// Closes the connection, so that the caller detects the truncated answer.
		panic(http.ErrAbortHandler)
	}
	writeRefusal(w, call.requestID, err)
}

// Attribute keys of the decision log.
const (
	logRequest = "request"
	logService = "service"
	logServer  = "server"
)

// notStartedKind maps the value of backend.HeaderNotStarted to an error kind.
func notStartedKind(reason string) fault.Kind {
	if reason == backend.NotStartedNotOwner {
		return fault.NotOwner
	}
	return fault.ServerRefused
}

// Usable reports whether a server is eligible for requests without a key.
func (h *Handler) Usable(server string) bool { return h.chooser.health.usable(server) }
