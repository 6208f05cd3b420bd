// Package limits bounds the requests in flight from this VM to each server and orders
// the requests that wait.
package limits

import (
	"context"
	"time"

	"kumquatcleat/internal/config"
)

// Result is the outcome of a request at a server, as it concerns its load.
type Result int

const (
	// Succeeded means that a complete answer arrived.
	Succeeded Result = iota
	// Shed means that the server refused the request because of its load.
	Shed
	// Failed means that the request was lost, cut or timed out.
	Failed
	// Ignored says nothing about the server's load, such as a caller that canceled.
	Ignored
)

// Permit allows one request in flight at a server. Done must be called exactly once.
type Permit interface {
	Done(result Result, latency time.Duration)
}

// Gate grants permits.
type Gate interface {
	// Acquire waits for a permit at a server until ctx is done. It fails with a
	// *fault.Error of kind Overloaded or QueueTimeout; no request was sent then.
	Acquire(ctx context.Context, server config.Server, class config.Class) (Permit, error)
	// InFlight returns how many permits of a server are in use.
	InFlight(server string) int
	// Load returns the load of a server, for a choice between two servers.
	Load(server string) float64
}
