package dispatch

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"kumquatcleat/internal/registry"
	"kumquatcleat/internal/retry"
)

// Suspicions finds requests that crash servers. A request whose connection was lost is
// blamed if its server has ended: it refuses connections while other servers of its failure
// domain answer, or its registration shows it. Safe for concurrent use.
//
// A lost connection by itself proves nothing, as full servers reset connections, and a refused
// one neither, as a network fault can refuse the connections to many servers at once.
type Suspicions struct {
	quarantine *retry.MemoryQuarantine
	now        func() time.Time
	// probe opens a connection to a server and reports whether it was refused; nil: none.
	probe func(context.Context, *registry.Server) bool

	mu   sync.Mutex // guards lost
	lost map[registry.Instance]*lostRequests
}

// lostRequests are the requests whose connections to one incarnation of a server were lost.
type lostRequests struct {
	domain    string
	requests  []lostRequest
	probed    time.Time // when a connection was last opened to find out whether it has ended
	refused   time.Time // when it first refused a connection after the first loss
	answering bool      // another server of its domain has answered since then
}

// lostRequest is a request whose connection was lost.
type lostRequest struct {
	service string
	request retry.Fingerprints
	at      time.Time
}

const (
	// refusalWindow is how long after a lost connection a connection that the server
	// refuses counts against the request. A server may end for another reason.
	refusalWindow = 2 * time.Second
	// endWindow is the same for the end of a server that the registrations show: an entry
	// of a server that is silent goes after some seconds.
	endWindow = 6 * time.Second
	// probePause is the least time between two probes of a server, which may be alive and
	// overloaded.
	probePause = time.Second
	// maxLostRequests is how many lost requests are remembered for a server.
	maxLostRequests = 256
)

// NewSuspicions returns Suspicions that report crashes to q.
func NewSuspicions(q *retry.MemoryQuarantine, now func() time.Time, probe func(context.Context, *registry.Server) bool) *Suspicions {
	return &Suspicions{quarantine: q, now: now, probe: probe, lost: map[registry.Instance]*lostRequests{}}
}

// Quarantine returns the quarantine to which crashes are reported.
func (s *Suspicions) Quarantine() *retry.MemoryQuarantine { return s.quarantine }

// Admit returns an error for a request that is in quarantine.
func (s *Suspicions) Admit(service string, request retry.Fingerprints) error {
	return s.quarantine.Admit(service, request)
}

// Ran clears the suspicion of a request that a server completed.
func (s *Suspicions) Ran(service string, request retry.Fingerprints) {
	s.quarantine.Ran(service, request)
}

// ConnectionLost records a request whose server broke the connection.
func (s *Suspicions) ConnectionLost(service string, fingerprints retry.Fingerprints, server *registry.Server) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	s.forget(now)
	l := s.lost[server.Instance()]
	if l == nil {
		l = &lostRequests{domain: server.FailureDomain}
		s.lost[server.Instance()] = l
	}
	request := lostRequest{service, fingerprints, now}
	if len(l.requests) < maxLostRequests {
		l.requests = append(l.requests, request)
	}
	if l.answering {
		s.blame(server.Instance(), []lostRequest{request}, l.refused, refusalWindow, reasonRefuses)
	}
	if s.probe != nil && now.Sub(l.probed) >= probePause {
		l.probed = now
		go s.runProbe(server)
	}
}

// forget drops servers whose losses are too old to be explained. The caller holds the lock.
func (s *Suspicions) forget(now time.Time) {
	for instance, l := range s.lost {
		if now.Sub(l.requests[len(l.requests)-1].at) > endWindow {
			delete(s.lost, instance)
		}
	}
}

// probeTimeout bounds a probe.
const probeTimeout = 300 * time.Millisecond

func (s *Suspicions) runProbe(server *registry.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	if s.probe(ctx, server) {
		s.ConnectionRefused(server.Instance())
	}
}

// ConnectionRefused records that a server refused a connection.
func (s *Suspicions) ConnectionRefused(instance registry.Instance) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.lost[instance]
	if l == nil {
		return
	}
	if l.refused.IsZero() || s.now().Sub(l.refused) > refusalWindow {
		l.refused, l.answering = s.now(), false
	}
}

// Answered records that a server answered, whatever it did.
func (s *Suspicions) Answered(server *registry.Server) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for instance, l := range s.lost {
		if l.domain == server.FailureDomain && !l.refused.IsZero() && !l.answering && instance != server.Instance() {
			l.answering = true
			s.blame(instance, l.requests, l.refused, refusalWindow, reasonRefuses)
		}
	}
}

// Ended records that an incarnation of a server has ended, as its registration shows.
func (s *Suspicions) Ended(instance registry.Instance, reason string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if l := s.lost[instance]; l != nil {
		s.blame(instance, l.requests, s.now(), endWindow, reason)
		delete(s.lost, instance)
	}
}

const reasonRefuses = "it refuses connections, others of its domain answer"

// blame counts the end of a server against requests lost up to window before. The caller
// holds the lock.
func (s *Suspicions) blame(instance registry.Instance, requests []lostRequest, ended time.Time, window time.Duration, reason string) {
	for _, r := range requests {
		age := ended.Sub(r.at)
		if age <= window {
			s.quarantine.ServerLostAt(r.at, r.service, r.request, instance.ID)
		}
		slog.Info("dispatch: server ended under a request", "server", instance.ID, "incarnation", instance.Incarnation, "service", r.service,
			"fingerprint", retry.FormatFingerprint(r.request.Request), "path_fingerprint", retry.FormatFingerprint(r.request.Path), "lost_ms_before", age.Milliseconds(), "counted", age <= window, "reason", reason)
	}
}
