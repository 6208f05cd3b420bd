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
	ranked := v.rank(homeDomain, groupKey)
	if isolation == config.IsolationMove {
		ranked = standbyElsewhere(ranked, homeDomain, v.isLive)
	}
	v.pingCoKeepers(now, ranked)
	for _, m := range ranked {
		if v.isLive(m) && len(candidates) < v.settings.MaxCandidates {
			candidates = append(candidates, m.ref())
		}
	}
	return candidates, v.gone.list()
}

// rank returns the members that are not leaving: those of the home domain, then
// the others, each part by descending rendezvous score.
func (v *View) rank(homeDomain, groupKey string) []*member {
	group := xxhash.Sum64String(groupKey)
	var home, away []scored
	for _, m := range v.rosters.all(v) {
		if m.leaving() {
			continue
		}
		s := scored{m, score(group, m.hash)}
		if m.vm.FailureDomain == homeDomain {
			home = append(home, s)
		} else {
			away = append(away, s)
		}
	}
	ranked := make([]*member, 0, len(home)+len(away))
	for _, part := range [][]scored{home, away} {
		slices.SortFunc(part, byScore)
		for _, s := range part {
			ranked = append(ranked, s.member)
		}
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

// pingCoKeepers makes ping targets of a group's first candidates if this VM is
// one of them.
func (v *View) pingCoKeepers(now time.Duration, ranked []*member) {
	first, live := 0, 0
	for first < len(ranked) && live < v.settings.CoKeepers {
		if v.isLive(ranked[first]) {
			live++
		}
		first++
	}
	coKeepers := ranked[:first]
	if !slices.Contains(coKeepers, v.self) {
		return
	}
	for _, m := range coKeepers {
		if m != v.self {
			v.partners[m.vm.ID] = now + partnerTime
		}
	}
}
