package standin

import (
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// ServerFaults are the faults injected into a server stand-in. The zero value injects
// none.
type ServerFaults struct {
	// FrozenMS freezes the server, control endpoints included, for this long from the
	// moment it is set. The server then continues with its state unchanged.
	FrozenMS           int64    `json:"frozen_ms"`
	SlowFactor         float64  `json:"slow_factor"`         // multiplies the work time; 0: 1
	CrashHeader        string   `json:"crash_header"`        // a request with this header crashes the server
	CrashPathPrefix    string   `json:"crash_path_prefix"`   // a request with this path prefix crashes the server
	CloseAfterRead     bool     `json:"close_after_read"`    // reads the request, then closes the connection without running it
	CloseAfterRun      bool     `json:"close_after_run"`     // runs the request, then closes the connection without an answer
	CutAnswer          bool     `json:"cut_answer"`          // sends half of the answer, then closes the connection
	AnswerStatus       string   `json:"answer_status"`       // three digits, valid or not, instead of the status of each answer, without a body; "": none
	RefuseConnects     bool     `json:"refuse_connects"`     // resets each new connection
	ControlUnreachable bool     `json:"control_unreachable"` // closes control calls without an answer
	LoseGrantAnswers   bool     `json:"lose_grant_answers"`  // grants and revokes take effect but are not answered
	LieHealth          string   `json:"lie_health"`          // reported health regardless of the real one: "healthy" or "unhealthy"; "": real
	LieUtilized        *float64 `json:"lie_utilized"`        // reported utilization regardless of the real one, 0 to 1; nil: real
	Draining           bool     `json:"draining"`            // refuses new requests, finishes running ones
}

// crashes reports whether a request crashes the server.
func (f *ServerFaults) crashes(r *http.Request) bool {
	if f.CrashHeader != "" && r.Header.Get(f.CrashHeader) != "" {
		return true
	}
	return f.CrashPathPrefix != "" && strings.HasPrefix(r.URL.Path, f.CrashPathPrefix)
}

// serverFaultState holds the current faults of a server stand-in. Safe for concurrent
// use.
type serverFaultState struct {
	faults      atomic.Pointer[ServerFaults]
	frozenUntil atomic.Int64 // CLOCK_MONOTONIC ns
}

func newServerFaultState(faults ServerFaults) *serverFaultState {
	s := &serverFaultState{}
	s.set(faults)
	return s
}

func (s *serverFaultState) get() *ServerFaults { return s.faults.Load() }

func (s *serverFaultState) set(faults ServerFaults) {
	s.faults.Store(&faults)
	until := int64(0)
	if faults.FrozenMS > 0 {
		until = MonotonicNow() + faults.FrozenMS*int64(time.Millisecond)
	}
	s.frozenUntil.Store(until)
}

// waitWhileFrozen waits until a freeze set by FrozenMS is over.
func (s *serverFaultState) waitWhileFrozen() {
	const step = 5 * time.Millisecond // bounds how late an early end of a freeze is noticed
	for MonotonicNow() < s.frozenUntil.Load() {
		time.Sleep(step)
	}
}

// SetFaults replaces all injected faults.
func (s *Server) SetFaults(faults ServerFaults) {
	s.faults.set(faults)
	s.Drain(faults.Draining)
}

func (s *Server) getFaults(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.faults.get()) }

func (s *Server) setFaults(w http.ResponseWriter, r *http.Request) {
	var faults ServerFaults
	if err := decodeJSON(r, &faults); err != nil {
		badRequest(w, err)
		return
	}
	s.SetFaults(faults)
	writeJSON(w, faults)
}

// Listener wraps l with the server's connection limit, the RefuseConnects fault and
// the server's partition.
func (s *Server) Listener(l net.Listener) net.Listener {
	return s.partition.Listener(&limitedListener{Listener: l, server: s})
}

type limitedListener struct {
	net.Listener
	server *Server
	open   atomic.Int64
}

// Accept implements net.Listener. A connection over the limit is reset.
func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		limit := int64(l.server.settings.Connections)
		full := limit > 0 && l.open.Load() >= limit
		if full || l.server.faults.get().RefuseConnects {
			reset(conn)
			continue
		}
		l.open.Add(1)
		return &countedConn{Conn: conn, open: &l.open}, nil
	}
}

func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // Close then sends a reset, as an overloaded server does
	}
	_ = conn.Close()
}

type countedConn struct {
	net.Conn
	open   *atomic.Int64
	closed atomic.Bool
}

// Close implements net.Conn.
func (c *countedConn) Close() error {
	if c.closed.CompareAndSwap(false, true) {
		c.open.Add(-1)
	}
	return c.Conn.Close()
}
