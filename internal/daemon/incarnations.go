package daemon

import (
	"slices"
	"strings"

	"github.com/google/uuid"

	"kumquatcleat/internal/ownership"
	"kumquatcleat/internal/platform"
)

// incarnationSeparator separates the two parts of a full incarnation: the platform's
// incarnation of the VM, and the process suffix, which identifies one daemon process on
// it. The platform's list has only the first part. A daemon that restarts on the same VM
// has lost its promises, so it must not be mistaken for its predecessor.
const incarnationSeparator = "."

// processSuffixLength is the length of a process suffix in hexadecimal digits: 32 random
// bits, enough to distinguish the processes of one VM.
const processSuffixLength = 8

func newIncarnation(platformPart string) string {
	return platformPart + incarnationSeparator + uuid.NewString()[:processSuffixLength]
}

func platformIncarnation(incarnation string) string {
	part, _, _ := strings.Cut(incarnation, incarnationSeparator)
	return part
}

// knownIncarnations combines the platform's list of VMs with the full incarnations from
// ping answers. Only the goroutine of Members.Run modifies it. It has no lock, although
// Members.pingListed calls address on other goroutines.
type knownIncarnations struct {
	byID   map[string]string      // full incarnation of the last ping answer, by VM
	listed map[string]platform.VM // VMs of the last list, by id
}

func newKnownIncarnations(selfID, selfIncarnation string) knownIncarnations {
	return knownIncarnations{byID: map[string]string{selfID: selfIncarnation}, listed: map[string]platform.VM{}}
}

func (k *knownIncarnations) record(ref ownership.VMRef) { k.byID[ref.ID] = ref.Incarnation }

func (k *knownIncarnations) address(id string) (string, bool) {
	vm, ok := k.listed[id]
	return vm.Address, ok
}

// fill returns a copy of the list with the full incarnation of each VM where it is known.
// A VM that is listed under a different platform incarnation has been replaced and keeps
// the listed one.
func (k *knownIncarnations) fill(vms []platform.VM) []platform.VM {
	out := slices.Clone(vms)
	clear(k.listed)
	for i, vm := range out {
		k.listed[vm.ID] = vm
		incarnation, ok := k.byID[vm.ID]
		if ok && k.sameVM(incarnation, vm) {
			out[i].Incarnation = incarnation
		}
	}
	return out
}

// sameVM reports whether an incarnation may be one of the listed VM.
func (k *knownIncarnations) sameVM(incarnation string, vm platform.VM) bool {
	part := platformIncarnation(incarnation)
	return part == "" || part == vm.Incarnation
}

// incarnationStatus classifies an incarnation named in a row.
type incarnationStatus int

const (
	incarnationCurrent incarnationStatus = iota // the VM's last ping answer named it
	incarnationUnknown                          // its VM is listed, but has not answered a ping yet
	incarnationStale                            // its VM is not listed or was replaced, or the daemon restarted
)

// classify decides whether an incarnation named in a row may be treated as terminated.
// While its VM is listed and no incarnation of that VM has answered a ping, nothing is
// known: a decision from the list alone could declare a running VM gone.
func (k *knownIncarnations) classify(ref ownership.VMRef) incarnationStatus {
	if k.byID[ref.ID] == ref.Incarnation {
		return incarnationCurrent
	}
	vm, listed := k.listed[ref.ID]
	if listed && k.sameVM(ref.Incarnation, vm) && k.byID[ref.ID] == "" {
		return incarnationUnknown
	}
	return incarnationStale
}

// dropIncomplete removes the VMs whose incarnation has no process suffix. If a row named
// such a VM by its platform incarnation alone, the VM would not recognize itself as
// standby.
func dropIncomplete(refs []ownership.VMRef) []ownership.VMRef {
	return slices.DeleteFunc(refs, func(ref ownership.VMRef) bool {
		return !strings.Contains(ref.Incarnation, incarnationSeparator)
	})
}
