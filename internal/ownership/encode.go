package ownership

import (
	"encoding/json"
	"fmt"
	"slices"

	"kumquatcleat/internal/backend"
)

// storedRow is the stored form of a group row. Slots are listed by owner, because a
// keeper reads its row several times a second, and repeating the owner and its
// incarnation with every slot makes the row eight times as long.
type storedRow struct {
	Schema     int           `json:"schema"`
	Group      string        `json:"group"`
	Epoch      uint64        `json:"epoch"`
	Seq        uint64        `json:"seq"`
	WriteID    string        `json:"write_id"`
	Keeper     VMRef         `json:"keeper"`
	Standby    VMRef         `json:"standby"`
	Owners     []storedOwner `json:"owners"`
	Moves      []Move        `json:"moves,omitempty"`
	Recovering bool          `json:"recovering,omitempty"`
}

// storedOwner lists the slots of one owner.
type storedOwner struct {
	ServerRef
	Slots []storedSlot `json:"slots"`
}

// storedSlot is a slot number, followed by the epoch and the seq of its token.
type storedSlot [3]uint64

// EncodeRow returns the stored form of a row.
func EncodeRow(r *GroupRow) ([]byte, error) {
	return json.Marshal(storedRow{
		Schema:     r.Schema,
		Group:      r.Group,
		Epoch:      r.Epoch,
		Seq:        r.Seq,
		WriteID:    r.WriteID,
		Keeper:     r.Keeper,
		Standby:    r.Standby,
		Owners:     storedOwners(r.Slots),
		Moves:      r.Moves,
		Recovering: r.Recovering,
	})
}

// storedOwners groups slots by owner, in the order in which the owners appear.
func storedOwners(slots []SlotOwner) []storedOwner {
	index := map[ServerRef]int{}
	owners := []storedOwner{}
	for _, so := range slots {
		i, known := index[so.Owner]
		if !known {
			i = len(owners)
			index[so.Owner] = i
			owners = append(owners, storedOwner{ServerRef: so.Owner})
		}
		owners[i].Slots = append(owners[i].Slots, storedSlot{uint64(so.Slot), so.Token.Epoch, so.Token.Seq})
	}
	return owners
}

// DecodeRow parses a stored row. It fails on an unknown schema, on a row without a
// list of owners, and on a slot that is listed twice or does not fit in 32 bits.
func DecodeRow(data []byte) (*GroupRow, error) {
	var stored storedRow
	if err := json.Unmarshal(data, &stored); err != nil {
		return nil, fmt.Errorf("decode group row: %w", err)
	}
	if stored.Schema != RowSchema {
		return nil, fmt.Errorf("decode group row %q: schema %d is not supported, want %d", stored.Group, stored.Schema, RowSchema)
	}
	if stored.Owners == nil {
		return nil, fmt.Errorf("decode group row %q: no owners", stored.Group)
	}
	slots, err := decodeSlots(stored.Owners)
	if err != nil {
		return nil, fmt.Errorf("decode group row %q: %w", stored.Group, err)
	}
	return &GroupRow{
		Schema:     stored.Schema,
		Group:      stored.Group,
		Epoch:      stored.Epoch,
		Seq:        stored.Seq,
		WriteID:    stored.WriteID,
		Keeper:     stored.Keeper,
		Standby:    stored.Standby,
		Slots:      slots,
		Moves:      stored.Moves,
		Recovering: stored.Recovering,
	}, nil
}

// decodeSlots returns the slots of all owners, sorted by slot.
func decodeSlots(owners []storedOwner) ([]SlotOwner, error) {
	var slots []SlotOwner
	for _, owner := range owners {
		for _, s := range owner.Slots {
			if s[0] != uint64(uint32(s[0])) {
				return nil, fmt.Errorf("slot %d is too large", s[0])
			}
			token := backend.Token{Epoch: s[1], Seq: s[2]}
			slots = append(slots, SlotOwner{Slot: uint32(s[0]), Owner: owner.ServerRef, Token: token})
		}
	}
	slices.SortFunc(slots, compareSlots)
	for i := range slots[:max(0, len(slots)-1)] {
		if slots[i].Slot == slots[i+1].Slot {
			return nil, fmt.Errorf("slot %d has two owners", slots[i].Slot)
		}
	}
	return slots, nil
}

func compareSlots(a, b SlotOwner) int { return int(int64(a.Slot) - int64(b.Slot)) }
