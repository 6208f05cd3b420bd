package daemon

import (
	"fmt"

	"kumquatcleat/internal/ownership"
	"kumquatcleat/internal/peer"
	"kumquatcleat/internal/platform"
)

var kindsToWire = map[ownership.PeerKind]peer.Agreement_Kind{
	ownership.PeerAsk:       peer.Agreement_ASK,
	ownership.PeerPromise:   peer.Agreement_PROMISE,
	ownership.PeerConfirm:   peer.Agreement_CONFIRM,
	ownership.PeerConfirmed: peer.Agreement_CONFIRMED,
	ownership.PeerReturn:    peer.Agreement_RETURN,
	ownership.PeerReturned:  peer.Agreement_RETURNED,
	ownership.PeerMove:      peer.Agreement_MOVE,
	ownership.PeerMoved:     peer.Agreement_MOVED,
	ownership.PeerCede:      peer.Agreement_CEDE,
	ownership.PeerCeded:     peer.Agreement_CEDED,
	ownership.PeerRefuse:    peer.Agreement_REFUSE,
}

func encodeVM(ref ownership.VMRef) *peer.VMRef {
	return &peer.VMRef{Id: ref.ID, Incarnation: ref.Incarnation}
}

func decodeVM(ref *peer.VMRef) ownership.VMRef {
	return ownership.VMRef{ID: ref.GetId(), Incarnation: ref.GetIncarnation()}
}

func encodeAgreement(from, to ownership.VMRef, group string, m ownership.PeerMessage) (*peer.Agreement, error) {
	kind, ok := kindsToWire[m.Kind]
	if !ok {
		return nil, fmt.Errorf("agreement: kind %d has no wire form", m.Kind)
	}
	out := &peer.Agreement{
		Kind:   kind,
		Group:  group,
		From:   encodeVM(from),
		To:     encodeVM(to),
		Number: m.Number,
		Epoch:  m.Epoch,
	}
	if m.Row == nil {
		return out, nil
	}
	row, err := ownership.EncodeRow(m.Row)
	if err != nil {
		return nil, fmt.Errorf("agreement: %w", err)
	}
	out.Row = row
	return out, nil
}

func decodeAgreement(in *peer.Agreement) (ownership.PeerReceived, error) {
	event := ownership.PeerReceived{From: decodeVM(in.GetFrom())}
	for kind, wire := range kindsToWire {
		if wire == in.GetKind() {
			event.Message.Kind = kind
		}
	}
	if event.Message.Kind == 0 {
		return event, fmt.Errorf("agreement: unknown kind %v", in.GetKind())
	}
	event.Message.Number = in.GetNumber()
	event.Message.Epoch = in.GetEpoch()
	if len(in.GetRow()) == 0 {
		return event, nil
	}
	row, err := ownership.DecodeRow(in.GetRow())
	event.Message.Row = row
	return event, err
}

func encodeVMs(vms []platform.VM) []*peer.VMInfo {
	out := make([]*peer.VMInfo, 0, len(vms))
	for _, vm := range vms {
		ref := ownership.VMRef{ID: vm.ID, Incarnation: vm.Incarnation}
		out = append(out, &peer.VMInfo{Ref: encodeVM(ref), FailureDomain: vm.FailureDomain, Address: vm.Address})
	}
	return out
}

func decodeVMs(in []*peer.VMInfo) []platform.VM {
	out := make([]platform.VM, 0, len(in))
	for _, vm := range in {
		out = append(out, platform.VM{
			ID: vm.GetRef().GetId(), Incarnation: vm.GetRef().GetIncarnation(),
			FailureDomain: vm.GetFailureDomain(), Address: vm.GetAddress(), State: platform.VMLive,
		})
	}
	return out
}
