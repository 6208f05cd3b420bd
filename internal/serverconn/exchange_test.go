package serverconn

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"

	"kumquatcleat/internal/dialect"
	"kumquatcleat/internal/registry"
)

var testDialect = &dialect.Dialect{
	RequestID: "Request-Id", Deadline: "Deadline-Ms", TargetServer: "Target", Signature: "Signature",
	NotStarted: "Not-Started", ServerID: "Server", ServerLoad: "Load",
	FormatDeadline: func(d time.Duration) string { return fmt.Sprint(d.Milliseconds()) },
	ParseLoad:      func(string) (dialect.Load, error) { return dialect.Load{Running: 3}, nil },
}

// rawServer answers the requests of each connection with the next texts; "%s"
// stands for the request's id. An empty text resets the connection.
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
			return // the text ends with the connection
		}
	}
}

func newSender() *Sender {
	pool := NewPool(Settings{DialTimeout: time.Second, IdlePerServer: func(string) int { return 4 }}, metrics.NewRegistry())
	return NewSender(pool, testDialect)
}

func send(s *Sender, server *registry.Server, id string, repeating bool) (*Response, *Failure) {
	return s.Do(context.Background(), &Request{
		ID: id, Method: "GET", Target: "/x", Host: "h", Header: http.Header{}, Deadline: time.Now().Add(500 * time.Millisecond),
		Server: server, Idempotent: repeating,
	})
}

const good = "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nSignature: x\r\nContent-Length: 2\r\n\r\nok"

func TestConnectionsAreUsedAgain(t *testing.T) {
	server, connections := rawServer(t, good, good, good)
	s := newSender()
	for i := range 3 {
		r, f := send(s, server, fmt.Sprint(i), true)
		if f != nil || string(r.Body) != "ok" {
			t.Fatalf("%+v, %v", r, f)
		}
	}
	if *connections != 1 {
		t.Fatalf("%d connections for 3 requests", *connections)
	}
}

// What a faulty server sends never reaches a caller as a success, and its
// connection is not used again.
func TestFaultyAnswers(t *testing.T) {
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
				t.Fatalf("taken as %+v", r)
			}
			if f.Progress != Sent {
				t.Fatalf("a request that was sent counts as not sent: %v", f)
			}
			if len(s.pool.idle[registry.Instance{ID: "s1", Incarnation: 1}]) != 0 {
				t.Fatal("the connection is kept")
			}
		})
	}
}

// A late answer of an earlier request is passed over; ours follows.
func TestLateAnswerIsPassedOver(t *testing.T) {
	server, connections := rawServer(t,
		"HTTP/1.1 200 OK\r\nRequest-Id: earlier\r\nSignature: x\r\nContent-Length: 2\r\n\r\nno"+good, good)
	s := newSender()
	if r, f := send(s, server, "1", true); f != nil || string(r.Body) != "ok" {
		t.Fatalf("%+v, %v", r, f)
	}
	if _, f := send(s, server, "2", true); f != nil || *connections != 2 {
		t.Fatalf("%v, %d connections: the first must not be used again", f, *connections)
	}
}

// Bytes behind a whole answer end the connection's use.
func TestExtraBytesEndTheConnection(t *testing.T) {
	server, connections := rawServer(t, good+"HTTP/1.1 200 OK\r\n", good)
	s := newSender()
	for i := range 2 {
		if _, f := send(s, server, fmt.Sprint(i), true); f != nil {
			t.Fatal(f)
		}
		time.Sleep(20 * time.Millisecond)
	}
	if *connections != 2 {
		t.Fatalf("%d connections, want 2", *connections)
	}
}

func TestAnswerThatEndsWithItsConnection(t *testing.T) {
	server, connections := rawServer(t, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nSignature: x\r\n\r\nall of it.", good)
	s := newSender()
	r, f := send(s, server, "1", true)
	if f != nil || string(r.Body) != "all of it." {
		t.Fatalf("%+v, %v", r, f)
	}
	if _, f := send(s, server, "2", true); f != nil || *connections != 2 {
		t.Fatalf("%v, %d connections", f, *connections)
	}
}

func TestRefusedConnectionIsNotSent(t *testing.T) {
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

func TestSilentServerEndsAtTheDeadline(t *testing.T) {
	server, _ := rawServer(t)
	began := time.Now()
	_, f := send(newSender(), server, "1", true)
	if f == nil || f.Progress != Sent || f.Reset || time.Since(began) > time.Second {
		t.Fatalf("%+v after %v", f, time.Since(began))
	}
}

func TestGuardStopsASend(t *testing.T) {
	server, _ := rawServer(t, good)
	s := newSender()
	answer, f := s.Call(context.Background(), ControlCall{Server: server, Path: "/grant", Body: []byte("{}"), Guard: func() bool { return false }})
	if f == nil || f.Progress != NotSent {
		t.Fatalf("status %d, %+v", answer.Status, f)
	}
}

// A renewal uses connections of its grant's session and no other: another could reach a
// newer start of the server under the same id.
func TestRenewalKeepsToItsSession(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nContent-Length: 0\r\n\r\n"
	server, _ := rawServer(t, ok, ok)
	s := newSender()
	call := func(session uint64) (ControlAnswer, *Failure) {
		return s.Call(context.Background(), ControlCall{Server: server, Path: "/grant", Body: []byte("{}"), Session: session, Guard: func() bool { return true }})
	}
	first, f := call(0)
	if f != nil || first.Session == 0 {
		t.Fatalf("%+v, %v", first, f)
	}
	again, f := call(first.Session)
	if f != nil || again.Session != first.Session {
		t.Fatalf("%+v, %v", again, f)
	}
	if _, f := call(first.Session + 1); f == nil || f.Progress != NotSent {
		t.Fatalf("sent in another session, %+v", f)
	}
}

// A server that closes a connection behind an answer keeps its session: the spare
// connection was opened while the first one was, so it reaches the same process.
func TestSessionOutlivesItsConnection(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nContent-Length: 0\r\n\r\n"
	const closing = "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	server, _ := rawServer(t, ok, ok, closing, ok)
	s := newSender()
	session := uint64(0)
	for i := range 4 {
		answer, f := s.Call(context.Background(), ControlCall{Server: server, Path: "/grant", Session: session, Guard: func() bool { return true }})
		if f != nil || session != 0 && answer.Session != session {
			t.Fatalf("call %d: %+v, %v", i, answer, f)
		}
		session = answer.Session
		time.Sleep(20 * time.Millisecond) // the spare is opened beside
	}
}

// A spare that was opened before its session's connection, or after the question
// that was answered, may reach another process and stays out.
func TestOnlyCertainConnectionsJoinASession(t *testing.T) {
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
		p.adopt(server, answered, base.Add(2*time.Second))
		if spare.session != c.want {
			t.Errorf("opened %s: session %d, want %d", name, spare.session, c.want)
		}
	}
}
