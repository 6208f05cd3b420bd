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
	"kumquatcleat/internal/registry"
	"kumquatcleat/internal/retry"
	"kumquatcleat/internal/routetable"
	"kumquatcleat/internal/rows"
	"kumquatcleat/internal/serverconn"
)

// attemptScript answers attempts one after the other.
type attemptScript struct {
	mu    sync.Mutex // owns sent
	steps []func(*serverconn.Request) (*serverconn.Response, *serverconn.Failure)
	sent  []string // servers
}

func (a *attemptScript) Do(_ context.Context, r *serverconn.Request) (*serverconn.Response, *serverconn.Failure) {
	if r.Guard != nil {
		if err := r.Guard(); err != nil {
			return nil, &serverconn.Failure{Progress: serverconn.NotSent, Err: err}
		}
	}
	a.mu.Lock()
	a.sent = append(a.sent, r.Server.ID)
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

func breaks(progress serverconn.Progress) step {
	return func(*serverconn.Request) (*serverconn.Response, *serverconn.Failure) {
		return nil, &serverconn.Failure{Progress: progress, Reset: true, Err: errors.New("connection reset")}
	}
}

type table struct{ t *routetable.Table }

func (t table) Current() *routetable.Table { return t.t }

// bench is a core with three servers of a service and scripted attempts.
type bench struct {
	core     *Core
	script   *attemptScript
	registry *registry.Registry
	owners   *keyspace.Owners
}

func newBench(idempotent bool, steps ...step) *bench {
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
	script := &attemptScript{steps: steps}
	m := metrics.NewRegistry()
	owners := keyspace.NewOwners()
	core := New(Parts{
		Settings: Settings{DefaultTimeout: time.Second, DrainOwnerGrace: time.Second},
		Tables:   t, Registry: servers, Owners: owners,
		Balancer: balance.New(balance.Settings{InitialService: time.Millisecond, MaxQueue: 4}), Sender: script,
		Budget:     NewBudget(BudgetSettings{Ratio: 0.2, Slack: 3, Window: 10 * time.Second, Share: 1}, func() int { return 1 }, time.Now),
		Suspicions: NewSuspicions(retry.NewQuarantine(retry.DefaultQuarantineSettings(), time.Now), time.Now),
		CountKey:   func(string, uint32) {}, Decisions: logging.NewDecisions(m), Metrics: m, Dialect: &dialect.Dialect{},
	})
	return &bench{core, script, servers, owners}
}

func (b *bench) serve(path string, key int) *Answer {
	r := &Request{ID: "id", Method: "GET", Target: path, Path: path, Host: "h", Arrived: time.Now(), Timeout: time.Second}
	if key >= 0 {
		r.Key, r.HasKey = uint32(key), true
	}
	return b.core.Serve(context.Background(), r)
}

func (b *bench) own(version uint64, ranges string) {
	b.owners.Apply([]rows.Row{{Key: "keyed", Version: version, Value: []byte(`{"ranges":[` + ranges + `]}`)}})
}

const ownedByK0 = `{"from":0,"to":99,"owner":{"server":"k0","incarnation":1},"fence":1}`

// A request that must not repeat is sent again only after a server stated that
// it did not start it, or when nothing was sent.
func TestRequestsThatMustNotRepeat(t *testing.T) {
	for _, c := range []struct {
		name   string
		first  step
		sends  int
		status int
	}{
		{"broken after the send", breaks(serverconn.Sent), 1, http.StatusBadGateway},
		{"server's own failure", answers(500), 1, 500},
		{"stated as not started", sheds(503), 2, 200},
		{"not sent", breaks(serverconn.NotSent), 2, 200},
	} {
		b := newBench(false, c.first, answers(200))
		a := b.serve("/p/", -1)
		if a.Status != c.status || len(b.script.sent) != c.sends {
			t.Errorf("%s: status %d after %d sends, want %d after %d", c.name, a.Status, len(b.script.sent), c.status, c.sends)
		}
	}
}

// 429 and 503 promise that the request did not run and won't.
func TestRefusalsAreTruthful(t *testing.T) {
	promises := func(status int) bool { return status == 429 || status == 503 || status == 408 || status == 421 }
	for name, steps := range map[string][]step{
		"broken":                   {breaks(serverconn.Sent)},
		"broken, then not started": {breaks(serverconn.Sent), sheds(503)},
		"broken, then not sent":    {breaks(serverconn.Sent), breaks(serverconn.NotSent)},
		"failed, then not started": {answers(500), sheds(503)},
	} {
		b := newBench(true, steps...)
		if a := b.serve("/p/", -1); promises(a.Status) {
			t.Errorf("%s: status %d promises that it did not run", name, a.Status)
		}
	}
	for name, steps := range map[string][]step{"shed": {sheds(503)}, "not sent": {breaks(serverconn.NotSent)}} {
		b := newBench(true, steps...)
		if a := b.serve("/p/", -1); !promises(a.Status) || a.RetryAfter <= 0 {
			t.Errorf("%s: status %d, retry after %v; want a promise and a hint", name, a.Status, a.RetryAfter)
		}
	}
}

func TestEveryRefusalKeepsItsPromise(t *testing.T) {
	for _, kind := range fault.Kinds() {
		a := refuse(kind, 0, "x")
		if (a.Status == 503 || a.Status == 429) && fault.AnswerFor(kind).Outcome != fault.NotRun {
			t.Errorf("%s: status %d for an outcome that is not known", kind, a.Status)
		}
	}
}

func TestAttemptsAreBounded(t *testing.T) {
	b := newBench(true, breaks(serverconn.Sent))
	b.serve("/p/", -1)
	if len(b.script.sent) != 2 || b.script.sent[0] == b.script.sent[1] {
		t.Fatalf("sent to %v, want two servers", b.script.sent)
	}
	for range 50 {
		b.serve("/p/", -1)
	}
	// 51 requests, a fifth of them and the slack of three may be repeated.
	if repeats := len(b.script.sent) - 51; repeats > 13 {
		t.Fatalf("%d repeats of 51 requests", repeats)
	}
}

func TestKeyedRequestGoesToTheOwnerOnly(t *testing.T) {
	b := newBench(true, answers(200))
	b.own(1, ownedByK0)
	for range 10 {
		if a := b.serve("/k/", 7); a.Status != 200 {
			t.Fatalf("status %d: %s", a.Status, a.Message)
		}
	}
	if slices.ContainsFunc(b.script.sent, func(s string) bool { return s != "k0" }) {
		t.Fatalf("sent to %v", b.script.sent)
	}
}

// A request waits while its key moves, and goes to the new owner.
func TestKeyedRequestWaitsForAMove(t *testing.T) {
	b := newBench(true, answers(200))
	b.own(1, `{"from":0,"to":99,"owner":{"server":"k1","incarnation":1},"fence":1,"pending":true}`)
	time.AfterFunc(60*time.Millisecond, func() {
		b.own(2, `{"from":0,"to":99,"owner":{"server":"k1","incarnation":1},"fence":1}`)
	})
	if a := b.serve("/k/", 7); a.Status != 200 || b.script.sent[0] != "k1" {
		t.Fatalf("status %d, sent to %v", a.Status, b.script.sent)
	}
}

// After a server says that it does not hold the key, it is asked again under the
// same record only once the grant behind that record must have come, and only as
// often as the route allows.
func TestStaleOwnerIsNotAskedAgainAtOnce(t *testing.T) {
	b := newBench(true, sheds(http.StatusMisdirectedRequest))
	b.own(1, ownedByK0)
	began := time.Now()
	a := b.serve("/k/", 7)
	if took := time.Since(began); a.Status != 503 || len(b.script.sent) > 2 || took < grantTime {
		t.Fatalf("status %d, sent to %v within %v", a.Status, b.script.sent, took)
	}
}

func TestKeyedRequestToAServerThatLeaves(t *testing.T) {
	b := newBench(true, answers(200))
	b.own(1, ownedByK0)
	b.registry.Put(registry.Server{ID: "k0", Service: "keyed", Slots: 6, Incarnation: 1, Draining: true, SeenAt: time.Now()})
	if a := b.serve("/k/", 7); a.Status != 200 {
		t.Fatalf("just after it began to drain: %d", a.Status)
	}
	b.registry.Put(registry.Server{ID: "k0", Service: "keyed", Slots: 6, Incarnation: 1, Draining: true, SeenAt: time.Now().Add(-2 * time.Second)})
	if a := b.serve("/k/", 7); a.Status != 503 {
		t.Fatalf("two seconds later: %d", a.Status)
	}
}

func TestRequestThatCrashesServersIsRefused(t *testing.T) {
	now := time.Now()
	s := NewSuspicions(retry.NewQuarantine(retry.DefaultQuarantineSettings(), time.Now), func() time.Time { return now })
	for _, server := range []string{"a", "b"} {
		if err := s.Admit("svc", 1); err != nil {
			t.Fatalf("before two servers were lost: %v", err)
		}
		start := registry.Start{ID: server, Incarnation: 1}
		s.ConnectionLost("svc", 1, start)
		s.ServerTerminated(start)
	}
	if s.Admit("svc", 1) == nil {
		t.Fatal("admitted after two servers were lost")
	}
	late := registry.Start{ID: "c", Incarnation: 1}
	s.ConnectionLost("svc", 2, late)
	now = now.Add(time.Minute)
	s.ServerTerminated(late) // too late to blame the request
	if err := s.Admit("svc", 2); err != nil {
		t.Fatalf("blamed for a late end: %v", err)
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
		t.Fatalf("%d repeats, want 4", taken)
	}
	now = now.Add(5 * time.Second)
	if b.TakeRetry("svc") {
		t.Fatal("a repeat within the window")
	}
	now = now.Add(7 * time.Second)
	if !b.TakeRetry("svc") {
		t.Fatal("no repeat after the window")
	}
}

// silent never answers within the request's time.
func silent(r *serverconn.Request) (*serverconn.Response, *serverconn.Failure) {
	time.Sleep(time.Until(r.Deadline))
	return nil, &serverconn.Failure{Progress: serverconn.Sent, Err: errors.New("i/o timeout")}
}

// A request that may repeat does not wait for a silent server to its end; one
// that must not repeat does.
func TestOverdueAnswerGetsASecondAttempt(t *testing.T) {
	b := newBench(true, silent, answers(200))
	began := time.Now()
	if a := b.serve("/p/", -1); a.Status != 200 || time.Since(began) > 300*time.Millisecond {
		t.Fatalf("status %d after %v", a.Status, time.Since(began))
	}
	b = newBench(false, silent, answers(200))
	if a := b.serve("/p/", -1); a.Status != http.StatusGatewayTimeout || len(b.script.sent) != 1 {
		t.Fatalf("status %d after %d sends", a.Status, len(b.script.sent))
	}
}

// The first of two attempts broke off, the second was not started: the request
// may have run.
func TestRaceKeepsWhatMayHaveRun(t *testing.T) {
	slowBreak := func(r *serverconn.Request) (*serverconn.Response, *serverconn.Failure) {
		time.Sleep(leastOverdue + 40*time.Millisecond)
		return breaks(serverconn.Sent)(r)
	}
	slowShed := func(r *serverconn.Request) (*serverconn.Response, *serverconn.Failure) {
		time.Sleep(80 * time.Millisecond)
		return sheds(503)(r)
	}
	b := newBench(true, slowBreak, slowShed)
	if a := b.serve("/p/", -1); a.Status != http.StatusBadGateway {
		t.Fatalf("status %d, want 502", a.Status)
	}
}

// A VM that is cut off from a key's owner says so at once, so that the caller can
// try another VM.
func TestUnreachedOwnerIsToldAtOnce(t *testing.T) {
	b := newBench(true, breaks(serverconn.NotSent))
	b.own(1, ownedByK0)
	began := time.Now()
	if a := b.serve("/k/", 7); a.Status != 503 || a.RetryAfter == 0 || time.Since(began) > 50*time.Millisecond {
		t.Fatalf("status %d after %v, hint %v", a.Status, time.Since(began), a.RetryAfter)
	}
}

// A key's owner that sheds although it has room is asked again; one that is full
// is not.
func TestOwnerThatShedsWithRoomIsAskedAgain(t *testing.T) {
	shedsAt := func(running int) step {
		return func(r *serverconn.Request) (*serverconn.Response, *serverconn.Failure) {
			response, _ := sheds(503)(r)
			response.HasLoad, response.Load = true, dialect.Load{Running: running, Slots: 6}
			return response, nil
		}
	}
	for running, want := range map[int]int{2: 200, 6: 503} {
		b := newBench(true, shedsAt(running), answers(200))
		b.own(1, ownedByK0)
		if a := b.serve("/k/", 7); a.Status != want {
			t.Errorf("%d running: status %d, want %d", running, a.Status, want)
		}
	}
}
