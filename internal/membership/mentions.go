package membership

import (
	"strings"
	"time"

	"kumquatcleat/internal/ownership"
	"kumquatcleat/internal/platform"
)

// Mention tells that a group row, read now, names a VM: its keeper or standby. If
// that VM is not known, list reads and pings decide whether it is gone. Without
// this, a VM that ended before this one first saw it could never be replaced in
// its roles.
func (v *View) Mention(now time.Duration, ref ownership.VMRef) {
	if ref.IsZero() || v.gone.has(ref) {
		return
	}
	if m := v.members[ref.ID]; m != nil && m.vm.Incarnation == ref.Incarnation {
		return
	}
	if _, ok := v.mentions[ref]; !ok {
		v.mentions[ref] = now
	}
}

// settleMentions decides by a list read about the VMs that rows name. A VM that a
// row names ran before the row was read, so that is the last time at which it is
// known to have run.
func (v *View) settleMentions(asOf time.Duration, entries map[string]platform.VM) {
	for ref, since := range v.mentions {
		entry, named := entries[ref.ID]
		switch {
		case !named && asOf > since+v.settings.ListGrace:
			v.settle(ref)
		case named && asOf > since && v.namesAnotherVM(entry, ref):
			v.settle(ref)
		}
	}
}

// namesAnotherVM reports whether a list entry is a replacement of the VM that
// ref names, not merely another start of the daemon on it.
func (v *View) namesAnotherVM(entry platform.VM, ref ownership.VMRef) bool {
	return !v.gone.has(refOf(entry)) && platformPart(entry.Incarnation) != platformPart(ref.Incarnation)
}

// settleMentionsBy decides by an answer about the VMs that rows name under the
// id of the VM that answered. A ping sent after the row was read, and answered by
// another incarnation, shows that the one in the row has ended.
func (v *View) settleMentionsBy(m *member, sentNoEarlier time.Duration) {
	for ref, since := range v.mentions {
		if ref.ID == m.vm.ID && ref != m.ref() && sentNoEarlier > since {
			v.settle(ref)
		}
	}
}

func (v *View) settle(ref ownership.VMRef) {
	delete(v.mentions, ref)
	v.bury(ref)
}

// startSeparator parts the platform's incarnation from the mark of a start.
const startSeparator = "."

func platformPart(incarnation string) string {
	part, _, _ := strings.Cut(incarnation, startSeparator)
	return part
}
