// Package routing takes a caller's request to the server that owns its key and
// brings the answer back: entry handler, resolution, attempts, answers.
package routing

import (
	"context"

	"kumquatcleat/internal/backend"
	"kumquatcleat/internal/config"
)

// Target is where one attempt goes.
type Target struct {
	Server config.Server
	// Incarnation names the start of the server that owns the slot; empty
	// without a key.
	Incarnation string
	Group       string
	Slot        uint32
	Token       backend.Token
	HasKey      bool // false: any server may run it, and no slot is named
}

// Resolver finds the owner of a slot.
type Resolver interface {
	// Resolve returns the owner. It fails with a *fault.Error of kind NoOwner
	// when the slot has none before ctx ends.
	Resolve(ctx context.Context, service *config.Service, slot uint32) (Target, error)
	// MarkStale tells that a server refused the target, so that it is asked for anew.
	MarkStale(target Target)
	// MarkDraining tells that a server refused the target because it is draining.
	MarkDraining(target Target)
	// Confirm re-checks, just before a send, that the target may still be used.
	Confirm(target Target) bool
}

// Services gives the configuration in force on this VM.
type Services interface {
	Service(name string) (*config.Service, bool)
	// Known reports whether the configuration in force is known. Before that a
	// name that Service does not find may well be a service.
	Known() bool
}
