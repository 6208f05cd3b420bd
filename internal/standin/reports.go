package standin

import (
	"net/http"
	"strings"
	"time"

	"kumquatcleat/internal/backend"
)

// report is what the health and load endpoints show. It is taken again once it
// is older than the server's report lag.
type report struct {
	at     int64 // CLOCK_MONOTONIC ns; 0: never taken
	health backend.Health
	load   backend.Load
}

func isControlPath(path string) bool {
	return strings.HasPrefix(path, "/_control/") || strings.HasPrefix(path, "/_standin/")
}

// takeReport returns the report to show, lies included.
func (s *Server) takeReport() report {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := MonotonicNow()
	lag := s.settings.ReportLagMS * int64(time.Millisecond)
	if s.report.at == 0 || now-s.report.at >= lag {
		s.report = s.trueReport(now)
	}
	return s.switches.get().bend(s.report)
}

// trueReport describes the server as it is. s.mu is held.
func (s *Server) trueReport(now int64) report {
	return report{
		at:     now,
		health: backend.Health{Healthy: true, Draining: s.draining, Warming: s.warming(now)},
		load: backend.Load{
			Running:  len(s.running),
			Slots:    s.settings.Slots,
			Queued:   len(s.queue),
			Utilized: float64(len(s.running)) / float64(s.settings.Slots),
		},
	}
}

func (f *ServerFaults) bend(r report) report {
	switch f.LieHealth {
	case "healthy":
		r.health = backend.Health{Healthy: true}
	case "unhealthy":
		r.health.Healthy = false
	}
	if f.LieUtilized != nil {
		r.load.Utilized = *f.LieUtilized
		r.load.Running = int(*f.LieUtilized * float64(r.load.Slots))
		r.load.Queued = 0
	}
	return r
}

func (s *Server) handleHealth(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, s.takeReport().health)
}

func (s *Server) handleLoad(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, s.takeReport().load)
}
