package gateway

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"

	"github.com/spf13/cobra"

	"kumquatcleat/internal/logging"
)

// Exit codes of the gateway.
const (
	exitOK     = 0
	exitFailed = 1 // a listener failed
	exitUsage  = 2 // wrong arguments or settings
)

const (
	gcPercent = 100
	// memoryPart is the part of the VM's memory beyond which the collector runs as
	// often as needed; bytes received and not yet read count as memory too.
	memoryPart = 0.6
)

// Main runs the gateway's command line and returns its exit code. defaultPath is
// where the platform puts the settings.
func Main(args []string, defaultPath string, newAdapter func(*Settings) Adapter, stdout, stderr io.Writer) int {
	signals := hangups()
	code := exitOK
	var path string
	var check bool
	command := &cobra.Command{
		Use:           "kumquatcleat-gateway",
		Short:         "Route callers' requests on an entry VM of the users' platform",
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
			code = run(s, path, newAdapter(s), stdout, signals)
			return nil
		},
	}
	command.Flags().StringVar(&path, "settings", defaultPath, "JSON file of settings")
	command.Flags().BoolVar(&check, "check", false, "only check the settings")
	command.SetArgs(args)
	command.SetOut(stdout)
	command.SetErr(stderr)
	if err := command.Execute(); err != nil {
		_, _ = fmt.Fprintln(stderr, "kumquatcleat-gateway:", err)
		return exitUsage
	}
	return code
}

// run serves until SIGTERM or SIGINT.
func run(s *Settings, path string, adapter Adapter, stdout io.Writer, signals <-chan os.Signal) int {
	runtime.GOMAXPROCS(1) // a VM runs one thread at a time
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(s.MemoryMB * memoryPart * (1 << 20)))
	var level slog.Level
	_ = level.UnmarshalText([]byte(s.LogLevel)) // checked with the settings
	flush := logging.Setup(stdout, level)
	defer flush()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	g := New(s, adapter)
	go g.reloads(ctx, path, signals)
	if err := g.Run(ctx); err != nil {
		slog.Error("gateway: ended", "error", err.Error())
		return exitFailed
	}
	return exitOK
}
