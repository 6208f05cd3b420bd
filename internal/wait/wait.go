// Package wait pauses a goroutine until a time has passed or its context ends.
package wait

import (
	"context"
	"time"
)

// For waits and reports whether ctx is still alive.
func For(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// ForSignal waits until a time has passed, a signal comes or ctx ends.
func ForSignal(ctx context.Context, d time.Duration, signal <-chan struct{}) (alive, signaled bool) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true, false
	case <-signal:
		return true, true
	case <-ctx.Done():
		return false, false
	}
}

// Signal sends a signal for ForSignal without waiting; one that is still to be taken
// serves for both. The channel has room for one.
func Signal(signal chan<- struct{}) {
	select {
	case signal <- struct{}{}:
	default:
	}
}
