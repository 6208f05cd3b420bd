package standin

import (
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// ServerFaults are the switches of a server stand-in. The zero value is a
// server without faults.
type ServerFaults struct {
	// FrozenMS stops everything, control included, for so long from the moment
	// it is set; then the server goes on as if nothing had happened.
	FrozenMS           int64    `json:"frozen_ms"`
	SlowFactor         float64  `json:"slow_factor"`         // multiplies the work time; 0: 1
	CrashHeader        string   `json:"crash_header"`        // a request with this header crashes the server
	CrashPathPrefix    string   `json:"crash_path_prefix"`   // a request under this path does
	CloseAfterRead     bool     `json:"close_after_read"`    // reads the request, closes, does not run it
	CloseAfterRun      bool     `json:"close_after_run"`     // runs the request, closes without an answer
	CutAnswer          bool     `json:"cut_answer"`          // sends half of the answer, then closes
	RefuseConnects     bool     `json:"refuse_connects"`     // resets each new connection
	ControlUnreachable bool     `json:"control_unreachable"` // closes control calls without an answer
	LoseGrantAnswers   bool     `json:"lose_grant_answers"`  // grants and revokes take effect without an answer
	LieHealth          string   `json:"lie_health"`          // "healthy" or "unhealthy" whatever is true
	LieUtilized        *float64 `json:"lie_utilized"`        // reported load whatever is true, 0 to 1
	Draining           bool     `json:"draining"`            // refuses new requests, finishes running ones
}

// crashes reports whether a request is one that crashes the server.
func (f *ServerFaults) crashes(r *http.Request) bool {
	if f.CrashHeader != "" && r.Header.Get(f.CrashHeader) != "" {
		return true
	}
	return f.CrashPathPrefix != "" && strings.HasPrefix(r.URL.Path, f.CrashPathPrefix)
}

type serverSwitches struct {
	faults      atomic.Pointer[ServerFaults]
	frozenUntil atomic.Int64 // CLOCK_MONOTONIC ns
}

func newServerSwitches(faults ServerFaults) *serverSwitches {
	s := &serverSwitches{}
	s.set(faults)
	return s
}

func (s *serverSwitches) get() *ServerFaults { return s.faults.Load() }

func (s *serverSwitches) set(faults ServerFaults) {
	s.faults.Store(&faults)
	until := int64(0)
	if faults.FrozenMS > 0 {
		until = MonotonicNow() + faults.FrozenMS*int64(time.Millisecond)
	}
	s.frozenUntil.Store(until)
}

func (s *serverSwitches) waitWhileFrozen() {
	const step = 5 * time.Millisecond // a freeze that is lifted early ends within it
	for MonotonicNow() < s.frozenUntil.Load() {
		time.Sleep(step)
	}
}

// SetFaults replaces all switches.
func (s *Server) SetFaults(faults ServerFaults) {
	s.switches.set(faults)
	s.Drain(faults.Draining)
}

func (s *Server) getFaults(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.switches.get()) }

func (s *Server) setFaults(w http.ResponseWriter, r *http.Request) {
	var faults ServerFaults
	if err := decodeJSON(r, &faults); err != nil {
		badRequest(w, err)
		return
	}
	s.SetFaults(faults)
	writeJSON(w, faults)
}

// Listener wraps l with the server's connection limit, its switch for refused
// connects and its cuts.
func (s *Server) Listener(l net.Listener) net.Listener {
	return s.cuts.Listener(&limitedListener{Listener: l, server: s})
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
		if full || l.server.switches.get().RefuseConnects {
			reset(conn)
			continue
		}
		l.open.Add(1)
		return &countedConn{Conn: conn, open: &l.open}, nil
	}
}

func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // close sends a reset, as a full server does
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
