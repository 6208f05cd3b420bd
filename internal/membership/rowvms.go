package membership

import (
	"strings"
	"time"

	"kumquatcleat/internal/ownership"
	"kumquatcleat/internal/platform"
)

// RowNamesVM records that a group row, read now, names a VM as keeper or standby. If
// that VM is not known, list reads and pings determine whether it is gone. Without
// this, a VM that stopped before this VM first saw it could never be replaced in
// its roles.
func (v *View) RowNamesVM(now time.Duration, ref ownership.VMRef) {
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

// resolveMentionsByList uses a list read to determine which mentioned VMs are gone. A
// VM named in a row ran before the row was read, so the time of that read counts
// as the last time at which the VM was known to run.
func (v *View) resolveMentionsByList(asOf time.Duration, entryVMs map[string]platform.VM) {
	for ref, since := range v.mentions {
		entry, named := entryVMs[ref.ID]
		switch {
		case !named && asOf > since+v.settings.ListGrace:
			v.markMentionGone(ref)
		case named && asOf > since && v.namesAnotherVM(entry, ref):
			v.markMentionGone(ref)
		}
	}
}

// namesAnotherVM reports whether a listed VM is a replacement of the VM ref, rather
// than another start of the daemon on the same VM.
func (v *View) namesAnotherVM(entry platform.VM, ref ownership.VMRef) bool {
	return !v.gone.has(refOf(entry)) && platformIncarnation(entry.Incarnation) != platformIncarnation(ref.Incarnation)
}

// resolveMentionsByAnswer uses a ping answer to determine which mentioned VMs with the
// id of the answering VM are gone. If a ping sent after the row was read is answered
// by another incarnation, the incarnation in the row has stopped.
func (v *View) resolveMentionsByAnswer(m *member, sentNoEarlier time.Duration) {
	for ref, since := range v.mentions {
		if ref.ID == m.vm.ID && ref != m.ref() && sentNoEarlier > since {
			v.markMentionGone(ref)
		}
	}
}

func (v *View) markMentionGone(ref ownership.VMRef) {
	delete(v.mentions, ref)
	v.markGone(ref)
}

// startSeparator separates the platform's incarnation from the suffix that
// identifies a start of the daemon.
const startSeparator = "."

func platformIncarnation(incarnation string) string {
	part, _, _ := strings.Cut(incarnation, startSeparator)
	return part
}
