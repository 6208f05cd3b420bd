package membership

import (
	"cmp"
	"slices"
)

// memberIndex holds the members in the orders that queries need. A query rebuilds it
// if it is stale.
type memberIndex struct {
	stale bool
	byID  []*member
	ring  map[string][]*member // by failure domain, ordered by the hash of the id
}

// all returns the members ordered by id.
func (x *memberIndex) all(v *View) []*member {
	x.refresh(v)
	return x.byID
}

// domain returns the members of a failure domain in hash ring order.
func (x *memberIndex) domain(v *View, name string) []*member {
	x.refresh(v)
	return x.ring[name]
}

func (x *memberIndex) refresh(v *View) {
	if !x.stale {
		return
	}
	x.stale = false
	x.byID = x.byID[:0]
	for _, m := range v.members {
		x.byID = append(x.byID, m)
	}
	slices.SortFunc(x.byID, func(a, b *member) int { return cmp.Compare(a.vm.ID, b.vm.ID) })
	x.ring = map[string][]*member{}
	for _, m := range x.byID {
		x.ring[m.vm.FailureDomain] = append(x.ring[m.vm.FailureDomain], m)
	}
	for _, domain := range x.ring {
		slices.SortStableFunc(domain, func(a, b *member) int { return cmp.Compare(a.hash, b.hash) })
	}
}
