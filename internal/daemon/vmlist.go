package daemon

import (
	"context"
	"log/slog"
	"time"

	"kumquatcleat/internal/peer"
	"kumquatcleat/internal/platform"
)

// knownList is a reading of the platform's list of VMs. It is never changed.
type knownList struct {
	vms  []platform.VM
	asOf time.Duration // on this process's clock: the list may be as old as that
}

// answerList returns the list for another VM.
func (m *Members) answerList() *peer.VMListAnswer {
	list := m.lastList.Load()
	if list == nil {
		return &peer.VMListAnswer{}
	}
	answer := &peer.VMListAnswer{Known: true, AgeMs: uint64(max(0, m.clock()-list.asOf).Milliseconds()) + 1}
	for _, vm := range list.vms {
		answer.Vms = append(answer.Vms, &peer.ListedVM{
			Id: vm.ID, Incarnation: vm.Incarnation, Role: vm.Role,
			FailureDomain: vm.FailureDomain, Address: vm.Address, State: string(vm.State),
		})
	}
	return answer
}

// askSeeds takes the platform's list from another VM, for a VM that has read
// none since its start and can't reach the platform. The list comes with its
// age, counted from when the question was sent, so it says no more than a late
// answer of the platform itself would.
func (m *Members) askSeeds(ctx context.Context) {
	if m.lastList.Load() != nil {
		return
	}
	for _, address := range m.seeds {
		if list := m.askSeed(ctx, address); list != nil {
			slog.Info("membership: VM list learnt from a peer", "peer", address, "vms", len(list.vms))
			m.takeList(ctx, list)
			return
		}
	}
}

// askSeed returns nil when the VM did not answer or has no list.
func (m *Members) askSeed(ctx context.Context, address string) *knownList {
	ctx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	sentAt := m.clock()
	from := &peer.VMRef{Id: m.self.ID, Incarnation: m.self.Incarnation}
	answer, err := m.clients.For(address).VMList(ctx, &peer.VMListRequest{From: from})
	if err != nil || !answer.GetKnown() {
		return nil
	}
	list := &knownList{asOf: sentAt - time.Duration(answer.GetAgeMs())*time.Millisecond}
	for _, vm := range answer.GetVms() {
		list.vms = append(list.vms, platform.VM{
			ID: vm.GetId(), Incarnation: vm.GetIncarnation(), Role: vm.GetRole(),
			FailureDomain: vm.GetFailureDomain(), Address: vm.GetAddress(), State: platform.VMState(vm.GetState()),
		})
	}
	return list
}
