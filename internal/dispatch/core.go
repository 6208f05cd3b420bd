// Package dispatch takes one request from its route to an answer: it resolves
// the route, admits the request, sends it to servers and classifies the results
// of these attempts. It does not handle the connections of callers.
package dispatch

import (
	"context"
	"log/slog"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"

	"kumquatcleat/internal/admission"
	"kumquatcleat/internal/balance"
	"kumquatcleat/internal/dialect"
	"kumquatcleat/internal/eligibility"
	"kumquatcleat/internal/fault"
	"kumquatcleat/internal/keyspace"
	"kumquatcleat/internal/logging"
	"kumquatcleat/internal/membudget"
	"kumquatcleat/internal/overload"
	"kumquatcleat/internal/ratelimit"
	"kumquatcleat/internal/registry"
	"kumquatcleat/internal/retry"
	"kumquatcleat/internal/routetable"
	"kumquatcleat/internal/serverconn"
)

// Request is one caller's request, with its whole body.
type Request struct {
	ID      string
	Method  string
	Target  string // path and query as the caller sent them
	Path    string
	Host    string
	Header  http.Header
	Body    []byte
	Key     uint32
	HasKey  bool
	Arrived time.Time
	Timeout time.Duration // how long the caller waits; 0: not stated
	// AnswerMemory is the reservation for the bodies of servers' answers. The caller of
	// Serve releases it once the answer has been written.
	AnswerMemory *membudget.Reservation
	// Relayed says that another VM sent the request, because it reaches no server.
	Relayed bool
}

// Answer is what the caller receives: a server's answer or a refusal.
type Answer struct {
	Status int
	Header http.Header // of a server's answer, without hop-by-hop headers
	Body   []byte
	Stream *serverconn.Stream // the body if it does not fit into memory, to be closed; otherwise nil
	// Refusal is set when the router itself answers, with the reason in Message.
	Refusal    fault.Kind
	Message    string
	RetryAfter time.Duration // zero: no hint
	// Abandoned says that the caller disconnected and nothing is to be written.
	Abandoned bool
}

// Tables provides the route table in force, nil until one is loaded.
type Tables interface{ Current() *routetable.Table }

// Sender sends a request to one server, once.
type Sender interface {
	Do(ctx context.Context, r *serverconn.Request) (*serverconn.Response, *serverconn.Failure)
}

// Reach tells whether this VM reaches servers.
type Reach interface {
	// Isolated reports whether this VM can't open a connection to any server.
	Isolated() bool
	// ConnectionsLive reports whether servers answer on open connections.
	ConnectionsLive() bool
	// Answered records that a server answered.
	Answered()
}

// Relay sends requests through other VMs.
type Relay interface {
	Send(ctx context.Context, r *Request, deadline time.Time, configVersion uint64) RelayResult
}

// RelayResult is the result of sending a request through another VM. Without an answer, Sent
// says whether the request may have run.
type RelayResult struct {
	Answer *Answer
	VM     string
	Sent   bool
	Err    error
}

// Settings of a Core.
type Settings struct {
	// SplitOffset differs between VMs, so that together they spread the requests of
	// split routes evenly.
	SplitOffset float64
	// DrainOwnerGrace is how long a draining server still receives requests for the
	// keys it owns, while they move.
	DrainOwnerGrace time.Duration
	// EvacuatedOwnerGrace is how long a server of an evacuated failure domain still receives
	// requests for the keys it owns, while they move.
	EvacuatedOwnerGrace time.Duration
	// DefaultTimeout applies to requests without a deadline on routes without a
	// timeout.
	DefaultTimeout time.Duration
}

// Parts are the dependencies of a Core. All are required.
type Parts struct {
	Settings   Settings
	Tables     Tables
	Registry   *registry.Registry
	Owners     *keyspace.Owners
	Balancer   *balance.Balancer
	Sender     Sender
	Budget     *Budget
	Overload   *overload.Gate
	RateLimits *ratelimit.Limits
	Pauses     *Pauses
	Suspicions *Suspicions
	Reach      Reach
	Relay      Relay
	// HasIdleConnection reports whether there is an idle connection to a server.
	HasIdleConnection func(*registry.Server) bool
	CountKey          func(service string, key uint32)
	// Place returns the failure domain for the first attempt of a request without key; nil: there
	// are no such decisions.
	Place     func(service string) balance.Placement
	Decisions *logging.Decisions
	Metrics   metrics.Registry
	Dialect   *dialect.Dialect
}

// Core serves requests. Safe for concurrent use.
type Core struct {
	Parts
	inFlight       atomic.Int64
	stopBy         atomic.Pointer[time.Time] // nil unless the process stops
	requestMetrics *requestMetrics
	eligibility    *eligibility.Gate
	admissions     *admissions
}

// New returns a Core.
func New(parts Parts) *Core {
	return &Core{
		Parts: parts, requestMetrics: newRequestMetrics(parts.Metrics), admissions: newAdmissions(parts.Metrics),
		eligibility: &eligibility.Gate{Registry: parts.Registry, Pauses: parts.Pauses, Limits: parts.RateLimits, OwnerGrace: parts.Settings.EvacuatedOwnerGrace},
	}
}

// InFlight returns how many requests are being served.
func (c *Core) InFlight() int64 { return c.inFlight.Load() }

// StopBy makes the core refuse new requests whose deadline is after end, when the process stops:
// they might be cut off without an answer.
func (c *Core) StopBy(end time.Time) { c.stopBy.Store(&end) }

// Serve answers a request. ctx is canceled when the caller disconnects.
func (c *Core) Serve(ctx context.Context, r *Request) *Answer {
	c.inFlight.Add(1)
	defer c.inFlight.Add(-1)
	state := &requestState{core: c, request: r}
	answer := state.serve(ctx)
	c.requestMetrics.record(answer, time.Since(r.Arrived))
	state.log(answer)
	return answer
}

// requestState is the state of one request while it is served.
type requestState struct {
	core     *Core
	request  *Request
	table    *routetable.Table
	route    *routetable.Route
	service  routetable.Service
	deadline time.Time
	// fingerprints cover method, host, target and body.
	fingerprints retry.Fingerprints
	// relayed says that the request is sent through other VMs only.
	relayed bool

	sends            int                 // attempts that reached a server, including rejected ones
	connectFailures  int                 // attempts that reached no server
	tried            []registry.Instance // servers that the request was sent to, in order
	attemptLog       []string            // result of each attempt, for the log
	broken           []string            // servers that broke the connection of an attempt
	recordVersion    uint64              // version of the owners record that named the last owner
	mayHaveRunAnswer *Answer             // of an attempt that ran or may have run
	// notOwnerAt is when the owner named by the record of version recordVersion
	// answered that it does not own the key, zero if it has not. The grant may still
	// be in flight after the record was written.
	notOwnerAt time.Time
	// firstAttempt is when the caller is taken to have sent the request first, zero until that is
	// asked for.
	firstAttempt time.Time
	admission    string // last decision about a limited server or a refusal, for the log
}

func (r *requestState) serve(ctx context.Context) *Answer {
	if refusal := r.resolve(); refusal != nil {
		return refusal
	}
	if refusal := r.refuseIfStopping(); refusal != nil {
		return refusal
	}
	if err := r.core.Suspicions.Admit(r.service.Name, r.fingerprints); err != nil {
		return refuse(fault.Quarantined, 0, "%v", err)
	}
	if r.core.Reach.Isolated() && !r.core.Reach.ConnectionsLive() {
		if r.request.Relayed {
			return refuse(fault.Isolated, 0, "this VM reaches no server either")
		}
		r.relayed = true // the other VM counts the request
		return r.attempts(ctx)
	}
	r.core.Budget.Request(r.service.Name)
	if r.service.DividedByKey && r.request.HasKey {
		r.core.CountKey(r.service.Name, r.request.Key)
	}
	return r.attempts(ctx)
}

// refuseIfStopping refuses a request that the end of the process might cut off.
func (r *requestState) refuseIfStopping() *Answer {
	end := r.core.stopBy.Load()
	if end == nil || !r.deadline.After(*end) {
		return nil
	}
	return refuse(fault.Stopping, r.honored(minRetryAfter), "this VM stops in %v, the request may take %v",
		time.Until(*end).Round(time.Millisecond), time.Until(r.deadline).Round(time.Millisecond))
}

// resolve finds the route, service and deadline, or refuses the request.
func (r *requestState) resolve() *Answer {
	if refusal := r.findRoute(); refusal != nil {
		return refusal
	}
	return r.useService(r.route.Pick(r.core.Settings.SplitOffset))
}

// findRoute finds the route, or refuses the request.
func (r *requestState) findRoute() *Answer {
	r.table = r.core.Tables.Current()
	if r.table == nil {
		return refuse(fault.Starting, r.honored(startRetryAfter), "no configuration is loaded yet")
	}
	r.route = r.table.Match(r.request.Host, r.request.Path)
	if r.route == nil {
		return refuse(fault.UnknownService, 0, "no route for host %q and path %q in configuration version %d", r.request.Host, r.request.Path, r.table.Version)
	}
	return nil
}

// useService sets the service and the deadline of the request, or refuses it.
func (r *requestState) useService(name string) *Answer {
	service, ok := r.table.Service(name)
	if !ok {
		return refuse(fault.NoServer, r.honored(configRetryAfter), "route %q names service %q, which configuration version %d does not have", r.route.Name, name, r.table.Version)
	}
	r.service = service
	if service.DividedByKey && !r.request.HasKey {
		return refuse(fault.KeyRequired, 0, "service %q is divided by key, but the request has no key", name)
	}
	timeout := r.core.Settings.DefaultTimeout
	if r.request.Timeout > 0 {
		timeout = r.request.Timeout
	}
	if r.route.Timeout > 0 && (r.request.Timeout == 0 || r.route.Timeout < timeout) {
		timeout = r.route.Timeout
	}
	r.deadline = r.request.Arrived.Add(timeout)
	r.fingerprints = fingerprints(r.request)
	return nil
}

func fingerprints(r *Request) retry.Fingerprints {
	request := retry.Fingerprint(r.Method, r.Host+r.Target, "", r.Body)
	path, _, hasQuery := strings.Cut(r.Target, "?")
	if !hasQuery {
		return retry.Fingerprints{Request: request, Path: request}
	}
	return retry.Fingerprints{Request: request, Path: retry.Fingerprint(r.Method, r.Host+path, "", r.Body)}
}

const (
	// startRetryAfter is the Retry-After hint while the VM loads its configuration. After
	// a loss of all VMs, nine of ten have it half a second after their start.
	startRetryAfter = 500 * time.Millisecond
	// configRetryAfter is the Retry-After hint until the VM has a configuration with the
	// service that a route names.
	configRetryAfter = 250 * time.Millisecond
)

// honored shortens a Retry-After hint to what the caller honors.
func (r *requestState) honored(hint time.Duration) time.Duration {
	if r.request.Timeout <= 0 {
		return hint
	}
	left := time.Until(r.request.Arrived.Add(r.request.Timeout))
	return max(min(hint, time.Duration(admission.MaxHonoredShare*float64(left))), minRetryAfter)
}

func (r *requestState) log(a *Answer) {
	attrs := []slog.Attr{
		slog.String("request", r.request.ID),
		slog.Int("status", a.Status),
		slog.Int64("us", time.Since(r.request.Arrived).Microseconds()),
	}
	if r.route != nil {
		attrs = append(attrs, slog.String("route", r.route.Name), slog.String("service", r.service.Name),
			slog.Uint64("version", r.table.Version), slog.Bool("idempotent", r.route.Idempotent))
	}
	if r.request.HasKey {
		attrs = append(attrs, slog.Uint64("key", uint64(r.request.Key)), slog.Uint64("record", r.recordVersion))
	}
	if len(r.broken) > 0 || a.Refusal == fault.Quarantined {
		attrs = append(attrs, slog.String("fingerprint", retry.FormatFingerprint(r.fingerprints.Request)),
			slog.String("path_fingerprint", retry.FormatFingerprint(r.fingerprints.Path)))
	}
	if len(r.attemptLog) > 0 {
		attrs = append(attrs, slog.Any("attempts", r.attemptLog))
	}
	if r.admission != "" && a.Refusal != fault.Overloaded { // a refusal names it as its reason
		attrs = append(attrs, slog.String("admission", r.admission))
	}
	switch {
	case a.Abandoned:
		attrs = append(attrs, slog.String("outcome", "caller left"))
	case a.Refusal != "":
		attrs = append(attrs, slog.String("kind", string(a.Refusal)), slog.String("reason", a.Message),
			slog.String("outcome", string(fault.AnswerFor(a.Refusal).Outcome)))
	}
	r.core.Decisions.Log("dispatch: request", attrs...)
}
