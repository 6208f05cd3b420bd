package keyspace

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

const planKeys = 1000

func planMembers(count int) []Member {
	var members []Member
	for i := range count {
		members = append(members, Member{Holder: Holder{Server: fmt.Sprintf("s%d", i), Incarnation: 1}, Slots: 6, Capacity: 30})
	}
	return members
}

// requireFullCoverage fails unless the ranges cover each key exactly once, in order.
func requireFullCoverage(t *testing.T, ranges []Range) {
	t.Helper()
	next := uint32(0)
	for _, r := range ranges {
		if r.From != next || r.To < r.From {
			t.Fatalf("got range %v, want one that starts at key %d", r.Span, next)
		}
		next = r.To + 1
	}
	if next != planKeys {
		t.Fatalf("got ranges that end before key %d, want all keys covered", next)
	}
}

func acknowledged(ranges []Range) []Range {
	for i := range ranges {
		ranges[i].Pending, ranges[i].Former, ranges[i].Token = false, nil, 1
	}
	return ranges
}

func profileOf(rates map[uint32]float64) profile {
	w := NewRequestCounts(0)
	for key, rate := range rates {
		w.Add(0, key, rate)
	}
	_, slow := w.profiles(time.Minute/1000, planKeys)
	for i := range slow.sums { // the window is short here: scale to the given rates
		slow.sums[i] *= total(rates) / slow.sums[planKeys] / 1
	}
	return slow
}

func total(rates map[uint32]float64) float64 {
	sum := 0.0
	for _, r := range rates {
		sum += r
	}
	return sum
}

var testPlan = PlanSettings{Busy: 0.6, Imbalance: 1.2, Overloaded: 0.95, MaxMoves: 24}

func ownedBy(h Holder) func(*Range) bool { return func(r *Range) bool { return r.Owner.Same(h) } }

func always(*Range) bool { return true }

func never(Holder) bool { return false }

func evenProfile(rate float64) profile {
	rates := map[uint32]float64{}
	for k := range uint32(planKeys) {
		rates[k] = rate / planKeys
	}
	return profileOf(rates)
}

func TestInitialAssignmentIsEven(t *testing.T) {
	p := newPlanner(testPlan, evenProfile(100), planMembers(7))
	ranges := p.initialRanges()
	requireFullCoverage(t, ranges)
	if len(ranges) != 7 {
		t.Fatalf("got %d ranges, want one for each of 7 members", len(ranges))
	}
	for _, r := range ranges {
		if keys := r.Keys(); keys < planKeys/7-20 || keys > planKeys/7+20 {
			t.Errorf("got %d keys at %s, want an even share", keys, r.Owner.Server)
		}
	}
}

// Guards against an overloaded server after adjacent keys become busy together.
func TestHotKeysAreSpread(t *testing.T) {
	members := planMembers(16)
	ranges := acknowledged(newPlanner(testPlan, evenProfile(200), members).initialRanges())
	rates := map[uint32]float64{}
	for k := range uint32(planKeys) {
		rates[k] = 130.0 / planKeys
	}
	for k := uint32(300); k < 360; k++ { // 45 % of the load is on 60 adjacent keys
		rates[k] += 110.0 / 60
	}
	p := newPlanner(testPlan, profileOf(rates), members)
	p.computeLoads(ranges)
	next, changed := p.balance(ranges)
	if !changed {
		t.Fatal("no keys moved")
	}
	requireFullCoverage(t, next)
	p.computeLoads(next)
	for _, m := range members {
		if u := p.utilization(m); u > 0.8 {
			t.Errorf("utilization of %s is %.2f, above the limit", m.Server, u)
		}
	}
}

func TestBalancedLoadIsNotMoved(t *testing.T) {
	members := planMembers(8)
	p := newPlanner(testPlan, evenProfile(180), members)
	ranges := acknowledged(p.initialRanges())
	p.computeLoads(ranges)
	if next, changed := p.balance(ranges); changed {
		t.Fatalf("got moves to %v, want none", next)
	}
}

// Guards against a new server that gets no keys because no other server is busy.
func TestNewServerGetsKeys(t *testing.T) {
	ranges := acknowledged(newPlanner(testPlan, evenProfile(50), planMembers(4)).initialRanges())
	p := newPlanner(testPlan, evenProfile(50), planMembers(5))
	p.computeLoads(ranges)
	next, _ := p.balance(ranges)
	requireFullCoverage(t, next)
	p.computeLoads(next)
	if p.load[holderKey(planMembers(5)[4].Holder)] == 0 {
		t.Fatal("the new server got no keys")
	}
}

// Guards against one successor that gets all keys of a lost server, and against
// pending ranges that do not name the lost server as former holder: its lease may not
// have expired.
func TestKeysOfLostServerAreDivided(t *testing.T) {
	members := planMembers(8)
	ranges := acknowledged(newPlanner(testPlan, evenProfile(100), members).initialRanges())
	lost := members[3].Holder
	p := newPlanner(testPlan, evenProfile(100), append(members[:3:3], members[4:]...))
	p.computeLoads(ranges)
	next, changed := p.reassign(ranges, ownedBy(lost), never)
	if !changed {
		t.Fatal("no keys reassigned")
	}
	requireFullCoverage(t, next)
	newOwners := map[string]bool{}
	for _, r := range next {
		if r.Owner.Same(lost) {
			t.Fatalf("range %v is still owned by the lost server", r.Span)
		}
		if r.Pending {
			newOwners[r.Owner.Server] = true
			if len(r.Former) != 1 || !r.Former[0].Same(lost) {
				t.Fatalf("range %v: got former holders %v, want only the lost server", r.Span, r.Former)
			}
		}
	}
	if len(newOwners) < 3 {
		t.Fatalf("keys went to %d servers, want at least 3", len(newOwners))
	}
}

// Guards against needless ranges: keys go to the owner of an adjacent range if it has
// capacity.
func TestKeysGoToAdjacentOwner(t *testing.T) {
	members := planMembers(20)
	p := newPlanner(testPlan, evenProfile(100), members)
	ranges := acknowledged(p.initialRanges())
	leaving := members[9].Holder
	p = newPlanner(testPlan, evenProfile(100), slices.DeleteFunc(slices.Clone(members), func(m Member) bool { return m.Same(leaving) }))
	p.computeLoads(ranges)
	next, _ := p.reassign(ranges, ownedBy(leaving), never)
	requireFullCoverage(t, next)
	if merged, _ := mergeAdjacent(acknowledged(next), always); len(merged) > len(ranges)+1 {
		t.Fatalf("got %d ranges, had %d before one server left", len(merged), len(ranges))
	}
	for _, m := range p.members {
		if u := p.utilization(m); u > testPlan.Busy {
			t.Errorf("utilization of %s is %.2f, above the limit", m.Server, u)
		}
	}
}

// Guards against a long request that holds up the move of all keys: a move releases
// keys in pieces of about one running request each.
func TestKeysMoveInPieces(t *testing.T) {
	members := planMembers(60) // 5 requests per second per slot
	ranges := acknowledged(newPlanner(testPlan, evenProfile(1000), members).initialRanges())
	leaving := members[3].Holder
	p := newPlanner(testPlan, evenProfile(1000), append(members[:3:3], members[4:]...))
	p.computeLoads(ranges)
	next, _ := p.reassign(ranges, ownedBy(leaving), never)
	requireFullCoverage(t, next)
	for _, r := range next {
		if load := p.profile.load(r.Span); r.Pending && load > 1.5*5 {
			t.Errorf("pending range %v has %.1f requests per second, want at most 7.5", r.Span, load)
		}
	}
	merged, _ := mergeAdjacent(acknowledged(next), always)
	if len(merged) > len(ranges)+maxReassignPieces {
		t.Errorf("got %d ranges after the move, had %d before", len(merged), len(ranges))
	}
}

// Guards against a move or merge of keys that their owner has not acknowledged yet.
func TestUnacknowledgedKeysAreNotMoved(t *testing.T) {
	members := planMembers(2)
	p := newPlanner(testPlan, evenProfile(100), members)
	ranges := []Range{{Span: Span{0, 499}, Owner: members[0].Holder, Token: 1}, {Span: Span{500, planKeys - 1}, Owner: members[0].Holder, Token: 2}}
	p.acknowledged = func(r *Range) bool { return r.Token == 1 }
	p.computeLoads(ranges)
	next, moved := p.balance(ranges)
	if !moved || next[len(next)-1].Token != 2 || next[len(next)-1].Span != ranges[1].Span {
		t.Fatalf("got ranges %+v, want the unacknowledged range unchanged", next)
	}
	if _, merged := mergeAdjacent(ranges, p.acknowledged); merged {
		t.Fatal("merged with a range before its first grant")
	}
}

func TestMergeJoinsAdjacentRanges(t *testing.T) {
	members := planMembers(2)
	ranges, merged := mergeAdjacent([]Range{
		{Span: Span{0, 9}, Owner: members[0].Holder, Token: 4}, {Span: Span{10, 19}, Owner: members[0].Holder, Token: 7},
		{Span: Span{20, 29}, Owner: members[1].Holder, Token: 5}, {Span: Span{30, 39}, Owner: members[1].Holder, Token: 6, Pending: true},
	}, always)
	if !merged || len(ranges) != 3 || ranges[0].Span != (Span{0, 19}) || ranges[0].Token != 0 {
		t.Fatalf("got ranges %+v, want the first two merged", ranges)
	}
}

// Guards against a record that no longer names the former holder. The owner of a
// pending range never had its keys, so when the range is reassigned, the former
// holder stays, with the token of its lease.
func TestReassignedPendingRangeKeepsFormerHolder(t *testing.T) {
	members := planMembers(3)
	lost := members[1].Holder
	ranges := []Range{{Span: Span{0, planKeys - 1}, Owner: lost, Token: 9, Pending: true, Former: []Former{{members[0].Holder, 4}}}}
	p := newPlanner(testPlan, evenProfile(1), members[2:])
	p.computeLoads(ranges)
	next, _ := p.reassign(ranges, ownedBy(lost), never)
	requireFullCoverage(t, next)
	for _, r := range next {
		if len(r.Former) != 1 || !r.Former[0].Same(members[0].Holder) || r.Former[0].Token != 4 {
			t.Fatalf("got former holders %v of range %v, want the original one", r.Former, r.Span)
		}
	}
}

func TestZeroTokenDecodesAsRowVersion(t *testing.T) {
	data, err := Record{Ranges: []Range{{Span: Span{0, 4}, Token: 0}, {Span: Span{5, 9}, Token: 3}}}.encode()
	if err != nil {
		t.Fatal(err)
	}
	r, err := DecodeRecord(data, 12)
	if err != nil || r.Ranges[0].Token != 12 || r.Ranges[1].Token != 3 {
		t.Fatalf("got record %+v, error %v; want tokens 12 and 3", r, err)
	}
	if _, err := DecodeRecord([]byte(`{"ranges":[{"from":0,"to":4},{"from":6,"to":9}]}`), 1); err == nil {
		t.Fatal("got no error for a record with a gap")
	}
}
