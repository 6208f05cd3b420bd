// Package backend holds the interface to the servers that own keys, its wire
// types and the HTTP client that meets it.
package backend

import (
	"context"
	"fmt"
)

// Token orders the decisions about one group. A higher token is younger.
type Token struct {
	Epoch uint64 `json:"epoch"` // raised by each change of keeper
	Seq   uint64 `json:"seq"`   // raised by each move within an epoch
}

// Less reports whether t is older than o.
func (t Token) Less(o Token) bool {
	if t.Epoch != o.Epoch {
		return t.Epoch < o.Epoch
	}
	return t.Seq < o.Seq
}

// String returns the token as epoch.seq, the form used in headers and logs.
func (t Token) String() string { return fmt.Sprintf("%d.%d", t.Epoch, t.Seq) }

// ParseToken reads the form that String writes.
func ParseToken(s string) (Token, error) {
	var t Token
	var rest string
	n, err := fmt.Sscanf(s+" .", "%d.%d %s", &t.Epoch, &t.Seq, &rest)
	if err != nil || n != 3 || t.String() != s {
		return Token{}, fmt.Errorf("token %q: want epoch.seq, two decimal numbers", s)
	}
	return t, nil
}

// SlotToken is a slot with the token under which it was given to its owner.
type SlotToken struct {
	Slot  uint32 `json:"slot"`
	Token Token  `json:"token"`
}

// GrantRequest gives a server the right to run requests of a group's slots.
// A server that checks refuses a token lower than the highest it has seen for
// the group. Slots replaces the set held before; a renewal (Renew) keeps it.
type GrantRequest struct {
	Group string      `json:"group"`
	Token Token       `json:"token"`
	Renew bool        `json:"renew,omitempty"`
	Slots []SlotToken `json:"slots,omitempty"`
	// Incarnation is the start of the server whose clock ExpiresAt is a reading
	// of. A server refuses a grant for another start: read on a clock that began
	// anew, an old expiry may lie far in the future.
	Incarnation string `json:"incarnation"`
	// ExpiresAt is a reading of the server's own clock, in milliseconds.
	ExpiresAt int64 `json:"expires_at_ms"`
}

// ServerState is what a server answers to grants, revokes and status queries.
type ServerState struct {
	Server      string `json:"server"`
	Incarnation string `json:"incarnation"` // differs after each start of the server
	// Clock is the server's clock in milliseconds; it goes on while the server is frozen.
	Clock int64 `json:"clock_ms"`
	// Accepted says whether the grant or revoke took effect.
	Accepted bool `json:"accepted"`
	// Reason says why it did not, for logs.
	Reason string `json:"reason,omitempty"`
	// Highest is the highest token seen for the group.
	Highest Token `json:"highest"`
	// Slots are the slots held for the group now, with a valid lease.
	Slots []SlotToken `json:"slots,omitempty"`
	// Held is the number of slots held now. A server that tells it may leave Slots
	// out of its answers to grants, which else repeat every slot at each renewal.
	Held int `json:"held,omitempty"`
	// Running counts requests of the revoked slots still running, or of all
	// held slots for a status query.
	Running int `json:"running"`
	// Checks says whether the server refuses requests without a valid grant.
	Checks bool `json:"checks"`
}

// RevokeRequest takes slots from a server. The server stops starting requests
// for them at once; the caller repeats the request until Running is 0.
type RevokeRequest struct {
	Group string   `json:"group"`
	Token Token    `json:"token"` // the token of the move; raises the highest seen
	Slots []uint32 `json:"slots"`
}

// Load is a server's own report. It may lag or mislead.
type Load struct {
	Running  int     `json:"running"`
	Slots    int     `json:"slots"` // how many requests it runs at once
	Queued   int     `json:"queued"`
	Utilized float64 `json:"utilized"` // 0 to 1
}

// Health is a server's own report. It may lag or mislead.
type Health struct {
	Healthy  bool `json:"healthy"`
	Draining bool `json:"draining"` // takes no new requests, finishes running ones
	Warming  bool `json:"warming"`  // in its cold start
}

// Controller is the control side of one server. Errors leave the effect of the
// call open; an answer with Accepted false says that there was none.
type Controller interface {
	// Grant gives or renews slots.
	Grant(ctx context.Context, req GrantRequest) (ServerState, error)
	// Revoke takes slots.
	Revoke(ctx context.Context, req RevokeRequest) (ServerState, error)
	// State asks for the grant held for a group.
	State(ctx context.Context, group string) (ServerState, error)
	// Cancel asks the server to stop a request by its id.
	Cancel(ctx context.Context, requestID string) error
	// Health reads the health endpoint.
	Health(ctx context.Context) (Health, error)
	// Load reads the load endpoint.
	Load(ctx context.Context) (Load, error)
}

// Names of the headers between a VM and a server. Servers answer with
// HeaderNotStarted set to a reason when they did not start the request.
const (
	HeaderRequestID  = "Kumquatcleat-Request-Id"
	HeaderGroup      = "Kumquatcleat-Group"
	HeaderSlot       = "Kumquatcleat-Slot"
	HeaderToken      = "Kumquatcleat-Token"
	HeaderDeadline   = "Kumquatcleat-Deadline-Ms" // remaining milliseconds when sent
	HeaderServer     = "Kumquatcleat-Server"      // server that ran the request
	HeaderNotStarted = "Kumquatcleat-Not-Started"
)

// Values of HeaderNotStarted.
const (
	NotStartedNotOwner = "not-owner" // slot or token not held, or lease lapsed
	NotStartedShed     = "shed"      // load shedding
	NotStartedDraining = "draining"
	NotStartedDeadline = "deadline" // the deadline passed while queued
	NotStartedCanceled = "canceled" // cancelled before it started
)

// Paths of the control endpoints of a server's HTTP interface.
const (
	PathGrant  = "/_control/grant"
	PathRevoke = "/_control/revoke"
	PathState  = "/_control/state"  // ?group=
	PathCancel = "/_control/cancel" // ?id=
	PathHealth = "/_control/health"
	PathLoad   = "/_control/load"
)
