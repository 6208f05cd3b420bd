// Package termination tells a process that it is asked to stop, by SIGTERM or SIGINT, from
// the initialization of the program until the process exits.
//
// It imports the standard library only, so that it is initialized, and subscribes, before any
// library that handles signals on its own.
package termination

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// signals receives the requests to stop. Its buffer holds a first and a repeated one until Notify
// is called.
var signals = subscribe()

func subscribe() chan os.Signal {
	c := make(chan os.Signal, 2)
	signal.Notify(c, syscall.SIGTERM, syscall.SIGINT)
	return c
}

// request is the cause with which the context of Notify ends.
type request struct{ received time.Time }

// Error implements error.
func (r request) Error() string {
	return fmt.Sprintf("asked to stop at %s", r.received.Format(time.RFC3339Nano))
}

// Notify returns a context that ends with the first SIGTERM or SIGINT, and a channel of
// further ones, which drops those that nobody receives. also adds signals that ask to stop. One
// that the process was started to ignore, as nohup does with SIGHUP, stays ignored.
//
// Main calls Notify first, and once. The process stays subscribed until it exits, so that no
// repeated signal terminates it. Signals that have no meaning for it no longer terminate it either.
func Notify(also ...os.Signal) (ctx context.Context, repeated <-chan os.Signal) {
	return notify(signals, also)
}

func notify(signals chan os.Signal, also []os.Signal) (context.Context, <-chan os.Signal) {
	IgnoreUnused()
	for _, s := range also {
		if !signal.Ignored(s) {
			signal.Notify(signals, s)
		}
	}
	return watch(signals)
}

// IgnoreUnused ignores SIGPIPE, which a log without a reader raises, SIGUSR1 and SIGUSR2: nothing
// uses them, and each would terminate the process. go-zero's proc subscribes to the last two in a
// goroutine, some time after its initialization. On SIGUSR2 it writes profiles, and the next SIGINT
// terminates the process. A process that imports proc calls IgnoreUnused once more before it listens.
func IgnoreUnused() { signal.Ignore(syscall.SIGPIPE, syscall.SIGUSR1, syscall.SIGUSR2) }

// watch returns the context and the channel of Notify.
func watch(signals <-chan os.Signal) (context.Context, <-chan os.Signal) {
	ctx, cancel := context.WithCancelCause(context.Background())
	repeated := make(chan os.Signal, 1)
	go func() {
		<-signals
		cancel(request{received: time.Now()})
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
