// Package dispatch takes one request from its route to an answer: it resolves
// the route, admits the request, makes attempts at servers and judges what they
// came to. It knows nothing of connections of callers.
package dispatch

import (
	"context"
	"log/slog"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"

	"kumquatcleat/internal/balance"
	"kumquatcleat/internal/dialect"
	"kumquatcleat/internal/fault"
	"kumquatcleat/internal/keyspace"
	"kumquatcleat/internal/logging"
	"kumquatcleat/internal/registry"
	"kumquatcleat/internal/retry"
	"kumquatcleat/internal/routetable"
	"kumquatcleat/internal/serverconn"
)

// Request is one caller's request, read whole.
type Request struct {
	ID       string
	Method   string
	Target   string // path and query as the caller sent them
	Path     string
	Host     string
	Header   http.Header
	Body     []byte
	Key      uint32
	HasKey   bool
	Arrived  time.Time
	Timeout time.Duration // how long the caller waits; 0: not told
}

// Answer is what the caller gets.
type Answer struct {
	Status int
	Header http.Header // of a server's answer, without those of its connection
	Body   []byte
	// Refusal is set when the router itself answers.
	Refusal    fault.Kind
	Message    string
	RetryAfter time.Duration // zero: no hint
	// Abandoned says that the caller left and nothing is to be written.
	Abandoned bool
}

// Tables gives the route table in force, nil before the first.
type Tables interface{ Current() *routetable.Table }

// Sender makes one attempt.
type Sender interface {
	Do(ctx context.Context, r *serverconn.Request) (*serverconn.Response, *serverconn.Failure)
}

// Settings of a core.
type Settings struct {
	// SplitOffset differs between VMs and spreads split routes evenly.
	SplitOffset float64
	// DrainOwnerGrace is how long a server that drains still gets requests for keys that
	// it owns, while these move.
	DrainOwnerGrace time.Duration
	// DefaultTimeout is used for requests without a deadline on routes without a timeout.
	DefaultTimeout time.Duration
}

// Parts are what a Core works with. All are needed.
type Parts struct {
	Settings   Settings
	Tables     Tables
	Registry   *registry.Registry
	Owners     *keyspace.Owners
	Balancer   *balance.Balancer
	Sender     Sender
	Budget     *Budget
	Suspicions *Suspicions
	CountKey   func(service string, key uint32)
	Decisions  *logging.Decisions
	Metrics    metrics.Registry
	Dialect    *dialect.Dialect
}

// Core serves requests. Safe for concurrent use.
type Core struct {
	Parts
	inFlight atomic.Int64
	meters   *meters
}

// New returns a core.
func New(parts Parts) *Core { return &Core{Parts: parts, meters: newMeters(parts.Metrics)} }

// InFlight returns how many requests are being served.
func (c *Core) InFlight() int64 { return c.inFlight.Load() }

// Serve answers a request. ctx ends when the caller left.
func (c *Core) Serve(ctx context.Context, r *Request) *Answer {
	c.inFlight.Add(1)
	defer c.inFlight.Add(-1)
	run := &run{core: c, request: r}
	answer := run.serve(ctx)
	c.meters.answered(answer, time.Since(r.Arrived))
	run.log(answer)
	return answer
}

// run is the way of one request.
type run struct {
	core     *Core
	request  *Request
	table    *routetable.Table
	route    *routetable.Route
	service  routetable.Service
	deadline time.Time
	// fingerprint names requests that do the same.
	fingerprint uint64

	sends    int // attempts that reached a server, rejected ones included
	connects int // attempts that reached none
	tried    []*registry.Server
	trail    []string // what each attempt came to, for the log
	recordAt uint64   // version of the record that named the last owner
	ran      *Answer  // of an attempt that ran or may have run
	// notOwnerAt is when that owner did not run it for want of the key; zero: it did
	// not. The grant may be on its way behind the record.
	notOwnerAt time.Time
}

func (r *run) serve(ctx context.Context) *Answer {
	if refusal := r.resolve(); refusal != nil {
		return refusal
	}
	if err := r.core.Suspicions.Admit(r.service.Name, r.fingerprint); err != nil {
		return refuse(fault.Quarantined, 0, "%v", err)
	}
	r.core.Budget.Request(r.service.Name)
	if r.service.DividedByKey && r.request.HasKey {
		r.core.CountKey(r.service.Name, r.request.Key)
	}
	return r.attempts(ctx)
}

// resolve finds route, service and deadline.
func (r *run) resolve() *Answer {
	r.table = r.core.Tables.Current()
	if r.table == nil {
		return refuse(fault.Starting, startingRetry, "no configuration is known yet")
	}
	r.route = r.table.Match(r.request.Host, r.request.Path)
	if r.route == nil {
		return refuse(fault.UnknownService, 0, "no route for host %q and path %q in version %d", r.request.Host, r.request.Path, r.table.Version)
	}
	name := r.route.Pick(r.core.Settings.SplitOffset)
	service, ok := r.table.Service(name)
	if !ok {
		return refuse(fault.NoServer, startingRetry, "route %q names service %q, which version %d does not have", r.route.Name, name, r.table.Version)
	}
	r.service = service
	if service.DividedByKey && !r.request.HasKey {
		return refuse(fault.KeyRequired, 0, "service %q is divided by key and the request has no key", name)
	}
	patience := r.core.Settings.DefaultTimeout
	if r.request.Timeout > 0 {
		patience = r.request.Timeout
	}
	if r.route.Timeout > 0 && (r.request.Timeout == 0 || r.route.Timeout < patience) {
		patience = r.route.Timeout
	}
	r.deadline = r.request.Arrived.Add(patience)
	r.fingerprint = retry.Fingerprint(r.request.Method, r.request.Host+r.request.Target, "", r.request.Body)
	return nil
}

// startingRetry is the hint while the VM learns its configuration: a read of the
// store takes milliseconds, its return seconds.
const startingRetry = 250 * time.Millisecond

func (r *run) log(a *Answer) {
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
		attrs = append(attrs, slog.Uint64("key", uint64(r.request.Key)), slog.Uint64("record", r.recordAt))
	}
	if len(r.trail) > 0 {
		attrs = append(attrs, slog.Any("attempts", r.trail))
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
