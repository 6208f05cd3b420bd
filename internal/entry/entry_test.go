package entry

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"

	"kumquatcleat/internal/balance"
	"kumquatcleat/internal/dialect"
	"kumquatcleat/internal/dispatch"
	"kumquatcleat/internal/keyspace"
	"kumquatcleat/internal/logging"
	"kumquatcleat/internal/membudget"
	"kumquatcleat/internal/overload"
	"kumquatcleat/internal/ratelimit"
	"kumquatcleat/internal/reachability"
	"kumquatcleat/internal/registry"
	"kumquatcleat/internal/retry"
	"kumquatcleat/internal/routetable"
	"kumquatcleat/internal/serverconn"
)

var testDialect = &dialect.Dialect{
	RequestID: "Request-Id", Deadline: "Deadline-Ms", TargetServer: "Target", Key: "Key", Signature: "Signature",
	NotStarted: "Not-Started", ServerID: "Server", ServerLoad: "Load", MaxKey: 99,
	FormatDeadline: func(d time.Duration) string { return fmt.Sprint(d.Milliseconds()) },
	ParseDeadline: func(s string) (time.Duration, error) {
		var ms int
		_, err := fmt.Sscanf(s, "%d", &ms)
		return time.Duration(ms) * time.Millisecond, err
	},
	ParseKey: func(s string) (uint32, error) {
		var key uint32
		_, err := fmt.Sscanf(s, "%d", &key)
		return key, err
	},
	ParseLoad: func(string) (dialect.Load, error) { return dialect.Load{}, nil },
}

// fakeSender answers requests by calling serve and records them.
type fakeSender struct {
	mu    sync.Mutex
	seen  []string
	serve func(ctx context.Context, r *serverconn.Request) (*serverconn.Response, *serverconn.Failure)
}

func (f *fakeSender) Do(ctx context.Context, r *serverconn.Request) (*serverconn.Response, *serverconn.Failure) {
	f.mu.Lock()
	f.seen = append(f.seen, r.Method+" "+r.Target+" "+string(r.Body))
	f.mu.Unlock()
	return f.serve(ctx, r)
}

func (f *fakeSender) requests() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]string(nil), f.seen...)
}

type fixedTable struct{ table *routetable.Table }

func (f fixedTable) Current() *routetable.Table { return f.table }

const (
	testBodyBytes   = 40_000 // limit of one request body
	testBodiesBytes = 64_000 // limit of the bodies of all requests, and of all answers
)

func startServer(t *testing.T, serve func(context.Context, *serverconn.Request) (*serverconn.Response, *serverconn.Failure)) (*Server, *fakeSender) {
	t.Helper()
	limits := routetable.Limits{HeaderBytes: 8192, BodyBytes: testBodyBytes, HeaderTimeout: 200 * time.Millisecond, IdleTimeout: time.Second}
	table := fixedTable{routetable.Compile(routetable.Config{
		Version: 1, Limits: limits, Services: []routetable.Service{{Name: "svc"}, {Name: "keyed", DividedByKey: true}},
		Routes: []routetable.Route{{Name: "k", Host: "h", Prefix: "/k/", Targets: []routetable.Target{{Service: "keyed", Weight: 1}}}, {Name: "r", Host: "h", Prefix: "/p/", Idempotent: true, MaxAttempts: 2, Timeout: 5 * time.Second,
			Targets: []routetable.Target{{Service: "svc", Weight: 1}}}},
	})}
	servers := registry.New()
	servers.Put(registry.Server{ID: "s1", Service: "svc", Address: "127.0.0.1:1", Slots: 6, Incarnation: 1})
	sender := &fakeSender{serve: serve}
	metricsRegistry := metrics.NewRegistry()
	decisions := logging.NewDecisions(metricsRegistry)
	core := dispatch.New(dispatch.Parts{
		Settings: dispatch.Settings{DefaultTimeout: time.Second},
		Tables:   table, Registry: servers, Owners: keyspace.NewOwners(),
		Balancer: balance.New(balance.Settings{InitialServiceTime: time.Millisecond, MaxRequestsPerSlot: 100}), Sender: sender,
		Budget:   dispatch.NewBudget(dispatch.BudgetSettings{Ratio: 1, Slack: 100, Window: 10 * time.Second, Share: 1}, func() int { return 1 }, time.Now),
		Overload: overload.NewGate(), RateLimits: ratelimit.New(func(string) float64 { return 1 }, metricsRegistry), Pauses: dispatch.NewPauses(metricsRegistry), Suspicions: dispatch.NewSuspicions(retry.NewQuarantine(retry.DefaultQuarantineSettings(), time.Now), time.Now, nil), Reach: reachability.NewMonitor("", nil, nil, nil),
		CountKey: func(string, uint32) { panic("counts are not kept here") }, Decisions: decisions, Metrics: metricsRegistry, Dialect: testDialect,
	})
	s := NewServer(Settings{
		Limits: limits, MaxBodyBytes: 1 << 20, BodyTimeout: 200 * time.Millisecond,
		RequestMemory: membudget.New(testBodiesBytes), AnswerMemory: membudget.New(testBodiesBytes), Metrics: metricsRegistry,
	}, core, table, testDialect, decisions)
	if err := s.Listen("127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	go s.Serve()
	t.Cleanup(s.StopListening)
	return s, sender
}

func answerOK(_ context.Context, r *serverconn.Request) (*serverconn.Response, *serverconn.Failure) {
	return &serverconn.Response{Status: 200, Header: http.Header{"Request-Id": {r.ID}, "Signature": {"s"}}, Body: []byte("whole " + r.ID)}, nil
}

func dial(t *testing.T, s *Server) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", s.Addr())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(10 * time.Second))
	return c
}

func read(t *testing.T, reader *bufio.Reader) (int, string, *http.Response) {
	t.Helper()
	resp, err := http.ReadResponse(reader, &http.Request{Method: "GET"})
	if err != nil {
		t.Fatalf("read answer: %v", err)
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatalf("read body of answer: %v", err)
	}
	return resp.StatusCode, string(body), resp
}

// Pipelined requests are served concurrently, and a slow first one must not let the
// others overtake its answer.
func TestPipelinedAnswersKeepOrder(t *testing.T) {
	s, _ := startServer(t, func(ctx context.Context, r *serverconn.Request) (*serverconn.Response, *serverconn.Failure) {
		if r.ID == "1" {
			time.Sleep(300 * time.Millisecond)
		}
		return answerOK(ctx, r)
	})
	c := dial(t, s)
	for i := 1; i <= 5; i++ {
		_, _ = fmt.Fprintf(c, "GET /p/%d HTTP/1.1\r\nHost: h\r\nRequest-Id: %d\r\n\r\n", i, i)
	}
	reader := bufio.NewReader(c)
	began := time.Now()
	for i := 1; i <= 5; i++ {
		if status, body, _ := read(t, reader); status != 200 || body != fmt.Sprintf("whole %d", i) {
			t.Fatalf("answer %d: got status %d, body %q; want 200 and the body of this request", i, status, body)
		}
	}
	if took := time.Since(began); took > 900*time.Millisecond {
		t.Fatalf("answers took %v, want at most 900ms: requests ran one after the other", took)
	}
}

// Heads that two parsers may interpret differently, and header values that can't be
// parsed, get 400, close the connection and reach no server.
func TestRequestSmugglingIsRefused(t *testing.T) {
	for name, request := range map[string]string{
		"two lengths":         "POST /p/ HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\nhello",
		"two equal lengths":   "POST /p/ HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\nContent-Length: 5\r\n\r\nhello",
		"length and chunks":   "POST /p/ HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"unknown encoding":    "POST /p/ HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: xchunked\r\n\r\n0\r\n\r\n",
		"bad chunk size":      "POST /p/ HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nhello\r\n0\r\n\r\n",
		"signed length":       "POST /p/ HTTP/1.1\r\nHost: h\r\nContent-Length: +5\r\n\r\nhello",
		"space before colon":  "GET /p/ HTTP/1.1\r\nHost: h\r\nX-Odd : 1\r\n\r\n",
		"folded header":       "GET /p/ HTTP/1.1\r\nHost: h\r\nX-Odd: 1\r\n more\r\n\r\n",
		"bare line feed":      "GET /p/ HTTP/1.1\r\nHost: h\r\nX-Odd: 1\nContent-Length: 5\r\n\r\n",
		"no host":             "GET /p/ HTTP/1.1\r\n\r\n",
		"two hosts":           "GET /p/ HTTP/1.1\r\nHost: h\r\nHost: g\r\n\r\n",
		"old protocol":        "GET /p/ HTTP/1.0\r\nHost: h\r\n\r\n",
		"absolute target":     "GET http://h/p/ HTTP/1.1\r\nHost: h\r\n\r\n",
		"deadline no number":  "GET /p/ HTTP/1.1\r\nHost: h\r\nDeadline-Ms: soon\r\n\r\n",
		"key no number":       "GET /p/ HTTP/1.1\r\nHost: h\r\nKey: x\r\n\r\n",
		"control in a header": "GET /p/ HTTP/1.1\r\nHost: h\r\nX-Odd: a\x01b\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			s, sender := startServer(t, answerOK)
			c := dial(t, s)
			_, _ = io.WriteString(c, request+"GET /p/behind HTTP/1.1\r\nHost: h\r\n\r\n")
			reader := bufio.NewReader(c)
			status, _, resp := read(t, reader)
			if status != http.StatusBadRequest || !resp.Close {
				t.Fatalf("got status %d, close %v; want 400 and close", status, resp.Close)
			}
			if rest, _ := io.ReadAll(reader); len(rest) != 0 {
				t.Fatalf("got %q after the refusal, want nothing", rest)
			}
			if seen := sender.requests(); len(seen) != 0 {
				t.Fatalf("requests that reached a server: got %q, want none", seen)
			}
		})
	}
}

// Each limit has its own status, and a request over a limit reaches no server.
func TestEachLimitHasItsOwnStatus(t *testing.T) {
	s, sender := startServer(t, answerOK)
	for _, c := range []struct {
		name, request string
		status        int
	}{
		{"head too large", "GET /p/ HTTP/1.1\r\nHost: h\r\nX-Long: " + strings.Repeat("a", 9000) + "\r\n\r\n", http.StatusRequestHeaderFieldsTooLarge},
		{"body too large", "POST /p/ HTTP/1.1\r\nHost: h\r\nContent-Length: 40001\r\n\r\n", http.StatusRequestEntityTooLarge},
		{"slow head", "GET /p/ HTTP/1.1\r\nHos", http.StatusRequestTimeout},
		{"slow body", "POST /p/ HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\nhel", http.StatusRequestTimeout},
		{"no route", "GET /q/ HTTP/1.1\r\nHost: h\r\n\r\n", http.StatusNotFound},
	} {
		conn := dial(t, s)
		_, _ = io.WriteString(conn, c.request)
		if status, _, _ := read(t, bufio.NewReader(conn)); status != c.status {
			t.Errorf("%s: got status %d, want %d", c.name, status, c.status)
		}
	}
	if seen := sender.requests(); len(seen) != 0 {
		t.Fatalf("requests that reached a server: got %q, want none", seen)
	}
}

// A body that does not fit into the memory for bodies is refused at once with the promise
// that the request did not run. Once the other requests are answered, the memory is free.
func TestBodiesOfAllRequestsAreBounded(t *testing.T) {
	release := make(chan struct{})
	s, sender := startServer(t, func(ctx context.Context, r *serverconn.Request) (*serverconn.Response, *serverconn.Failure) {
		<-release
		return answerOK(ctx, r)
	})
	body := strings.Repeat("x", testBodyBytes)
	post := func() net.Conn {
		c := dial(t, s)
		_, _ = fmt.Fprintf(c, "POST /p/ HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		return c
	}
	first := post()
	for s.settings.RequestMemory.Used() < int64(len(body)) {
		time.Sleep(time.Millisecond)
	}
	status, _, resp := read(t, bufio.NewReader(post()))
	if status != http.StatusTooManyRequests || resp.Header.Get("Retry-After") == "" || !resp.Close {
		t.Fatalf("second body: got status %d, headers %v; want 429 with Retry-After that closes the connection", status, resp.Header)
	}
	close(release)
	if status, _, _ := read(t, bufio.NewReader(first)); status != http.StatusOK {
		t.Fatalf("first body: got status %d, want 200", status)
	}
	if status, _, _ := read(t, bufio.NewReader(post())); status != http.StatusOK || len(sender.requests()) != 2 {
		t.Fatalf("after the first answer: got status %d and %d requests at the server, want 200 and 2", status, len(sender.requests()))
	}
}

// Guards against callers who are refused because the body of a request that is answered still
// counts, until its caller has read the answer.
func TestMemoryOfBodyIsFreeOnceTheRequestIsServed(t *testing.T) {
	served := make(chan struct{})
	s, _ := startServer(t, func(context.Context, *serverconn.Request) (*serverconn.Response, *serverconn.Failure) {
		close(served)
		return &serverconn.Response{Status: 200, Header: http.Header{}, Body: make([]byte, 64<<20)}, nil // more than socket buffers hold
	})
	c := dial(t, s)
	_, _ = fmt.Fprintf(c, "POST /p/ HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", testBodyBytes, strings.Repeat("x", testBodyBytes))
	<-served
	for deadline := time.Now().Add(2 * time.Second); s.settings.RequestMemory.Used() != 0; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("got %d bytes in use after the request was served, want none", s.settings.RequestMemory.Used())
		}
	}
}

// The memory of answers is free again once they are written, or the caller has
// disconnected.
func TestMemoryOfAnswersIsReleased(t *testing.T) {
	const size = 20_000
	s, _ := startServer(t, func(ctx context.Context, r *serverconn.Request) (*serverconn.Response, *serverconn.Failure) {
		if err := r.Memory.Grow(size); err != nil {
			t.Error(err)
		}
		if r.Target == "/p/slow" {
			<-ctx.Done()
			return nil, &serverconn.Failure{Progress: serverconn.Sent, Err: ctx.Err()}
		}
		return answerOK(ctx, r)
	})
	answered, left := dial(t, s), dial(t, s)
	_, _ = io.WriteString(left, "GET /p/slow HTTP/1.1\r\nHost: h\r\n\r\n")
	for s.settings.AnswerMemory.Used() < size {
		time.Sleep(time.Millisecond)
	}
	_ = left.Close()
	_, _ = io.WriteString(answered, "GET /p/ HTTP/1.1\r\nHost: h\r\n\r\n")
	if status, _, _ := read(t, bufio.NewReader(answered)); status != http.StatusOK {
		t.Fatalf("got status %d, want 200", status)
	}
	for deadline := time.Now().Add(2 * time.Second); s.settings.AnswerMemory.Used() != 0; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("got %d bytes in use after both requests, want none", s.settings.AnswerMemory.Used())
		}
	}
}

// An unexpected error in one request ends that request with an answer that promises
// nothing, and no other request.
func TestPanicEndsOnlyItsRequest(t *testing.T) {
	s, _ := startServer(t, func(ctx context.Context, r *serverconn.Request) (*serverconn.Response, *serverconn.Failure) {
		if r.ID == "attempt" {
			panic("in an attempt")
		}
		return answerOK(ctx, r)
	})
	for id, want := range map[string]int{"attempt": http.StatusBadGateway, "admission": http.StatusInternalServerError, "sound": http.StatusOK} {
		c := dial(t, s)
		path := "/p/"
		if id == "admission" {
			path = "/k/" // counting its key panics
		}
		_, _ = fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: h\r\nRequest-Id: %s\r\nKey: 5\r\n\r\n", path, id)
		if status, _, _ := read(t, bufio.NewReader(c)); status != want {
			t.Errorf("request %s: got status %d, want %d", id, status, want)
		}
	}
}

func TestChunkedBodyIsForwardedWhole(t *testing.T) {
	s, sender := startServer(t, answerOK)
	c := dial(t, s)
	_, _ = io.WriteString(c, "POST /p/x?y=1 HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n")
	if status, _, _ := read(t, bufio.NewReader(c)); status != 200 {
		t.Fatalf("got status %d, want 200", status)
	}
	if seen := sender.requests(); len(seen) != 1 || seen[0] != "POST /p/x?y=1 abcde" {
		t.Fatalf("the server received %q, want one POST with the body abcde", seen)
	}
}

// A caller that disconnects cancels its request to the server.
func TestRequestIsCanceledWhenCallerDisconnects(t *testing.T) {
	canceled := make(chan struct{})
	s, _ := startServer(t, func(ctx context.Context, _ *serverconn.Request) (*serverconn.Response, *serverconn.Failure) {
		<-ctx.Done()
		close(canceled)
		return nil, &serverconn.Failure{Progress: serverconn.Sent, Err: ctx.Err()}
	})
	c := dial(t, s)
	_, _ = io.WriteString(c, "GET /p/ HTTP/1.1\r\nHost: h\r\n\r\n")
	time.Sleep(50 * time.Millisecond)
	_ = c.Close()
	select {
	case <-canceled:
	case <-time.After(2 * time.Second):
		t.Fatal("the request was not canceled within 2s of the disconnect")
	}
}

// During a shutdown every request that was read is answered, and only the last
// answer closes the connection. An idle connection is closed at once.
func TestShutdownAnswersRequestsAlreadyRead(t *testing.T) {
	release := make(chan struct{})
	s, _ := startServer(t, func(ctx context.Context, r *serverconn.Request) (*serverconn.Response, *serverconn.Failure) {
		<-release
		return answerOK(ctx, r)
	})
	c, idle := dial(t, s), dial(t, s)
	for i := 1; i <= 3; i++ {
		_, _ = fmt.Fprintf(c, "GET /p/ HTTP/1.1\r\nHost: h\r\nRequest-Id: %d\r\n\r\n", i)
	}
	time.Sleep(100 * time.Millisecond)
	s.BeginShutdown(time.Now().Add(5 * time.Second))
	close(release)
	reader := bufio.NewReader(c)
	for i := 1; i <= 3; i++ {
		status, body, resp := read(t, reader)
		if status != 200 || body != fmt.Sprintf("whole %d", i) || resp.Close != (i == 3) {
			t.Fatalf("answer %d: got status %d, body %q, close %v; want 200, the body of this request, close only on the last", i, status, body, resp.Close)
		}
	}
	if _, err := idle.Read(make([]byte, 1)); err != io.EOF {
		t.Fatalf("read from idle connection: got %v, want EOF", err)
	}
}

// Guards against a caller that pipelines without a pause and so keeps its connection open until
// the process ends, with requests at work: once the server shuts down, the
// connection takes no further request, answers those that it took and closes.
func TestPipeliningConnectionClosesDuringShutdown(t *testing.T) {
	s, sender := startServer(t, func(ctx context.Context, r *serverconn.Request) (*serverconn.Response, *serverconn.Failure) {
		time.Sleep(60 * time.Millisecond)
		return answerOK(ctx, r)
	})
	c := dial(t, s)
	closed := make(chan struct{})
	go func() {
		for i := 1; ; i++ {
			if _, err := fmt.Fprintf(c, "GET /p/ HTTP/1.1\r\nHost: h\r\nRequest-Id: %d\r\n\r\n", i); err != nil {
				return
			}
			select {
			case <-time.After(20 * time.Millisecond):
			case <-closed:
				return
			}
		}
	}()
	reader := bufio.NewReader(c)
	for i := 1; ; i++ {
		if i == 5 {
			s.BeginShutdown(time.Now().Add(5 * time.Second))
		}
		_, body, resp := read(t, reader)
		if body != fmt.Sprintf("whole %d", i) {
			t.Fatalf("answer %d: got body %q, want that of this request", i, body)
		}
		if resp.Close {
			close(closed)
			if sent := len(sender.requests()); sent != i {
				t.Errorf("got %d answers to %d requests that were sent to a server, want all", i, sent)
			}
			return
		}
		if i == 20 {
			t.Fatal("the connection is still open 15 answers after the shutdown began")
		}
	}
}

// Guards against requests that wait for their turn on a connection and are started one after the
// other until the process ends: they count as not read, and must not run.
func TestRequestsWaitingForTheirTurnAreNotStartedDuringShutdown(t *testing.T) {
	release := make(chan struct{})
	s, sender := startServer(t, func(ctx context.Context, r *serverconn.Request) (*serverconn.Response, *serverconn.Failure) {
		<-release
		return answerOK(ctx, r)
	})
	c := dial(t, s)
	for i := 1; i <= 3; i++ {
		_, _ = fmt.Fprintf(c, "POST /p/ HTTP/1.1\r\nHost: h\r\nRequest-Id: %d\r\nContent-Length: 0\r\n\r\n", i)
	}
	time.Sleep(100 * time.Millisecond)
	s.BeginShutdown(time.Now().Add(5 * time.Second))
	close(release)
	reader := bufio.NewReader(c)
	if status, body, resp := read(t, reader); status != 200 || body != "whole 1" || !resp.Close {
		t.Fatalf("got status %d, body %q, close %v; want 200, the body of the first request, close", status, body, resp.Close)
	}
	if rest, _ := io.ReadAll(reader); len(rest) != 0 {
		t.Fatalf("got %q after the last answer, want nothing", rest)
	}
	if sent := sender.requests(); len(sent) != 1 {
		t.Fatalf("requests that were sent to a server: got %q, want the first", sent)
	}
}

// Guards against requests that are refused as slow, or closed unread, as soon as a shutdown begins:
// those of which a part has arrived, and those on connections that were opened since.
func TestRequestsOnTheirWayAreServedDuringShutdown(t *testing.T) {
	parts := map[string][2]string{
		"head":                  {"GET /p/ HTTP/1.1\r\nHo", "st: h\r\nRequest-Id: 1\r\n\r\n"},
		"body":                  {"POST /p/ HTTP/1.1\r\nHost: h\r\nRequest-Id: 1\r\nContent-Length: 5\r\n\r\nhe", "llo"},
		"nothing":               {"", "GET /p/ HTTP/1.1\r\nHost: h\r\nRequest-Id: 1\r\n\r\n"},
		"nothing, then by half": {"", "POST /p/ HTTP/1.1\r\nHost: h\r\nRequest-Id: 1\r\nContent-Length: 5\r\n\r\nhe|llo"},
	}
	for name, part := range parts {
		for _, new := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, new connection %v", name, new), func(t *testing.T) {
				s, _ := startServer(t, answerOK)
				var c net.Conn
				if !new {
					c = dial(t, s)
					_, _ = io.WriteString(c, part[0])
					time.Sleep(40 * time.Millisecond)
				}
				s.BeginShutdown(time.Now().Add(5 * time.Second))
				if new {
					c = dial(t, s)
					_, _ = io.WriteString(c, part[0])
				}
				for piece := range strings.SplitSeq(part[1], "|") {
					time.Sleep(40 * time.Millisecond)
					_, _ = io.WriteString(c, piece)
				}
				if status, body, resp := read(t, bufio.NewReader(c)); status != 200 || body != "whole 1" || !resp.Close {
					t.Fatalf("got status %d, body %q, close %v; want 200, the body of this request, close", status, body, resp.Close)
				}
			})
		}
	}
}

// Guards against requests that are still incomplete when the process ends, and are cut off without
// an answer: they are refused as not run before.
func TestRequestsIncompleteAtTheEndOfShutdownAreRefused(t *testing.T) {
	for name, request := range map[string]string{
		"head": "POST /p/ HTTP/1.1\r\nHo",
		"body": "POST /p/ HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nhe",
	} {
		t.Run(name, func(t *testing.T) {
			s, sender := startServer(t, answerOK)
			c, idle := dial(t, s), dial(t, s)
			_, _ = io.WriteString(c, request)
			time.Sleep(40 * time.Millisecond)
			began := time.Now()
			s.BeginShutdown(began.Add(60 * time.Millisecond))
			status, _, resp := read(t, bufio.NewReader(c))
			if status != http.StatusServiceUnavailable || !resp.Close || time.Since(began) > 150*time.Millisecond {
				t.Fatalf("got status %d, close %v after %v; want 503 that closes the connection after 60ms", status, resp.Close, time.Since(began))
			}
			if _, err := idle.Read(make([]byte, 1)); err != io.EOF || len(sender.requests()) != 0 {
				t.Fatalf("got %v on a connection without a request, requests at a server %q; want EOF and none", err, sender.requests())
			}
		})
	}
}

// Guards against an answer that replaces the time limit of the next request, which is being read
// meanwhile, by that of idle connections.
func TestAnswerKeepsTimeLimitOfNextRequest(t *testing.T) {
	s, _ := startServer(t, func(ctx context.Context, r *serverconn.Request) (*serverconn.Response, *serverconn.Failure) {
		time.Sleep(50 * time.Millisecond)
		return answerOK(ctx, r)
	})
	c := dial(t, s)
	began := time.Now()
	_, _ = io.WriteString(c, "GET /p/ HTTP/1.1\r\nHost: h\r\nRequest-Id: 1\r\n\r\nGET /p/ HTT")
	reader := bufio.NewReader(c)
	if status, _, _ := read(t, reader); status != http.StatusOK {
		t.Fatalf("first request: got status %d, want 200", status)
	}
	// Heads may take 200 ms, connections may be idle for 1 s.
	if status, _, _ := read(t, reader); status != http.StatusRequestTimeout || time.Since(began) > 600*time.Millisecond {
		t.Fatalf("half of the second request: got status %d after %v, want 408 after 200ms", status, time.Since(began))
	}
}

// FuzzCheckHead checks that each accepted head has a Host header.
func FuzzCheckHead(f *testing.F) {
	f.Add([]byte("GET /p/ HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\n"))
	f.Fuzz(func(t *testing.T, head []byte) {
		if checkHead(append(head, "\r\n\r\n"...)) != nil {
			return
		}
		parsed, err := http.ReadRequest(bufio.NewReader(strings.NewReader(string(head) + "\r\n\r\n")))
		if err == nil && parsed.Host == "" && !strings.Contains(strings.ToLower(string(head)), "host:") {
			t.Fatalf("accepted a head without a Host header: %q", head)
		}
	})
}
