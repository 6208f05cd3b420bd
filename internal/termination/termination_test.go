package termination

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"testing"
	"time"

	"github.com/zeromicro/go-zero/core/proc" // handles SIGTERM, SIGINT, SIGUSR1 and SIGUSR2 as well
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

// kill sends a signal to the test process.
func kill(t *testing.T, s syscall.Signal) {
	t.Helper()
	if err := syscall.Kill(os.Getpid(), s); err != nil {
		t.Fatal(err)
	}
}

// Guards against a signal that the library receives too, or alone because main has not called Notify
// yet, and that counts twice or not at all: a second one ends kumquatcleatd at once.
func TestSignalThatLibraryReceivedTooCountsOnce(t *testing.T) {
	proc.SetTimeToForceQuit(time.Hour)
	signals := subscribe()
	defer signal.Stop(signals)
	kill(t, syscall.SIGTERM)
	time.Sleep(100 * time.Millisecond) // the library has received it
	ctx, repeated := notify(signals, []os.Signal{syscall.SIGHUP})
	ended(t, ctx)
	for _, s := range []syscall.Signal{syscall.SIGUSR1, syscall.SIGUSR2, syscall.SIGPIPE} {
		kill(t, s)
	}
	select {
	case s := <-repeated:
		t.Errorf("got repeated signal %v after one SIGTERM", s)
	case <-time.After(100 * time.Millisecond):
	}
	for _, s := range []syscall.Signal{syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP} {
		kill(t, s)
		select {
		case got := <-repeated:
			if got != s {
				t.Errorf("got repeated signal %v, want %v", got, s)
			}
		case <-time.After(10 * time.Second):
			t.Fatalf("a repeated %v was dropped", s)
		}
	}
}

// Guards against a process that forgets a signal that arrived before main.
func TestSignalBeforeMainEndsContext(t *testing.T) {
	signals := make(chan os.Signal, 2)
	signals <- syscall.SIGTERM
	ctx, repeated := watch(signals)
	ended(t, ctx)
	select {
	case s := <-repeated:
		t.Errorf("got repeated signal %v, want none", s)
	default:
	}
}

// Guards against a second signal that is taken for the first, which arrived before main: it does not
// end kumquatcleatd at once.
func TestSignalAfterOneBeforeMainIsRepeated(t *testing.T) {
	signals := make(chan os.Signal, 2)
	signals <- syscall.SIGTERM
	ctx, repeated := watch(signals)
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
	ctx, _ := watch(signals)
	before := time.Now()
	signals <- syscall.SIGTERM
	ended(t, ctx)
	after := time.Now()
	time.Sleep(10 * time.Millisecond)
	if at := Received(ctx); at.Before(before) || at.After(after) {
		t.Errorf("got %v, want %v to %v", at, before, after)
	}
}
