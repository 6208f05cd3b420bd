package keyspace

import (
	"math"
	"slices"
)

// Member is a server that may own keys.
type Member struct {
	Holder
	Slots    int     // maximum concurrent requests
	Capacity float64 // requests per second
	// WarmupRate is the rate in requests per second that the server takes while it is cold; 0: it
	// is warm.
	WarmupRate float64
}

// PlanSettings are the thresholds for moving keys.
type PlanSettings struct {
	// Busy is the utilization above which a server may give keys away.
	Busy float64
	// Imbalance is the factor by which its utilization must also exceed the mean.
	Imbalance float64
	// MaxMoves limits the moves that one plan starts.
	MaxMoves int
	// Overloaded is the utilization, measured over less than a second, above which
	// keys move at once.
	Overloaded float64
}

// planner computes the next record of a service.
type planner struct {
	settings PlanSettings
	profile  profile
	members  []Member
	load     map[string]float64 // by holderKey, including planned moves
	capacity float64
	slots    int
	total    float64
	// acknowledged reports whether a range's owner has acknowledged its keys. Only
	// then may they move again.
	acknowledged func(*Range) bool
	// maxRanges is the number of ranges from which on no range is cut.
	maxRanges int
}

func newPlanner(s PlanSettings, p profile, members []Member) *planner {
	pl := &planner{settings: s, profile: p, members: members, load: map[string]float64{}, acknowledged: func(*Range) bool { return true }, maxRanges: math.MaxInt}
	for _, m := range members {
		pl.capacity += m.Capacity
		pl.slots += m.Slots
	}
	pl.total = p.sums[len(p.sums)-1]
	return pl
}

func (p *planner) computeLoads(ranges []Range) {
	clear(p.load)
	for i := range ranges {
		p.load[holderKey(ranges[i].Owner)] += p.profile.load(ranges[i].Span)
	}
}

func (p *planner) utilization(m Member) float64 { return p.utilizationWith(m, 0) }

// utilizationWith returns the utilization of a member with some extra load.
func (p *planner) utilizationWith(m Member, extra float64) float64 {
	return (p.load[holderKey(m.Holder)] + extra) / m.Capacity
}

// leastUtilized returns the member with the lowest utilization after it gets some
// extra load.
func (p *planner) leastUtilized(extra float64) Member {
	return slices.MinFunc(p.members, func(a, b Member) int {
		return compare(p.utilizationWith(a, extra), p.utilizationWith(b, extra))
	})
}

// adjacentOwnerSlack is by how much the utilization of an adjacent range's owner may
// exceed that of the least utilized member if the owner is to get the keys. A higher
// value leads to late answers.
const adjacentOwnerSlack = 0.08

// preferAdjacent returns the owner of a range adjacent to a span that is to move, if
// its utilization is close to that of the least utilized member, otherwise the
// latter. One range less means one renewal less.
func (p *planner) preferAdjacent(adjacent []Range, load float64, leastUtilized Member) Member {
	most := p.utilizationWith(leastUtilized, load) + adjacentOwnerSlack
	for _, r := range adjacent {
		i := slices.IndexFunc(p.members, func(m Member) bool { return m.Same(r.Owner) })
		if i < 0 || r.Pending {
			continue
		}
		if m := p.members[i]; p.utilizationWith(m, load) <= most {
			return m
		}
	}
	return leastUtilized
}

// loadLimit returns the load up to which a member accepts keys.
func (p *planner) loadLimit(m Member) float64 {
	return max(maxAboveMean*p.total/p.capacity, p.settings.Busy) * m.Capacity
}

func compare(x, y float64) int {
	switch {
	case x < y:
		return -1
	case x > y:
		return 1
	}
	return 0
}

// initialRanges divides all keys among the members by capacity.
func (p *planner) initialRanges() []Range {
	var ranges []Range
	from, all := uint32(0), uint32(len(p.profile.sums)-2)
	for i, m := range p.members {
		span := Span{from, all}
		if i < len(p.members)-1 && from < all {
			span.To = p.profile.cutAt(span, p.total*m.Capacity/p.capacity)
		}
		ranges = append(ranges, Range{Span: span, Owner: m.Holder})
		if span.To == all {
			break
		}
		from = span.To + 1
	}
	return ranges
}

// maxReassignPieces is the maximum number of pieces into which the range of a lost
// server is cut, so that no successor is overloaded by the whole range.
const maxReassignPieces = 4

// reassign moves the ranges for which mustMove returns true to members.
func (p *planner) reassign(ranges []Range, mustMove func(*Range) bool, terminated func(Holder) bool) ([]Range, bool) {
	var next []Range
	changed := false
	for i, r := range ranges {
		if !mustMove(&r) || len(p.members) == 0 {
			next = append(next, r)
			continue
		}
		changed = true
		former := slices.Clone(r.Former)
		if !r.Pending {
			former = append(former, Former{r.Owner, r.Token})
		}
		former = withoutTerminated(former, terminated)
		spans := []Span{r.Span}
		if len(next)+len(ranges)-i < p.maxRanges {
			spans = p.splitByLoad(r.Span, max(p.profile.load(r.Span)/maxReassignPieces, p.total*minReassignShare))
		}
		for j, span := range spans {
			load := p.profile.load(span)
			var adjacent []Range
			if n := len(next); n > 0 && j == 0 {
				adjacent = append(adjacent, next[n-1])
			}
			if i+1 < len(ranges) && j == len(spans)-1 {
				adjacent = append(adjacent, ranges[i+1])
			}
			to := p.preferAdjacent(adjacent, load, p.leastUtilized(load))
			p.load[holderKey(to.Holder)] += load
			next = append(next, p.pendingPieces(span, to.Holder, former, len(next)+len(ranges)-i)...)
		}
	}
	return next, changed
}

// maxMovePieces limits the pieces of one move: each piece costs a call to both
// servers.
const maxMovePieces = 8

// pendingPieces returns the pending ranges of a move. A release is acknowledged once
// the last running request on its keys has ended, so the keys of a move are released
// in pieces of about one running request each: a long request then holds up only its
// own piece. The pieces are merged again once the owner has acknowledged them. count is
// the number of ranges of the record so far: a record without room for pieces gets the
// move as one range.
func (p *planner) pendingPieces(s Span, to Holder, former []Former, count int) []Range {
	var list []Range
	spans := []Span{s}
	if count+maxMovePieces <= p.maxRanges {
		perSlot := p.capacity / float64(max(p.slots, 1))
		spans = p.splitByLoad(s, max(perSlot, p.profile.load(s)/maxMovePieces))
	}
	for _, span := range spans {
		list = append(list, Range{Span: span, Owner: to, Pending: true, Former: slices.Clone(former)})
	}
	return list
}

// mergeAdjacent merges adjacent ranges with the same owner, because each range costs
// a call per renewal. The owner keeps holding the keys under the old tokens until it
// is granted all of them under the new one. A range whose first grant is still due
// stays separate: it carries its own handover.
func mergeAdjacent(ranges []Range, acknowledged func(*Range) bool) ([]Range, bool) {
	var next []Range
	merged, previousMayMerge := false, false
	for _, r := range ranges {
		mayMerge := !r.Pending && acknowledged(&r)
		if n := len(next); previousMayMerge && mayMerge && next[n-1].Owner.Same(r.Owner) {
			next[n-1].To, next[n-1].Token, merged = r.To, 0, true
			continue
		}
		next = append(next, r)
		previousMayMerge = mayMerge
	}
	return next, merged
}

// minReassignShare is the share of the total load below which a piece is not cut
// further.
const minReassignShare = 0.01

func withoutTerminated(list []Former, terminated func(Holder) bool) []Former {
	return slices.DeleteFunc(list, func(f Former) bool { return terminated(f.Holder) })
}

// splitByLoad cuts a span into pieces of about the given load each. A rest of up to 1.5
// times that load stays whole: a cut would usually leave a last piece of at most half
// the load.
func (p *planner) splitByLoad(s Span, load float64) []Span {
	var list []Span
	for s.Keys() > 1 && p.profile.load(s) > 1.5*load {
		cut := p.profile.cutAt(s, load)
		list = append(list, Span{s.From, cut})
		s.From = cut + 1
	}
	return append(list, s)
}

// balance moves keys from busy members to members with low utilization, and to
// members without keys.
func (p *planner) balance(ranges []Range) ([]Range, bool) {
	changed := false
	for range p.settings.MaxMoves {
		next, moved := p.moveOnce(ranges)
		if !moved {
			break
		}
		ranges, changed = next, true
		p.computeLoads(ranges)
	}
	return ranges, changed
}

// moveOnce moves keys from the busiest member that can give some to the least
// utilized one.
func (p *planner) moveOnce(ranges []Range) ([]Range, bool) {
	if len(p.members) < 2 || p.total == 0 || len(ranges) >= p.maxRanges {
		return ranges, false
	}
	byUtilization := slices.Clone(p.members)
	slices.SortFunc(byUtilization, func(a, b Member) int { return compare(p.utilization(b), p.utilization(a)) })
	target := byUtilization[len(byUtilization)-1]
	mean := p.total / p.capacity
	for _, source := range byUtilization[:len(byUtilization)-1] {
		busy := p.utilization(source) > p.settings.Busy && p.utilization(source) > p.settings.Imbalance*mean
		if !busy && p.load[holderKey(target.Holder)] > 0 {
			break
		}
		if next, moved := p.moveLoad(ranges, source, target, p.loadToMove(source, target, mean)); moved {
			return next, true
		}
	}
	return ranges, false
}

// maxAboveMean is the factor by which the utilization of a member that accepts keys
// may exceed the mean.
const maxAboveMean = 1.1

// loadToMove returns the load to move from one member to another: the amount that
// brings the source to the mean, limited by the load limit of the target and by the
// amount that makes both equally utilized.
func (p *planner) loadToMove(source, target Member, mean float64) float64 {
	sourceLoad, targetLoad := p.load[holderKey(source.Holder)], p.load[holderKey(target.Holder)]
	equal := (sourceLoad*target.Capacity - targetLoad*source.Capacity) / (source.Capacity + target.Capacity)
	return min(equal, max(sourceLoad-mean*source.Capacity, 0), max(p.loadLimit(target)-targetLoad, 0))
}

// minMoveShare is the share of a server's capacity below which a move costs more in
// waiting requests than it gains.
const minMoveShare = 0.04

// moveLoad moves about the given load from one member to another: the range, or the
// part of a range, whose load comes closest. A range with up to 1.5 times the given
// load moves whole, one with more is cut.
func (p *planner) moveLoad(ranges []Range, from, to Member, load float64) ([]Range, bool) {
	if load < minMoveShare*to.Capacity && p.load[holderKey(to.Holder)] > 0 {
		return ranges, false
	}
	best, bestDeviation := -1, math.Inf(1)
	for i := range ranges {
		r := &ranges[i]
		if r.Pending || !r.Owner.Same(from.Holder) || !p.acknowledged(r) {
			continue
		}
		rangeLoad := p.profile.load(r.Span)
		deviation := math.Abs(min(rangeLoad, load) - load)
		if rangeLoad > 1.5*load && r.Keys() == 1 {
			continue // a single key cannot be cut
		}
		if deviation < bestDeviation {
			best, bestDeviation = i, deviation
		}
	}
	if best < 0 {
		return ranges, false
	}
	r := ranges[best]
	rangeLoad := p.profile.load(r.Span)
	moved := r.Span
	rest := Span{1, 0} // empty
	if rangeLoad > 1.5*load && r.Keys() > 1 {
		moved, rest = p.splitOff(r.Span, load)
	}
	if p.load[holderKey(to.Holder)] > 0 {
		if p.profile.load(moved) < minMoveShare*to.Capacity {
			return ranges, false
		}
		to = p.preferAdjacent(adjacentRanges(ranges, best, moved), p.profile.load(moved), to)
	}
	if (p.load[holderKey(to.Holder)]+p.profile.load(moved))/to.Capacity >= p.utilization(from) {
		return ranges, false
	}
	pieces := p.pendingPieces(moved, to.Holder, []Former{{r.Owner, r.Token}}, len(ranges))
	if rest.From <= rest.To {
		kept := r
		kept.Span = rest
		pieces = append(pieces, kept)
	}
	slices.SortFunc(pieces, func(a, b Range) int { return int(a.From) - int(b.From) })
	return slices.Replace(slices.Clone(ranges), best, best+1, pieces...), true
}

// adjacentRanges returns the ranges of other owners that are adjacent to a part of
// the range at an index.
func adjacentRanges(ranges []Range, at int, part Span) []Range {
	var list []Range
	if at > 0 && part.From == ranges[at].From && !ranges[at-1].Owner.Same(ranges[at].Owner) {
		list = append(list, ranges[at-1])
	}
	if at+1 < len(ranges) && part.To == ranges[at].To && !ranges[at+1].Owner.Same(ranges[at].Owner) {
		list = append(list, ranges[at+1])
	}
	return list
}

// splitOff returns a part of a span with about the given load, and the rest.
func (p *planner) splitOff(s Span, load float64) (part, rest Span) {
	head := p.profile.cutAt(s, load)
	part, rest = Span{s.From, head}, Span{head + 1, s.To}
	if p.profile.load(part) <= 2*load {
		return part, rest
	}
	// A part with more than twice the load ends with a single busy key: cut at the
	// other end of the span instead.
	tail := p.profile.cutAt(s, p.profile.load(s)-load)
	return Span{tail + 1, s.To}, Span{s.From, tail}
}
