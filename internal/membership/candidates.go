package membership

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"kumquatcleat/internal/config"
	"kumquatcleat/internal/ownership"
)

// partnerTime is how long co-keepers stay ping targets after Candidates last
// named them. A caller that asks less often than this loses their pings.
const partnerTime = time.Minute

// Candidates returns the VMs that may keep a group, in order of preference, and
// all VMs known to be gone. At most Settings.MaxCandidates are returned.
//
// The order is that of rendezvous hashing over the group's key, so VMs with the
// same view find the same order, and a VM's loss changes no order among the
// others. VMs of the home domain come first, with one exception: under
// IsolationMove the second place, that of the standby, goes to a VM of another
// domain. Suspected and leaving VMs are left out.
//
// While this VM is among the first Settings.CoKeepers, the others of these
// become its ping targets, and with them the suspected VMs that rank among them.
func (v *View) Candidates(now time.Duration, homeDomain string, isolation config.Isolation, groupKey string) (candidates, gone []ownership.VMRef) {
	v.Tick(now)
	group := v.ranked[groupKey]
	if group.generation != v.generation || group.home != homeDomain || group.isolation != isolation {
		group = v.rankGroup(homeDomain, isolation, groupKey)
	}
	group.until = now + partnerTime
	v.ranked[groupKey] = group
	for _, id := range group.coKeepers {
		v.partners[id] = group.until
	}
	return slices.Clone(group.candidates), v.gone.list()
}

// rankedGroup is the answer to Candidates, kept while the view stays as it is.
type rankedGroup struct {
	home       string
	isolation  config.Isolation
	generation uint64
	until      time.Duration // forgotten if nobody asks before
	candidates []ownership.VMRef
	coKeepers  []string // ids of the ping targets that follow from the group
}

func (v *View) rankGroup(homeDomain string, isolation config.Isolation, groupKey string) rankedGroup {
	group := rankedGroup{home: homeDomain, isolation: isolation, generation: v.generation}
	ranked := v.rank(homeDomain, groupKey)
	if isolation == config.IsolationMove {
		ranked = standbyElsewhere(ranked, homeDomain, v.isLive)
	}
	for _, m := range ranked {
		if len(group.candidates) == v.settings.MaxCandidates {
			break
		}
		if v.isLive(m) {
			group.candidates = append(group.candidates, m.ref())
		}
	}
	group.coKeepers = v.coKeepersOf(ranked)
	return group
}

// rank returns the members that are not leaving and may be among the first
// candidates: those of the home domain, then the others, each part by descending
// rendezvous score. Only the first of each part are looked for, because sorting
// every VM for every group would hold up the pings of a large fleet.
func (v *View) rank(homeDomain, groupKey string) []*member {
	group := xxhash.Sum64String(groupKey)
	// Doubtful members may be suspected, and are then passed over.
	limit := v.settings.MaxCandidates + len(v.doubtful)
	home, away := topScores{limit: limit}, topScores{limit: limit}
	for _, m := range v.rosters.all(v) {
		if m.leaving() {
			continue
		}
		part := &away
		if m.vm.FailureDomain == homeDomain {
			part = &home
		}
		part.offer(scored{m, score(group, m.hash)})
	}
	ranked := make([]*member, 0, len(home.best)+len(away.best))
	for _, s := range slices.Concat(home.best, away.best) {
		ranked = append(ranked, s.member)
	}
	return ranked
}

// scored is a member with its rendezvous score for a group.
type scored struct {
	member *member
	score  uint64
}

func byScore(a, b scored) int {
	return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.member.vm.ID, b.member.vm.ID))
}

// topScores keeps the members with the highest scores, highest first.
type topScores struct {
	limit int
	best  []scored
}

func (t *topScores) offer(s scored) {
	if len(t.best) == t.limit && byScore(s, t.best[t.limit-1]) > 0 {
		return
	}
	at, _ := slices.BinarySearchFunc(t.best, s, byScore)
	t.best = slices.Insert(t.best, at, s)
	t.best = t.best[:min(len(t.best), t.limit)]
}

func score(group, member uint64) uint64 {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:8], group)
	binary.LittleEndian.PutUint64(b[8:], member)
	return xxhash.Sum64(b[:])
}

// standbyElsewhere puts the first live member of another domain right after the
// first live one of the home domain. Without either, the order stays.
func standbyElsewhere(ranked []*member, homeDomain string, live func(*member) bool) []*member {
	isHome := func(m *member) bool { return m.vm.FailureDomain == homeDomain && live(m) }
	isAway := func(m *member) bool { return m.vm.FailureDomain != homeDomain && live(m) }
	first := slices.IndexFunc(ranked, isHome)
	standby := slices.IndexFunc(ranked, isAway)
	if first < 0 || standby < 0 {
		return ranked
	}
	m := ranked[standby]
	ranked = slices.Delete(ranked, standby, standby+1)
	return slices.Insert(ranked, first+1, m)
}

// coKeepersOf returns the other VMs among a group's first candidates, suspected
// ones between them included, if this VM is one of them.
func (v *View) coKeepersOf(ranked []*member) []string {
	first, live := 0, 0
	for first < len(ranked) && live < v.settings.CoKeepers {
		if v.isLive(ranked[first]) {
			live++
		}
		first++
	}
	if !slices.Contains(ranked[:first], v.self) {
		return nil
	}
	var ids []string
	for _, m := range ranked[:first] {
		if m != v.self {
			ids = append(ids, m.vm.ID)
		}
	}
	return ids
}

// expirePartners forgets the groups and co-keepers that nobody asks for.
func (v *View) expirePartners(now time.Duration) {
	for id, until := range v.partners {
		if now >= until {
			delete(v.partners, id)
		}
	}
	for key, group := range v.ranked {
		if now >= group.until {
			delete(v.ranked, key)
		}
	}
}
