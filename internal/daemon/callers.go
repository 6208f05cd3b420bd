package daemon

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"kumquatcleat/internal/linger"
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
// closes each connection once its caller has received the answer.
type callerServer struct {
	server     *http.Server
	listener   net.Listener
	forceClose atomic.Bool // connections are closed without waiting for their callers
	mu         sync.Mutex  // guards open and closing
	open       map[net.Conn]connStatus
	closing    bool
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
	server      *callerServer
	dataPending atomic.Bool
	closing     atomic.Bool               // Close was called
	lastWrite   atomic.Pointer[time.Time] // nil: nothing was written
}

// Read implements net.Conn.
func (c *callerConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.dataPending.Store(true)
	}
	return n, err
}

// Write implements net.Conn.
func (c *callerConn) Write(p []byte) (int, error) {
	now := time.Now()
	c.lastWrite.Store(&now)
	return c.Conn.Write(p)
}

// Close implements net.Conn. The first call waits until the caller has received what was written,
// unless the server closes connections at once; a second one ends that wait.
func (c *callerConn) Close() error {
	tcp, ok := c.Conn.(*net.TCPConn)
	if c.closing.Swap(true) || !ok || c.server.forceClose.Load() {
		return c.Conn.Close()
	}
	var lastWrite time.Time
	if at := c.lastWrite.Load(); at != nil {
		lastWrite = *at
	}
	if lost, reason := linger.Close(tcp, lastWrite); lost > 0 {
		slog.Info("daemon: connection closed before its caller received all answers", "from", c.RemoteAddr().String(),
			"unacknowledged_bytes", lost, "cause", reason.Error())
	}
	return nil
}

// callerListener wraps each accepted connection in a callerConn.
type callerListener struct {
	net.Listener
	server *callerServer
}

// Accept implements net.Listener.
func (l callerListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &callerConn{Conn: conn, server: l.server}, nil
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
	c.listener = callerListener{listener, c}
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

// shutdown stops accepting connections, waits for the requests on open connections and until
// their callers have received the answers. The handler marks each answer "Connection: close". If
// ctx is done first, shutdown cuts off the remaining requests and returns ctx's error, or nil if
// all were answered, even if callers have not received the answers.
func (c *callerServer) shutdown(ctx context.Context) error {
	c.mu.Lock()
	c.closing = true
	c.mu.Unlock()
	_ = c.listener.Close()
	defer c.close()
	for {
		busy, open := c.closeIdle(time.Now())
		if open == 0 {
			return nil
		}
		if !wait.For(ctx, finishPollInterval) {
			if busy {
				return ctx.Err()
			}
			return nil
		}
	}
}

// closeIdle reports whether any connection has a request in flight, or was accepted so recently
// that its first request may still arrive. If none has, it makes net/http close all connections
// that it does not close yet. open is the number of open connections.
func (c *callerServer) closeIdle(now time.Time) (busy bool, open int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn, status := range c.open {
		caller, ok := conn.(*callerConn)
		if ok && caller.closing.Load() {
			continue
		}
		pending := ok && caller.dataPending.Load()
		recent := status.state == http.StateNew && now.Sub(status.since) < newConnTimeout
		if status.state == http.StateActive || pending || recent {
			return true, len(c.open)
		}
	}
	for conn := range c.open {
		if caller, ok := conn.(*callerConn); ok && !caller.closing.Load() {
			_ = conn.SetReadDeadline(now)
		}
	}
	return false, len(c.open)
}

// close closes the listener and all connections immediately.
func (c *callerServer) close() {
	c.mu.Lock()
	c.closing = true
	c.mu.Unlock()
	c.forceClose.Store(true)
	_ = c.server.Close()
}
