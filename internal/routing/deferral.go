package routing

import (
	"context"
	"encoding/json"
	"log/slog"
	"net/http"
	"strings"
	"time"

	"kumquatcleat/internal/backend"
	"kumquatcleat/internal/config"
	"kumquatcleat/internal/fault"
	"kumquatcleat/internal/retry"
)

const (
	// TicketPath is the path prefix at which callers query deferred requests:
	// TicketPath + SERVICE/TICKET.
	TicketPath = "/_deferred/"
	// HeaderTicket carries the ticket of a deferred request in answers.
	HeaderTicket = "Kumquatcleat-Ticket"

	// deferTimeout bounds the writes that make a deferred request durable. It starts
	// at the decision to defer, because the caller's own deadline may have passed
	// by then.
	deferTimeout = 3 * time.Second
)

// Deferrals stores requests for later execution and reports their state.
// *retry.Deferred implements it.
type Deferrals interface {
	Accept(ctx context.Context, service, ticket string, honorsID bool, request retry.DeferredRequest) error
	Status(ctx context.Context, service, ticket string) (retry.DeferredItem, error)
}

// TicketAnswer is the JSON body that describes a deferred request that has no
// answer yet.
type TicketAnswer struct {
	Ticket string              `json:"ticket"`
	State  retry.DeferredState `json:"state"`
	Reason string              `json:"reason,omitempty"`
	Path   string              `json:"path"` // where to query the state
}

// wantsDeferral reports whether the caller prefers asynchronous processing
// (Prefer: respond-async, RFC 7240).
func wantsDeferral(r *http.Request) bool {
	for _, line := range r.Header.Values("Prefer") {
		for preference := range strings.SplitSeq(line, ",") {
			if strings.EqualFold(strings.TrimSpace(preference), "respond-async") {
				return true
			}
		}
	}
	return false
}

// canDefer reports whether a request that failed with err can be deferred: its
// rule allows it, it did not run, and its body is buffered.
func canDefer(call *call, body *callerBody, err *fault.Error) bool {
	if !call.deferOK || body.stream != nil {
		return false
	}
	switch err.Kind {
	case fault.Overloaded, fault.QueueTimeout, fault.NoOwner, fault.NoServer,
		fault.ConnectFailed, fault.ServerRefused, fault.NotOwner, fault.ClaimUnavailable, fault.Stopping:
		return true
	default:
		return false
	}
}

// acceptDeferred stores a request durably and answers 202 with its ticket.
func (h *Handler) acceptDeferred(w http.ResponseWriter, r *http.Request, call *call, body *callerBody) *fault.Error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(r.Context()), deferTimeout)
	defer cancel()
	ticket := retry.Ticket(call.service.Name, scopedIdempotencyKey(call))
	request := retry.DeferredRequest{
		Method: r.Method,
		Path:   call.path,
		Query:  r.URL.RawQuery,
		Header: deferredHeader(r.Header, call),
		Body:   body.buffered,
	}
	if err := h.Deferrals.Accept(ctx, call.service.Name, ticket, honorsRequestIDs(call.service), request); err != nil {
		return toFaultError(err)
	}
	h.Decisions.Log("routing: deferred",
		slog.String(logRequest, call.requestID),
		slog.String(logService, call.service.Name),
		slog.String("ticket", ticket))
	writeTicket(w, http.StatusAccepted, call.service.Name, retry.DeferredItem{Ticket: ticket, State: retry.DeferredQueued})
	return nil
}

// scopedIdempotencyKey prefixes the idempotency key with the call's key, so that
// equal idempotency keys of different keys do not collide.
func scopedIdempotencyKey(call *call) string {
	if call.idempotencyKey == "" {
		return ""
	}
	return call.key + "\x00" + call.idempotencyKey
}

// deferredHeader returns the header to store with a deferred request.
func deferredHeader(in http.Header, call *call) http.Header {
	out := in.Clone()
	removeHopByHop(out)
	removeOwn(out)
	out.Del("Prefer")
	if call.key != "" {
		out.Set(HeaderKey, call.key)
	}
	return out
}

// honorsRequestIDs reports whether every server of a service runs a request ID at
// most once. All must, because any of them may own the key when the request runs.
func honorsRequestIDs(service *config.Service) bool {
	for _, server := range service.Servers {
		if !server.HonoursID {
			return false
		}
	}
	return len(service.Servers) > 0
}

// answerFromDeferred answers a call that repeats a deferred request, with the
// state or the answer of that request. It returns false if there is none, it was
// withdrawn, or its state can't be read.
func (h *Handler) answerFromDeferred(ctx context.Context, w http.ResponseWriter, call *call) bool {
	if !call.deferOK || call.idempotencyKey == "" {
		return false
	}
	item, err := h.Deferrals.Status(ctx, call.service.Name, retry.Ticket(call.service.Name, scopedIdempotencyKey(call)))
	if err != nil || item.State == retry.DeferredWithdrawn {
		return false
	}
	writeItem(w, call.service.Name, item)
	return true
}

// serveTicket answers a query about a deferred request.
func (h *Handler) serveTicket(w http.ResponseWriter, r *http.Request) *fault.Error {
	service, ticket, ok := strings.Cut(strings.TrimPrefix(r.URL.Path, TicketPath), "/")
	if !ok || service == "" || ticket == "" {
		return fault.New(fault.BadRequest, "path %q: use %sSERVICE/TICKET", r.URL.Path, TicketPath)
	}
	item, err := h.Deferrals.Status(r.Context(), service, ticket)
	if err != nil {
		return toFaultError(err)
	}
	writeItem(w, service, item)
	return nil
}

// writeItem answers with the state of a deferred request, or with the server's
// answer once it is done.
func writeItem(w http.ResponseWriter, service string, item retry.DeferredItem) {
	switch item.State {
	case retry.DeferredDone:
		writeDone(w, item)
	case retry.DeferredParked:
		w.Header().Set(HeaderOutcome, string(fault.Unknown))
		writeTicket(w, http.StatusConflict, service, item)
	case retry.DeferredWithdrawn:
		w.Header().Set(HeaderOutcome, string(fault.NotRun))
		writeTicket(w, http.StatusGone, service, item)
	default:
		writeTicket(w, http.StatusAccepted, service, item)
	}
}

func writeDone(w http.ResponseWriter, item retry.DeferredItem) {
	header := w.Header()
	header.Set(HeaderTicket, item.Ticket)
	if item.Answer == nil {
		w.WriteHeader(http.StatusNoContent) // an operator settled it as run; there is no stored answer
		return
	}
	for name, values := range item.Answer.Header {
		header[name] = values
	}
	w.WriteHeader(item.Answer.Status)
	_, _ = w.Write(item.Answer.Body)
}

func writeTicket(w http.ResponseWriter, status int, service string, item retry.DeferredItem) {
	path := TicketPath + service + "/" + item.Ticket
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Location", path)
	w.Header().Set(HeaderTicket, item.Ticket)
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(TicketAnswer{Ticket: item.Ticket, State: item.State, Reason: item.Reason, Path: path})
}

// RunDeferred runs one attempt of a deferred request, with its ticket as the
// request ID. It is a retry.Runner.
func (h *Handler) RunDeferred(ctx context.Context, item retry.DeferredItem) (retry.DeferredAnswer, error) {
	r, err := http.NewRequestWithContext(ctx, item.Request.Method, "/"+item.Service+item.Request.Path, nil)
	if err != nil {
		return retry.DeferredAnswer{}, fault.Wrap(fault.BadRequest, err, "ticket %s", item.Ticket)
	}
	r.URL.RawQuery = item.Request.Query
	r.Header = item.Request.Header.Clone()
	call, ferr := parseCall(r, h.Services)
	if ferr != nil {
		return retry.DeferredAnswer{}, ferr
	}
	call.requestID = item.Ticket
	claim, ferr := h.acquireClaim(ctx, call, item.Attempt)
	if ferr != nil {
		return retry.DeferredAnswer{}, ferr
	}
	body := &callerBody{buffered: item.Request.Body, length: int64(len(item.Request.Body))}
	recorder := &answerRecorder{header: http.Header{}}
	forwarder := &forwarder{handler: h, call: call, body: body, request: r, writer: recorder}
	forwarder.fingerprints = forwarder.computeFingerprints()
	ferr = forwarder.sendWithRetries(ctx)
	h.settle(ctx, claim, ferr)
	if ferr != nil {
		return retry.DeferredAnswer{}, ferr
	}
	return recorder.answer(), nil
}

// answerRecorder buffers an answer. It implements http.ResponseWriter and
// http.Flusher.
type answerRecorder struct {
	header http.Header
	status int
	body   []byte
}

// Header implements http.ResponseWriter.
func (a *answerRecorder) Header() http.Header { return a.header }

// WriteHeader implements http.ResponseWriter.
func (a *answerRecorder) WriteHeader(status int) { a.status = status }

// Write implements http.ResponseWriter.
func (a *answerRecorder) Write(p []byte) (int, error) {
	a.body = append(a.body, p...)
	return len(p), nil
}

// Flush implements http.Flusher.
func (a *answerRecorder) Flush() {}

func (a *answerRecorder) answer() retry.DeferredAnswer {
	a.header.Del("Trailer")
	a.header.Del(backend.HeaderRequestID)
	return retry.DeferredAnswer{Status: a.status, Header: a.header, Body: a.body}
}
