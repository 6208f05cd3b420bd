package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// request is one client attempt.
type request struct {
	id       string
	kind     string
	gateway  *gateway
	sent     time.Duration
	ended    time.Duration // of its answer, or of its connection
	status   int           // 0: no complete answer
	wrong    string        // what is wrong with a success
	behind   bool          // it was sent behind an answer that closed the connection
	deadline time.Duration // how long the client waits
	timeout  bool          // the client gave up at its deadline
}

// requests are all requests of clients.
type requests struct {
	mu   sync.Mutex
	list []*request
}

func (a *requests) add(r *request) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.list = append(a.list, r)
}

var requestNumber atomic.Int64

// newID returns a request id.
func newID() string {
	n := uint64(requestNumber.Add(1))
	return fmt.Sprintf("%016x", n*0x9E3779B97F4A7C15)
}

// head returns the bytes of a request without a body.
func head(method, path, host, id string, deadline time.Duration, extra string) string {
	length := ""
	if method == http.MethodPost {
		length = "Content-Length: 0\r\n"
	}
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nX-Kumquatcleat-Request-Id: %s\r\nX-Kumquatcleat-Deadline-Ms: %d\r\n%s%s\r\n",
		method, path, host, id, deadline.Milliseconds(), length, extra)
}

// readAnswer reads the answer to a request and records it. closes reports whether the connection
// closes after it.
func readAnswer(reader *bufio.Reader, r *request) (closes bool, err error) {
	resp, err := http.ReadResponse(reader, nil)
	if err != nil {
		return true, err
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return true, err
	}
	r.status = resp.StatusCode
	if resp.StatusCode == http.StatusOK {
		if want := "ran " + r.id; string(body) != want {
			r.wrong = fmt.Sprintf("body %q", body)
		}
		if !strings.HasSuffix(resp.Header.Get("X-Kumquatcleat-Server-Signature"), "."+r.id) {
			r.wrong = "signature of another request"
		}
	}
	return resp.Close, nil
}

// client is one client of the platform.
type client struct {
	rec      *record
	fleet    *fleet
	requests *requests
	number   int
	stop     <-chan struct{}
}

func (c *client) stopped() bool {
	select {
	case <-c.stop:
		return true
	default:
		return false
	}
}

// pipeline sends safe requests at an even rate, without waiting for the answers to earlier ones.
// It keeps its connection until the machine closes it, and stops sending as soon as it sees that.
func (c *client) pipeline(host, path string, every, deadline time.Duration) {
	for !c.stopped() {
		c.pipelineOnce(host, path, every, deadline)
		time.Sleep(50 * time.Millisecond)
	}
}

func (c *client) pipelineOnce(host, path string, every, deadline time.Duration) {
	g := c.fleet.pick(c.number)
	conn, err := net.DialTimeout("tcp", g.front, time.Second)
	if err != nil {
		c.rec.add("NO-CONNECTION to %s: %v", g.name, err)
		return
	}
	c.rec.add("CONNECTED client %d to %s", c.number, g.name)
	pending := make(chan *request, 1000)
	closed := make(chan struct{})
	go func() { // sends
		defer close(pending)
		for {
			r := &request{id: newID(), kind: "pipelined", gateway: g, deadline: deadline}
			r.sent = c.rec.add("SEND %s %s client %d to %s", r.id, r.kind, c.number, g.name)
			if _, err := io.WriteString(conn, head("GET", path, host, r.id, deadline, "")); err != nil {
				c.rec.add("SEND-FAILED %s: %v", r.id, err)
				return // it was not sent whole
			}
			c.requests.add(r)
			pending <- r
			select {
			case <-closed:
				return
			case <-c.stop:
				return
			case <-time.After(around(every)):
			}
		}
	}()
	reader := bufio.NewReader(conn)
	ended, behind := "", false
	for r := range pending {
		if ended == "" {
			_ = conn.SetReadDeadline(time.Now().Add(deadline - (c.rec.now() - r.sent)))
			closes, err := readAnswer(reader, r)
			switch {
			case err == nil:
				r.ended = c.rec.add("ANSWER %s status %d", r.id, r.status)
				if closes {
					ended, behind = "an answer with Connection: close", true
					close(closed)
				}
				continue
			case isTimeout(err):
				r.timeout, ended = true, "the client gave up"
			default:
				ended = err.Error()
			}
			close(closed)
		}
		r.behind = behind
		r.ended = c.rec.add("CUT %s: the connection to %s ended by %s, behind a closing answer: %t", r.id, g.name, ended, behind)
	}
	_ = conn.Close()
}

func isTimeout(err error) bool {
	e, ok := err.(net.Error)
	return ok && e.Timeout()
}

// fresh sends one request on a new connection and returns it.
func (c *client) fresh(kind, method, host, path string, deadline time.Duration, extra string) *request {
	g := c.fleet.pick(c.number)
	r := &request{id: newID(), kind: kind, gateway: g, deadline: deadline}
	conn, err := net.DialTimeout("tcp", g.front, time.Second)
	if err != nil {
		c.rec.add("NO-CONNECTION to %s: %v", g.name, err)
		return nil
	}
	defer func() { _ = conn.Close() }()
	c.requests.add(r)
	r.sent = c.rec.add("SEND %s %s client %d to %s", r.id, r.kind, c.number, g.name)
	_ = conn.SetDeadline(time.Now().Add(deadline))
	if _, err = io.WriteString(conn, head(method, path, host, r.id, deadline, extra)); err == nil {
		_, err = readAnswer(bufio.NewReader(conn), r)
	}
	if err != nil {
		r.timeout = isTimeout(err)
		r.ended = c.rec.add("CUT %s: %v", r.id, err)
		return r
	}
	r.ended = c.rec.add("ANSWER %s status %d", r.id, r.status)
	return r
}

// kept sends one request after the other on a kept connection.
func (c *client) kept(host, path string, every, deadline time.Duration) {
	for !c.stopped() {
		c.keptOnce(host, path, every, deadline)
		time.Sleep(50 * time.Millisecond)
	}
}

func (c *client) keptOnce(host, path string, every, deadline time.Duration) {
	g := c.fleet.pick(c.number)
	conn, err := net.DialTimeout("tcp", g.front, time.Second)
	if err != nil {
		c.rec.add("NO-CONNECTION to %s: %v", g.name, err)
		return
	}
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for !c.stopped() {
		r := &request{id: newID(), kind: "kept", gateway: g, deadline: deadline}
		r.sent = c.rec.add("SEND %s %s client %d to %s", r.id, r.kind, c.number, g.name)
		if _, err := io.WriteString(conn, head("GET", path, host, r.id, deadline, "")); err != nil {
			c.rec.add("SEND-FAILED %s: %v", r.id, err)
			return
		}
		c.requests.add(r)
		_ = conn.SetReadDeadline(time.Now().Add(deadline))
		closes, err := readAnswer(reader, r)
		if err != nil {
			r.timeout = isTimeout(err)
			r.ended = c.rec.add("CUT %s: the connection to %s ended by %v", r.id, g.name, err)
			return
		}
		r.ended = c.rec.add("ANSWER %s status %d", r.id, r.status)
		if closes {
			return
		}
		_ = conn.SetReadDeadline(time.Now().Add(around(every)))
		if _, err := reader.Peek(1); err != nil && !isTimeout(err) {
			return // the machine closed the idle connection
		}
	}
}
