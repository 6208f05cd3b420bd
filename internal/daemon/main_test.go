package daemon

import (
	"bytes"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"
)

// buildDaemon builds kumquatcleatd into a folder and returns the path of the program.
func buildDaemon(t *testing.T, folder string) string {
	t.Helper()
	binary := filepath.Join(folder, "kumquatcleatd")
	if out, err := exec.Command("go", "build", "-o", binary, "../../cmd/kumquatcleatd").CombinedOutput(); err != nil {
		t.Fatalf("build kumquatcleatd: %v\n%s", err, out)
	}
	return binary
}

// startupProcess starts kumquatcleatd and returns it while it waits for the text of its settings,
// and a function that writes them and returns the address for callers.
func startupProcess(t *testing.T, graceMS int) (command *exec.Cmd, proceed func() (listen string)) {
	t.Helper()
	folder := t.TempDir()
	binary, file := buildDaemon(t, folder), filepath.Join(folder, "settings")
	if err := syscall.Mkfifo(file, 0o600); err != nil {
		t.Fatal(err)
	}
	command = exec.Command(binary, "--settings", file)
	if err := command.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = command.Process.Kill() })
	// Opening for writing returns once the process reads its settings.
	pipe, err := os.OpenFile(file, os.O_WRONLY, 0)
	if err != nil {
		t.Fatal(err)
	}
	return command, func() string {
		listen := freeAddress(t)
		_, err := fmt.Fprintf(pipe, `{"id":"vm-1","failure_domain":"a","listen":%q,"peer_listen":%q,"platform":%q,"shutdown_grace_ms":%d}`,
			listen, freeAddress(t), freeAddress(t), graceMS)
		if err := errors.Join(err, pipe.Close()); err != nil {
			t.Error(err)
		}
		return listen
	}
}

// Guards against signals that end a daemon that serves at once, without a planned stop: SIGHUP, or
// SIGINT after a SIGUSR2 on which go-zero starts a profile.
func TestSignalsDoNotCutDaemonShort(t *testing.T) {
	const graceMS = 4000
	for _, signals := range [][]syscall.Signal{
		{syscall.SIGHUP},
		{syscall.SIGUSR1, syscall.SIGUSR2, syscall.SIGPIPE, syscall.SIGINT},
	} {
		t.Run(fmt.Sprint(signals), func(t *testing.T) {
			command, proceed := startupProcess(t, graceMS)
			listen := proceed()
			for deadline := time.Now().Add(10 * time.Second); ; time.Sleep(10 * time.Millisecond) {
				if conn, err := net.Dial("tcp", listen); err == nil {
					_ = conn.Close()
					break
				}
				if time.Now().After(deadline) {
					t.Fatal("the daemon does not listen")
				}
			}
			for _, s := range signals {
				time.Sleep(200 * time.Millisecond)
				_ = command.Process.Signal(s) // the process may have exited already
			}
			told := time.Now()
			err := command.Wait()
			if took := time.Since(told); err != nil || took < shutdownDelay/2 || took > graceMS*time.Millisecond {
				t.Errorf("the daemon ended after %v with %v, want exit code 0 after about %v", took, err, shutdownDelay)
			}
		})
	}
}

// Guards against signals that only go-zero receives because it is initialized, and subscribes, before
// the daemon does.
func TestDaemonSubscribesBeforeLibrary(t *testing.T) {
	command := exec.Command(buildDaemon(t, t.TempDir()), "--help")
	command.Env = append(os.Environ(), "GODEBUG=inittrace=1")
	out, err := command.CombinedOutput()
	if err != nil {
		t.Fatal(err)
	}
	own := bytes.Index(out, []byte("init kumquatcleat/internal/termination "))
	library := bytes.Index(out, []byte("init github.com/zeromicro/go-zero/core/proc "))
	if own < 0 || library < 0 || own > library {
		t.Errorf("packages are initialized at %d (termination) and %d (go-zero's proc) of the trace, want both and termination first", own, library)
	}
}

// Guards against a stop that is forgotten because it was asked for while the process still read its
// settings: it would serve on until it is killed, with requests at work.
func TestSIGTERMDuringStartupStopsDaemon(t *testing.T) {
	const graceMS = 4000
	command, proceed := startupProcess(t, graceMS)
	told := time.Now()
	if err := command.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	time.Sleep(200 * time.Millisecond)
	proceed()
	exited := make(chan error, 1)
	go func() { exited <- command.Wait() }()
	select {
	case err := <-exited:
		if err != nil {
			t.Errorf("process exited with %v, want exit code 0", err)
		}
	case <-time.After(time.Until(told.Add(graceMS * time.Millisecond))):
		t.Error("the process still runs at the end of its grace")
		_ = command.Process.Kill()
		<-exited
	}
}

// Guards against a repeated signal that changes the exit code of a stop that is complete.
func TestSignalAfterShutdownDoesNotInterruptExit(t *testing.T) {
	repeated, interrupted := make(chan os.Signal), make(chan os.Signal, 1)
	interrupt := func(s os.Signal) { interrupted <- s }
	if err := interruptible(func() error { return nil }, repeated, interrupt); err != nil {
		t.Fatal(err)
	}
	repeated <- syscall.SIGTERM
	select {
	case s := <-interrupted:
		t.Errorf("%v after the shutdown interrupted the process", s)
	case <-time.After(100 * time.Millisecond):
	}
	during := func() error {
		repeated <- syscall.SIGINT
		if s := <-interrupted; s != syscall.SIGINT {
			t.Errorf("got %v, want %v", s, syscall.SIGINT)
		}
		return nil
	}
	if err := interruptible(during, repeated, interrupt); err != nil {
		t.Fatal(err)
	}
}
