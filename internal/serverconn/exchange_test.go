package serverconn

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"

	"kumquatcleat/internal/dialect"
	"kumquatcleat/internal/registry"
)

var testDialect = &dialect.Dialect{
	RequestID: "Request-Id", Deadline: "Deadline-Ms", TargetServer: "Target", Signature: "Signature",
	NotStarted: "Not-Started", ServerID: "Server", ServerLoad: "Load", RateLimit: "Rate-Limit", Leaving: "Leaving",
	FormatDeadline: func(d time.Duration) string { return fmt.Sprint(d.Milliseconds()) },
	ParseLoad:      func(string) (dialect.Load, error) { return dialect.Load{Running: 3}, nil },
	ParseRateLimit: func(text string) (float64, error) { return strconv.ParseFloat(text, 64) },
}

// rawServer answers each request with the next text; "%s" stands for the request ID. An
// empty text resets the connection. A text that ends in "." closes the connection
// after it.
func rawServer(t *testing.T, texts ...string) (*registry.Server, *int) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	connections := 0
	next := make(chan string, len(texts))
	for _, text := range texts {
		next <- text
	}
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			connections++
			go serveRaw(c, next)
		}
	}()
	return &registry.Server{ID: "s1", Incarnation: 1, Address: listener.Addr().String()}, &connections
}

func serveRaw(c net.Conn, next <-chan string) {
	defer func() { _ = c.Close() }()
	reader := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		text := <-next
		if text == "" {
			_ = c.(*net.TCPConn).SetLinger(0)
			return
		}
		_, _ = fmt.Fprintf(c, text, r.Header.Get("Request-Id"))
		if r.Close || text[len(text)-1] == '.' {
			return // the end of the connection delimits the answer
		}
	}
}

// testMaxBodyBytes is the limit that the smallest VM has, one of 184 MB.
const testMaxBodyBytes = 184 << 20 / 32

func newSender() *Sender {
	pool := NewPool(Settings{DialTimeout: time.Second, IdlePerServer: func(string) int { return 4 }}, metrics.NewRegistry())
	return NewSender(pool, testDialect, testMaxBodyBytes)
}

func send(s *Sender, server *registry.Server, id string, idempotent bool) (*Response, *Failure) {
	return s.Do(context.Background(), &Request{
		ID: id, Method: "GET", Target: "/x", Host: "h", Header: http.Header{}, Deadline: time.Now().Add(500 * time.Millisecond),
		Server: server, Idempotent: idempotent,
	})
}

const good = "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nSignature: x\r\nContent-Length: 2\r\n\r\nok"

func TestConnectionIsReused(t *testing.T) {
	server, connections := rawServer(t, good, good, good)
	s := newSender()
	for i := range 3 {
		r, f := send(s, server, fmt.Sprint(i), true)
		if f != nil || string(r.Body) != "ok" {
			t.Fatalf("got answer %+v, failure %v; want body ok", r, f)
		}
	}
	if *connections != 1 {
		t.Fatalf("got %d connections for 3 requests, want 1", *connections)
	}
}

// Invalid or incomplete answers never reach a caller as a success, and their connection
// is not reused.
func TestInvalidAnswerIsFailure(t *testing.T) {
	for name, text := range map[string]string{
		"another request's answer":    "HTTP/1.1 200 OK\r\nRequest-Id: other%.0s\r\nSignature: x\r\nContent-Length: 2\r\n\r\nno",
		"no request id":               "HTTP/1.1 200 OK\r\nSignature: x%.0s\r\nContent-Length: 2\r\n\r\nno",
		"no signature":                "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nContent-Length: 2\r\n\r\nno",
		"encoded body":                "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nSignature: x\r\nContent-Encoding: gzip\r\nContent-Length: 2\r\n\r\nno",
		"cut body":                    "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nSignature: x\r\nContent-Length: 9\r\n\r\nno.",
		"cut chunks":                  "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nSignature: x\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nno.",
		"no answer in the protocol":   "%.0s220 mail ready\r\n\r\n",
		"reset before the first byte": "",
	} {
		t.Run(name, func(t *testing.T) {
			server, _ := rawServer(t, text)
			s := newSender()
			r, f := send(s, server, "1", true)
			if f == nil {
				t.Fatalf("got answer %+v, want a failure", r)
			}
			if f.Progress != Sent {
				t.Fatalf("got progress NotSent for a request that was sent: %v", f)
			}
			if len(s.pool.idle[registry.Instance{ID: "s1", Incarnation: 1}]) != 0 {
				t.Fatal("connection was returned to the pool")
			}
		})
	}
}

// A late answer to an earlier request is skipped, and the answer to the current request
// is read after it.
func TestLateAnswerToEarlierRequestIsSkipped(t *testing.T) {
	server, connections := rawServer(t,
		"HTTP/1.1 200 OK\r\nRequest-Id: earlier\r\nSignature: x\r\nContent-Length: 2\r\n\r\nno"+good, good)
	s := newSender()
	if r, f := send(s, server, "1", true); f != nil || string(r.Body) != "ok" {
		t.Fatalf("got answer %+v, failure %v; want body ok", r, f)
	}
	if _, f := send(s, server, "2", true); f != nil || *connections != 2 {
		t.Fatalf("got failure %v, %d connections; want none and 2, the first not reused", f, *connections)
	}
}

// A server that answered "not started" may send a second copy of that answer late, when
// the connection is in use again. If it then carried a repeat of the same request, the
// copy would pass for the repeat's answer although the repeat runs.
func TestLateCopyOfAnswerIsNotTakenForAnswerToRepeat(t *testing.T) {
	const refused = "HTTP/1.1 421 Misdirected Request\r\nRequest-Id: %s\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n"
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for _, texts := range [][]string{{refused, refused + good}, {good}} {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			next := make(chan string, len(texts))
			for _, text := range texts {
				next <- text
			}
			go serveRaw(c, next)
		}
	}()
	s, server := newSender(), &registry.Server{ID: "s1", Incarnation: 1, Address: listener.Addr().String()}
	for _, repeat := range []bool{false, true} {
		r, f := s.Do(context.Background(), &Request{
			ID: "1", Method: "GET", Target: "/x", Host: "h", Header: http.Header{}, Deadline: time.Now().Add(500 * time.Millisecond),
			Server: server, Repeat: repeat,
		})
		if f != nil || r.NotStarted == repeat {
			t.Fatalf("repeat %v: got answer %+v, failure %v; want the first not started, the repeat answered", repeat, r, f)
		}
	}
}

// A connection with bytes after a complete answer is not reused.
func TestConnectionWithExtraBytesIsNotReused(t *testing.T) {
	server, connections := rawServer(t, good+"HTTP/1.1 200 OK\r\n", good)
	s := newSender()
	for i := range 2 {
		if _, f := send(s, server, fmt.Sprint(i), true); f != nil {
			t.Fatal(f)
		}
		time.Sleep(20 * time.Millisecond)
	}
	if *connections != 2 {
		t.Fatalf("got %d connections, want 2", *connections)
	}
}

func TestAnswerDelimitedByConnectionClose(t *testing.T) {
	server, connections := rawServer(t, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nSignature: x\r\n\r\nall of it.", good)
	s := newSender()
	r, f := send(s, server, "1", true)
	if f != nil || string(r.Body) != "all of it." {
		t.Fatalf("got answer %+v, failure %v; want the whole body", r, f)
	}
	if _, f := send(s, server, "2", true); f != nil || *connections != 2 {
		t.Fatalf("got failure %v, %d connections; want none and 2", f, *connections)
	}
}

func TestRefusedConnectionReportsNotSent(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &registry.Server{ID: "s1", Address: listener.Addr().String()}
	_ = listener.Close()
	if _, f := send(newSender(), server, "1", false); f == nil || f.Progress != NotSent || !f.Refused {
		t.Fatalf("%+v", f)
	}
}

func TestUnresponsiveServerFailsAtDeadline(t *testing.T) {
	server, _ := rawServer(t)
	start := time.Now()
	_, f := send(newSender(), server, "1", true)
	if f == nil || f.Progress != Sent || f.Reset || !f.Unanswered || time.Since(start) > time.Second {
		t.Fatalf("got failure %+v after %v, want a timeout with progress Sent within 1s", f, time.Since(start))
	}
}

func TestGuardPreventsControlCall(t *testing.T) {
	server, _ := rawServer(t, good)
	s := newSender()
	answer, f := s.Call(context.Background(), ControlCall{Server: server, Path: "/grant", Body: []byte("{}"), Guard: func() bool { return false }})
	if f == nil || f.Progress != NotSent {
		t.Fatalf("got status %d, failure %+v; want progress NotSent", answer.Status, f)
	}
}

// A renewal uses only connections of its grant's session. Another connection could reach
// a newer incarnation of the server under the same ID.
func TestRenewalUsesOnlyItsSession(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nContent-Length: 0\r\n\r\n"
	server, _ := rawServer(t, ok, ok)
	s := newSender()
	call := func(session uint64) (ControlAnswer, *Failure) {
		return s.Call(context.Background(), ControlCall{Server: server, Path: "/grant", Body: []byte("{}"), Session: session, Guard: func() bool { return true }})
	}
	first, f := call(0)
	if f != nil || first.Session == 0 {
		t.Fatalf("first call: got answer %+v, failure %v; want a session", first, f)
	}
	second, f := call(first.Session)
	if f != nil || second.Session != first.Session {
		t.Fatalf("second call: got answer %+v, failure %v; want the session of the first", second, f)
	}
	if _, f := call(first.Session + 1); f == nil || f.Progress != NotSent {
		t.Fatalf("call for an unknown session: got failure %+v, want progress NotSent", f)
	}
}

// Guards against a grant that is applied seconds after it failed, when its keys have another owner: it
// was written to a connection that had been idle so long that the kernel gave it up during the call.
func TestControlCallUsesNoConnectionThatWasIdleForLong(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nKeep-Alive: timeout=15\r\nContent-Length: 0\r\n\r\n"
	for idle, want := range map[time.Duration]bool{time.Second: true, 2500 * time.Millisecond: false, 10 * time.Second: false} {
		server, _ := rawServer(t, ok, ok, ok)
		s := newSender()
		call := func(session uint64) (ControlAnswer, *Failure) {
			return s.Call(context.Background(), ControlCall{Server: server, Path: "/grant", Session: session, Guard: func() bool { return true }})
		}
		first, f := call(0)
		if f != nil {
			t.Fatal(f.Err)
		}
		s.pool.mu.Lock()
		for _, c := range s.pool.idle[server.Instance()] {
			c.idleSince = c.idleSince.Add(-idle)
		}
		s.pool.mu.Unlock()
		second, f := call(0)
		if f != nil {
			t.Fatal(f.Err)
		}
		if reused := second.Session == first.Session; reused != want {
			t.Errorf("idle for %v: connection used again is %v, want %v", idle, reused, want)
		}
	}
}

// A second copy of the answer to a grant that arrives late, on a connection of the session
// that is in use again, is not taken for the answer to the next grant.
func TestLateCopyOfControlAnswerIsSkipped(t *testing.T) {
	const granted = "HTTP/1.1 200 OK\r\nRequest-Id: earlier\r\nContent-Length: 0\r\n\r\n"
	const rejected = "HTTP/1.1 409 Conflict\r\nRequest-Id: %s\r\nContent-Length: 0\r\n\r\n"
	server, _ := rawServer(t, granted+rejected)
	s := newSender()
	answer, f := s.Call(context.Background(), ControlCall{Server: server, Path: "/grant", Guard: func() bool { return true }})
	if f != nil || answer.Status != http.StatusConflict {
		t.Fatalf("got answer %+v, failure %v; want the status of the second answer", answer, f)
	}
}

// A session survives when the server closes a connection after an answer: the spare
// connection was opened while the first one was open, so it reaches the same process.
func TestSessionSurvivesConnectionClose(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nContent-Length: 0\r\n\r\n"
	const closing = "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	server, _ := rawServer(t, ok, ok, closing, ok)
	s := newSender()
	session := uint64(0)
	for i := range 4 {
		answer, f := s.Call(context.Background(), ControlCall{Server: server, Path: "/grant", Session: session, Guard: func() bool { return true }})
		if f != nil || session != 0 && answer.Session != session {
			t.Fatalf("call %d: got answer %+v, failure %v; want the same session", i, answer, f)
		}
		session = answer.Session
		time.Sleep(20 * time.Millisecond) // the spare connection is opened meanwhile
	}
}

// A spare connection opened before the session's connection, or after the request that
// was answered, may reach another process and does not join the session.
func TestConnectionOfUnknownProcessDoesNotJoinSession(t *testing.T) {
	server := &registry.Server{ID: "s", Incarnation: 1}
	base := time.Now()
	answered := &conn{opened: base, session: 7}
	for name, c := range map[string]struct {
		opened time.Time
		want   uint64
	}{
		"before":  {base.Add(-time.Second), 0},
		"between": {base.Add(time.Second), 7},
		"after":   {base.Add(3 * time.Second), 0},
	} {
		p := newSender().pool
		spare := &conn{opened: c.opened}
		p.idle[server.Instance()] = []*conn{spare}
		p.joinSession(server, answered, base.Add(2*time.Second))
		if spare.session != c.want {
			t.Errorf("opened %s: got session %d, want %d", name, spare.session, c.want)
		}
	}
}

// A server's rate limit is read from its answer; one that can't be parsed counts as none.
func TestRateLimitIsReadFromAnswer(t *testing.T) {
	answer := func(limit string) string {
		return "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nSignature: x\r\n" + limit + "Content-Length: 2\r\n\r\nok"
	}
	server, _ := rawServer(t, answer("Rate-Limit: 12.9\r\n"), answer(""), answer("Rate-Limit: much\r\n"))
	s := newSender()
	for i, want := range []float64{12.9, 0, 0} {
		r, f := send(s, server, fmt.Sprint(i), true)
		if f != nil || r.RateLimit != want || r.HasRateLimit != (want > 0) {
			t.Fatalf("answer %d: got %+v, failure %v; want rate limit %v", i, r, f, want)
		}
	}
}
