// Package limits decides how many requests this VM may have at each server at
// once, and which waiting request goes next.
package limits

import (
	"context"
	"time"

	"kumquatcleat/internal/config"
)

// Result is what a request at a server came to, as far as limits care.
type Result int

const (
	// Succeeded got a whole answer.
	Succeeded Result = iota
	// Shed was refused by the server for load.
	Shed
	// Failed was lost, cut or timed out.
	Failed
	// Ignored says nothing of the server's load, such as a caller that left.
	Ignored
)

// Permit is the right to have one request at a server. Done is called once.
type Permit interface {
	Done(result Result, latency time.Duration)
}

// Gate hands out permits.
type Gate interface {
	// Acquire waits for a permit at a server until ctx ends. It fails with a
	// *fault.Error of kind Overloaded or QueueTimeout; nothing was sent then.
	Acquire(ctx context.Context, server config.Server, class config.Class) (Permit, error)
	// InFlight returns how many permits of a server are out.
	InFlight(server string) int
	// Load returns how loaded a server is, for the choice of the less loaded of two.
	Load(server string) float64
}
