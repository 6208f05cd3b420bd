package daemon

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/spf13/cobra"

	"kumquatcleat/internal/logging"
	"kumquatcleat/internal/settings"
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

// Main runs the daemon's command line and returns its exit code.
func Main(args []string, stdout, stderr io.Writer) int {
	code := exitOK
	command := newCommand(stdout, stderr, &code)
	command.SetArgs(args)
	command.SetOut(stdout)
	command.SetErr(stderr)
	if err := command.Execute(); err != nil {
		_, _ = fmt.Fprintln(stderr, "kumquatcleatd:", err)
		return exitUsage
	}
	return code
}

func newCommand(stdout, stderr io.Writer, code *int) *cobra.Command {
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
			*code = run(s, stdout, stderr)
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

// run serves until SIGTERM or SIGINT, then shuts down without cutting off requests. A
// second signal exits immediately.
func run(s *settings.Settings, stdout, stderr io.Writer) int {
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
	running, stop := context.WithCancel(ctx)
	defer stop()
	go stopOnSignals(stop, func(name string) {
		slog.Error("daemon: terminated immediately by a second signal", "signal", name, "requests_cut", d.InFlight())
		flush()
		os.Exit(exitFailed)
	})
	if err := d.Run(running); err != nil {
		slog.Error("daemon: stopped with an error", "error", err.Error())
		flush()
		_, _ = fmt.Fprintln(stderr, "kumquatcleatd:", err)
		return exitFailed
	}
	return exitOK
}

func stopOnSignals(first func(), second func(name string)) {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	<-signals
	first()
	second((<-signals).String())
}
