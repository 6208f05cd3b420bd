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

// Canceler tells a server that nobody waits for a request any more.
type Canceler interface {
	Cancel(address, requestID string)
}

// Policies gives the retry policy of a service: one service's outage must not
// spend the budget of another.
type Policies interface {
	For(service string) retry.Policy
}

// Prober tells whether a server whose connection broke is down, or came back as
// another start, rather than having closed a connection.
type Prober interface {
	Lost(target Target) bool
}

// Parts are what a Handler works with. All are needed.
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
	Registry   metrics.Registry
	// UncheckedDeadline bounds a request at a server that does not check grants:
	// its key may move that long after the last right to send ended.
	UncheckedDeadline time.Duration
}

// Handler serves callers. Safe for concurrent use.
type Handler struct {
	Parts
	chooser  *chooser
	metrics   *handlerMetrics
	inFlight atomic.Int64
	stopping atomic.Bool
}

// NewHandler returns a Handler.
func NewHandler(parts Parts) *Handler {
	return &Handler{
		Parts:   parts,
		chooser: newChooser(parts.Gate),
		metrics:  newHandlerMetrics(parts.Registry),
	}
}

// Stop makes further answers close their connections, so that callers leave.
func (h *Handler) Stop() { h.stopping.Store(true) }

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

// answer serves a request, or returns why it did not. The call is never nil.
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

// serve answers the caller, or returns why it did not. After an error nothing
// was written to w, but for the kind AnswerCut.
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

// serveNow claims, sends and settles.
func (h *Handler) serveNow(ctx context.Context, w http.ResponseWriter, r *http.Request, call *call, body *callerBody) *fault.Error {
	claim, ferr := h.acquireClaim(ctx, call, 0)
	if ferr != nil {
		return ferr
	}
	forwarder := &forwarder{handler: h, call: call, body: body, request: r, writer: w}
	forwarder.fingerprint = forwarder.computeFingerprint()
	ferr = forwarder.sendWithRetries(ctx)
	h.settle(r.Context(), claim, ferr)
	return ferr
}

func bodyError(err error, call *call) *fault.Error {
	if err == errBodyOverLimit {
		return fault.New(fault.BodyTooLarge, "the body is over the limit of %d bytes of service %q", maxBody(call.service), call.service.Name)
	}
	return fault.Wrap(fault.BadRequest, err, "the body broke off before it was whole")
}

// acquireClaim makes the once-only acquireClaim of a non-idempotent request that carries an
// idempotency key. A nil acquireClaim means that none is needed. Deferred work claims
// anew at each attempt, counted from 1; a request served at once is attempt 0.
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
	// maxClaimAttempts and claimPause span the time in which a VM that was just named
	// as standby learns of it: one read of the group's row.
	maxClaimAttempts = 6
	claimRetryDelay = 100 * time.Millisecond
)

// acquireClaimWithRetry tries again while no VM can record the claim. Each try has an
// id of its own: a try that was given up must not be taken for the next one.
func (h *Handler) acquireClaimWithRetry(ctx context.Context, group, key, requestID string) (retry.Claim, retry.Verdict, error) {
	for number := 1; ; number++ {
		id := requestID + "/" + strconv.Itoa(number)
		claim, verdict, err := h.Claimer.Claim(ctx, group, key, id)
		if verdict != retry.ClaimRefused || number == maxClaimAttempts || !wait.For(ctx, claimRetryDelay) {
			return claim, verdict, err
		}
	}
}

// settle ends a claim. An unknown outcome keeps the claim: the request may have
// run, and a copy must be refused.
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
		// Closes the connection: the caller sees that the answer is not whole.
		panic(http.ErrAbortHandler)
	}
	writeRefusal(w, call.requestID, err)
}

// Names of attributes in the decision log.
const (
	logRequest = "request"
	logService = "service"
	logServer  = "server"
)

// notStartedKind maps a server's statement to an error kind.
func notStartedKind(reason string) fault.Kind {
	if reason == backend.NotStartedNotOwner {
		return fault.NotOwner
	}
	return fault.ServerRefused
}

// Usable reports whether a server may be chosen for requests without a key.
func (h *Handler) Usable(server string) bool { return h.chooser.health.usable(server) }
