package retry

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"kumquatcleat/internal/config"
	"kumquatcleat/internal/fault"
)

// QuarantineSettings configures the quarantine of one VM.
type QuarantineSettings struct {
	// Period is how long a lost server counts against a request, and therefore
	// how long a request with two lost servers is refused, in milliseconds.
	// Default 300000, at least 1000.
	Period config.Milliseconds `json:"period_ms"`
	// Trial is how long the quarantine waits for the result of the one request
	// that it admits after the period before it admits another, in milliseconds.
	// Default 10000, at least 100.
	Trial config.Milliseconds `json:"trial_ms"`
	// Entries is the maximum number of fingerprints kept. Default 4096, at least 16.
	Entries int `json:"entries"`
}

// DefaultQuarantineSettings returns the default of every field.
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

// refusalThreshold is the number of different servers that must be lost while running
// a fingerprint before it is refused. With 1, the loss of a server would refuse every
// request that ran on it.
const refusalThreshold = 2

// Suspect is a fingerprint whose requests ran on servers that were lost, in the form
// that VMs exchange.
type Suspect struct {
	Service     string
	Fingerprint uint64
	Servers     []string      // at most refusalThreshold, ascending
	TTL         time.Duration // until the losses expire
}

type suspectKey struct {
	service     string
	fingerprint uint64
}

// suspect is a VM's state of one fingerprint.
//
// The fields servers and expires are shared between VMs. Merging takes the union of
// the servers, truncated to the first names in ascending order, and the later expiry.
// Both are commutative, associative and idempotent, so the order in which VMs receive
// reports does not matter.
//
// The field cleared is local. It names the servers whose loss no longer counts because
// the request ran successfully later, so that a peer's older report does not restore
// the loss.
type suspect struct {
	servers []string
	expires time.Time
	cleared []string
}

func (s *suspect) refused() bool { return len(s.servers) >= refusalThreshold }

// expired reports whether the suspect can be dropped. A refused suspect is kept for one
// more period to wait for its trial.
func (s *suspect) expired(now time.Time, period time.Duration) bool {
	if s.refused() {
		return !now.Before(s.expires.Add(period))
	}
	return !now.Before(s.expires)
}

// MemoryQuarantine implements Quarantine in memory. It is safe for concurrent use.
//
// A fingerprint is refused from the loss of the second different server until one
// period after the last loss. Then one request is admitted as a trial. The trial moves
// the expiry to its own end, so that peers that receive the report wait too. If the
// trial request runs, the fingerprint is cleared; if its server is lost, the period
// restarts. A run before the second loss also clears the fingerprint, so a harmless
// request that happened to run on a lost server is cleared by its next run.
type MemoryQuarantine struct {
	settings QuarantineSettings
	now      func() time.Time

	lock     sync.Mutex // guards suspects and the values in it
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
	if s.expired(now, q.settings.Period.Duration()) {
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

// ServerLost implements Quarantine. Call it for a server that is gone or restarted as
// another incarnation, not for a single broken connection.
func (q *MemoryQuarantine) ServerLost(service string, fingerprint uint64, server string) {
	q.lock.Lock()
	defer q.lock.Unlock()
	now := q.now()
	s := q.suspectFor(suspectKey{service, fingerprint}, now)
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
	s.expires = q.now().Add(q.settings.Period.Duration()) // peers may report the losses until then
}

// Snapshot returns the fingerprints with unexpired losses, to be sent to peers.
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

// Merge adds a peer's suspects. The result does not depend on the order or the number
// of merges.
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
	q.suspectFor(key, now).merge(servers, now.Add(ttl))
}

// merge adds reported losses to the shared fields of a suspect.
func (s *suspect) merge(servers []string, expires time.Time) {
	s.servers = union(s.servers, servers)
	s.servers = s.servers[:min(len(s.servers), refusalThreshold)]
	if expires.After(s.expires) {
		s.expires = expires
	}
}

// suspectFor returns the suspect of a key. It creates one if there is none or the
// existing one has expired.
func (q *MemoryQuarantine) suspectFor(key suspectKey, now time.Time) *suspect {
	s := q.suspects[key]
	if s != nil && !s.expired(now, q.settings.Period.Duration()) {
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

// evict drops all expired suspects. If there are none, it drops the suspect that
// expires first, preferring suspects that are not refused. It scans all suspects, which
// is acceptable because losses are rare.
func (q *MemoryQuarantine) evict(now time.Time) {
	var candidateKey suspectKey
	var candidate *suspect
	for key, s := range q.suspects {
		if s.expired(now, q.settings.Period.Duration()) {
			delete(q.suspects, key)
			continue
		}
		if candidate == nil || evictBefore(s, candidate) {
			candidateKey, candidate = key, s
		}
	}
	if len(q.suspects) >= q.settings.Entries {
		delete(q.suspects, candidateKey)
	}
}

func evictBefore(a, b *suspect) bool {
	if a.refused() != b.refused() {
		return !a.refused()
	}
	return a.expires.Before(b.expires)
}

// union returns the names in either list, sorted and without duplicates.
func union(a, b []string) []string {
	all := slices.Concat(a, b)
	slices.Sort(all)
	return slices.Compact(all)
}

// without returns the names in list that are not in dropped.
func without(list []string, dropped ...string) []string {
	return slices.DeleteFunc(slices.Clone(list), func(name string) bool {
		return slices.Contains(dropped, name)
	})
}
