package standin

import (
	"errors"
	"net/http"
	"slices"
	"strings"
	"sync"

	"kumquatcleat/internal/platform"
)

// vmHistoryLength bounds how many changes of the list are kept for the lag.
const vmHistoryLength = 1024

// VMChange sets or removes one entry of the VM list.
type VMChange struct {
	VM     platform.VM `json:"vm"`
	Remove bool        `json:"remove,omitempty"` // removes the entry with the VM's id
}

// vmList keeps the list after each change, so that it can be shown with a lag.
type vmList struct {
	mu      sync.Mutex
	changes []vmSnapshot // oldest first, never empty
}

type vmSnapshot struct {
	at  int64 // CLOCK_MONOTONIC ns
	vms []platform.VM
}

func newVMList() *vmList { return &vmList{changes: []vmSnapshot{{}}} }

// shown returns the list as it was lag nanoseconds before now.
func (l *vmList) shown(now, lag int64) []platform.VM {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i := len(l.changes) - 1; i > 0; i-- {
		if l.changes[i].at <= now-lag {
			return l.changes[i].vms
		}
	}
	return l.changes[0].vms
}

func (l *vmList) apply(now int64, change VMChange) {
	l.mu.Lock()
	defer l.mu.Unlock()
	vms := slices.Clone(l.changes[len(l.changes)-1].vms)
	vms = slices.DeleteFunc(vms, func(vm platform.VM) bool { return vm.ID == change.VM.ID })
	if !change.Remove {
		vms = append(vms, change.VM)
	}
	l.push(now, vms)
}

func (l *vmList) replace(now int64, vms []platform.VM) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.push(now, slices.Clone(vms))
}

func (l *vmList) push(now int64, vms []platform.VM) {
	slices.SortFunc(vms, func(a, b platform.VM) int { return strings.Compare(a.ID, b.ID) })
	l.changes = append(l.changes, vmSnapshot{at: now, vms: vms})
	if len(l.changes) > vmHistoryLength {
		l.changes = slices.Delete(l.changes, 0, 1)
	}
}

func (p *Platform) listVMs(w http.ResponseWriter, _ *http.Request) {
	lag := p.faults.get().ListLagMS
	vms := p.vms.shown(MonotonicNow(), lag*int64(1e6))
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
