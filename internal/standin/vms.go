package standin

import (
	"errors"
	"net/http"
	"slices"
	"strings"
	"sync"

	"kumquatcleat/internal/platform"
)

// maxVMSnapshots bounds how many versions of the list are kept to serve it with a lag.
const maxVMSnapshots = 1024

// VMChange sets or removes one entry of the VM list.
type VMChange struct {
	VM     platform.VM `json:"vm"`
	Remove bool        `json:"remove,omitempty"` // removes the entry with VM.ID
}

// vmList keeps a snapshot of the VM list after each change, so that the list can be
// returned with a lag.
type vmList struct {
	mu        sync.Mutex
	snapshots []vmSnapshot // oldest first, never empty
}

type vmSnapshot struct {
	at  int64 // CLOCK_MONOTONIC ns
	vms []platform.VM
}

func newVMList() *vmList { return &vmList{snapshots: []vmSnapshot{{}}} }

// asOf returns the list as of now minus lag, both in nanoseconds.
func (l *vmList) asOf(now, lag int64) []platform.VM {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i := len(l.snapshots) - 1; i > 0; i-- {
		if l.snapshots[i].at <= now-lag {
			return l.snapshots[i].vms
		}
	}
	return l.snapshots[0].vms
}

func (l *vmList) apply(now int64, change VMChange) {
	l.mu.Lock()
	defer l.mu.Unlock()
	vms := slices.Clone(l.snapshots[len(l.snapshots)-1].vms)
	vms = slices.DeleteFunc(vms, func(vm platform.VM) bool { return vm.ID == change.VM.ID })
	if !change.Remove {
		vms = append(vms, change.VM)
	}
	l.appendSnapshot(now, vms)
}

func (l *vmList) replace(now int64, vms []platform.VM) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.appendSnapshot(now, slices.Clone(vms))
}

func (l *vmList) appendSnapshot(now int64, vms []platform.VM) {
	slices.SortFunc(vms, func(a, b platform.VM) int { return strings.Compare(a.ID, b.ID) })
	l.snapshots = append(l.snapshots, vmSnapshot{at: now, vms: vms})
	if len(l.snapshots) > maxVMSnapshots {
		l.snapshots = slices.Delete(l.snapshots, 0, 1)
	}
}

func (p *Platform) listVMs(w http.ResponseWriter, _ *http.Request) {
	lag := p.faults.get().ListLagMS
	vms := p.vms.asOf(MonotonicNow(), lag*int64(1e6))
	if vms == nil {
		vms = []platform.VM{}
	}
	writeJSON(w, platform.VMsAnswer{AgeMS: lag, VMs: vms})
}

func (p *Platform) changeVM(w http.ResponseWriter, r *http.Request) {
	var change VMChange
	if err := decodeJSON(r, &change); err != nil {
		badRequest(w, err)
		return
	}
	if change.VM.ID == "" {
		badRequest(w, errors.New("standin: vm.id is missing"))
		return
	}
	p.vms.apply(MonotonicNow(), change)
	writeJSON(w, change)
}

func (p *Platform) replaceVMs(w http.ResponseWriter, r *http.Request) {
	var vms []platform.VM
	if err := decodeJSON(r, &vms); err != nil {
		badRequest(w, err)
		return
	}
	p.vms.replace(MonotonicNow(), vms)
	writeJSON(w, vms)
}

// SetVM sets one entry of the VM list.
func (p *Platform) SetVM(vm platform.VM) { p.vms.apply(MonotonicNow(), VMChange{VM: vm}) }

// RemoveVM removes one entry of the VM list.
func (p *Platform) RemoveVM(id string) {
	p.vms.apply(MonotonicNow(), VMChange{VM: platform.VM{ID: id}, Remove: true})
}
