// Package ownership decides which server owns each slot of a group and enforces
// that decision. One VM, the keeper, decides; another, the standby, replaces it.
// The package covers both roles, the grants and leases of servers, the moves of
// slots and the recovery after a failure.
//
// Replica is a pure state machine: Step takes an event and the time and returns
// actions. Driver performs the actions.
package ownership

import (
	"slices"

	"kumquatcleat/internal/backend"
)

// RowSchema is the schema of the group row that this release writes.
const RowSchema = 1

// VMRef identifies one incarnation of a VM. The zero value identifies none.
type VMRef struct {
	ID          string `json:"id"`
	Incarnation string `json:"incarnation"`
}

// IsZero reports whether r identifies no VM.
func (r VMRef) IsZero() bool { return r == VMRef{} }

// String returns id@incarnation.
func (r VMRef) String() string { return r.ID + "@" + r.Incarnation }

// ServerRef identifies one incarnation of a server. The zero value identifies none.
type ServerRef struct {
	ID          string `json:"id"`
	Incarnation string `json:"incarnation"`
}

// IsZero reports whether r identifies no server.
func (r ServerRef) IsZero() bool { return r == ServerRef{} }

// SlotOwner assigns one slot to a server.
type SlotOwner struct {
	Slot  uint32        `json:"slot"`
	Owner ServerRef     `json:"owner"` // zero: the slot has no owner
	Token backend.Token `json:"token"` // token of the row that made the assignment
}

// MoveKind is the condition under which a move may end.
type MoveKind string

const (
	// MoveByConsent ends when the old owner acknowledges a revoke.
	MoveByConsent MoveKind = "consent"
	// MoveByLapse ends when every lease of the old owner has expired.
	MoveByLapse MoveKind = "lapse"
)

// Move is a change of owner in progress. Until it ends, no server is granted the slot.
type Move struct {
	Slot  uint32        `json:"slot"`
	From  ServerRef     `json:"from"`
	To    ServerRef     `json:"to"`
	Kind  MoveKind      `json:"kind"`
	Token backend.Token `json:"token"` // token of the row that began the move
}

// GroupRow is the row of the platform's table that holds the ownership state of a
// group.
type GroupRow struct {
	Schema  int         `json:"schema"`
	Group   string      `json:"group"`
	Epoch   uint64      `json:"epoch"` // raised by each change of keeper
	Seq     uint64      `json:"seq"`   // raised by each row that changes slots or moves or ends a recovery
	WriteID string      `json:"write_id"`
	Keeper  VMRef       `json:"keeper"`
	Standby VMRef       `json:"standby"`
	Slots   []SlotOwner `json:"slots"`
	Moves   []Move      `json:"moves,omitempty"`
	// Recovering means that the last takeover was by a VM that did not know every
	// decision of its predecessor. Nothing may be granted before the servers have
	// been asked what they hold.
	Recovering bool `json:"recovering,omitempty"`
}

// Token returns the token of the row's newest decision.
func (r *GroupRow) Token() backend.Token { return backend.Token{Epoch: r.Epoch, Seq: r.Seq} }

// Clone returns a deep copy of r.
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
