package dispatch

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"kumquatcleat/internal/registry"
	"kumquatcleat/internal/retry"
)

// Suspicions finds requests that crash servers. A request that a server did not answer is blamed if
// the server has ended: it refuses connections while other servers of its failure domain answer,
// or its registration shows it. Safe for concurrent use.
//
// A lost connection by itself proves nothing, as full servers reset connections, and a refused
// one neither, as a network fault can refuse the connections to many servers at once. A server may
// also end after the caller left, or without breaking its connections.
type Suspicions struct {
	quarantine *retry.MemoryQuarantine
	now        func() time.Time
	// probe opens a connection to a server and reports whether it was refused; nil: none.
	probe func(context.Context, *registry.Server) bool
	// refusing is how many servers refuse connections while none of their domain has answered.
	refusing atomic.Int32

	mu   sync.Mutex // guards the fields below
	lost map[registry.Instance]*lostRequests
	// ended holds when the registrations showed the end of servers, for requests that end later.
	ended      map[registry.Instance]time.Time
	lastNumber uint64 // of the lost requests, in the order in which this VM learned of them
	told       uint64 // number of the last lost request that Exchange has returned
}

// lostRequests are the requests that one incarnation of a server did not answer.
type lostRequests struct {
	domain   string
	requests []lostRequest // in the order of their ends
	probed   time.Time     // when a connection was last opened to find out whether it has ended
	refused  time.Time     // when it first refused a connection after the first loss
	waiting  bool          // it refuses connections, and no server of its domain has answered since
}

// lostRequest is a request without an answer.
type lostRequest struct {
	attempt uint64 // random number by which VMs know the attempt
	number  uint64
	service string
	request retry.Fingerprints
	began   time.Time // the attempt
	at      time.Time // when the connection broke, the caller left or the deadline passed
}

const (
	// refusalWindow is how long after a lost request a connection that the server
	// refuses counts against the request. A server may end for another reason.
	refusalWindow = 2 * time.Second
	// endWindow is the same for the end of a server that the registrations show: an entry
	// of a server that is silent goes after some seconds.
	endWindow = 6 * time.Second
	// probePause is the least time between two probes of a server, which may be alive and
	// overloaded.
	probePause = time.Second
	// maxLostRequests is how many lost requests are remembered for a server, the last ones.
	maxLostRequests = 256
)

// NewSuspicions returns Suspicions that report crashes to q.
func NewSuspicions(q *retry.MemoryQuarantine, now func() time.Time, probe func(context.Context, *registry.Server) bool) *Suspicions {
	return &Suspicions{quarantine: q, now: now, probe: probe, lost: map[registry.Instance]*lostRequests{}, ended: map[registry.Instance]time.Time{}}
}

// Quarantine returns the quarantine to which crashes are reported.
func (s *Suspicions) Quarantine() *retry.MemoryQuarantine { return s.quarantine }

// Admit returns an error for a request that is in quarantine.
func (s *Suspicions) Admit(service string, request retry.Fingerprints) error {
	return s.quarantine.Admit(service, request)
}

// Peek returns an error for a request that is in quarantine, and admits no trial.
func (s *Suspicions) Peek(service string, request retry.Fingerprints) error {
	return s.quarantine.Peek(service, request)
}

// Ran clears the suspicion of a request that a server completed.
func (s *Suspicions) Ran(service string, request retry.Fingerprints) {
	s.quarantine.Ran(service, request)
}

// MayRepeat reports whether a request may go to another server after the given ones broke its
// connection: not if it would then have crashed too many, as far as this VM knows.
func (s *Suspicions) MayRepeat(service string, request retry.Fingerprints, broken []string) bool {
	return len(broken) == 0 || len(broken)+s.quarantine.LostElsewhere(service, request, broken) < retry.RefusalThreshold
}

// ConnectionLost records a request whose server broke the connection. began is when the attempt
// did.
func (s *Suspicions) ConnectionLost(service string, request retry.Fingerprints, server *registry.Server, began time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.recordOwn(service, request, server, began)
	if l != nil && s.probe != nil && s.now().Sub(l.probed) >= probePause {
		l.probed = s.now()
		go s.runProbe(server)
	}
}

// Unanswered records a request that its server had neither answered nor broken off when the caller
// left or the deadline passed.
func (s *Suspicions) Unanswered(service string, request retry.Fingerprints, server *registry.Server, began time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.recordOwn(service, request, server, began)
}

func (s *Suspicions) recordOwn(service string, request retry.Fingerprints, server *registry.Server, began time.Time) *lostRequests {
	return s.record(lostRequest{attempt: rand.Uint64(), service: service, request: request, began: began, at: s.now()}, server.Instance(), server.FailureDomain)
}

// record remembers a lost request, and blames it if the end of its server is known. It returns nil
// if the server's registration has shown the end. The caller holds the lock.
func (s *Suspicions) record(request lostRequest, instance registry.Instance, domain string) *lostRequests {
	s.forget(s.now())
	if ended, ok := s.ended[instance]; ok {
		s.blame(instance, []lostRequest{request}, ended, endWindow, "its registration has shown its end")
		return nil
	}
	l := s.lost[instance]
	if l == nil {
		l = &lostRequests{domain: domain}
		s.lost[instance] = l
	}
	if slices.ContainsFunc(l.requests, func(known lostRequest) bool { return known.attempt == request.attempt }) {
		return l
	}
	s.lastNumber++
	request.number = s.lastNumber
	if len(l.requests) >= maxLostRequests {
		l.requests = slices.Delete(l.requests, 0, 1)
	}
	i, _ := slices.BinarySearchFunc(l.requests, request.at, func(known lostRequest, at time.Time) int { return known.at.Compare(at) })
	l.requests = slices.Insert(l.requests, i, request)
	if !l.refused.IsZero() && !l.waiting {
		s.blame(instance, []lostRequest{request}, l.refused, refusalWindow, reasonRefuses)
	}
	return l
}

// forget drops what is too old to matter. The caller holds the lock.
func (s *Suspicions) forget(now time.Time) {
	for instance, l := range s.lost {
		if now.Sub(l.requests[len(l.requests)-1].at) > endWindow {
			s.setWaiting(l, false)
			delete(s.lost, instance)
		}
	}
	for instance, at := range s.ended {
		if now.Sub(at) > endWindow {
			delete(s.ended, instance)
		}
	}
}

// setWaiting sets whether a server refuses connections while none of its domain has answered since.
// The caller holds the lock.
func (s *Suspicions) setWaiting(l *lostRequests, waiting bool) {
	if l.waiting == waiting {
		return
	}
	l.waiting = waiting
	if waiting {
		s.refusing.Add(1)
	} else {
		s.refusing.Add(-1)
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
		l.refused = s.now()
		s.setWaiting(l, true)
	}
}

// Answered records that a server answered, whatever it did.
func (s *Suspicions) Answered(server *registry.Server) {
	if s.refusing.Load() == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for instance, l := range s.lost {
		if l.domain == server.FailureDomain && l.waiting && instance != server.Instance() {
			s.setWaiting(l, false)
			s.blame(instance, l.requests, l.refused, refusalWindow, reasonRefuses)
		}
	}
}

// Ended records that an incarnation of a server has ended, as its registration shows.
func (s *Suspicions) Ended(instance registry.Instance, reason string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ended[instance] = s.now()
	if l := s.lost[instance]; l != nil {
		s.blame(instance, l.requests, s.now(), endWindow, reason)
		s.setWaiting(l, false)
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
			s.quarantine.ServerLostAt(r.began, r.service, r.request, instance.ID)
		}
		slog.Info("dispatch: server ended under a request", "server", instance.ID, "incarnation", instance.Incarnation, "service", r.service,
			"fingerprint", retry.FormatFingerprint(r.request.Request), "path_fingerprint", retry.FormatFingerprint(r.request.Path), "lost_ms_before", age.Milliseconds(), "counted", age <= window, "reason", reason)
	}
}
