package membership

import (
	"strings"
	"time"

	"kumquatcleat/internal/ownership"
	"kumquatcleat/internal/platform"
)

// RowNamesVM records that a group row, read now, names a VM as keeper or standby. If
// that VM is not known, list reads and pings determine whether it is gone. Without this,
// a VM that stopped before this VM first saw it could never be replaced in its roles.
func (v *View) RowNamesVM(now time.Duration, ref ownership.VMRef) {
	if ref.IsZero() || v.gone.has(ref) {
		return
	}
	if m := v.members[ref.ID]; m != nil && m.vm.Incarnation == ref.Incarnation {
		return
	}
	if _, ok := v.rowVMs[ref]; !ok {
		v.rowVMs[ref] = now
	}
}

// resolveRowVMsByList uses a list read to determine which VMs named in rows are gone.
// A VM named in a row ran before the row was read, so the time of that read counts as the
// last time at which the VM was known to run.
func (v *View) resolveRowVMsByList(asOf time.Duration, entryVMs map[string]platform.VM) {
	for ref, since := range v.rowVMs {
		entry, named := entryVMs[ref.ID]
		switch {
		case !named && asOf > since+v.settings.ListGrace:
			v.markRowVMGone(ref)
		case named && asOf > since && v.namesAnotherVM(entry, ref):
			v.markRowVMGone(ref)
		}
	}
}

// namesAnotherVM reports whether a listed VM is a replacement of the VM ref, rather
// than another daemon process on the same VM.
func (v *View) namesAnotherVM(entry platform.VM, ref ownership.VMRef) bool {
	return !v.gone.has(refOf(entry)) && platformIncarnation(entry.Incarnation) != platformIncarnation(ref.Incarnation)
}

// resolveRowVMsByAnswer uses a ping answer to determine which VMs named in rows with the
// id of the answering VM are gone. If a ping sent after the row was read is answered by
// another incarnation, the incarnation in the row has stopped.
func (v *View) resolveRowVMsByAnswer(m *member, earliestSentAt time.Duration) {
	for ref, since := range v.rowVMs {
		if ref.ID == m.vm.ID && ref != m.ref() && earliestSentAt > since {
			v.markRowVMGone(ref)
		}
	}
}

func (v *View) markRowVMGone(ref ownership.VMRef) {
	delete(v.rowVMs, ref)
	v.markGone(ref)
}

// incarnationSeparator separates the platform's incarnation from the process suffix,
// which identifies one daemon process on the VM.
const incarnationSeparator = "."

func platformIncarnation(incarnation string) string {
	part, _, _ := strings.Cut(incarnation, incarnationSeparator)
	return part
}
