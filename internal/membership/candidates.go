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

// fellowCandidateTTL is how long the fellow candidates of a group stay ping targets
// after a call of Candidates for that group. updateSuspicion also uses it: a listed VM
// whose last ping is longer ago is no longer suspected.
const fellowCandidateTTL = time.Minute

// Candidates returns the VMs that may keep a group, in order of preference, and
// all VMs known to be gone. It returns at most Settings.MaxCandidates candidates.
//
// Rendezvous hashing over the group's key determines the order. VMs with the same
// view therefore compute the same order, and the loss of a VM does not change the
// order of the others. VMs of the home domain come first, with one exception:
// under IsolationMove, the second candidate, which is the standby, is a VM of
// another domain. Suspected and leaving VMs are excluded.
//
// The first candidates of a group are its first Settings.CoKeepers live VMs in this
// order. If this VM is one of them, it pings its fellow candidates: the other first
// candidates, and the suspected and other non-live VMs that rank before the last first
// candidate.
func (v *View) Candidates(now time.Duration, homeDomain string, isolation config.Isolation, groupKey string) (candidates, gone []ownership.VMRef) {
	v.Tick(now)
	group := v.ranked[groupKey]
	if group.generation != v.generation || group.home != homeDomain || group.isolation != isolation {
		group = v.rankGroup(homeDomain, isolation, groupKey)
	}
	group.until = now + fellowCandidateTTL
	v.ranked[groupKey] = group
	for _, id := range group.fellowCandidates {
		v.fellowCandidateExpiry[id] = group.until
	}
	return slices.Clone(group.candidates), v.gone.list()
}

// rankedGroup caches the result of Candidates for one generation of the view.
type rankedGroup struct {
	home             string
	isolation        config.Isolation
	generation       uint64
	until            time.Duration // removed from the cache unless queried before
	candidates       []ownership.VMRef
	fellowCandidates []string // ids; empty if this VM is not among the first candidates
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
	group.fellowCandidates = v.fellowCandidatesOf(ranked)
	return group
}

// rank returns the members that are not leaving and may be among the first
// candidates: those of the home domain, then the others, each part by descending
// rendezvous score. It selects only the highest scores of each part, because
// sorting every VM for every group would delay the pings in a large fleet.
func (v *View) rank(homeDomain, groupKey string) []*member {
	group := xxhash.Sum64String(groupKey)
	// Uncertain members may be suspected, in which case they are skipped.
	limit := v.settings.MaxCandidates + len(v.uncertain)
	home, remote := topMembers{limit: limit}, topMembers{limit: limit}
	for _, m := range v.memberIndex.all(v) {
		if m.leaving() {
			continue
		}
		part := &remote
		if m.vm.FailureDomain == homeDomain {
			part = &home
		}
		part.offer(scored{m, score(group, m.hash)})
	}
	ranked := make([]*member, 0, len(home.best)+len(remote.best))
	for _, s := range slices.Concat(home.best, remote.best) {
		ranked = append(ranked, s.member)
	}
	return ranked
}

// scored is a member and its rendezvous score for a group.
type scored struct {
	member *member
	score  uint64
}

func byScore(a, b scored) int {
	return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.member.vm.ID, b.member.vm.ID))
}

// topMembers keeps the limit members with the highest scores, in descending order.
type topMembers struct {
	limit int
	best  []scored
}

func (t *topMembers) offer(s scored) {
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

// standbyElsewhere moves the first live member of another domain to the position
// after the first live member of the home domain. If either does not exist, the
// order is unchanged.
func standbyElsewhere(ranked []*member, homeDomain string, live func(*member) bool) []*member {
	isHome := func(m *member) bool { return m.vm.FailureDomain == homeDomain && live(m) }
	isRemote := func(m *member) bool { return m.vm.FailureDomain != homeDomain && live(m) }
	first := slices.IndexFunc(ranked, isHome)
	standby := slices.IndexFunc(ranked, isRemote)
	if first < 0 || standby < 0 {
		return ranked
	}
	m := ranked[standby]
	ranked = slices.Delete(ranked, standby, standby+1)
	return slices.Insert(ranked, first+1, m)
}

// fellowCandidatesOf returns the ids of a group's other first candidates and of the
// suspected and other non-live VMs that rank before the last first candidate. It returns
// nil if this VM is not one of the first candidates.
func (v *View) fellowCandidatesOf(ranked []*member) []string {
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

// expireFellowCandidates removes the groups that have not been queried for
// fellowCandidateTTL, and their fellow candidates.
func (v *View) expireFellowCandidates(now time.Duration) {
	for id, until := range v.fellowCandidateExpiry {
		if now >= until {
			delete(v.fellowCandidateExpiry, id)
		}
	}
	for key, group := range v.ranked {
		if now >= group.until {
			delete(v.ranked, key)
		}
	}
}
