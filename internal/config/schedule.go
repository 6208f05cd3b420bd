package config

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// How a change reaches every VM within 5 s.
//
// All 7,300 VMs polling the platform each second would be 7,300 reads a second,
// where it gives about 2,000. So in each failure domain only some VMs, the
// pollers, read the platform's digest row; the others ask a poller. Each VM works
// out the pollers by rendezvous hashing from the list of live VMs, so nothing has
// to be agreed: two VMs whose lists differ ask a VM that is no poller, which
// answers all the same with what it has.
//
// A round starts each PollInterval (I) and has two calls of at most callTimeout
// (c): the digest, then the records.
//
//	poller:              I + 2c      = 1.9 s after the commit
//	other VM:            + I + 2c    = 3.8 s
//	its poller is lost:  + I         = 4.8 s (the next round asks another one)
//
// The pollers of a failure domain that is cut off from the platform alone ask
// pollers of other domains, which adds a third hop: 3 x (I + 2c) stays within 5 s
// while calls take up to 300 ms.
const (
	// PollInterval is the time between two rounds. A longer one breaks the bound of 5 s.
	PollInterval = time.Second
	callTimeout  = 450 * time.Millisecond
	// listTimeout is for reading all records, which only a VM far behind does.
	listTimeout = 2 * time.Second
)

const (
	// vmsPerPoller bounds what a poller answers: 25 small questions a second. At
	// 7,300 VMs in 9 domains it makes 297 polls of the platform a second.
	vmsPerPoller = 25
	// minPollers keeps two others when one poller is lost.
	minPollers = 3
	// startSample is how many VMs a VM that starts without the platform asks, so
	// that one of them that lags does not decide what it takes into force.
	startSample = 5
	// startRounds is when it takes fewer answers, the others being lost.
	startRounds = 5
	// fallbackRounds is how often a VM that no poller answers reads the platform:
	// 7,300 of them make 243 reads a second.
	fallbackRounds = 30
	quietRounds    = 3 // rounds without an answer before that
)

// Member is a live entry VM.
type Member struct {
	ID            string
	FailureDomain string
}

// PollerCount returns how many of a domain's VMs poll the platform.
func PollerCount(vms int) int {
	return min(vms, max(minPollers, (vms+vmsPerPoller-1)/vmsPerPoller))
}

// Pollers returns the VMs of a domain that poll the platform, the highest hashes
// first. Equal lists of members give equal pollers.
func Pollers(members []Member, domain string) []string {
	var ids []string
	for _, m := range members {
		if m.FailureDomain == domain {
			ids = append(ids, m.ID)
		}
	}
	ids = ranked("poller", ids)
	return ids[:PollerCount(len(ids))]
}

// ranked orders ids by their hash together with a salt.
func ranked(salt string, ids []string) []string {
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

// round is what a VM asks at one time.
type round struct {
	Platform bool
	Peers    []string
}

// result is what came of a round.
type result struct {
	PlatformRead   bool // the platform answered
	PlatformFailed bool
	Answered       []string // peers that answered and have records
	Failed         []string
}

// schedule decides whom a VM asks. It does no I/O; one goroutine uses it.
type schedule struct {
	self    Member
	sources sources

	number         uint64 // of the round, from 1
	quiet          int    // rounds in a row without any answer
	platformFailed bool   // at the last try
	synced         bool   // ready to serve
	sample         map[string]bool
}

// sources are the VMs to ask, worked out once for each list of members.
type sources struct {
	members   []Member
	poller    bool     // this VM polls the platform
	near      []string // pollers of the own domain but for this VM, in the order of preference
	elsewhere []string // pollers of other domains
}

// use works the sources out anew when the list is another one.
func (s *schedule) use(members []Member) {
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
			next.near = pollers
			continue
		}
		next.elsewhere = append(next.elsewhere, pollers...)
	}
	next.near = slices.DeleteFunc(next.near, func(id string) bool { return id == s.self.ID })
	next.near = ranked(s.self.ID, next.near)
	next.elsewhere = ranked(s.self.ID, next.elsewhere)
	if !domains[s.self.FailureDomain] {
		next.poller = true // the list does not have this VM yet
	}
	s.sources = next
}

// next returns whom to ask in the next round.
func (s *schedule) next(members []Member) round {
	s.use(members)
	s.number++
	r := round{Platform: s.sources.poller || s.fallback()}
	switch {
	case !s.synced:
		r.Peers = append(pick(s.sources.near, s.number, startSample-2), pick(s.sources.elsewhere, s.number, 2)...)
	case !s.sources.poller:
		// Two preferred pollers in turn: one that is stale delays by one round.
		r.Peers = pick(s.sources.near, s.number%2, 1)
		if len(r.Peers) == 0 {
			r.Platform = true
		}
	case s.platformFailed:
		r.Peers = pick(s.sources.elsewhere, s.number, 1)
		if len(r.Peers) == 0 {
			r.Peers = pick(s.sources.near, s.number, 1)
		}
	}
	return r
}

// fallback decides whether a VM that is no poller reads the platform itself.
func (s *schedule) fallback() bool { return s.quiet >= quietRounds && s.turn() }

// turn is true in one of fallbackRounds rounds; VMs have theirs at different times.
func (s *schedule) turn() bool {
	return s.number%fallbackRounds == xxhash.Sum64String(s.self.ID)%fallbackRounds
}

// finished takes in what came of a round. It returns whether the VM just became
// ready to serve.
func (s *schedule) finished(r round, res result) bool {
	if r.Platform {
		s.platformFailed = res.PlatformFailed
	}
	s.quiet++
	if res.PlatformRead || len(res.Answered) > 0 {
		s.quiet = 0
	}
	for _, id := range res.Failed {
		moveToEnd(s.sources.near, id)
		moveToEnd(s.sources.elsewhere, id)
	}
	if s.synced {
		return false
	}
	s.synced = res.PlatformRead || s.sampled(res.Answered)
	return s.synced
}

// sampled says whether enough VMs answered to serve without the platform.
func (s *schedule) sampled(answered []string) bool {
	if s.sample == nil {
		s.sample = make(map[string]bool)
	}
	for _, id := range answered {
		s.sample[id] = true
	}
	want := min(startSample, len(s.sources.near)+len(s.sources.elsewhere))
	if s.number >= startRounds {
		want = 1
	}
	return len(s.sample) > 0 && len(s.sample) >= want
}

// moveToEnd makes a VM that did not answer the last choice, so that the next
// round asks another one.
func moveToEnd(list []string, id string) {
	i := slices.Index(list, id)
	if i < 0 {
		return
	}
	copy(list[i:], list[i+1:])
	list[len(list)-1] = id
}

// pick returns up to n of a list, from an offset on, wrapping around.
func pick(list []string, offset uint64, n int) []string {
	var out []string
	for i := range min(n, len(list)) {
		out = append(out, list[(offset+uint64(i))%uint64(len(list))])
	}
	return out
}
