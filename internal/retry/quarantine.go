package retry

import (
	"cmp"
	"fmt"
	"log/slog"
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

// RefusalThreshold is the number of different servers that must be lost while running
// a fingerprint before it is refused. With 1, the loss of a server would refuse every
// request that ran on it.
const RefusalThreshold = 2

// maxLosses is how many losses of a fingerprint are kept. Refusing takes RefusalThreshold; more
// show which of the requests at work on the same servers ended them.
const maxLosses = 8

// A page that ran shortly before the first loss may be popular and at work on several servers that
// end at the same time, and other VMs may have seen it run since. So it is refused later than others.
const (
	// recentRun is how long before the first loss a run counts as shortly before.
	recentRun = 10 * time.Second
	// runReportDelay is how long reports of later runs may take: to the coordinator and from
	// there to all VMs, each with its next report.
	runReportDelay = 1200 * time.Millisecond
)

// sameLoss is how much reports of one loss may differ in time.
const sameLoss = 50 * time.Millisecond

// Suspect is what one VM tells others about a fingerprint: its requests ran on servers that
// were lost, or one ran successfully if Servers is empty.
type Suspect struct {
	Service     string        `json:"service"`
	Fingerprint uint64        `json:"fingerprint"`
	Servers     []string      `json:"servers,omitempty"`
	TTL         time.Duration `json:"ttl_ns"` // until it no longer counts
}

type suspectKey struct {
	service     string
	fingerprint uint64
}

// loss is a server that was lost while it ran a request.
type loss struct {
	server  string
	expires time.Time // one period after the attempt began, or at the end of a trial
}

// suspect is a VM's state of one fingerprint. Losses that expire no later than cleared came
// before a successful run. A run excuses no later loss: a request that ran well may begin to
// crash servers, while a harmless one goes on running on others.
//
// Merging takes the later time of each server, the maxLosses servers with the latest times,
// and the later value of cleared. This is commutative, associative and idempotent, so the order
// in which VMs receive reports does not matter.
type suspect struct {
	losses  []loss // at most maxLosses, latest first
	cleared time.Time
	changed uint64 // number of the last change, see Since
	// concernsAll says that all VMs have to know of it: the fingerprint was refused, or others
	// count losses that a successful run has cleared.
	concernsAll bool
	// triedUntil is until when the early trial that this VM admitted may have no result.
	triedUntil time.Time
}

// counted returns the losses after the last successful run.
func (s *suspect) counted() []loss {
	n := 0
	for n < len(s.losses) && s.losses[n].expires.After(s.cleared) {
		n++
	}
	return s.losses[:n]
}

// ranRecently reports whether the request ran shortly before the first of the counted losses.
func (s *suspect) ranRecently(counted []loss) bool {
	return len(counted) > 0 && counted[len(counted)-1].expires.Sub(s.cleared) <= recentRun
}

// condemned reports whether enough losses count to refuse the request, now or soon.
func (s *suspect) condemned() bool { return len(s.counted()) >= RefusalThreshold }

// explains reports whether a server that was lost under both requests need not count against the
// other one: this one lost more servers, or as many and the second one clearly earlier.
func (s *suspect) explains(other *suspect) bool {
	a, b := s.counted(), other.counted()
	if len(a) < RefusalThreshold || len(a) != len(b) {
		return len(a) >= RefusalThreshold && len(a) > len(b)
	}
	return b[len(b)-RefusalThreshold].expires.Sub(a[len(a)-RefusalThreshold].expires) > sameLoss
}

// expires returns when the last loss no longer counts, or the last run need not be known.
func (s *suspect) expires() time.Time {
	if counted := s.counted(); len(counted) > 0 {
		return counted[0].expires
	}
	return s.cleared.Add(runReportMargin)
}

// expired reports whether the suspect can be dropped. A refused suspect is kept for one
// more period to wait for its trial.
func (s *suspect) expired(now time.Time, period time.Duration) bool {
	if s.condemned() {
		return !now.Before(s.expires().Add(period))
	}
	return !now.Before(s.expires())
}

// MemoryQuarantine implements Quarantine in memory. It is safe for concurrent use.
//
// A fingerprint is refused from the loss of the second different server, somewhat later if it
// ran shortly before the first one, until one period after the last loss. Then one request is
// admitted as a trial. The trial moves the expiry to its own end, so that peers that receive the
// report wait too. If the trial request runs, the fingerprint is cleared; if its server is lost,
// the period restarts. A successful run clears the losses before it, also those that are reported
// later: a harmless request may happen to run on several lost servers.
//
// Two servers may be lost for a reason that concerns only one of the requests at work on
// them. So one VM, see TryEarly, admits a trial soon after the second loss, unless a third
// one was lost under the fingerprint. If it ran shortly before, there are further trials, each
// after a multiple of the time since the first loss.
type MemoryQuarantine struct {
	settings QuarantineSettings
	now      func() time.Time
	tryEarly func() bool // see TryEarly

	lock     sync.Mutex // guards the fields below
	suspects map[suspectKey]*suspect
	// condemned are the suspects that are refused, now or soon.
	condemned map[suspectKey]*suspect
	changes   uint64 // number of changes of suspects
	// ran and ranBefore hold when fingerprints last ran: ran the newer ones, up to
	// recentRuns, ranBefore those of the generation before.
	ran, ranBefore map[suspectKey]time.Time
}

// earlyTrialDelay is how long after the second loss an early trial is admitted. By then the VM
// has heard of the losses that others saw.
const earlyTrialDelay = 1500 * time.Millisecond

// trialBackoff is the pause before the next early trial of a request that ran shortly before its
// first loss, as a multiple of the time between its first and last loss.
const trialBackoff = 6

// TryEarly makes the quarantine admit early trials while may returns true. That must be so on
// one VM at a time: the trials of several would each cost a server. Call it before the
// quarantine is used.
func (q *MemoryQuarantine) TryEarly(may func() bool) { q.tryEarly = may }

// runReportMargin is added to the TTL of a run that is reported: earlier releases excuse losses up
// to that long after it.
const runReportMargin = 10 * time.Second

// recentRuns is how many fingerprints that ran are remembered, besides those of suspects.
const recentRuns = 2048

// NewQuarantine returns an empty quarantine.
func NewQuarantine(s QuarantineSettings, now func() time.Time) *MemoryQuarantine {
	return &MemoryQuarantine{settings: s, now: now, suspects: make(map[suspectKey]*suspect), condemned: make(map[suspectKey]*suspect), ran: make(map[suspectKey]time.Time), tryEarly: func() bool { return false }}
}

// Admit implements Quarantine.
func (q *MemoryQuarantine) Admit(service string, request Fingerprints) error {
	q.lock.Lock()
	defer q.lock.Unlock()
	for _, fingerprint := range request.levels() {
		if err := q.admit(suspectKey{service, fingerprint}); err != nil {
			return err
		}
	}
	return nil
}

func (q *MemoryQuarantine) admit(key suspectKey) error {
	s := q.suspects[key]
	if s == nil {
		return nil
	}
	now := q.now()
	if s.expired(now, q.settings.Period.Duration()) {
		q.drop(key)
		return nil
	}
	blamed := q.blamed(key, s)
	if len(blamed) < RefusalThreshold || q.refusedFor(s, blamed) < 0 {
		return nil
	}
	if now.Before(s.expires()) && !q.admitsEarly(s, blamed) {
		return refusal(key, blamed, s.expires().Sub(now))
	}
	if !now.Before(s.expires()) {
		s.losses[0].expires = now.Add(q.settings.Trial.Duration())
		q.recordChange(key, s)
	}
	return nil
}

// blamed returns the counted losses without those that another request explains. A request that
// crashes servers is lost at each of them, and harmless requests with it at some of them.
func (q *MemoryQuarantine) blamed(key suspectKey, s *suspect) []loss {
	return slices.DeleteFunc(slices.Clone(s.counted()), func(l loss) bool {
		for otherKey, other := range q.condemned {
			if otherKey != key && otherKey.service == key.service && other.explains(s) && other.lost(l.server) {
				return true
			}
		}
		return false
	})
}

// LostElsewhere returns how many servers a request is blamed for, not counting the given ones.
func (q *MemoryQuarantine) LostElsewhere(service string, request Fingerprints, except []string) int {
	q.lock.Lock()
	defer q.lock.Unlock()
	most := 0
	for _, fingerprint := range request.levels() {
		key := suspectKey{service, fingerprint}
		s := q.suspects[key]
		if s == nil {
			continue
		}
		elsewhere := slices.DeleteFunc(q.blamed(key, s), func(l loss) bool { return slices.Contains(except, l.server) })
		most = max(most, len(elsewhere))
	}
	return most
}

// lost reports whether a server counts as lost under the request.
func (s *suspect) lost(server string) bool {
	return slices.ContainsFunc(s.counted(), func(l loss) bool { return l.server == server })
}

// refusedFor returns how long a request has been refused for the losses it is blamed for, negative
// if it will be refused later.
func (q *MemoryQuarantine) refusedFor(s *suspect, blamed []loss) time.Duration {
	since := q.now().Sub(blamed[len(blamed)-RefusalThreshold].expires.Add(-q.settings.Period.Duration()))
	if s.ranRecently(blamed) {
		since -= runReportDelay
	}
	return since
}

// admitsEarly reports whether to admit an early trial now.
func (q *MemoryQuarantine) admitsEarly(s *suspect, blamed []loss) bool {
	now := q.now()
	pause := earlyTrialDelay
	switch {
	case s.ranRecently(blamed):
		pause = max(pause, trialBackoff*blamed[0].expires.Sub(blamed[len(blamed)-1].expires))
	case len(blamed) > RefusalThreshold:
		return false
	}
	lost := blamed[0].expires.Add(-q.settings.Period.Duration())
	if now.Sub(lost) < pause || now.Before(s.triedUntil) || !q.tryEarly() {
		return false
	}
	s.triedUntil = now.Add(q.settings.Trial.Duration())
	return true
}

func refusal(key suspectKey, losses []loss, left time.Duration) error {
	var servers []string
	for _, l := range losses {
		servers = append(servers, l.server)
	}
	return fault.New(fault.Quarantined, "%s: servers %v were lost under fingerprint %s; refused for %v more",
		key.service, servers, FormatFingerprint(key.fingerprint), left.Round(time.Second))
}

// ServerLost implements Quarantine. Call it for a server that is gone or restarted as
// another incarnation, not for a single broken connection.
func (q *MemoryQuarantine) ServerLost(service string, request Fingerprints, server string) {
	q.ServerLostAt(q.now(), service, request, server)
}

// ServerLostAt is ServerLost for an attempt that began at an earlier time: a run that ended since
// then clears it.
func (q *MemoryQuarantine) ServerLostAt(at time.Time, service string, request Fingerprints, server string) {
	q.lock.Lock()
	defer q.lock.Unlock()
	for _, fingerprint := range request.levels() {
		q.recordLoss(at, suspectKey{service, fingerprint}, server)
	}
}

func (q *MemoryQuarantine) recordLoss(at time.Time, key suspectKey, server string) {
	s := q.suspectFor(key, q.now())
	l := loss{server, at.Add(q.settings.Period.Duration())}
	if !l.expires.After(s.cleared) {
		slog.Info("quarantine: loss excused by a run", "service", key.service, "fingerprint", FormatFingerprint(key.fingerprint), "server", server,
			"run_ms_after", s.cleared.Sub(l.expires).Milliseconds())
	}
	before := s.condemned()
	if s.addLoss(l) {
		q.recordChange(key, s)
	}
	q.logCondemned(key, s, before, "this VM")
}

// logCondemned logs a request that is refused from now on, or soon. source tells who saw the last
// loss.
func (q *MemoryQuarantine) logCondemned(key suspectKey, s *suspect, before bool, source string) {
	if before || !s.condemned() {
		return
	}
	counted := s.counted()
	var servers []string
	var ages []int64
	for _, l := range counted {
		servers = append(servers, l.server)
		ages = append(ages, q.now().Sub(l.expires.Add(-q.settings.Period.Duration())).Milliseconds())
	}
	slog.Info("quarantine: request refused from now on", "service", key.service, "fingerprint", FormatFingerprint(key.fingerprint),
		"servers", servers, "lost_ms_ago", ages, "in_ms", max(0, -q.refusedFor(s, counted)).Milliseconds(), "last_seen_by", source)
}

// Ran implements Quarantine.
func (q *MemoryQuarantine) Ran(service string, request Fingerprints) {
	q.lock.Lock()
	defer q.lock.Unlock()
	for _, fingerprint := range request.levels() {
		q.recordRun(suspectKey{service, fingerprint})
	}
}

func (q *MemoryQuarantine) recordRun(key suspectKey) {
	now := q.now()
	if s := q.suspects[key]; s != nil {
		q.clear(key, s, "this VM", now.Add(q.settings.Period.Duration()))
		return
	}
	if len(q.ran) >= recentRuns {
		q.ran, q.ranBefore = make(map[suspectKey]time.Time, recentRuns), q.ran
	}
	q.ran[key] = now
}

// clear records that the losses which expire by then came before a successful run. It reports a
// change only if there are such losses.
func (q *MemoryQuarantine) clear(key suspectKey, s *suspect, source string, until time.Time) {
	if !until.After(s.cleared) {
		return
	}
	before := len(s.counted())
	s.cleared = until
	if after := len(s.counted()); after != before {
		q.recordChange(key, s)
		slog.Info("quarantine: losses cleared by a run", "service", key.service, "fingerprint", FormatFingerprint(key.fingerprint),
			"counted_before", before, "counted", after, "seen_by", source)
	}
}

// recordChange gives a changed suspect the next number and keeps condemned up to date.
func (q *MemoryQuarantine) recordChange(key suspectKey, s *suspect) {
	q.changes++
	s.changed = q.changes
	if !s.condemned() {
		delete(q.condemned, key)
		return
	}
	s.concernsAll = true
	q.condemned[key] = s
}

// Snapshot returns the fingerprints with unexpired losses or successful runs, to be sent to peers.
func (q *MemoryQuarantine) Snapshot() []Suspect {
	q.lock.Lock()
	defer q.lock.Unlock()
	var list []Suspect
	for key, s := range q.suspects {
		list = s.appendTo(list, key, q.now())
	}
	return list
}

// Since returns up to limit fingerprints that changed after the change with the given number,
// or somewhat more, and the number to continue from. With onlyForAll, it leaves out those
// that do not concern all VMs.
func (q *MemoryQuarantine) Since(change uint64, limit int, onlyForAll bool) ([]Suspect, uint64) {
	q.lock.Lock()
	defer q.lock.Unlock()
	if change >= q.changes {
		return nil, q.changes
	}
	keys := q.changedSince(change, onlyForAll)
	next := q.changes
	if len(keys) > limit {
		keys = keys[:limit]
		next = q.suspects[keys[limit-1]].changed
	}
	var list []Suspect
	for _, key := range keys {
		list = q.suspects[key].appendTo(list, key, q.now())
	}
	return list, next
}

// changedSince returns the fingerprints that changed after the change with the given number, in the
// order of their last changes. The caller holds the lock.
func (q *MemoryQuarantine) changedSince(change uint64, onlyForAll bool) []suspectKey {
	var keys []suspectKey
	for key, s := range q.suspects {
		if s.changed > change && (s.concernsAll || !onlyForAll) {
			keys = append(keys, key)
		}
	}
	slices.SortFunc(keys, func(a, b suspectKey) int { return cmp.Compare(q.suspects[a].changed, q.suspects[b].changed) })
	return keys
}

// post returns the last fingerprints that changed after the change with the given number.
func (q *MemoryQuarantine) post(change uint64, onlyForAll bool) Post {
	q.lock.Lock()
	defer q.lock.Unlock()
	keys := q.changedSince(change, onlyForAll)
	var p Post
	for _, key := range keys[max(0, len(keys)-maxPosted):] {
		p.Suspects = q.suspects[key].appendTo(p.Suspects, key, q.now())
		p.Change = q.suspects[key].changed
	}
	return p
}

// appendTo appends what peers have to know of a suspect.
func (s *suspect) appendTo(list []Suspect, key suspectKey, now time.Time) []Suspect {
	add := func(expires time.Time, servers []string) {
		if expires.After(now) {
			list = append(list, Suspect{Service: key.service, Fingerprint: key.fingerprint, Servers: servers, TTL: expires.Sub(now)})
		}
	}
	for _, l := range s.counted() {
		add(l.expires, []string{l.server})
	}
	add(s.cleared.Add(runReportMargin), nil)
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
	if reported.TTL <= 0 {
		return
	}
	key := suspectKey{reported.Service, reported.Fingerprint}
	s := q.suspectFor(key, now)
	if len(reported.Servers) == 0 {
		q.clear(key, s, "another VM", now.Add(min(reported.TTL-runReportMargin, q.settings.Period.Duration())))
		return
	}
	ttl := min(reported.TTL, q.settings.Period.Duration())
	before := s.condemned()
	changed := false
	if !now.Add(ttl).After(s.cleared) {
		changed, s.concernsAll = true, true // the sender does not know that the request ran
	}
	for _, server := range reported.Servers {
		changed = s.addLoss(loss{server, now.Add(ttl)}) || changed
	}
	if changed {
		q.recordChange(key, s)
	}
	q.logCondemned(key, s, before, "another VM")
}

// echoTolerance is how much later than a known loss a report of the same one may seem, because
// it took time to arrive.
const echoTolerance = 900 * time.Millisecond

// addLoss adds a loss and reports whether it changes the suspect.
func (s *suspect) addLoss(l loss) bool {
	before := slices.Clone(s.losses)
	if i := slices.IndexFunc(s.losses, func(known loss) bool { return known.server == l.server }); i < 0 {
		s.losses = append(s.losses, l)
	} else if l.expires.After(s.losses[i].expires.Add(echoTolerance)) {
		s.losses[i] = l
	}
	slices.SortFunc(s.losses, func(a, b loss) int {
		return cmp.Or(b.expires.Compare(a.expires), cmp.Compare(a.server, b.server))
	})
	s.losses = s.losses[:min(len(s.losses), maxLosses)]
	return !slices.Equal(before, s.losses) && l.expires.After(s.cleared)
}

// suspectFor returns the suspect of a key. It creates one if there is none or the
// existing one has expired.
func (q *MemoryQuarantine) suspectFor(key suspectKey, now time.Time) *suspect {
	s := q.suspects[key]
	if s != nil && !s.expired(now, q.settings.Period.Duration()) {
		return s
	}
	q.drop(key)
	if len(q.suspects) >= q.settings.Entries {
		q.evict(now)
	}
	s = &suspect{}
	for _, runs := range []map[suspectKey]time.Time{q.ranBefore, q.ran} {
		if at, ok := runs[key]; ok {
			s.cleared = at.Add(q.settings.Period.Duration())
			delete(runs, key)
		}
	}
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
			q.drop(key)
			continue
		}
		if candidate == nil || evictBefore(s, candidate) {
			candidateKey, candidate = key, s
		}
	}
	if len(q.suspects) >= q.settings.Entries {
		q.drop(candidateKey)
	}
}

func (q *MemoryQuarantine) drop(key suspectKey) {
	delete(q.suspects, key)
	delete(q.condemned, key)
}

func evictBefore(a, b *suspect) bool {
	if a.condemned() != b.condemned() {
		return !a.condemned()
	}
	return a.expires().Before(b.expires())
}
