package gateway

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"os"
	"runtime"
	"runtime/debug"

	"github.com/spf13/cobra"

	"kumquatcleat/internal/logging"
	"kumquatcleat/internal/termination"
)

// Exit codes of the gateway.
const (
	exitOK     = 0
	exitFailed = 1 // a listener failed to start or to serve
	exitUsage  = 2 // invalid arguments or settings
)

const (
	// gcPercent is Go's default, which applies here even if GOGC is set: a collection
	// starts when the heap has doubled since the last one.
	gcPercent = 100
	// memoryLimitShare is the fraction of the VM's memory that is set as Go's soft
	// memory limit: beyond it the garbage collector runs as often as needed. Bytes
	// received but not yet read also count against the VM's memory.
	memoryLimitShare = 0.6
)

// Main runs the gateway's command line and returns its exit code. defaultPath is
// the path at which the platform puts the settings file.
func Main(args []string, defaultPath string, newAdapter func(*Settings) Adapter, stdout, stderr io.Writer) int {
	hangups := hangupSignals()
	ctx, _ := termination.Notify()
	code := exitOK
	var path string
	var check bool
	command := &cobra.Command{
		Use:           "kumquatcleat-gateway",
		Short:         "Route callers' requests on an entry VM",
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE: func(*cobra.Command, []string) error {
			s, err := Load(path)
			if err != nil {
				return err
			}
			if check {
				_, _ = fmt.Fprintln(stdout, "settings are valid")
				return nil
			}
			code = run(ctx, s, path, newAdapter(s), stdout, hangups)
			return nil
		},
	}
	command.Flags().StringVar(&path, "settings", defaultPath, "path of the JSON settings file")
	command.Flags().BoolVar(&check, "check", false, "validate the settings file and exit")
	command.SetArgs(args)
	command.SetOut(stdout)
	command.SetErr(stderr)
	if err := command.Execute(); err != nil {
		_, _ = fmt.Fprintln(stderr, "kumquatcleat-gateway:", err)
		return exitUsage
	}
	return code
}

// run serves until ctx ends.
func run(ctx context.Context, s *Settings, path string, adapter Adapter, stdout io.Writer, hangups <-chan os.Signal) int {
	runtime.GOMAXPROCS(1) // a VM runs only one thread at a time
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(s.MemoryMB * memoryLimitShare * (1 << 20)))
	var level slog.Level
	_ = level.UnmarshalText([]byte(s.LogLevel)) // Load has validated it
	flush := logging.Setup(stdout, level)
	defer flush()
	g := New(s, adapter)
	go g.watchSettings(ctx, path, hangups)
	if err := g.Run(ctx); err != nil {
		slog.Error("gateway: exiting after a listener failed", "error", err.Error())
		return exitFailed
	}
	return exitOK
}
