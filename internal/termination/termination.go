// Package termination tells a process that it is asked to stop, by SIGTERM or SIGINT, from
// the start of main until the process exits.
package termination

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/zeromicro/go-zero/core/proc"
)

// forceQuitTimeout is longer than any planned stop. By default, go-zero sends a signal to
// the process again 5.5 s after the first.
const forceQuitTimeout = 24 * time.Hour

// request is the cause with which the context of Notify ends.
type request struct{ received time.Time }

// Error implements error.
func (r request) Error() string {
	return fmt.Sprintf("asked to stop at %s", r.received.Format(time.RFC3339Nano))
}

// Notify returns a context that ends with the first SIGTERM or SIGINT, and a channel of
// further ones, which drops those that nobody receives. Main calls it first. The process
// stays subscribed until it exits, so that no repeated signal terminates it.
func Notify() (ctx context.Context, repeated <-chan os.Signal) {
	proc.SetTimeToForceQuit(forceQuitTimeout)
	early := isClosed(proc.Done())
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	// go-zero subscribes while the program is loaded. It alone receives a signal that
	// arrives before this call.
	return watch(signals, proc.Done(), early)
}

func isClosed(library <-chan struct{}) bool {
	select {
	case <-library:
		return true
	default:
		return false
	}
}

// watch returns the context and the channel of Notify. The end of library also counts as
// the first signal. Unless it was early, before signals were subscribed to, the same signal
// may arrive in signals before or after it: the first value there is not a repeated one.
func watch(signals <-chan os.Signal, library <-chan struct{}, early bool) (context.Context, <-chan os.Signal) {
	ctx, cancel := context.WithCancelCause(context.Background())
	repeated := make(chan os.Signal, 1)
	go func() {
		duplicate := false // the same signal will arrive in signals
		if !early {
			select {
			case <-signals:
			case <-library:
				duplicate = true
			}
		}
		cancel(request{received: time.Now()})
		if duplicate {
			<-signals
		}
		for s := range signals {
			select {
			case repeated <- s:
			default:
			}
		}
	}()
	return ctx, repeated
}

// Received returns when the signal arrived that ended ctx, or now if ctx ended for another
// reason.
func Received(ctx context.Context) time.Time {
	if r, ok := context.Cause(ctx).(request); ok {
		return r.received
	}
	return time.Now()
}
