package daemon

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"os"
	"runtime/debug"
	"sync"
	"syscall"
	"time"

	"github.com/spf13/cobra"
	"github.com/zeromicro/go-zero/core/proc"

	"kumquatcleat/internal/logging"
	"kumquatcleat/internal/settings"
	"kumquatcleat/internal/termination"
)

// Exit codes of the daemon.
const (
	exitOK     = 0
	exitFailed = 1 // a listener failed, or requests were cut off at shutdown
	exitUsage  = 2 // invalid arguments or settings
)

const (
	gcPercent        = 400
	memoryLimitBytes = 100 << 20 // soft limit: above it, the garbage collector runs as often as needed
)

// forceQuitTimeout is longer than any planned stop. By default, go-zero sends a signal to the
// process again 5.5 s after the first.
const forceQuitTimeout = 24 * time.Hour

// Main runs the daemon's command line and returns its exit code.
func Main(args []string, stdout, stderr io.Writer) int {
	ctx, repeated := termination.Notify(syscall.SIGHUP)
	proc.SetTimeToForceQuit(forceQuitTimeout)
	code := exitOK
	command := newCommand(stdout, func(s *settings.Settings) { code = run(ctx, repeated, s, stdout, stderr) })
	command.SetArgs(args)
	command.SetOut(stdout)
	command.SetErr(stderr)
	if err := command.Execute(); err != nil {
		_, _ = fmt.Fprintln(stderr, "kumquatcleatd:", err)
		return exitUsage
	}
	return code
}

func newCommand(stdout io.Writer, run func(*settings.Settings)) *cobra.Command {
	var file string
	var check bool
	command := &cobra.Command{
		Use:           "kumquatcleatd",
		Short:         "Route callers' requests to the servers that own their keys",
		Long:          "Without --settings it runs on embedded defaults: stand-ins for the platform and the servers, on loopback addresses.",
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE: func(*cobra.Command, []string) error {
			s, err := loadSettings(file)
			if err != nil {
				return err
			}
			if check {
				_, _ = fmt.Fprintln(stdout, "settings are valid")
				return nil
			}
			run(s)
			return nil
		},
	}
	command.Flags().StringVar(&file, "settings", "", "JSON settings file (default: embedded settings)")
	command.Flags().BoolVar(&check, "check", false, "validate the settings and exit")
	return command
}

func loadSettings(file string) (*settings.Settings, error) {
	if file == "" {
		return settings.Default(), nil
	}
	return settings.Load(file)
}

// run serves until told ends, then shuts down without cutting off requests. A repeated
// signal during the shutdown exits immediately.
func run(told context.Context, repeated <-chan os.Signal, s *settings.Settings, stdout, stderr io.Writer) int {
	var level slog.Level
	_ = level.UnmarshalText([]byte(s.LogLevel)) // validated with the settings
	// With a small heap, the default GC percentage collects too often. The memory
	// limit keeps the process below the 128 MB that a VM may spend on the router.
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(memoryLimitBytes)
	flush := logging.Setup(stdout, level)
	defer flush()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if s.Embedded {
		if err := startEmbedded(ctx, s); err != nil {
			_, _ = fmt.Fprintln(stderr, "kumquatcleatd:", err)
			return exitFailed
		}
	}
	d, err := New(s)
	if err != nil {
		_, _ = fmt.Fprintln(stderr, "kumquatcleatd:", err)
		return exitFailed
	}
	termination.IgnoreUnused() // go-zero may have subscribed since main began
	err = interruptible(func() error { return d.Run(told) }, repeated, func(sig os.Signal) {
		slog.Error("daemon: terminated immediately by a second signal", "signal", sig.String(), "requests_cut", d.InFlight())
		flush()
		os.Exit(exitFailed)
	})
	if err != nil {
		slog.Error("daemon: stopped with an error", "error", err.Error())
		flush()
		_, _ = fmt.Fprintln(stderr, "kumquatcleatd:", err)
		return exitFailed
	}
	return exitOK
}

// interruptible calls serve, and interrupt with a signal that arrives before serve returns.
// A later one must not change the exit code of a stop that is complete.
func interruptible(serve func() error, repeated <-chan os.Signal, interrupt func(os.Signal)) error {
	var mu sync.Mutex // guards returned
	returned := false
	go func() {
		sig := <-repeated
		mu.Lock()
		defer mu.Unlock()
		if !returned {
			interrupt(sig)
		}
	}()
	err := serve()
	mu.Lock()
	defer mu.Unlock()
	returned = true
	return err
}
