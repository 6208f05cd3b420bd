package membership

import (
	"cmp"
	"slices"

	"kumquatcleat/internal/ownership"
)

// goneSet holds up to limit VMs that are gone. When it is full, it evicts the VM
// that was added first.
type goneSet struct {
	limit int
	order []ownership.VMRef
	refs  map[ownership.VMRef]struct{}
}

func newGoneSet(limit int) goneSet {
	return goneSet{limit: limit, refs: map[ownership.VMRef]struct{}{}}
}

func (g *goneSet) has(ref ownership.VMRef) bool {
	_, ok := g.refs[ref]
	return ok
}

func (g *goneSet) add(ref ownership.VMRef) {
	if g.has(ref) {
		return
	}
	if len(g.order) == g.limit {
		delete(g.refs, g.order[0])
		g.order = slices.Delete(g.order, 0, 1)
	}
	g.order = append(g.order, ref)
	g.refs[ref] = struct{}{}
}

// list returns the VMs ordered by id and incarnation.
func (g *goneSet) list() []ownership.VMRef {
	refs := slices.Clone(g.order)
	slices.SortFunc(refs, func(a, b ownership.VMRef) int {
		return cmp.Or(cmp.Compare(a.ID, b.ID), cmp.Compare(a.Incarnation, b.Incarnation))
	})
	return refs
}
