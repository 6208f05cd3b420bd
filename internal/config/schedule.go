package config

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// A change reaches every VM within 5 s.
//
// The system is designed for 7,300 VMs. If all of them polled the platform each second,
// they would make 7,300 reads a second, and the platform serves about 2,000. So in each
// failure domain only some VMs, the pollers, read the change log from the platform. The
// other VMs poll a poller. Each VM computes the pollers from the list of live VMs by
// rendezvous hashing, without coordination. If the lists of two VMs differ, one may poll
// a VM that is not a poller; that VM answers with the records that it has.
//
// A round starts every PollInterval (I) and makes two calls of at most callTimeout (c)
// each: one for the change log or, from another VM, the digest of its records, and one
// for the records.
//
//	poller:              I + 2c      = 1.9 s after the commit
//	other VM:            + I + 2c    = 3.8 s
//	its poller fails:    + I         = 4.8 s (the next round polls another one)
//
// If a failure domain loses only the connection to the platform, its pollers poll
// pollers of other domains. That adds a third hop: 3 x (I + 2c) stays within 5 s
// while calls take up to 300 ms.
const (
	// PollInterval is the time between two rounds. A longer one exceeds the bound of 5 s.
	PollInterval = time.Second
	callTimeout  = 450 * time.Millisecond
	// listTimeout bounds reading all records, which only a VM that starts or is far
	// behind does.
	listTimeout = 2 * time.Second
)

const (
	// vmsPerPoller bounds the load on a poller: 25 small requests a second. With 7,300
	// VMs in 9 domains the pollers make 297 reads of the platform a second.
	vmsPerPoller = 25
	// minPollers leaves two pollers when one fails.
	minPollers = 3
	// startupSampleSize is the number of VMs that must answer a VM that starts without
	// reading the platform, so that it does not serve the records of a single stale VM.
	startupSampleSize = 5
	// startupSampleRounds is the round from which one answer suffices, as the other VMs
	// may have failed.
	startupSampleRounds = 5
	// fallbackPeriodRounds is the number of rounds between two reads of the platform by
	// a VM that no poller answers: 7,300 such VMs make 243 reads a second.
	fallbackPeriodRounds     = 30
	unansweredBeforeFallback = 3 // rounds without an answer before the first such read
)

// Member is a live entry VM.
type Member struct {
	ID            string
	FailureDomain string
}

// PollerCount returns how many of the VMs of a domain poll the platform.
func PollerCount(vms int) int {
	return min(vms, max(minPollers, (vms+vmsPerPoller-1)/vmsPerPoller))
}

// Pollers returns the VMs of a domain that poll the platform, in descending order of
// their hashes. Equal lists of members give equal pollers.
func Pollers(members []Member, domain string) []string {
	var ids []string
	for _, m := range members {
		if m.FailureDomain == domain {
			ids = append(ids, m.ID)
		}
	}
	ids = rankByHash("poller", ids)
	return ids[:PollerCount(len(ids))]
}

// rankByHash sorts ids by the hash of salt and id, in descending order.
func rankByHash(salt string, ids []string) []string {
	type scored struct {
		id    string
		score uint64
	}
	list := make([]scored, 0, len(ids))
	for _, id := range ids {
		list = append(list, scored{id, xxhash.Sum64String(salt + "/" + id)})
	}
	slices.SortFunc(list, func(a, b scored) int {
		return cmp.Or(cmp.Compare(b.score, a.score), strings.Compare(a.id, b.id))
	})
	out := make([]string, 0, len(list))
	for _, s := range list {
		out = append(out, s.id)
	}
	return out
}

// round selects what a VM polls in one round.
type round struct {
	Platform bool
	Peers    []string
}

// result is the outcome of a round.
type result struct {
	PlatformRead   bool // the platform answered
	PlatformFailed bool
	Answered       []string // peers that answered and have records
	Failed         []string
}

// schedule selects what a VM polls in each round. It does no I/O and is not safe for
// concurrent use.
type schedule struct {
	self    Member
	sources sources

	roundNumber      uint64 // of the current round, from 1
	unansweredRounds int    // consecutive rounds without any answer
	platformFailed   bool   // at the last read
	synced           bool   // ready to serve
	sampledVMs       map[string]bool
}

// sources holds the VMs to poll, computed once for each list of members.
type sources struct {
	members       []Member
	poller        bool     // this VM polls the platform
	localPollers  []string // other pollers of this VM's domain, in order of preference
	remotePollers []string // pollers of other domains, in order of preference
}

// updateSources recomputes the sources if the list of members has changed.
func (s *schedule) updateSources(members []Member) {
	if len(members) > 0 && slices.Equal(members, s.sources.members) {
		return
	}
	next := sources{members: members}
	domains := make(map[string]bool)
	for _, m := range members {
		domains[m.FailureDomain] = true
	}
	for domain := range domains {
		pollers := Pollers(members, domain)
		if domain == s.self.FailureDomain {
			next.poller = slices.Contains(pollers, s.self.ID)
			next.localPollers = pollers
			continue
		}
		next.remotePollers = append(next.remotePollers, pollers...)
	}
	next.localPollers = slices.DeleteFunc(next.localPollers, func(id string) bool { return id == s.self.ID })
	next.localPollers = rankByHash(s.self.ID, next.localPollers)
	next.remotePollers = rankByHash(s.self.ID, next.remotePollers)
	if !domains[s.self.FailureDomain] {
		next.poller = true // the list does not include this VM yet
	}
	s.sources = next
}

// next returns what to poll in the next round.
func (s *schedule) next(members []Member) round {
	s.updateSources(members)
	s.roundNumber++
	r := round{Platform: s.sources.poller || s.useFallback()}
	switch {
	case !s.synced:
		// Two VMs of the sample are pollers of other domains.
		r.Peers = append(pick(s.sources.localPollers, s.roundNumber, startupSampleSize-2), pick(s.sources.remotePollers, s.roundNumber, 2)...)
	case !s.sources.poller:
		// Alternate between two pollers: a stale one costs only one round.
		r.Peers = pick(s.sources.localPollers, s.roundNumber%2, 1)
		if len(r.Peers) == 0 {
			r.Platform = true
		}
	case s.platformFailed:
		r.Peers = pick(s.sources.remotePollers, s.roundNumber, 1)
		if len(r.Peers) == 0 {
			r.Peers = pick(s.sources.localPollers, s.roundNumber, 1)
		}
	}
	return r
}

// useFallback reports whether a VM that is not a poller reads the platform in this
// round.
func (s *schedule) useFallback() bool {
	return s.unansweredRounds >= unansweredBeforeFallback && s.isStaggeredTurn()
}

// isStaggeredTurn reports true in one of fallbackPeriodRounds rounds. A hash of the
// VM's id spreads the VMs over these rounds.
func (s *schedule) isStaggeredTurn() bool {
	return s.roundNumber%fallbackPeriodRounds == xxhash.Sum64String(s.self.ID)%fallbackPeriodRounds
}

// recordResult updates the schedule with the result of a round. It returns true if
// the VM became ready to serve in this round.
func (s *schedule) recordResult(r round, res result) bool {
	if r.Platform {
		s.platformFailed = res.PlatformFailed
	}
	s.unansweredRounds++
	if res.PlatformRead || len(res.Answered) > 0 {
		s.unansweredRounds = 0
	}
	for _, id := range res.Failed {
		moveToEnd(s.sources.localPollers, id)
		moveToEnd(s.sources.remotePollers, id)
	}
	if s.synced {
		return false
	}
	s.synced = res.PlatformRead || s.sampleComplete(res.Answered)
	return s.synced
}

// sampleComplete adds answered to the sample and reports whether enough VMs have
// answered to serve without the platform.
func (s *schedule) sampleComplete(answered []string) bool {
	if s.sampledVMs == nil {
		s.sampledVMs = make(map[string]bool)
	}
	for _, id := range answered {
		s.sampledVMs[id] = true
	}
	want := min(startupSampleSize, len(s.sources.localPollers)+len(s.sources.remotePollers))
	if s.roundNumber >= startupSampleRounds {
		want = 1
	}
	return len(s.sampledVMs) > 0 && len(s.sampledVMs) >= want
}

// moveToEnd moves a VM that did not answer to the end of the list, so that the next
// round polls another one.
func moveToEnd(list []string, id string) {
	i := slices.Index(list, id)
	if i < 0 {
		return
	}
	copy(list[i:], list[i+1:])
	list[len(list)-1] = id
}

// pick returns up to n items of a list, starting at offset and wrapping around.
func pick(list []string, offset uint64, n int) []string {
	var out []string
	for i := range min(n, len(list)) {
		out = append(out, list[(offset+uint64(i))%uint64(len(list))])
	}
	return out
}
