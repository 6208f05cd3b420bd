package membership

import (
	"cmp"
	"slices"
)

// rosters holds the members in the orders that queries need. It is rebuilt when
// a query finds it dirty.
type rosters struct {
	dirty bool
	byID  []*member
	ring  map[string][]*member // by failure domain, ordered by hash of the id
}

// all returns the members ordered by id.
func (r *rosters) all(v *View) []*member {
	r.refresh(v)
	return r.byID
}

// domain returns the members of a failure domain in the order of the hash ring.
func (r *rosters) domain(v *View, name string) []*member {
	r.refresh(v)
	return r.ring[name]
}

func (r *rosters) refresh(v *View) {
	if !r.dirty {
		return
	}
	r.dirty = false
	r.byID = r.byID[:0]
	for _, m := range v.members {
		r.byID = append(r.byID, m)
	}
	slices.SortFunc(r.byID, func(a, b *member) int { return cmp.Compare(a.vm.ID, b.vm.ID) })
	r.ring = map[string][]*member{}
	for _, m := range r.byID {
		r.ring[m.vm.FailureDomain] = append(r.ring[m.vm.FailureDomain], m)
	}
	for _, domain := range r.ring {
		slices.SortStableFunc(domain, func(a, b *member) int { return cmp.Compare(a.hash, b.hash) })
	}
}
