package standin

import (
	"net/http"
	"strings"
	"time"

	"kumquatcleat/internal/backend"
)

// report is a snapshot of what the health and load endpoints return. It is refreshed
// once it is older than the server's report lag.
type report struct {
	at     int64 // time of the snapshot, CLOCK_MONOTONIC ns; 0: no snapshot yet
	health backend.Health
	load   backend.Load
}

func isControlPath(path string) bool {
	return strings.HasPrefix(path, "/_control/") || strings.HasPrefix(path, "/_standin/")
}

// currentReport returns the report for the health and load endpoints, with the
// injected false values.
func (s *Server) currentReport() report {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := MonotonicNow()
	lag := s.settings.ReportLagMS * int64(time.Millisecond)
	if s.report.at == 0 || now-s.report.at >= lag {
		s.report = s.actualReport(now)
	}
	return s.faults.get().withFalseReports(s.report)
}

// actualReport returns the server's true health and load. s.mu is held.
func (s *Server) actualReport(now int64) report {
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

// withFalseReports returns r with the values that LieHealth and LieUtilized override.
func (f *ServerFaults) withFalseReports(r report) report {
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
	writeJSON(w, s.currentReport().health)
}

func (s *Server) handleLoad(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, s.currentReport().load)
}
