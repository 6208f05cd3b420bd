// Package backend defines the control interface of the servers that own keys, its wire
// types, and an HTTP client that implements it.
package backend

import (
	"context"
	"fmt"
)

// Token is the fencing token of a group. It orders the decisions about the group: a
// higher token is newer.
type Token struct {
	Epoch uint64 `json:"epoch"` // raised by each change of keeper
	Seq   uint64 `json:"seq"`   // raised by each change of slots or moves
}

// Less reports whether t is lower, and so older, than o.
func (t Token) Less(o Token) bool {
	if t.Epoch != o.Epoch {
		return t.Epoch < o.Epoch
	}
	return t.Seq < o.Seq
}

// String returns the token as epoch.seq, the form used in headers and logs.
func (t Token) String() string { return fmt.Sprintf("%d.%d", t.Epoch, t.Seq) }

// ParseToken parses the form that String returns.
func ParseToken(s string) (Token, error) {
	var t Token
	var rest string
	n, err := fmt.Sscanf(s+" .", "%d.%d %s", &t.Epoch, &t.Seq, &rest)
	if err != nil || n != 3 || t.String() != s {
		return Token{}, fmt.Errorf("token %q: want epoch.seq, two decimal numbers", s)
	}
	return t, nil
}

// SlotToken is a slot with the token under which it was assigned to its owner.
type SlotToken struct {
	Slot  uint32 `json:"slot"`
	Token Token  `json:"token"`
}

// GrantRequest grants a server a lease on slots of a group, which allows it to run their
// requests. A server that checks grants refuses a token lower than the highest it has
// seen for the group. Slots replaces the set held before; a renewal (Renew) keeps that
// set.
type GrantRequest struct {
	Group string      `json:"group"`
	Token Token       `json:"token"`
	Renew bool        `json:"renew,omitempty"`
	Slots []SlotToken `json:"slots,omitempty"`
	// Incarnation is the incarnation of the server whose clock ExpiresAt refers to. A
	// server refuses a grant for another incarnation: its clock restarts with it, so an
	// old expiry may be far in the future.
	Incarnation string `json:"incarnation"`
	// ExpiresAt is when the lease expires, on the server's own clock, in milliseconds.
	ExpiresAt int64 `json:"expires_at_ms"`
}

// ServerState is a server's answer to a grant, a revoke or a state query.
type ServerState struct {
	Server      string `json:"server"`
	Incarnation string `json:"incarnation"` // differs after each start of the server
	// Clock is the server's clock in milliseconds; it continues while the server is frozen.
	Clock int64 `json:"clock_ms"`
	// Accepted reports whether the grant or revoke took effect.
	Accepted bool `json:"accepted"`
	// Reason is why it did not take effect, for logs.
	Reason string `json:"reason,omitempty"`
	// Highest is the highest token seen for the group.
	Highest Token `json:"highest"`
	// Slots are the slots of the group held now under a valid lease.
	Slots []SlotToken `json:"slots,omitempty"`
	// Held is the number of slots held now. A server that reports it may omit Slots from
	// its answers to grants, which would otherwise list every slot at each renewal.
	Held int `json:"held,omitempty"`
	// Running is the number of requests still running: those of the revoked slots, or
	// those of all held slots in the answer to a state query.
	Running int `json:"running"`
	// Checks reports whether the server refuses requests without a valid grant.
	Checks bool `json:"checks"`
}

// RevokeRequest revokes slots of a server. The server immediately stops starting requests
// for them. The sender repeats the revoke until Running is 0.
type RevokeRequest struct {
	Group string   `json:"group"`
	Token Token    `json:"token"` // token of the sender's newest row; raises the highest seen
	Slots []uint32 `json:"slots"`
}

// Load is the load that a server reports. It may be stale or wrong.
type Load struct {
	Running  int     `json:"running"`
	Slots    int     `json:"slots"` // number of requests that it can run concurrently
	Queued   int     `json:"queued"`
	Utilized float64 `json:"utilized"` // 0 to 1
}

// Health is the health that a server reports. It may be stale or wrong.
type Health struct {
	Healthy  bool `json:"healthy"`
	Draining bool `json:"draining"` // accepts no new requests, finishes running ones
	Warming  bool `json:"warming"`  // in its cold start
}

// Controller is the control interface of one server. After an error the call may or may
// not have taken effect. An answer with Accepted false means that it had no effect.
type Controller interface {
	// Grant grants or renews slots.
	Grant(ctx context.Context, req GrantRequest) (ServerState, error)
	// Revoke revokes slots.
	Revoke(ctx context.Context, req RevokeRequest) (ServerState, error)
	// State returns the slots that the server holds for a group.
	State(ctx context.Context, group string) (ServerState, error)
	// Cancel asks the server to stop the request with the given id.
	Cancel(ctx context.Context, requestID string) error
	// Health returns the health that the server reports.
	Health(ctx context.Context) (Health, error)
	// Load returns the load that the server reports.
	Load(ctx context.Context) (Load, error)
}

// Names of the headers between a VM and a server. A server that did not start a request
// sets HeaderNotStarted to the reason in its response.
const (
	HeaderRequestID  = "Kumquatcleat-Request-Id"
	HeaderGroup      = "Kumquatcleat-Group"
	HeaderSlot       = "Kumquatcleat-Slot"
	HeaderToken      = "Kumquatcleat-Token"
	HeaderDeadline   = "Kumquatcleat-Deadline-Ms" // remaining time in milliseconds when the request is sent
	HeaderServer     = "Kumquatcleat-Server"      // server that ran the request
	HeaderNotStarted = "Kumquatcleat-Not-Started"
)

// Values of HeaderNotStarted.
const (
	NotStartedNotOwner = "not-owner" // slot or token not held, or lease expired
	NotStartedShed     = "shed"      // load shedding
	NotStartedDraining = "draining"
	NotStartedDeadline = "deadline" // the deadline passed while queued
	NotStartedCanceled = "canceled" // canceled before it started
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
