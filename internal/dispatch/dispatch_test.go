package dispatch

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"

	"kumquatcleat/internal/balance"
	"kumquatcleat/internal/dialect"
	"kumquatcleat/internal/fault"
	"kumquatcleat/internal/keyspace"
	"kumquatcleat/internal/logging"
	"kumquatcleat/internal/overload"
	"kumquatcleat/internal/ratelimit"
	"kumquatcleat/internal/registry"
	"kumquatcleat/internal/retry"
	"kumquatcleat/internal/routetable"
	"kumquatcleat/internal/rows"
	"kumquatcleat/internal/serverconn"
)

// scriptedSender answers attempts with its steps in order, then repeats the last.
type scriptedSender struct {
	mu    sync.Mutex // guards sent
	steps []func(*serverconn.Request) (*serverconn.Response, *serverconn.Failure)
	sent  []string // server of each attempt
	fresh []bool   // whether each attempt asked for a connection of its own
}

func (a *scriptedSender) Do(_ context.Context, r *serverconn.Request) (*serverconn.Response, *serverconn.Failure) {
	if r.Guard != nil {
		if err := r.Guard(); err != nil {
			return nil, &serverconn.Failure{Progress: serverconn.NotSent, Err: err}
		}
	}
	a.mu.Lock()
	a.sent, a.fresh = append(a.sent, r.Server.ID), append(a.fresh, r.Repeat)
	step := a.steps[min(len(a.sent), len(a.steps))-1]
	a.mu.Unlock()
	return step(r)
}

type step = func(*serverconn.Request) (*serverconn.Response, *serverconn.Failure)

func answers(status int) step {
	return func(*serverconn.Request) (*serverconn.Response, *serverconn.Failure) {
		return &serverconn.Response{Status: status, Header: http.Header{}}, nil
	}
}

func sheds(status int) step {
	return func(r *serverconn.Request) (*serverconn.Response, *serverconn.Failure) {
		return &serverconn.Response{Status: status, Header: http.Header{}, NotStarted: true, ServerID: r.Server.ID}, nil
	}
}

func fails(progress serverconn.Progress) step {
	return func(*serverconn.Request) (*serverconn.Response, *serverconn.Failure) {
		return nil, &serverconn.Failure{Progress: progress, Reset: true, Err: errors.New("connection reset")}
	}
}

type table struct{ t *routetable.Table }

func (t table) Current() *routetable.Table { return t.t }

// fixture is a Core with a plain and a keyed service, three servers each, and
// scripted attempts.
type fixture struct {
	core     *Core
	sender   *scriptedSender
	registry *registry.Registry
	owners   *keyspace.Owners
}

func newFixture(idempotent bool, steps ...step) *fixture {
	servers := registry.New()
	for i := range 3 {
		servers.Put(registry.Server{ID: fmt.Sprintf("s%d", i), Service: "plain", Slots: 6, Incarnation: 1})
		servers.Put(registry.Server{ID: fmt.Sprintf("k%d", i), Service: "keyed", Slots: 6, Incarnation: 1})
	}
	route := func(prefix, service string) routetable.Route {
		return routetable.Route{Name: prefix, Host: "h", Prefix: prefix, Idempotent: idempotent, MaxAttempts: 2,
			Timeout: 400 * time.Millisecond, Targets: []routetable.Target{{Service: service, Weight: 1}}}
	}
	t := table{routetable.Compile(routetable.Config{
		Version: 1, Routes: []routetable.Route{route("/p/", "plain"), route("/k/", "keyed")},
		Services: []routetable.Service{{Name: "plain"}, {Name: "keyed", DividedByKey: true}},
	})}
	sender := &scriptedSender{steps: steps}
	m := metrics.NewRegistry()
	owners := keyspace.NewOwners()
	core := New(Parts{
		Settings: Settings{DefaultTimeout: time.Second, DrainOwnerGrace: time.Second},
		Tables:   t, Registry: servers, Owners: owners,
		Balancer: balance.New(balance.Settings{InitialServiceTime: time.Millisecond, MaxRequestsPerSlot: 4}), Sender: sender,
		Budget:   NewBudget(BudgetSettings{Ratio: 0.2, Slack: 3, Window: 10 * time.Second, Share: 1}, func() int { return 1 }, time.Now),
		Overload: overload.NewGate(), RateLimits: ratelimit.New(func(string) float64 { return 1 }, m), Pauses: NewPauses(m), Suspicions: NewSuspicions(retry.NewQuarantine(retry.DefaultQuarantineSettings(), time.Now), time.Now, nil), Reach: alwaysReaching{},
		CountKey: func(string, uint32) {}, Decisions: logging.NewDecisions(m), Metrics: m, Dialect: &dialect.Dialect{},
	})
	return &fixture{core, sender, servers, owners}
}

func (b *fixture) serve(path string, key int) *Answer { return b.serveWithin(path, key, time.Second) }

func (b *fixture) serveWithin(path string, key int, timeout time.Duration) *Answer {
	r := &Request{ID: "id", Method: "GET", Target: path, Path: path, Host: "h", Arrived: time.Now(), Timeout: timeout}
	if key >= 0 {
		r.Key, r.HasKey = uint32(key), true
	}
	return b.core.Serve(context.Background(), r)
}

func (b *fixture) setOwners(version uint64, ranges string) {
	b.owners.Apply([]rows.Row{{Key: "keyed", Version: version, Value: []byte(`{"ranges":[` + ranges + `]}`)}})
}

const ownedByK0 = `{"from":0,"to":99,"owner":{"server":"k0","incarnation":1},"fence":1}`

// A request that is not idempotent is retried only after a server stated that it
// did not start it, or when nothing was sent.
func TestNonIdempotentRequestIsRetriedOnlyIfNotRun(t *testing.T) {
	for _, c := range []struct {
		name   string
		first  step
		sends  int
		status int
	}{
		{"broken after the send", fails(serverconn.Sent), 1, http.StatusBadGateway},
		{"server error", answers(500), 1, 500},
		{"stated as not started", sheds(503), 2, 200},
		{"not sent", fails(serverconn.NotSent), 2, 200},
	} {
		b := newFixture(false, c.first, answers(200))
		a := b.serve("/p/", -1)
		if a.Status != c.status || len(b.sender.sent) != c.sends {
			t.Errorf("%s: got status %d after %d sends, want %d after %d", c.name, a.Status, len(b.sender.sent), c.status, c.sends)
		}
	}
}

// Statuses 429 and 503 promise that the request did not run and won't. A failed
// last attempt must not promise that when an earlier one may have run.
func TestRefusalPromisesNotRunOnlyIfNoAttemptMayHaveRun(t *testing.T) {
	promises := func(status int) bool { return status == 429 || status == 503 || status == 408 || status == 421 }
	for name, steps := range map[string][]step{
		"broken":                   {fails(serverconn.Sent)},
		"broken, then not started": {fails(serverconn.Sent), sheds(503)},
		"broken, then not sent":    {fails(serverconn.Sent), fails(serverconn.NotSent)},
		"failed, then not started": {answers(500), sheds(503)},
	} {
		b := newFixture(true, steps...)
		if a := b.serve("/p/", -1); promises(a.Status) {
			t.Errorf("%s: got status %d, which promises that the request did not run", name, a.Status)
		}
	}
	for name, steps := range map[string][]step{"shed": {sheds(503)}, "not sent": {fails(serverconn.NotSent)}} {
		b := newFixture(true, steps...)
		if a := b.serve("/p/", -1); !promises(a.Status) || a.RetryAfter <= 0 {
			t.Errorf("%s: got status %d, Retry-After %v; want a status that promises it did not run, and a hint", name, a.Status, a.RetryAfter)
		}
	}
}

func TestRefusalStatusMatchesOutcome(t *testing.T) {
	for _, kind := range fault.Kinds() {
		a := refuse(kind, 0, "x")
		if (a.Status == 503 || a.Status == 429) && fault.AnswerFor(kind).Outcome != fault.NotRun {
			t.Errorf("%s: got status %d, which promises that the request did not run, for an unknown outcome", kind, a.Status)
		}
	}
}

func TestRetriesStayWithinBudget(t *testing.T) {
	b := newFixture(true, fails(serverconn.Sent))
	b.serve("/p/", -1)
	if len(b.sender.sent) != 2 || b.sender.sent[0] == b.sender.sent[1] {
		t.Fatalf("sent to %v, want two different servers", b.sender.sent)
	}
	for range 50 {
		b.serve("/p/", -1)
	}
	// Of 51 requests a fifth may be retried, and three more by the slack.
	if retries := len(b.sender.sent) - 51; retries > 13 {
		t.Fatalf("got %d retries of 51 requests, want at most 13", retries)
	}
}

func TestKeyedRequestIsSentOnlyToOwner(t *testing.T) {
	b := newFixture(true, answers(200))
	b.setOwners(1, ownedByK0)
	for range 10 {
		if a := b.serve("/k/", 7); a.Status != 200 {
			t.Fatalf("got status %d, want 200: %s", a.Status, a.Message)
		}
	}
	if slices.ContainsFunc(b.sender.sent, func(s string) bool { return s != "k0" }) {
		t.Fatalf("sent to %v, want only k0", b.sender.sent)
	}
}

// A request waits while its key moves and is then sent to the new owner.
func TestKeyedRequestWaitsDuringMove(t *testing.T) {
	b := newFixture(true, answers(200))
	b.setOwners(1, `{"from":0,"to":99,"owner":{"server":"k1","incarnation":1},"fence":1,"pending":true}`)
	time.AfterFunc(60*time.Millisecond, func() {
		b.setOwners(2, `{"from":0,"to":99,"owner":{"server":"k1","incarnation":1},"fence":1}`)
	})
	if a := b.serve("/k/", 7); a.Status != 200 || b.sender.sent[0] != "k1" {
		t.Fatalf("got status %d, sent to %v; want 200 from k1", a.Status, b.sender.sent)
	}
}

// After a server answers that it does not own the key, the request is retried there
// under the same owners record only once the grant must have arrived, and only as
// often as the route allows.
func TestMisdirectedRequestIsRetriedOnlyAfterGrantDelay(t *testing.T) {
	b := newFixture(true, sheds(http.StatusMisdirectedRequest))
	b.setOwners(1, ownedByK0)
	began := time.Now()
	a := b.serve("/k/", 7)
	if took := time.Since(began); a.Status != 503 || len(b.sender.sent) > 2 || took < grantDelay {
		t.Fatalf("got status %d, sent to %v within %v; want 503, at most two sends, no retry before the grant delay", a.Status, b.sender.sent, took)
	}
}

// A draining owner receives requests for its keys only for DrainOwnerGrace.
func TestKeyedRequestToDrainingOwner(t *testing.T) {
	b := newFixture(true, answers(200))
	b.setOwners(1, ownedByK0)
	b.registry.Put(registry.Server{ID: "k0", Service: "keyed", Slots: 6, Incarnation: 1, Draining: true, SeenAt: time.Now()})
	if a := b.serve("/k/", 7); a.Status != 200 {
		t.Fatalf("just after the drain began: got status %d, want 200", a.Status)
	}
	b.registry.Put(registry.Server{ID: "k0", Service: "keyed", Slots: 6, Incarnation: 1, Draining: true, SeenAt: time.Now().Add(-2 * time.Second)})
	if a := b.serve("/k/", 7); a.Status != 503 {
		t.Fatalf("two seconds after the drain began: got status %d, want 503", a.Status)
	}
}

// A request is refused once two servers ended under it, whichever way this VM learns of their
// ends. Connections that are refused while no server of the domain answers, or too late, are
// no proof.
func TestRequestIsRefusedAfterTwoServersEndedUnderIt(t *testing.T) {
	server := func(id string) *registry.Server {
		return &registry.Server{ID: id, Service: "svc", Incarnation: 1, FailureDomain: "a"}
	}
	for name, end := range map[string]func(s *Suspicions, server *registry.Server, advance func(time.Duration)) (blamed bool){
		"connections refused": func(s *Suspicions, lost *registry.Server, _ func(time.Duration)) bool {
			s.ConnectionRefused(lost.Instance())
			s.Answered(server("other"))
			return true
		},
		"registration gone": func(s *Suspicions, lost *registry.Server, advance func(time.Duration)) bool {
			advance(5 * time.Second)
			s.Ended(lost.Instance(), "its entry is gone")
			return true
		},
		"connections refused, no server answers": func(s *Suspicions, lost *registry.Server, _ func(time.Duration)) bool {
			s.ConnectionRefused(lost.Instance())
			return false
		},
		"connections refused, only servers of other domains answer": func(s *Suspicions, lost *registry.Server, _ func(time.Duration)) bool {
			s.ConnectionRefused(lost.Instance())
			s.Answered(&registry.Server{ID: "remote", FailureDomain: "b"})
			return false
		},
		"connections refused late": func(s *Suspicions, lost *registry.Server, advance func(time.Duration)) bool {
			advance(refusalWindow + time.Second)
			s.ConnectionRefused(lost.Instance())
			s.Answered(server("other"))
			return false
		},
		"registration gone late": func(s *Suspicions, lost *registry.Server, advance func(time.Duration)) bool {
			advance(time.Minute)
			s.Ended(lost.Instance(), "its entry is gone")
			return false
		},
	} {
		now := time.Now()
		s := NewSuspicions(retry.NewQuarantine(retry.DefaultQuarantineSettings(), func() time.Time { return now }), func() time.Time { return now }, nil)
		blamed := false
		for _, id := range []string{"x", "y"} {
			if err := s.Admit("svc", request(1)); err != nil {
				t.Fatalf("%s: refused before two servers ended: %v", name, err)
			}
			s.ConnectionLost("svc", request(1), server(id), now)
			blamed = end(s, server(id), func(d time.Duration) { now = now.Add(d) })
			s.ConnectionLost("svc", request(2), server("z"), now)
		}
		if refused := s.Admit("svc", request(1)) != nil; refused != blamed {
			t.Errorf("%s: got refused %v after two servers, want %v", name, refused, blamed)
		}
		if err := s.Admit("svc", request(2)); err != nil {
			t.Errorf("%s: a request under which no server ended is refused: %v", name, err)
		}
	}
}

// Guards against losses that nobody counts because the server broke no connection, or the caller
// had left before: the registration shows the end, before or after the request ends unanswered.
func TestUnansweredRequestIsBlamedForEndedServer(t *testing.T) {
	s := NewSuspicions(retry.NewQuarantine(retry.DefaultQuarantineSettings(), time.Now), time.Now, nil)
	for _, id := range []string{"x", "y"} {
		server := &registry.Server{ID: id, Incarnation: 1, FailureDomain: "a"}
		s.Unanswered("svc", request(1), server, time.Now())
		s.Ended(server.Instance(), "its entry is gone")
		s.Unanswered("svc", request(2), server, time.Now())
		s.Unanswered("svc", request(3), &registry.Server{ID: "z" + id, Incarnation: 1, FailureDomain: "a"}, time.Now())
	}
	for fingerprint, refused := range map[uint64]bool{1: true, 2: true, 3: false} {
		if got := s.Admit("svc", request(fingerprint)) != nil; got != refused {
			t.Errorf("request %d: got refused %v, want %v", fingerprint, got, refused)
		}
	}
}

// request returns the fingerprints of a request without a query.
func request(fingerprint uint64) retry.Fingerprints {
	return retry.Fingerprints{Request: fingerprint, Path: fingerprint}
}

// Requests at one server are lost one after the other; its end may be known before the last one.
func TestRequestLostAfterServerIsKnownToHaveEndedIsBlamed(t *testing.T) {
	s := NewSuspicions(retry.NewQuarantine(retry.DefaultQuarantineSettings(), time.Now), time.Now, nil)
	for _, id := range []string{"x", "y"} {
		server := &registry.Server{ID: id, Incarnation: 1, FailureDomain: "a"}
		s.ConnectionLost("svc", request(1), server, time.Now())
		s.ConnectionRefused(server.Instance())
		s.Answered(&registry.Server{ID: "other", FailureDomain: "a"})
		s.ConnectionLost("svc", request(2), server, time.Now())
	}
	if s.Admit("svc", request(2)) == nil {
		t.Error("the request that was lost later is admitted, want it refused")
	}
}

func TestBudgetWindowSlides(t *testing.T) {
	now := time.Unix(1000, 0)
	b := NewBudget(BudgetSettings{Ratio: 0.2, Slack: 4, Window: 10 * time.Second, Share: 1}, func() int { return 2 }, func() time.Time { return now })
	for range 10 {
		b.Request("svc")
	}
	taken := 0
	for b.TakeRetry("svc") {
		taken++
	}
	if taken != 4 { // 0.2 of 10 requests and half of the slack
		t.Fatalf("got %d retries, want 4", taken)
	}
	now = now.Add(5 * time.Second)
	if b.TakeRetry("svc") {
		t.Fatal("retry allowed within the window of a spent budget")
	}
	now = now.Add(7 * time.Second)
	if !b.TakeRetry("svc") {
		t.Fatal("no retry allowed after the window, want one")
	}
}

// silent does not answer before the request's deadline.
func silent(r *serverconn.Request) (*serverconn.Response, *serverconn.Failure) {
	time.Sleep(time.Until(r.Deadline))
	return nil, &serverconn.Failure{Progress: serverconn.Sent, Err: errors.New("i/o timeout")}
}

// An idempotent request is hedged when a server does not answer. Any other request
// waits until its deadline.
func TestOnlyIdempotentRequestIsHedged(t *testing.T) {
	b := newFixture(true, silent, answers(200))
	began := time.Now()
	if a := b.serve("/p/", -1); a.Status != 200 || time.Since(began) > 300*time.Millisecond {
		t.Fatalf("got status %d after %v, want 200 within 300ms", a.Status, time.Since(began))
	}
	b = newFixture(false, silent, answers(200))
	if a := b.serve("/p/", -1); a.Status != http.StatusGatewayTimeout || len(b.sender.sent) != 1 {
		t.Fatalf("got status %d after %d sends, want 504 after one", a.Status, len(b.sender.sent))
	}
}

// The first of two parallel attempts loses its connection, then the server refuses
// the second one. The answer must not promise that the request did not run.
func TestHedgeDoesNotHideAttemptThatMayHaveRun(t *testing.T) {
	slowFailure := func(r *serverconn.Request) (*serverconn.Response, *serverconn.Failure) {
		time.Sleep(minHedgeDelay + 40*time.Millisecond)
		return fails(serverconn.Sent)(r)
	}
	slowShed := func(r *serverconn.Request) (*serverconn.Response, *serverconn.Failure) {
		time.Sleep(80 * time.Millisecond)
		return sheds(503)(r)
	}
	b := newFixture(true, slowFailure, slowShed)
	if a := b.serve("/p/", -1); a.Status != http.StatusBadGateway {
		t.Fatalf("got status %d, want 502", a.Status)
	}
}

// A VM that can't reach a key's owner refuses at once, so that the caller can try
// another VM.
func TestUnreachableOwnerIsReportedAtOnce(t *testing.T) {
	b := newFixture(true, fails(serverconn.NotSent))
	b.setOwners(1, ownedByK0)
	began := time.Now()
	if a := b.serve("/k/", 7); a.Status != 503 || a.RetryAfter == 0 || time.Since(began) > 50*time.Millisecond {
		t.Fatalf("got status %d after %v, Retry-After %v; want 503 within 50ms and a hint", a.Status, time.Since(began), a.RetryAfter)
	}
}

// A request that its owner sheds is retried there if the owner reports free slots,
// but not if it is full.
func TestShedRequestIsRetriedOnlyIfOwnerHasFreeSlots(t *testing.T) {
	shedsAt := func(running int) step {
		return func(r *serverconn.Request) (*serverconn.Response, *serverconn.Failure) {
			response, _ := sheds(503)(r)
			response.HasLoad, response.Load = true, dialect.Load{Running: running, Slots: 6}
			return response, nil
		}
	}
	for running, want := range map[int]int{2: 200, 6: 503} {
		b := newFixture(true, shedsAt(running), answers(200))
		b.setOwners(1, ownedByK0)
		if a := b.serve("/k/", 7); a.Status != want {
			t.Errorf("%d running: got status %d, want %d", running, a.Status, want)
		}
	}
}

// A repeat at the server that has refused the request before gets a connection of its
// own, as a late copy of the refusal would pass for the repeat's answer.
func TestRepeatAtTheSameServerUsesItsOwnConnection(t *testing.T) {
	f := newFixture(false, sheds(http.StatusMisdirectedRequest), answers(http.StatusOK))
	f.setOwners(1, ownedByK0)
	if answer := f.serve("/k/", 5); answer.Status != http.StatusOK {
		t.Fatalf("got answer %+v, want status 200", answer)
	}
	if !slices.Equal(f.sender.sent, []string{"k0", "k0"}) || !slices.Equal(f.sender.fresh, []bool{false, true}) {
		t.Fatalf("got attempts at %v, own connections %v; want two at k0, the second on its own", f.sender.sent, f.sender.fresh)
	}
}

// Guards against a request answered "not run" that ran: a server whose registration changed
// between two sends is still the one that may repeat its first answer.
func TestChangedRegistrationDoesNotHideRepeat(t *testing.T) {
	for name, change := range map[string]func(*registry.Registry, registry.Server){
		"warm-up": func(r *registry.Registry, s registry.Server) { s.Warmup = time.Second; r.Put(s) },
		"slots":   func(r *registry.Registry, s registry.Server) { s.Slots++; r.Put(s) },
		"drains":  func(r *registry.Registry, s registry.Server) { s.Draining, s.SeenAt = true, time.Now(); r.Put(s) },
		"leaving": func(r *registry.Registry, s registry.Server) { r.MarkLeaving(s.Instance()) },
		"returns": func(r *registry.Registry, s registry.Server) { r.Remove(s.ID, "test"); r.Put(s) },
	} {
		t.Run(name, func(t *testing.T) {
			var f *fixture
			f = newFixture(false, func(r *serverconn.Request) (*serverconn.Response, *serverconn.Failure) {
				change(f.registry, *f.registry.Get("k0"))
				return sheds(http.StatusMisdirectedRequest)(r)
			}, answers(http.StatusOK))
			f.setOwners(1, ownedByK0)
			if answer := f.serve("/k/", 5); answer.Status != http.StatusOK {
				t.Fatalf("got answer %+v, want status 200", answer)
			}
			if !slices.Equal(f.sender.sent, []string{"k0", "k0"}) || !slices.Equal(f.sender.fresh, []bool{false, true}) {
				t.Fatalf("got attempts at %v, own connections %v; want two at k0, the second on its own", f.sender.sent, f.sender.fresh)
			}
		})
	}
}

// Guards against a second attempt at a server that a request has tried, because its registration
// changed meanwhile.
func TestChangedRegistrationIsNotAnUntriedServer(t *testing.T) {
	var f *fixture
	f = newFixture(true, func(r *serverconn.Request) (*serverconn.Response, *serverconn.Failure) {
		s := *f.registry.Get("s0")
		s.Warmup = time.Second
		f.registry.Put(s)
		return sheds(http.StatusServiceUnavailable)(r)
	}, answers(http.StatusOK))
	f.registry.Remove("s1", "test")
	f.registry.Remove("s2", "test")
	if answer := f.serve("/p/", -1); answer.Status != http.StatusServiceUnavailable || len(f.sender.sent) != 1 {
		t.Fatalf("got answer %+v, attempts at %v; want status 503 after one attempt", answer, f.sender.sent)
	}
}

// Guards against requests that come late in a planned stop, are sent to a server and cut off
// when the process ends: they are refused at once as not run, those that end in time are served.
func TestRequestThatMayOutlastStopIsRefused(t *testing.T) {
	for _, idempotent := range []bool{true, false} {
		f := newFixture(idempotent, answers(http.StatusOK))
		f.setOwners(1, ownedByK0)
		f.core.StopBy(time.Now().Add(200 * time.Millisecond)) // the timeout of the routes is 400 ms
		for path, key := range map[string]int{"/p/": -1, "/k/": 5} {
			if a := f.serve(path, key); a.Refusal != fault.Stopping || a.Status != http.StatusServiceUnavailable || a.RetryAfter <= 0 {
				t.Errorf("%s: got answer %+v, want a refusal with status 503 and a hint", path, a)
			}
			if a := f.serveWithin(path, key, 100*time.Millisecond); a.Status != http.StatusOK {
				t.Errorf("%s, deadline before the end: got answer %+v, want status 200", path, a)
			}
		}
		if len(f.sender.sent) != 2 {
			t.Errorf("got attempts at %v, want those of the two requests that end in time", f.sender.sent)
		}
	}
}

// A VM without a configuration tells callers to return when it will have one, but not later
// than they honor.
func TestStartingVMTellsCallersWhenToReturn(t *testing.T) {
	f := newFixture(true, answers(http.StatusOK))
	f.core.Tables = table{}
	for timeout, want := range map[time.Duration]time.Duration{5 * time.Second: startRetryAfter, 900 * time.Millisecond: 300 * time.Millisecond, 0: startRetryAfter} {
		answer := f.core.Serve(context.Background(), &Request{ID: "id", Method: "GET", Path: "/p/", Host: "h", Arrived: time.Now(), Timeout: timeout})
		if answer.Status != http.StatusServiceUnavailable || answer.RetryAfter > want || answer.RetryAfter < want*9/10 {
			t.Errorf("caller that waits %v: got status %d, Retry-After %v; want 503 and about %v", timeout, answer.Status, answer.RetryAfter, want)
		}
	}
}

// Callers with little time left are told to return within the third of it that they honor.
func TestRetryAfterIsWithinWhatCallersHonor(t *testing.T) {
	const timeout = 300 * time.Millisecond
	for name, serve := range map[string]func() *Answer{
		"unreachable owner": func() *Answer {
			f := newFixture(true, fails(serverconn.NotSent))
			f.setOwners(1, ownedByK0)
			return f.serveWithin("/k/", 5, timeout)
		},
		"unknown owner": func() *Answer { return newFixture(true, answers(200)).serveWithin("/k/", 5, timeout) },
		"no server": func() *Answer {
			f := newFixture(true, fails(serverconn.NotSent))
			return f.serveWithin("/p/", -1, timeout)
		},
	} {
		if answer := serve(); answer.Status != http.StatusServiceUnavailable || answer.RetryAfter <= 0 || answer.RetryAfter > timeout/3 {
			t.Errorf("%s: got status %d, Retry-After %v; want 503 and at most %v", name, answer.Status, answer.RetryAfter, timeout/3)
		}
	}
}

// alwaysReaching is a VM that reaches servers.
type alwaysReaching struct{}

func (alwaysReaching) Isolated() bool        { return false }
func (alwaysReaching) ConnectionsLive() bool { return true }
func (alwaysReaching) Answered()             {}
