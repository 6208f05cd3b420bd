// Package wait blocks a goroutine until a duration has elapsed or its context is done, and
// compares the moments until which to wait.
package wait

import (
	"context"
	"time"
)

// For waits for d or until ctx is done. It returns false if ctx is done first.
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

// ForSignal waits for d, a signal or the end of ctx. ok is false if ctx is done first,
// signaled is true if a signal was received.
func ForSignal(ctx context.Context, d time.Duration, signal <-chan struct{}) (ok, signaled bool) {
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

// Signal sends a signal to ForSignal without blocking. If a signal is already pending, that
// one serves for both. The channel must have a buffer of one.
func Signal(signal chan<- struct{}) {
	select {
	case signal <- struct{}{}:
	default:
	}
}

// Earlier returns the earlier one of two moments.
func Earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// Later returns the later one of two moments.
func Later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
