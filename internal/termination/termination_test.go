package termination

import (
	"context"
	"os"
	"syscall"
	"testing"
	"time"
)

// ended fails the test unless ctx ends.
func ended(t *testing.T, ctx context.Context) {
	t.Helper()
	select {
	case <-ctx.Done():
	case <-time.After(10 * time.Second):
		t.Fatal("the context did not end")
	}
}

// Guards against a signal that the library and the process both received and that counts as two:
// a second one ends kumquatcleatd at once.
func TestSignalThatLibraryReceivedTooCountsOnce(t *testing.T) {
	for name, send := range map[string]func(signals chan<- os.Signal, library chan struct{}){
		"process first": func(signals chan<- os.Signal, library chan struct{}) {
			signals <- syscall.SIGTERM
			close(library)
		},
		"library first": func(signals chan<- os.Signal, library chan struct{}) {
			close(library)
			signals <- syscall.SIGTERM
		},
	} {
		t.Run(name, func(t *testing.T) {
			signals, library := make(chan os.Signal), make(chan struct{})
			ctx, repeated := watch(signals, library, false)
			send(signals, library)
			ended(t, ctx)
			signals <- syscall.SIGINT
			if s := <-repeated; s != syscall.SIGINT {
				t.Errorf("got repeated signal %v, want the second one, %v", s, syscall.SIGINT)
			}
		})
	}
}

// Guards against a process that forgets a signal that only the library received, before main.
func TestSignalBeforeMainEndsContext(t *testing.T) {
	library := make(chan struct{})
	close(library)
	ctx, repeated := watch(make(chan os.Signal), library, true)
	ended(t, ctx)
	select {
	case s := <-repeated:
		t.Errorf("got repeated signal %v, want none", s)
	default:
	}
}

// Guards against a second signal that is taken for the first, which only the library received: it
// does not end kumquatcleatd at once.
func TestSignalAfterOneBeforeMainIsRepeated(t *testing.T) {
	signals, library := make(chan os.Signal), make(chan struct{})
	close(library)
	ctx, repeated := watch(signals, library, true)
	ended(t, ctx)
	signals <- syscall.SIGTERM
	select {
	case <-repeated:
	case <-time.After(10 * time.Second):
		t.Error("the second signal was dropped")
	}
}

// Guards against a stop whose grace counts from a later moment than the signal.
func TestReceivedIsTimeOfSignal(t *testing.T) {
	signals := make(chan os.Signal)
	ctx, _ := watch(signals, make(chan struct{}), false)
	before := time.Now()
	signals <- syscall.SIGTERM
	ended(t, ctx)
	after := time.Now()
	time.Sleep(10 * time.Millisecond)
	if at := Received(ctx); at.Before(before) || at.After(after) {
		t.Errorf("got %v, want %v to %v", at, before, after)
	}
}
