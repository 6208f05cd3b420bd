package dispatch

import (
	"sync"
	"time"

	"kumquatcleat/internal/registry"
	"kumquatcleat/internal/retry"
)

// Suspicions finds requests that crash servers: a request whose connection was
// lost is blamed if its server's start turns out to have ended.
type Suspicions struct {
	quarantine *retry.MemoryQuarantine
	now        func() time.Time
	mu         sync.Mutex // owns lost
	lost       map[registry.Start][]lostRequest
}

type lostRequest struct {
	service     string
	fingerprint uint64
	at          time.Time
}

// blameWindow is how long after a lost connection the end of its server counts
// against the request.
const blameWindow = 2 * time.Second

// NewSuspicions returns an empty set.
func NewSuspicions(q *retry.MemoryQuarantine, now func() time.Time) *Suspicions {
	return &Suspicions{quarantine: q, now: now, lost: map[registry.Start][]lostRequest{}}
}

// Admit returns an error for a request that is refused.
func (s *Suspicions) Admit(service string, fingerprint uint64) error {
	return s.quarantine.Admit(service, fingerprint)
}

// Ran clears a request that a server ran to its end.
func (s *Suspicions) Ran(service string, fingerprint uint64) { s.quarantine.Ran(service, fingerprint) }

// ConnectionLost notes a request whose server broke the connection.
func (s *Suspicions) ConnectionLost(service string, fingerprint uint64, start registry.Start) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	for earlier, list := range s.lost {
		if now.Sub(list[len(list)-1].at) > blameWindow {
			delete(s.lost, earlier)
		}
	}
	s.lost[start] = append(s.lost[start], lostRequest{service, fingerprint, now})
}

// ServerTerminated blames the requests that were lost with a start of a server.
func (s *Suspicions) ServerTerminated(start registry.Start) {
	s.mu.Lock()
	list := s.lost[start]
	delete(s.lost, start)
	s.mu.Unlock()
	now := s.now()
	for _, l := range list {
		if now.Sub(l.at) <= blameWindow {
			s.quarantine.ServerLost(l.service, l.fingerprint, start.ID)
		}
	}
}
