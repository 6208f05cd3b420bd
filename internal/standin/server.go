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

// Defaults of settings that are left out.
const (
	defaultSlots        = 6
	defaultQueue        = 4
	defaultMaxRuns      = 200000
	defaultRememberedID = 100000
	defaultColdFactor   = 5
)

// ServerSettings are the settings of a server stand-in.
type ServerSettings struct {
	ID            string       `json:"id"`
	FailureDomain string       `json:"failure_domain"`
	Slots         int          `json:"slots"`         // requests run at once; 0: 6
	Connections   int          `json:"connections"`   // connections accepted at once; 0: no limit
	Queue         int          `json:"queue"`         // requests that wait for a slot; 0: 4, -1: none
	Checks        bool         `json:"checks"`        // refuses requests without a valid grant
	HonoursID     bool         `json:"honours_id"`    // runs a request id once
	WorkMS        float64      `json:"work_ms"`       // time that a request holds a slot
	ColdStartMS   int64        `json:"cold_start_ms"` // how long requests are slow after the start
	ColdFactor    float64      `json:"cold_factor"`   // how much slower; 0: 5
	ReportLagMS   int64        `json:"report_lag_ms"` // age of the health and load reports
	MaxRuns       int          `json:"max_runs"`      // run records kept in memory; 0: 200000
	Faults        ServerFaults `json:"faults"`        // switches at the start

	// RunLog, when set, gets each run record as a JSON line, at its start and at
	// its end, so that records outlive a killed process.
	RunLog io.Writer `json:"-"`
	// Crash is called when a request crashes the server. Nil: the server loses
	// its grants and takes a new incarnation, as a restarted process does.
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

// Server is an http.Handler that meets the interface of a backend server:
// control paths, switches, and any other path as a request to run. Safe for
// concurrent use.
type Server struct {
	settings ServerSettings
	mux      *http.ServeMux
	switches *serverSwitches
	runs     *runLog
	results  *resultStore
	cuts     Cuts

	mu          sync.Mutex // guards the fields below
	incarnation string
	startedAt   int64 // CLOCK_MONOTONIC ns
	draining    bool
	grants      map[string]*groupGrant
	running     map[*run]struct{}
	queue       []*waiter
	report      report
}

// NewServer returns a server stand-in that holds no grants.
func NewServer(s ServerSettings) *Server {
	s = s.withDefaults()
	server := &Server{
		settings: s,
		mux:      http.NewServeMux(),
		switches: newServerSwitches(s.Faults),
		runs:     newRunLog(s.MaxRuns, s.RunLog),
		results:  newResultStore(defaultRememberedID),
	}
	server.restart()
	control := func(pattern string, next http.HandlerFunc) {
		server.mux.HandleFunc(pattern, server.guardControl(next))
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
	server.cuts.handle(server.mux)
	return server
}

// restart forgets what a process that ended would forget.
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
	s.grants = map[string]*groupGrant{}
	s.running = map[*run]struct{}{}
	for _, w := range s.queue {
		w.leave(ticketCrashed)
	}
	s.queue = nil
	s.report = report{}
}

// ServeHTTP implements http.Handler. Paths outside the control paths and
// switches are requests to run; they are not cleaned or redirected.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if isControlPath(r.URL.Path) {
		s.mux.ServeHTTP(w, r)
		return
	}
	s.handleRun(w, r)
}

// guardControl applies the switches around a control call.
func (s *Server) guardControl(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.switches.waitWhileFrozen()
		if s.switches.get().ControlUnreachable {
			abort()
		}
		next(w, r)
		s.switches.waitWhileFrozen()
	}
}

// Drain makes the server refuse new requests and finish running ones.
func (s *Server) Drain(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = on
	if on {
		slog.Info("standin: draining", "server", s.settings.ID)
	}
}

// warming reports whether the server is in its cold start. s.mu is held.
func (s *Server) warming(now int64) bool {
	return now-s.startedAt < s.settings.ColdStartMS*int64(time.Millisecond)
}
