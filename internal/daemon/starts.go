package daemon

import (
	"slices"
	"strings"

	"github.com/google/uuid"

	"kumquatcleat/internal/ownership"
	"kumquatcleat/internal/platform"
)

// startSeparator parts the platform's incarnation of a VM from the mark of one
// start of the daemon on it. The platform's list knows the first part only; a
// daemon that was started again on the same VM has forgotten its promises and
// must not be taken for its predecessor.
const startSeparator = "."

// startMarkLength keeps marks of one VM apart: 32 random bits.
const startMarkLength = 8

func newIncarnation(platformPart string) string {
	return platformPart + startSeparator + uuid.NewString()[:startMarkLength]
}

func platformPartOf(incarnation string) string {
	part, _, _ := strings.Cut(incarnation, startSeparator)
	return part
}

// starts joins what the platform's list says of VMs with the starts that
// answered pings. It belongs to the goroutine of Members.
type starts struct {
	byID   map[string]string      // the incarnation that answered a ping last
	listed map[string]platform.VM // the entry VMs of the last list
}

func newStarts(selfID, selfIncarnation string) starts {
	return starts{byID: map[string]string{selfID: selfIncarnation}, listed: map[string]platform.VM{}}
}

func (s *starts) heard(ref ownership.VMRef) { s.byID[ref.ID] = ref.Incarnation }

func (s *starts) address(id string) (string, bool) {
	vm, ok := s.listed[id]
	return vm.Address, ok
}

// fill returns a list with the full incarnation of each VM whose start is known.
// A VM that the list names under another platform incarnation keeps the list's:
// it was replaced.
func (s *starts) fill(vms []platform.VM) []platform.VM {
	out := slices.Clone(vms)
	clear(s.listed)
	for i, vm := range out {
		s.listed[vm.ID] = vm
		start, ok := s.byID[vm.ID]
		if ok && s.sameVM(start, vm) {
			out[i].Incarnation = start
		}
	}
	return out
}

// sameVM reports whether a start may be one of the VM that the list names.
func (s *starts) sameVM(start string, vm platform.VM) bool {
	part := platformPartOf(start)
	return part == "" || part == vm.Incarnation
}

// startVerdict is what is known of a start that a row names.
type startVerdict int

const (
	startRuns    startVerdict = iota // it answered last
	startUnasked                     // the list names its VM, whose start is not known
	startOther                       // its VM is not listed, was replaced, or was started again
)

// judge tells whether a start that a row names may be taken for ended. While the
// list names its VM and no start of that VM has answered, nothing is known: to
// conclude anything from the list alone would bury a VM that runs.
func (s *starts) judge(ref ownership.VMRef) startVerdict {
	if s.byID[ref.ID] == ref.Incarnation {
		return startRuns
	}
	vm, listed := s.listed[ref.ID]
	if listed && s.sameVM(ref.Incarnation, vm) && s.byID[ref.ID] == "" {
		return startUnasked
	}
	return startOther
}

// withKnownStart leaves out VMs that are only listed. Named in a row by the
// platform's incarnation alone, such a VM would not know itself as standby.
func withKnownStart(refs []ownership.VMRef) []ownership.VMRef {
	return slices.DeleteFunc(refs, func(ref ownership.VMRef) bool {
		return !strings.Contains(ref.Incarnation, startSeparator)
	})
}
