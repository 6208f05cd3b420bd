package daemon

import (
	"context"
	"fmt"
	"kumquatcleat/internal/wait"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// newConnTime is how long a connection without a request is waited for.
	newConnTime = time.Second
	// finishPoll is how late the end of the last request is noticed.
	finishPoll = 10 * time.Millisecond
)

// callerServer listens for callers and stops without cutting a request.
//
// http.Server.Shutdown is not used: from the moment of its call the server
// closes, without an answer, every connection whose request it finishes reading,
// although the caller sent it before. finish stops accepting instead, lets every
// request that arrives on an accepted connection be answered, and closes each
// connection after its answer.
type callerServer struct {
	server   *http.Server
	listener net.Listener
	mu       sync.Mutex // guards open and closing
	open     map[net.Conn]connMark
	closing  bool
}

// connMark is the state of a connection and since when.
type connMark struct {
	state http.ConnState
	since time.Time
}

// callerConn notes whether bytes arrived that no answered request accounts for:
// net/http calls a connection new or idle until it has read a whole header.
type callerConn struct {
	net.Conn
	begun atomic.Bool
}

// Read implements net.Conn.
func (c *callerConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.begun.Store(true)
	}
	return n, err
}

// callerListener accepts callerConns.
type callerListener struct{ net.Listener }

// Accept implements net.Listener.
func (l callerListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &callerConn{Conn: conn}, nil
}

func newCallerServer(address string) *callerServer {
	c := &callerServer{open: map[net.Conn]connMark{}}
	c.server = &http.Server{Addr: address, ReadHeaderTimeout: readHeaderTimeout, ConnState: c.mark}
	return c
}

func (c *callerServer) mark(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if state == http.StateClosed || state == http.StateHijacked {
		delete(c.open, conn)
		return
	}
	if own, ok := conn.(*callerConn); ok && state == http.StateIdle {
		own.begun.Store(false)
	}
	c.open[conn] = connMark{state: state, since: time.Now()}
}

// start listens and serves on a goroutine; a failure goes to failed.
func (c *callerServer) start(failed chan<- error) error {
	listener, err := net.Listen("tcp", c.server.Addr)
	if err != nil {
		return fmt.Errorf("daemon: listen: %w", err)
	}
	c.listener = callerListener{listener}
	go func() {
		err := c.server.Serve(c.listener)
		c.mu.Lock()
		defer c.mu.Unlock()
		if !c.closing {
			failed <- fmt.Errorf("daemon: serve %s: %w", c.server.Addr, err)
		}
	}()
	return nil
}

// finish accepts no further connection, waits for the requests of those that
// are open, and closes them; the handler asks to close each with its answer. It returns ctx's error when that took too long;
// what was still in flight is cut then.
func (c *callerServer) finish(ctx context.Context) error {
	c.mu.Lock()
	c.closing = true
	c.mu.Unlock()
	_ = c.listener.Close()
	defer func() { _ = c.server.Close() }()
	for c.busy(time.Now()) {
		if !wait.For(ctx, finishPoll) {
			return ctx.Err()
		}
	}
	return nil
}

// busy reports whether a connection has a request under way, or was opened so
// lately that one may be on its way.
func (c *callerServer) busy(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn, mark := range c.open {
		own, ok := conn.(*callerConn)
		begun := ok && own.begun.Load()
		young := mark.state == http.StateNew && now.Sub(mark.since) < newConnTime
		if mark.state == http.StateActive || begun || young {
			return true
		}
	}
	return false
}

// close cuts everything at once.
func (c *callerServer) close() {
	c.mu.Lock()
	c.closing = true
	c.mu.Unlock()
	_ = c.server.Close()
}
