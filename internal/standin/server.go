package standin

import (
	"io"
	"log/slog"
	"net/http"
	"sync"
	"time"

	"github.com/google/uuid"

	"kumquatcleat/internal/backend"
)

// Defaults of settings, and the size of the result store.
const (
	defaultSlots      = 6
	defaultQueue      = 4
	defaultMaxRuns    = 200000
	maxStoredResults  = 100000
	defaultColdFactor = 5
)

// ServerSettings are the settings of a server stand-in.
type ServerSettings struct {
	ID            string       `json:"id"`
	FailureDomain string       `json:"failure_domain"`
	Slots         int          `json:"slots"`         // execution slots: requests that run at once; 0: 6
	Connections   int          `json:"connections"`   // connections open at once; 0: no limit
	Queue         int          `json:"queue"`         // requests that wait for an execution slot; 0: 4, -1: none
	Checks        bool         `json:"checks"`        // refuses requests without a valid grant
	HonoursID     bool         `json:"honours_id"`    // runs each request id only once
	WorkMS        float64      `json:"work_ms"`       // time that a request occupies an execution slot
	ColdStartMS   int64        `json:"cold_start_ms"` // how long requests are slowed down after the start
	ColdFactor    float64      `json:"cold_factor"`   // multiplies the work time during the cold start; 0: 5
	ReportLagMS   int64        `json:"report_lag_ms"` // maximum age of the health and load reports
	MaxRuns       int          `json:"max_runs"`      // run records kept in memory; 0: 200000
	Faults        ServerFaults `json:"faults"`        // initial faults; Draining has an effect only when set later

	// RunFile, if set, receives each run record as a JSON line at the start and at
	// the end of the run, so that the records survive a kill of the process.
	RunFile io.Writer `json:"-"`
	// Crash, if set, is called when a request crashes the server. If it is nil or
	// returns, the server loses its leases and takes a new incarnation, as a
	// restarted process does.
	Crash func() `json:"-"`
}

func (s ServerSettings) withDefaults() ServerSettings {
	if s.Slots == 0 {
		s.Slots = defaultSlots
	}
	if s.Queue == 0 {
		s.Queue = defaultQueue
	}
	if s.MaxRuns == 0 {
		s.MaxRuns = defaultMaxRuns
	}
	if s.ColdFactor == 0 {
		s.ColdFactor = defaultColdFactor
	}
	return s
}

// Server is an http.Handler that implements the interface of a backend server:
// control and fault injection endpoints, and any other path as a request to run.
// Safe for concurrent use.
type Server struct {
	settings  ServerSettings
	mux       *http.ServeMux
	faults    *serverFaultState
	runs      *runLog
	results   *resultStore
	partition Partition

	mu          sync.Mutex // guards the fields below
	incarnation string
	startedAt   int64 // CLOCK_MONOTONIC ns
	draining    bool
	leases      map[string]*groupLease
	running     map[*run]struct{}
	queue       []*waiter
	report      report
}

// NewServer returns a server stand-in that holds no lease.
func NewServer(s ServerSettings) *Server {
	s = s.withDefaults()
	server := &Server{
		settings: s,
		mux:      http.NewServeMux(),
		faults:   newServerFaultState(s.Faults),
		runs:     newRunLog(s.MaxRuns, s.RunFile),
		results:  newResultStore(maxStoredResults),
	}
	server.restart()
	control := func(pattern string, next http.HandlerFunc) {
		server.mux.HandleFunc(pattern, server.withControlFaults(next))
	}
	control("POST "+backend.PathGrant, server.handleGrant)
	control("POST "+backend.PathRevoke, server.handleRevoke)
	control("GET "+backend.PathState, server.handleState)
	control("POST "+backend.PathCancel, server.handleCancel)
	control("GET "+backend.PathHealth, server.handleHealth)
	control("GET "+backend.PathLoad, server.handleLoad)
	server.mux.HandleFunc("GET "+PathFaults, server.getFaults)
	server.mux.HandleFunc("POST "+PathFaults, server.setFaults)
	server.mux.HandleFunc("GET "+PathRuns, server.getRuns)
	server.partition.registerHandlers(server.mux)
	return server
}

// restart discards the state that a terminated process loses, and takes a new
// incarnation.
func (s *Server) restart() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := MonotonicNow()
	for run := range s.running {
		run.record.Outcome = RunCrashed
		run.record.EndNS = now
		s.runs.end(&run.record)
	}
	s.incarnation = uuid.NewString()
	s.startedAt = now
	s.draining = false
	s.leases = map[string]*groupLease{}
	s.running = map[*run]struct{}{}
	for _, w := range s.queue {
		w.resolve(queueCrashed)
	}
	s.queue = nil
	s.report = report{}
}

// ServeHTTP implements http.Handler. Paths other than the control and fault injection
// endpoints are requests to run. They bypass the ServeMux, which would clean their
// paths and redirect.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if isControlPath(r.URL.Path) {
		s.mux.ServeHTTP(w, r)
		return
	}
	s.handleRun(w, r)
}

// withControlFaults applies the injected faults to a control call.
func (s *Server) withControlFaults(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.faults.waitWhileFrozen()
		if s.faults.get().ControlUnreachable {
			abort()
		}
		next(w, r)
		s.faults.waitWhileFrozen()
	}
}

// Drain turns draining on or off. A draining server refuses new requests and finishes
// running ones.
func (s *Server) Drain(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = on
	if on {
		slog.Info("standin: draining", "server", s.settings.ID)
	}
}

// warming reports whether the server is still in its cold start. s.mu is held.
func (s *Server) warming(now int64) bool {
	return now-s.startedAt < s.settings.ColdStartMS*int64(time.Millisecond)
}
