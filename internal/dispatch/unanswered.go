package dispatch

import (
	"cmp"
	"slices"
	"time"

	"kumquatcleat/internal/registry"
	"kumquatcleat/internal/retry"
)

// Unanswered is a request without an answer, as VMs tell each other. That the server has ended
// may show only seconds later, when the VM that sent the request may have ended too.
type Unanswered struct {
	Attempt  uint64            `json:"attempt"` // random number
	Service  string            `json:"service"`
	Request  uint64            `json:"request"` // fingerprint
	Path     uint64            `json:"path"`    // fingerprint without the query
	Server   registry.Instance `json:"server"`
	Domain   string            `json:"domain"` // failure domain of the server
	BeganAgo time.Duration     `json:"began_ago_ns"`
	LostAgo  time.Duration     `json:"lost_ago_ns"` // since the connection broke, the caller left or the deadline passed
}

// maxUnanswered is how many requests a message holds, the latest ones: under overload many
// requests get no answer although no server ends.
const maxUnanswered = 20

// UnansweredReports tells the coordinator each unanswered request once. Not safe for concurrent
// use.
type UnansweredReports struct {
	suspicions *Suspicions
	process    string // run of the coordinator's process that has the reports
	sent       uint64 // number of the last request that it has
}

// NewUnansweredReports returns reports of the unanswered requests in s.
func NewUnansweredReports(s *Suspicions) *UnansweredReports { return &UnansweredReports{suspicions: s} }

// Next returns what to report now, and the number of the last request that it covers.
func (u *UnansweredReports) Next() ([]Unanswered, uint64) {
	s := u.suspicions
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.unansweredSince(u.sent), s.lastNumber
}

// Delivered records that the coordinator got a report that covers requests up to a number. process
// is the run of the coordinator's process.
func (u *UnansweredReports) Delivered(process string, number uint64) {
	if u.process != process {
		number = 0 // another coordinator: it may lack what the last one had
	}
	u.process, u.sent = process, number
}

// unansweredSince returns the latest requests after the one with the given number that may still
// turn out to have ended their servers. The caller holds the lock.
func (s *Suspicions) unansweredSince(number uint64) []Unanswered {
	now := s.now()
	var list []Unanswered
	for instance, l := range s.lost {
		for _, r := range l.requests {
			if r.number > number && now.Sub(r.at) <= endWindow {
				list = append(list, Unanswered{Attempt: r.attempt, Service: r.service, Request: r.request.Request, Path: r.request.Path,
					Server: instance, Domain: l.domain, BeganAgo: now.Sub(r.began), LostAgo: now.Sub(r.at)})
			}
		}
	}
	slices.SortFunc(list, func(a, b Unanswered) int { return cmp.Compare(a.LostAgo, b.LostAgo) })
	return list[:min(len(list), maxUnanswered)]
}

// Exchange adds the requests that another VM reports to this VM, which coordinates, and returns
// those that this VM has told nobody yet, so that they are known if it ends.
func (s *Suspicions) Exchange(reported []Unanswered) []Unanswered {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := s.unansweredSince(s.told)
	s.told = s.lastNumber
	s.learn(reported)
	return list
}

// Learn adds requests that the coordinator tells of.
func (s *Suspicions) Learn(list []Unanswered) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.learn(list)
}

func (s *Suspicions) learn(list []Unanswered) {
	now := s.now()
	for _, u := range list[:min(len(list), maxUnanswered)] {
		if u.LostAgo < 0 || u.LostAgo > endWindow || u.BeganAgo < u.LostAgo {
			continue
		}
		s.record(lostRequest{attempt: u.Attempt, service: u.Service, request: retry.Fingerprints{Request: u.Request, Path: u.Path},
			began: now.Add(-u.BeganAgo), at: now.Add(-u.LostAgo)}, u.Server, u.Domain)
	}
}
