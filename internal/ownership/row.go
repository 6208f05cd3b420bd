// Package ownership decides which server owns each slot of a group and keeps
// that decision true: keeper, standby, grants, leases, moves and recovery.
//
// Replica holds the decisions as a pure state machine: Step takes an event and
// the time and returns actions. Driver carries the actions out.
package ownership

import (
	"slices"

	"kumquatcleat/internal/backend"
)

// RowSchema is the schema of the group row that this release writes.
const RowSchema = 1

// VMRef names one start of one VM. The zero value names none.
type VMRef struct {
	ID          string `json:"id"`
	Incarnation string `json:"incarnation"`
}

// IsZero reports whether r names no VM.
func (r VMRef) IsZero() bool { return r == VMRef{} }

// String returns id@incarnation.
func (r VMRef) String() string { return r.ID + "@" + r.Incarnation }

// ServerRef names one start of one server. The zero value names none.
type ServerRef struct {
	ID          string `json:"id"`
	Incarnation string `json:"incarnation"`
}

// IsZero reports whether r names no server.
func (r ServerRef) IsZero() bool { return r == ServerRef{} }

// SlotOwner is the assignment of one slot.
type SlotOwner struct {
	Slot  uint32        `json:"slot"`
	Owner ServerRef     `json:"owner"` // zero: nobody owns the slot
	Token backend.Token `json:"token"` // token of the move that made the assignment
}

// MoveKind states what ends the old owner's right.
type MoveKind string

const (
	// MoveByConsent ends with the old owner's acknowledgement of a revoke.
	MoveByConsent MoveKind = "consent"
	// MoveByLapse ends when every lease of the old owner has run out.
	MoveByLapse MoveKind = "lapse"
)

// Move is a change of owner under way. Until it ends nobody is granted the slot.
type Move struct {
	Slot  uint32        `json:"slot"`
	From  ServerRef     `json:"from"`
	To    ServerRef     `json:"to"`
	Kind  MoveKind      `json:"kind"`
	Token backend.Token `json:"token"`
}

// GroupRow is the row of the platform's table that holds a group's whole truth.
type GroupRow struct {
	Schema  int         `json:"schema"`
	Group   string      `json:"group"`
	Epoch   uint64      `json:"epoch"` // raised by each change of keeper
	Seq     uint64      `json:"seq"`   // raised by each move
	WriteID string      `json:"write_id"`
	Keeper  VMRef       `json:"keeper"`
	Standby VMRef       `json:"standby"`
	Slots   []SlotOwner `json:"slots"`
	Moves   []Move      `json:"moves,omitempty"`
	// Recovering says that the last takeover was by a VM that did not know every
	// decision of its predecessor: nothing may be granted before the servers
	// were asked what they hold.
	Recovering bool `json:"recovering,omitempty"`
}

// Token returns the token of the row's newest decision.
func (r *GroupRow) Token() backend.Token { return backend.Token{Epoch: r.Epoch, Seq: r.Seq} }

// Clone returns a copy that shares nothing with r.
func (r *GroupRow) Clone() *GroupRow {
	if r == nil {
		return nil
	}
	c := *r
	c.Slots = append([]SlotOwner(nil), r.Slots...)
	c.Moves = append([]Move(nil), r.Moves...)
	return &c
}

// serverIDs returns the servers that the row names, sorted.
func serverIDs(r *GroupRow) []string {
	var ids []string
	for _, so := range r.Slots {
		if !so.Owner.IsZero() {
			ids = append(ids, so.Owner.ID)
		}
	}
	for _, m := range r.Moves {
		ids = append(ids, m.From.ID, m.To.ID)
	}
	slices.Sort(ids)
	return slices.Compact(ids)
}

// RowKey returns the key of a group's row in the table.
func RowKey(group string) string { return "group/" + group }
