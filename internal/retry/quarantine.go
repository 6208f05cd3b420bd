package retry

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"kumquatcleat/internal/config"
	"kumquatcleat/internal/fault"
)

// QuarantineSettings bound the quarantine of one VM.
type QuarantineSettings struct {
	// Period is how long a lost server counts against a request, and thus how
	// long a request that lost two is refused, in milliseconds. Default 300000,
	// at least 1000.
	Period config.Milliseconds `json:"period_ms"`
	// Trial is how long the one request that is let through after a quarantine
	// may take before another is, in milliseconds. Default 10000, at least 100.
	Trial config.Milliseconds `json:"trial_ms"`
	// Entries is how many fingerprints are kept. Default 4096, at least 16.
	Entries int `json:"entries"`
}

// DefaultQuarantineSettings returns the defaults that each field states.
func DefaultQuarantineSettings() QuarantineSettings {
	return QuarantineSettings{Period: 300000, Trial: 10000, Entries: 4096}
}

// Validate returns an error that names the first field outside its range, its
// value and what is allowed.
func (s QuarantineSettings) Validate() error {
	if s.Period < 1000 {
		return fmt.Errorf("period_ms: %d is not allowed; want at least 1000", s.Period)
	}
	if s.Trial < 100 {
		return fmt.Errorf("trial_ms: %d is not allowed; want at least 100", s.Trial)
	}
	if s.Entries < 16 {
		return fmt.Errorf("entries: %d is not allowed; want at least 16", s.Entries)
	}
	return nil
}

// serversToRefuse is how many different servers must be lost under a fingerprint
// before it is refused. With one, every loss of a server would refuse all that
// ran there.
const serversToRefuse = 2

// Suspect is a fingerprint under which servers were lost, as VMs share it.
type Suspect struct {
	Service     string
	Fingerprint uint64
	Servers     []string      // at most serversToRefuse, ascending
	TTL         time.Duration // until the losses no longer count
}

type suspectKey struct {
	service     string
	fingerprint uint64
}

// suspect is what a VM knows about one fingerprint.
//
// Shared part: servers and expires. Merging takes the union of the servers, cut
// to the least names, and the later expiry; both are commutative, associative and
// idempotent, so the order in which VMs hear of losses doesn't matter.
//
// Local part: cleared names the servers whose loss a later run disproved, so that
// a peer's older report doesn't bring it back.
type suspect struct {
	servers []string
	expires time.Time
	cleared []string
}

func (s *suspect) refused() bool { return len(s.servers) >= serversToRefuse }

// over returns whether nothing of the suspect counts any more. One that is refused
// waits for its trial for one more period.
func (s *suspect) over(now time.Time, period time.Duration) bool {
	if s.refused() {
		return !now.Before(s.expires.Add(period))
	}
	return !now.Before(s.expires)
}

// MemoryQuarantine implements Quarantine in memory. It is safe for concurrent use.
//
// A fingerprint is refused from the second different server lost until the period
// after the last loss. Then one request is let through as a trial, which moves the
// expiry to the end of the trial, so that the peers that hear of it wait too. When
// it runs, the fingerprint is free; when it loses its server, the period begins
// again. A run before the second loss clears the fingerprint as well, so a
// healthy request that happened to run on a lost server is cleared by its next run.
type MemoryQuarantine struct {
	settings QuarantineSettings
	now      func() time.Time

	lock     sync.Mutex // owns suspects and what they point to
	suspects map[suspectKey]*suspect
}

// NewQuarantine returns an empty quarantine.
func NewQuarantine(s QuarantineSettings, now func() time.Time) *MemoryQuarantine {
	return &MemoryQuarantine{settings: s, now: now, suspects: make(map[suspectKey]*suspect)}
}

// Admit implements Quarantine.
func (q *MemoryQuarantine) Admit(service string, fingerprint uint64) error {
	q.lock.Lock()
	defer q.lock.Unlock()
	key := suspectKey{service, fingerprint}
	s := q.suspects[key]
	if s == nil {
		return nil
	}
	now := q.now()
	if s.over(now, q.settings.Period.Duration()) {
		delete(q.suspects, key)
		return nil
	}
	if !s.refused() {
		return nil
	}
	if now.Before(s.expires) {
		return refusal(service, fingerprint, s.servers, s.expires.Sub(now))
	}
	s.expires = now.Add(q.settings.Trial.Duration())
	return nil
}

func refusal(service string, fingerprint uint64, servers []string, left time.Duration) error {
	return fault.New(fault.Quarantined, "%s: servers %v were lost under fingerprint %016x; refused for %v more",
		service, servers, fingerprint, left.Round(time.Second))
}

// ServerLost implements Quarantine. It is meant for a server that is gone or came
// back as another incarnation, not for one cut connection.
func (q *MemoryQuarantine) ServerLost(service string, fingerprint uint64, server string) {
	q.lock.Lock()
	defer q.lock.Unlock()
	now := q.now()
	s := q.entry(suspectKey{service, fingerprint}, now)
	s.cleared = without(s.cleared, server)
	s.merge([]string{server}, now.Add(q.settings.Period.Duration()))
}

// Ran implements Quarantine.
func (q *MemoryQuarantine) Ran(service string, fingerprint uint64) {
	q.lock.Lock()
	defer q.lock.Unlock()
	s := q.suspects[suspectKey{service, fingerprint}]
	if s == nil {
		return
	}
	s.cleared = union(s.cleared, s.servers)
	s.servers = nil
	s.expires = q.now().Add(q.settings.Period.Duration()) // as long as peers may report it
}

// Snapshot returns the fingerprints whose losses count now, for the peers.
func (q *MemoryQuarantine) Snapshot() []Suspect {
	q.lock.Lock()
	defer q.lock.Unlock()
	now := q.now()
	var list []Suspect
	for key, s := range q.suspects {
		if len(s.servers) == 0 || !now.Before(s.expires) {
			continue
		}
		list = append(list, Suspect{
			Service:     key.service,
			Fingerprint: key.fingerprint,
			Servers:     slices.Clone(s.servers),
			TTL:         s.expires.Sub(now),
		})
	}
	return list
}

// Merge takes in what a peer knows. Repeating it, or merging several peers in
// another order, gives the same result.
func (q *MemoryQuarantine) Merge(list []Suspect) {
	q.lock.Lock()
	defer q.lock.Unlock()
	now := q.now()
	for _, reported := range list {
		q.mergeOne(reported, now)
	}
}

func (q *MemoryQuarantine) mergeOne(reported Suspect, now time.Time) {
	ttl := min(reported.TTL, q.settings.Period.Duration())
	if ttl <= 0 {
		return
	}
	key := suspectKey{reported.Service, reported.Fingerprint}
	servers := reported.Servers
	if known := q.suspects[key]; known != nil {
		servers = without(servers, known.cleared...)
	}
	if len(servers) == 0 {
		return
	}
	q.entry(key, now).merge(servers, now.Add(ttl))
}

// merge joins the shared part of a suspect with a report.
func (s *suspect) merge(servers []string, expires time.Time) {
	s.servers = union(s.servers, servers)
	s.servers = s.servers[:min(len(s.servers), serversToRefuse)]
	if expires.After(s.expires) {
		s.expires = expires
	}
}

// entry returns the suspect of a key, a new one when the last is over.
func (q *MemoryQuarantine) entry(key suspectKey, now time.Time) *suspect {
	s := q.suspects[key]
	if s != nil && !s.over(now, q.settings.Period.Duration()) {
		return s
	}
	delete(q.suspects, key)
	if len(q.suspects) >= q.settings.Entries {
		q.evict(now)
	}
	s = &suspect{}
	q.suspects[key] = s
	return s
}

// evict drops what has expired, or else the entry that expires first, one that is
// not refused before one that is. It looks at every entry; losses are rare.
func (q *MemoryQuarantine) evict(now time.Time) {
	var victim suspectKey
	var worst *suspect
	for key, s := range q.suspects {
		if s.over(now, q.settings.Period.Duration()) {
			delete(q.suspects, key)
			continue
		}
		if worst == nil || evictBefore(s, worst) {
			victim, worst = key, s
		}
	}
	if len(q.suspects) >= q.settings.Entries {
		delete(q.suspects, victim)
	}
}

func evictBefore(a, b *suspect) bool {
	if a.refused() != b.refused() {
		return !a.refused()
	}
	return a.expires.Before(b.expires)
}

// union returns the names of both lists, ascending and once each.
func union(a, b []string) []string {
	all := slices.Concat(a, b)
	slices.Sort(all)
	return slices.Compact(all)
}

// without returns the names of list that are not among the dropped.
func without(list []string, dropped ...string) []string {
	return slices.DeleteFunc(slices.Clone(list), func(name string) bool {
		return slices.Contains(dropped, name)
	})
}
