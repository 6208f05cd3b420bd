// Package routing forwards a caller's request to the server that owns its key and
// returns the answer. It contains the HTTP handler, the route table, retries and
// the transport to servers.
package routing

import (
	"context"

	"kumquatcleat/internal/backend"
	"kumquatcleat/internal/config"
)

// Target is the destination of one attempt.
type Target struct {
	Server config.Server
	// Incarnation identifies the process of the server that owns the slot. It is
	// empty for a request without a key.
	Incarnation string
	Group       string
	Slot        uint32
	Token       backend.Token
	HasKey      bool // false: any server may run the request, and Group, Slot and Token are unset
}

// Resolver finds the owner of a slot.
type Resolver interface {
	// Resolve returns the owner of the slot. It waits until the slot has one, and
	// fails with a *fault.Error of kind NoOwner when ctx ends first.
	Resolve(ctx context.Context, service *config.Service, slot uint32) (Target, error)
	// MarkStale reports that the target could not be used, so that the route is
	// fetched again: the server refused it, accepted no connection, or Confirm
	// rejected it.
	MarkStale(target Target)
	// MarkDraining reports that a server refused the target because it is draining.
	MarkDraining(target Target)
	// Confirm checks again, just before the first byte is sent, that the target
	// may still be used.
	Confirm(target Target) bool
}

// Services provides the configuration in force on this VM.
type Services interface {
	Service(name string) (*config.Service, bool)
	// Known reports whether the configuration in force is known. Until then, a
	// service that Service does not find may exist.
	Known() bool
}
