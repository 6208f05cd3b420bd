// Package entry is the HTTP/1.1 server for callers. It reads each request with its
// whole body, serves several requests of one connection concurrently and writes the
// answers in order. The standard library parses the messages. Its server is not
// used because it serves the requests of a connection one at a time.
package entry

import (
	"bufio"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"

	"kumquatcleat/internal/dialect"
	"kumquatcleat/internal/dispatch"
	"kumquatcleat/internal/logging"
	"kumquatcleat/internal/membudget"
	"kumquatcleat/internal/routetable"
)

// Settings of a Server.
type Settings struct {
	// Limits apply until a configuration is loaded.
	Limits routetable.Limits
	// MaxBodyBytes is the maximum size of one body, whatever the configuration allows,
	// as a body is held in memory.
	MaxBodyBytes int64
	// RequestMemory and AnswerMemory bound the bodies that requests and answers hold in
	// memory together.
	RequestMemory, AnswerMemory *membudget.Budget
	Metrics                     metrics.Registry // nil: the default registry
	// BodyTimeout is the maximum time from the end of a request's head to the end of
	// its body.
	BodyTimeout time.Duration
}

// Server accepts connections from callers and serves their requests.
type Server struct {
	settings  Settings
	core      *dispatch.Core
	tables    dispatch.Tables
	dialect   *dialect.Dialect
	decisions *logging.Decisions
	closing   atomic.Bool // shutting down: answers close their connections
	// undelivered counts answers that were written and did not reach their callers.
	undelivered metrics.Counter
	readUntil   time.Time // when requests must be whole in a shutdown; set before closing

	mu       sync.Mutex // guards the fields below
	listener net.Listener
	conns    map[*callerConn]bool
}

// NewServer returns a Server that does not listen yet.
func NewServer(s Settings, core *dispatch.Core, tables dispatch.Tables, d *dialect.Dialect, decisions *logging.Decisions) *Server {
	return &Server{
		settings: s, core: core, tables: tables, dialect: d, decisions: decisions, conns: map[*callerConn]bool{},
		undelivered: metrics.GetOrRegisterCounter("answers_undelivered", s.Metrics),
	}
}

// Listen opens the address. Serve accepts the connections.
func (s *Server) Listen(address string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("entry: listen on %s: %w", address, err)
	}
	s.mu.Lock()
	s.listener = listener
	s.mu.Unlock()
	return nil
}

// Addr returns the address that Listen opened.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// acceptRetryDelay is the pause after a failed accept, for example when no file
// descriptors are left.
const acceptRetryDelay = 20 * time.Millisecond

// Serve accepts connections until the listener is closed.
func (s *Server) Serve() {
	for {
		conn, err := s.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			slog.Warn("entry: accept failed", "error", err.Error())
			time.Sleep(acceptRetryDelay)
			continue
		}
		s.start(conn)
	}
}

// start serves a new connection in its own goroutine.
func (s *Server) start(conn net.Conn) {
	c := &callerConn{
		Conn:     conn,
		server:   s,
		reader:   bufio.NewReaderSize(conn, initialReaderBytes),
		pending:  make(chan *pendingAnswer, maxPipelined),
		accepted: time.Now(),
	}
	s.mu.Lock()
	s.conns[c] = true
	s.mu.Unlock()
	go func() {
		defer s.remove(c)
		c.serve()
	}()
}

// remove removes a closed connection. A panic in its goroutine is logged and closes
// only that connection.
func (s *Server) remove(c *callerConn) {
	if p := recover(); p != nil {
		slog.Error("entry: panic while serving a connection", "from", c.RemoteAddr().String(), "panic", fmt.Sprint(p), "stack", string(debug.Stack()))
		_ = c.Conn.Close()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}

// BeginShutdown starts a graceful shutdown: answers close their connections, and idle
// connections are closed at once. Requests of which bytes have arrived, and the first ones of new
// connections, are served if they are whole by readUntil, and refused as not run otherwise. The
// listener stays open until StopListening. Call it once.
func (s *Server) BeginShutdown(readUntil time.Time) {
	s.readUntil = readUntil
	s.closing.Store(true)
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.beginShutdown()
	}
}

// StopListening closes the listener.
func (s *Server) StopListening() { _ = s.listener.Close() }

// ConnectionCount returns the number of open connections.
func (s *Server) ConnectionCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// logRefusal logs a refusal of a request that did not reach the dispatch core.
func (s *Server) logRefusal(from net.Addr, a *dispatch.Answer) {
	s.decisions.Log("entry: request refused",
		slog.String("from", from.String()), slog.Int("status", a.Status),
		slog.String("kind", string(a.Refusal)), slog.String("reason", a.Message))
}
