package daemon

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"kumquatcleat/internal/wait"
)

const (
	// newConnTimeout is how long shutdown waits for the first request on a newly
	// accepted connection.
	newConnTimeout = time.Second
	// finishPollInterval is how often shutdown checks for open requests.
	finishPollInterval = 10 * time.Millisecond
)

// callerServer serves callers and shuts down without cutting off requests.
//
// It does not use http.Server.Shutdown. After that call, the server closes each
// connection on which it finishes reading a request, without an answer, even if the
// caller began to send the request earlier. callerServer.shutdown stops accepting
// connections instead, lets every request on an accepted connection be answered, and
// closes each connection after its answer.
type callerServer struct {
	server   *http.Server
	listener net.Listener
	mu       sync.Mutex // guards open and closing
	open     map[net.Conn]connStatus
	closing  bool
}

// connStatus is the HTTP state of a connection and the time of its last change.
type connStatus struct {
	state http.ConnState
	since time.Time
}

// callerConn records whether bytes of an unanswered request have arrived. The state
// kept by net/http does not show it: a connection stays new or idle until the whole
// request header has been read.
type callerConn struct {
	net.Conn
	dataPending atomic.Bool
}

// Read implements net.Conn.
func (c *callerConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.dataPending.Store(true)
	}
	return n, err
}

// callerListener wraps each accepted connection in a callerConn.
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
	c := &callerServer{open: map[net.Conn]connStatus{}}
	c.server = &http.Server{Addr: address, ReadHeaderTimeout: readHeaderTimeout, MaxHeaderBytes: maxHeadBytes, ConnState: c.trackState}
	return c
}

func (c *callerServer) trackState(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if state == http.StateClosed || state == http.StateHijacked {
		delete(c.open, conn)
		return
	}
	if caller, ok := conn.(*callerConn); ok && state == http.StateIdle {
		caller.dataPending.Store(false)
	}
	c.open[conn] = connStatus{state: state, since: time.Now()}
}

// start opens the listener and serves on a new goroutine. A later failure is sent to
// failed.
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

// shutdown stops accepting connections, waits for the requests on open connections,
// and closes them. The handler marks each answer "Connection: close". If ctx is done
// first, shutdown cuts off the remaining requests and returns ctx's error.
func (c *callerServer) shutdown(ctx context.Context) error {
	c.mu.Lock()
	c.closing = true
	c.mu.Unlock()
	_ = c.listener.Close()
	defer func() { _ = c.server.Close() }()
	for c.busy(time.Now()) {
		if !wait.For(ctx, finishPollInterval) {
			return ctx.Err()
		}
	}
	return nil
}

// busy reports whether any connection has a request in flight, or was accepted so
// recently that its first request may still arrive.
func (c *callerServer) busy(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn, status := range c.open {
		caller, ok := conn.(*callerConn)
		pending := ok && caller.dataPending.Load()
		recent := status.state == http.StateNew && now.Sub(status.since) < newConnTimeout
		if status.state == http.StateActive || pending || recent {
			return true
		}
	}
	return false
}

// close closes the listener and all connections immediately.
func (c *callerServer) close() {
	c.mu.Lock()
	c.closing = true
	c.mu.Unlock()
	_ = c.server.Close()
}
