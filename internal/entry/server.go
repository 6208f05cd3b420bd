// Package entry speaks HTTP/1.1 with callers. It reads requests whole, several
// of one connection at once, and writes the answers in order. The standard
// library parses the messages; its server is not used, as it serves a connection
// one request at a time.
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

	"kumquatcleat/internal/dialect"
	"kumquatcleat/internal/dispatch"
	"kumquatcleat/internal/logging"
	"kumquatcleat/internal/routetable"
)

// Settings of a Server.
type Settings struct {
	// Limits apply until a configuration is known.
	Limits routetable.Limits
	// BodyMemory bounds one body, which is held whole, in bytes.
	BodyMemory int64
	// BodyTimeout bounds the time from a request's head to the end of its body.
	BodyTimeout time.Duration
}

// Server accepts connections of callers.
type Server struct {
	settings  Settings
	core      *dispatch.Core
	tables    dispatch.Tables
	dialect   *dialect.Dialect
	decisions *logging.Decisions
	closing   atomic.Bool // answers close their connections

	mu       sync.Mutex // owns the fields below
	listener net.Listener
	conns    map[*callerConn]bool
}

// NewServer returns a server that does not listen yet.
func NewServer(s Settings, core *dispatch.Core, tables dispatch.Tables, d *dialect.Dialect, decisions *logging.Decisions) *Server {
	return &Server{settings: s, core: core, tables: tables, dialect: d, decisions: decisions, conns: map[*callerConn]bool{}}
}

// Listen opens the address; connections are accepted by Serve.
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

// acceptRetry is the pause after a failed accept, such as without descriptors.
const acceptRetry = 20 * time.Millisecond

// Serve accepts connections until the listener is closed.
func (s *Server) Serve() {
	for {
		conn, err := s.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			slog.Warn("entry: a connection was not accepted", "error", err.Error())
			time.Sleep(acceptRetry)
			continue
		}
		s.start(conn)
	}
}

func (s *Server) start(conn net.Conn) {
	c := &callerConn{
		Conn:    conn,
		server:  s,
		reader:  bufio.NewReaderSize(conn, firstReaderBytes),
		pending: make(chan *exchange, readAhead),
	}
	s.mu.Lock()
	s.conns[c] = true
	s.mu.Unlock()
	go func() {
		defer s.forget(c)
		c.serve()
	}()
}

// forget drops a connection that ended. A panic in its goroutine is logged and
// costs that connection only.
func (s *Server) forget(c *callerConn) {
	if p := recover(); p != nil {
		slog.Error("entry: panic", "from", c.RemoteAddr().String(), "panic", fmt.Sprint(p), "stack", string(debug.Stack()))
		_ = c.Conn.Close()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}

// BeginShutdown begins the end: answers close their connections, and connections
// without a request under way are closed.
func (s *Server) BeginShutdown() {
	s.closing.Store(true)
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		if c.open.Load() == 0 {
			_ = c.SetReadDeadline(time.Now())
		}
	}
}

// StopListening closes the listener.
func (s *Server) StopListening() { _ = s.listener.Close() }

// ConnectionCount returns how many connections there are.
func (s *Server) ConnectionCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

func (s *Server) refused(from net.Addr, a *dispatch.Answer) {
	s.decisions.Log("entry: refused",
		slog.String("from", from.String()), slog.Int("status", a.Status),
		slog.String("kind", string(a.Refusal)), slog.String("reason", a.Message))
}
