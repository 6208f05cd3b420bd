package membership

import (
	"time"

	"kumquatcleat/internal/platform"
)

// ListRead applies a read of the VM list. age is an upper bound on the age of the list
// at now: the age that the platform states plus the time since the read was sent, because
// the platform may have answered at any time in between. A read that is older than a
// previous one is ignored. So is a read without any entry VM, which must be wrong.
func (v *View) ListRead(now time.Duration, vms []platform.VM, age time.Duration) {
	asOf := now - max(0, age)
	entryVMs := entryVMsByID(vms)
	if asOf < v.listAsOf || len(entryVMs) == 0 {
		return
	}
	v.listAsOf = asOf
	for _, vm := range entryVMs {
		v.applyListed(now, asOf, vm)
	}
	for _, m := range v.members {
		entry, named := entryVMs[m.vm.ID]
		if !named || entry.Incarnation != m.vm.Incarnation {
			v.applyUnlisted(asOf, m, named)
		}
	}
	v.resolveRowVMsByList(asOf, entryVMs)
}

func entryVMsByID(vms []platform.VM) map[string]platform.VM {
	byID := make(map[string]platform.VM, len(vms))
	for _, vm := range vms {
		if vm.Role == roleEntry {
			byID[vm.ID] = vm
		}
	}
	return byID
}

// applyListed applies one VM of the list.
func (v *View) applyListed(now, asOf time.Duration, vm platform.VM) {
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
		// This process's settings are more accurate about this VM than the list,
		// except for its state.
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

// replaces reports whether vm, which ran at the given time, is a successor of m.
func (v *View) replaces(vm platform.VM, at time.Duration, m *member) bool {
	return m != v.self && !v.gone.has(refOf(vm)) && at > m.lastKnownRunning()
}

// applyUnlisted handles a member that the list does not contain. If the list contains
// another incarnation with the same id, that one is a known predecessor or the order of
// the two is unknown, so the member is not considered gone.
func (v *View) applyUnlisted(asOf time.Duration, m *member, idNamed bool) {
	if m == v.self {
		return
	}
	if !idNamed && m.absenceProvesGone(asOf, v.settings) {
		v.remove(m)
		return
	}
	v.uncertain[m.vm.ID] = m
	if m.listed {
		m.listed = false
		v.changed()
	}
}
