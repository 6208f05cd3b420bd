package entry

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"kumquatcleat/internal/dispatch"
	"kumquatcleat/internal/fault"
	"kumquatcleat/internal/membudget"
	"kumquatcleat/internal/routetable"
	"kumquatcleat/internal/wait"
)

const (
	// maxPipelined is how many requests of one connection are served at once. The
	// reader pauses at this limit and so detects a disconnect late.
	maxPipelined = 32
	// writeTimeout closes connections whose caller does not read the answers: it bounds the
	// time for writeChunk bytes, as a large answer may take a slow caller longer.
	writeTimeout = 5 * time.Second
	writeChunk   = 64 << 10
	// initialReaderBytes is the initial size of a connection's reader. It grows when a
	// request's head does not fit.
	initialReaderBytes = 4 << 10
)

// callerConn is one connection of a caller. One goroutine reads the requests, one
// per request serves it, and one writes the answers in the order of the requests.
type callerConn struct {
	net.Conn
	server     *Server
	reader     *bufio.Reader
	pending    chan *pendingAnswer // in order of arrival
	accepted   time.Time
	unanswered atomic.Int32 // requests admitted but not answered yet
	delivery   delivery

	// mu serializes admitting and starting requests with deciding to close, and guards the
	// fields below.
	mu       sync.Mutex
	closing  bool // the last answer is determined: no further request is admitted or started
	admitted int  // requests admitted so far
	started  int  // number of the last request that was started
	// readUntil is the deadline of the request that is being read; zero: none is.
	readUntil time.Time
}

// pendingAnswer is a request whose answer has not been written yet.
type pendingAnswer struct {
	request *dispatch.Request
	number  int // of the request on its connection, from 1
	answer  chan *dispatch.Answer
	last    bool                     // the connection closes after the answer
	memory  []*membudget.Reservation // released when the answer was written or abandoned
	written chan struct{}            // closed when the answer was written or abandoned
}

// release returns the memory of the request and of its answer.
func (p *pendingAnswer) release() {
	for _, reservation := range p.memory {
		reservation.Release()
	}
}

// requestID returns the ID of the request, "" if it was refused before it was known.
func (p *pendingAnswer) requestID() string {
	if p.request == nil {
		return ""
	}
	return p.request.ID
}

// serve handles the connection until it is closed.
func (c *callerConn) serve() {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	written := make(chan struct{})
	go func() {
		defer close(written)
		c.writeAnswers(ctx, cancel)
	}()
	clean := c.readRequests(ctx)
	if !clean {
		cancel() // the caller disconnected: cancel its requests
	}
	close(c.pending)
	<-written
	c.linger()
}

// readRequests reads requests until the connection closes. It returns false when
// the caller disconnected, true when pending answers should still be written.
func (c *callerConn) readRequests(ctx context.Context) bool {
	var previous *pendingAnswer
	for {
		c.setIdleDeadline()
		if _, err := c.reader.Peek(1); err != nil {
			return isTimeout(err) && ctx.Err() == nil
		}
		if c.server.closing.Load() && c.unanswered.Load() > 0 {
			return c.awaitLastAnswer(ctx)
		}
		c.setRequestDeadline(c.limits().HeaderTimeout)
		bodyMemory := c.server.settings.RequestMemory.Open()
		request, refusal := c.readRequest(bodyMemory)
		if request == nil && refusal == nil {
			bodyMemory.Release()
			return false
		}
		p := &pendingAnswer{request: request, answer: make(chan *dispatch.Answer, 1), last: refusal != nil, memory: []*membudget.Reservation{bodyMemory}, written: make(chan struct{})}
		if !c.admit(p) {
			p.release()
			return c.awaitLastAnswer(ctx)
		}
		if request != nil {
			request.AnswerMemory = c.server.settings.AnswerMemory.Open()
			p.memory = append(p.memory, request.AnswerMemory)
		}
		_ = c.SetReadDeadline(time.Time{})
		select {
		case c.pending <- p:
		case <-ctx.Done():
			p.release()
			return false
		}
		if refusal != nil {
			c.server.logRefusal(c.RemoteAddr(), refusal)
			p.answer <- refusal
			return true
		}
		go func(previous *pendingAnswer) {
			if previous != nil && !mayRunConcurrently(request) {
				<-previous.written
			}
			if !c.start(p) {
				p.answer <- &dispatch.Answer{Abandoned: true}
				return
			}
			answer := c.serveRequest(ctx, request)
			bodyMemory.Release() // the caller may read the answer slowly
			p.answer <- answer
		}(previous)
		previous = p
	}
}

// awaitLastAnswer waits until an earlier answer has closed the connection. It returns false when
// the caller disconnected before.
func (c *callerConn) awaitLastAnswer(ctx context.Context) bool {
	c.setIdleDeadline()
	for c.reader.Buffered() < c.reader.Size() {
		if _, err := c.reader.Peek(c.reader.Buffered() + 1); err != nil {
			return isTimeout(err) && ctx.Err() == nil
		}
	}
	return true
}

// serveRequest answers a request. A panic ends the request, not the process. The request
// may have been sent by then, so the answer does not promise that it did not run.
func (c *callerConn) serveRequest(ctx context.Context, request *dispatch.Request) (answer *dispatch.Answer) {
	defer func() {
		if p := recover(); p != nil {
			slog.Error("entry: panic while serving a request", "request", request.ID, "panic", fmt.Sprint(p), "stack", string(debug.Stack()))
			answer = refuseWithStatus(http.StatusInternalServerError, fault.ConnectionLost, "internal error")
		}
	}()
	return c.server.core.Serve(ctx, request)
}

// admit counts a new request. It returns false if an earlier answer closes the connection:
// during a shutdown that of the last request before it, so that a caller that always has the
// next request under way can't keep the connection open.
func (c *callerConn) admit(p *pendingAnswer) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readUntil = time.Time{}
	if c.closing || c.server.closing.Load() && c.unanswered.Load() > 0 {
		return false
	}
	c.unanswered.Add(1)
	c.admitted++
	p.number = c.admitted
	return true
}

// start records that the service of a request begins. It returns false if the answer to an
// earlier request closes the connection: the caller sends the request again elsewhere, so it
// must not run.
func (c *callerConn) start(p *pendingAnswer) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing {
		return false
	}
	c.started = max(c.started, p.number)
	return true
}

// mayRunConcurrently reports whether a request may run concurrently with earlier
// ones of its connection. Any other request waits until the earlier ones are
// answered: if the connection breaks before that, the caller sends the later request
// again, and it must not have run already.
func mayRunConcurrently(r *dispatch.Request) bool {
	return r.Method == http.MethodGet || r.Method == http.MethodHead
}

// setIdleDeadline sets the deadline for the first byte of the next request. While answers are
// pending there is none: the connection is not idle, and reading on detects that the caller
// disconnects.
func (c *callerConn) setIdleDeadline() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.applyIdleDeadline()
}

// applyIdleDeadline is setIdleDeadline for callers that hold mu.
func (c *callerConn) applyIdleDeadline() {
	switch {
	case c.closing:
		_ = c.SetReadDeadline(time.Now())
	case !c.readUntil.IsZero():
		// The deadline of the request that is being read applies.
	case c.unanswered.Load() > 0:
		_ = c.SetReadDeadline(time.Time{})
	case !c.server.closing.Load():
		_ = c.SetReadDeadline(time.Now().Add(c.limits().IdleTimeout))
	case c.admitted == 0: // a new connection, whose first request is on its way
		_ = c.SetReadDeadline(wait.Earlier(c.accepted.Add(c.limits().HeaderTimeout), c.server.readUntil))
	default:
		_ = c.SetReadDeadline(time.Now())
	}
}

// setRequestDeadline sets the deadline for the rest of a request of which bytes have arrived. In a
// shutdown it is no later than the last moment at which the server reads.
func (c *callerConn) setRequestDeadline(timeout time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readUntil = time.Now().Add(timeout)
	if c.server.closing.Load() {
		c.readUntil = wait.Earlier(c.readUntil, c.server.readUntil)
	}
	if !c.closing {
		_ = c.SetReadDeadline(c.readUntil)
	}
}

// beginShutdown applies the beginning shutdown to the deadline of the connection.
func (c *callerConn) beginShutdown() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing || c.readUntil.IsZero() {
		c.applyIdleDeadline()
		return
	}
	c.readUntil = wait.Earlier(c.readUntil, c.server.readUntil)
	_ = c.SetReadDeadline(c.readUntil)
}

// limits returns the configured limits, or those of the settings before a
// configuration is loaded.
func (c *callerConn) limits() routetable.Limits {
	if table := c.server.tables.Current(); table != nil {
		return table.Limits
	}
	return c.server.settings.Limits
}

func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}
