package membership

import (
	"time"

	"kumquatcleat/internal/platform"
)

// ListRead takes in a reading of the VM list. sentAt is when the read was sent,
// not when it was answered: the list may have been made at any time in between.
// age is how old the platform says that it is. A read older than an earlier one
// is ignored, and so is a read without any entry VM, which can only be wrong.
func (v *View) ListRead(sentAt time.Duration, vms []platform.VM, age time.Duration) {
	asOf := sentAt - max(0, age)
	entries := entriesOf(vms)
	if asOf < v.listAsOf || len(entries) == 0 {
		return
	}
	v.listAsOf = asOf
	for _, vm := range entries {
		v.listNames(sentAt, asOf, vm)
	}
	for _, m := range v.members {
		entry, named := entries[m.vm.ID]
		if !named || entry.Incarnation != m.vm.Incarnation {
			v.listLacks(asOf, m, named)
		}
	}
	v.settleMentions(asOf, entries)
}

func entriesOf(vms []platform.VM) map[string]platform.VM {
	entries := make(map[string]platform.VM, len(vms))
	for _, vm := range vms {
		if vm.Role == roleEntry {
			entries[vm.ID] = vm
		}
	}
	return entries
}

// listNames takes in one VM that the list names.
func (v *View) listNames(now, asOf time.Duration, vm platform.VM) {
	m := v.members[vm.ID]
	if m != nil && m.vm.Incarnation != vm.Incarnation {
		if !v.replaces(vm, asOf, m) {
			return
		}
		v.remove(m)
		m = nil
	}
	if m == nil {
		if v.gone.has(refOf(vm)) {
			return
		}
		m = v.add(now, vm)
	}
	if m == v.self {
		// Its settings know this VM better than the list does, but for its end.
		state := vm.State
		vm = m.vm
		vm.State = state
	}
	if !m.listed || m.vm != vm {
		v.changed()
	}
	m.listed = true
	m.listedAt = asOf
	m.vm = vm
}

// replaces reports whether vm, which ran at a time, is a successor of m.
func (v *View) replaces(vm platform.VM, at time.Duration, m *member) bool {
	return m != v.self && !v.gone.has(refOf(vm)) && at > m.lastProof()
}

// listLacks takes in that the list does not name a member. If it names another
// incarnation under the same id, that one is a known predecessor or their order
// is open, so nothing is concluded.
func (v *View) listLacks(asOf time.Duration, m *member, idNamed bool) {
	if m == v.self {
		return
	}
	if !idNamed && m.gone(asOf, v.settings) {
		v.remove(m)
		return
	}
	v.doubtful[m.vm.ID] = m
	if m.listed {
		m.listed = false
		v.changed()
	}
}
