package dispatch

import (
	"fmt"
	"log/slog"
	"sync"
	"time"

	"kumquatcleat/internal/registry"
	"kumquatcleat/internal/retry"
)

// Suspicions finds requests that crash servers. A request whose connection was
// lost is blamed if its server then refuses a connection, as a crashed server does.
// Safe for concurrent use.
type Suspicions struct {
	quarantine *retry.MemoryQuarantine
	now        func() time.Time
	mu         sync.Mutex // guards lost
	lost       map[registry.Instance][]lostRequest
}

// lostRequest is a request whose connection was lost.
type lostRequest struct {
	service     string
	fingerprint uint64
	at          time.Time
}

// blameWindow is how long after a lost connection a connection that the server
// refuses counts against the request.
const blameWindow = 2 * time.Second

// NewSuspicions returns Suspicions that report crashes to q.
func NewSuspicions(q *retry.MemoryQuarantine, now func() time.Time) *Suspicions {
	return &Suspicions{quarantine: q, now: now, lost: map[registry.Instance][]lostRequest{}}
}

// Admit returns an error for a request that is in quarantine.
func (s *Suspicions) Admit(service string, fingerprint uint64) error {
	return s.quarantine.Admit(service, fingerprint)
}

// Ran clears the suspicion of a request that a server completed.
func (s *Suspicions) Ran(service string, fingerprint uint64) { s.quarantine.Ran(service, fingerprint) }

// ConnectionLost records a request whose server broke the connection.
func (s *Suspicions) ConnectionLost(service string, fingerprint uint64, instance registry.Instance) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	for other, list := range s.lost {
		if now.Sub(list[len(list)-1].at) > blameWindow {
			delete(s.lost, other)
		}
	}
	s.lost[instance] = append(s.lost[instance], lostRequest{service, fingerprint, now})
}

// ConnectionRefused records that a server refused a connection. It blames the
// requests whose connections to this incarnation were lost within blameWindow.
func (s *Suspicions) ConnectionRefused(instance registry.Instance) {
	s.mu.Lock()
	list := s.lost[instance]
	delete(s.lost, instance)
	s.mu.Unlock()
	now := s.now()
	for _, l := range list {
		blamed := now.Sub(l.at) <= blameWindow
		if blamed {
			s.quarantine.ServerLost(l.service, l.fingerprint, instance.ID)
		}
		slog.Info("dispatch: server refuses connections after one was lost under a request", "server", instance.ID, "service", l.service,
			"fingerprint", fmt.Sprintf("%016x", l.fingerprint), "lost_ms_ago", now.Sub(l.at).Milliseconds(), "counted", blamed)
	}
}
