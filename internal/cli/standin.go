package cli

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"

	"github.com/spf13/cobra"
	"golang.org/x/sync/errgroup"

	"kumquatcleat/internal/standin"
)

// runsFilePerm allows the bench command, which the same user runs, to read run
// records.
const runsFilePerm = 0o644

func standinCommand() *cobra.Command {
	command := &cobra.Command{
		Use:   "standin",
		Short: "Run a stand-in for the platform or for servers, for tests",
	}
	command.AddCommand(standinPlatformCommand(), standinServerCommand(), standinServersCommand(), standinRelaysCommand())
	return command
}

func standinPlatformCommand() *cobra.Command {
	var listen, settingsFile string
	command := &cobra.Command{
		Use:   "platform",
		Short: "Run a stand-in for the platform: table, object store, VM list",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			var settings standin.PlatformSettings
			if settingsFile != "" {
				data, err := os.ReadFile(settingsFile)
				if err != nil {
					return usageError(err)
				}
				if settings, err = standin.ParsePlatform(data); err != nil {
					return usageError(err)
				}
			}
			return failedError(standin.ServePlatform(signalContext(cmd), listen, standin.NewPlatform(settings)))
		},
	}
	command.Flags().StringVar(&listen, "listen", "127.0.0.1:7001", "address to listen on, host:port")
	command.Flags().StringVar(&settingsFile, "settings", "", "JSON settings file (default: no faults)")
	return command
}

func standinServerCommand() *cobra.Command {
	var listen, runsFile string
	var s standin.ServerSettings
	command := &cobra.Command{
		Use:   "server",
		Short: "Run a stand-in for one server",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if err := s.Check(); err != nil {
				return usageError(err)
			}
			return serveServer(signalContext(cmd), standin.FleetServer{Listen: listen, ServerSettings: s}, runsFile)
		},
	}
	flags := command.Flags()
	flags.StringVar(&listen, "listen", "127.0.0.1:7101", "address to listen on, host:port")
	flags.StringVar(&runsFile, "runs", "", "file to append run records to")
	flags.StringVar(&s.ID, "id", "", "server id in the service's record")
	flags.StringVar(&s.FailureDomain, "domain", "", "failure domain")
	flags.IntVar(&s.Slots, "slots", 6, "maximum number of requests that run at the same time")
	flags.IntVar(&s.Connections, "connections", 130, "maximum number of open connections; 0: no limit")
	flags.IntVar(&s.Queue, "queue", 4, "maximum number of requests that wait for an execution slot; -1: none")
	flags.BoolVar(&s.Checks, "checks", true, "refuse requests without a valid grant")
	flags.BoolVar(&s.HonoursID, "honours-id", false, "run each request id at most once")
	flags.Float64Var(&s.WorkMS, "work-ms", 1, "time that a request occupies an execution slot, in ms")
	flags.Int64Var(&s.ColdStartMS, "cold-start-ms", 0, "duration of the cold start, in ms")
	flags.Float64Var(&s.ColdFactor, "cold-factor", 5, "factor by which requests are slower during the cold start")
	flags.Int64Var(&s.ReportLagMS, "report-lag-ms", 0, "maximum age of the health and load reports, in ms")
	return command
}

func standinServersCommand() *cobra.Command {
	var settingsFile, runsDir string
	command := &cobra.Command{
		Use:   "servers",
		Short: "Run stand-ins for several servers in one process",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			data, err := os.ReadFile(settingsFile)
			if err != nil {
				return usageError(err)
			}
			fleet, err := standin.ParseFleet(data)
			if err != nil {
				return usageError(err)
			}
			return serveFleet(signalContext(cmd), fleet, runsDir)
		},
	}
	command.Flags().StringVar(&settingsFile, "settings", "", "JSON file with the servers' settings")
	command.Flags().StringVar(&runsDir, "runs-dir", "", "directory for the servers' run records, ID.runs.jsonl")
	_ = command.MarkFlagRequired("settings")
	return command
}

func standinRelaysCommand() *cobra.Command {
	var settingsFile string
	command := &cobra.Command{
		Use:   "relays",
		Short: "Run relays between VMs whose connections can be cut",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			data, err := os.ReadFile(settingsFile)
			if err != nil {
				return usageError(err)
			}
			settings, err := standin.ParseRelays(data)
			if err != nil {
				return usageError(err)
			}
			return failedError(standin.ServeRelays(signalContext(cmd), settings))
		},
	}
	command.Flags().StringVar(&settingsFile, "settings", "", "JSON file with the relays' settings")
	_ = command.MarkFlagRequired("settings")
	return command
}

// serveFleet runs all servers of a fleet. A request that crashes the only server
// terminates the process. Several servers restart inside the process instead, so that
// the crash of one does not stop the others.
func serveFleet(ctx context.Context, fleet standin.FleetSettings, runsDir string) error {
	group, ctx := errgroup.WithContext(ctx)
	for _, server := range fleet.Servers {
		runFile, err := openRunFile(runsDir, server.ID)
		if err != nil {
			return failedError(err)
		}
		server.RunFile = runFile
		if len(fleet.Servers) == 1 {
			server.Crash = exitOnCrash(server.ID)
		}
		group.Go(func() error {
			return standin.ServeServer(ctx, server.Listen, standin.NewServer(server.ServerSettings))
		})
	}
	return failedError(group.Wait())
}

// serveServer runs one server. A request that crashes it terminates the process.
func serveServer(ctx context.Context, server standin.FleetServer, runsFile string) error {
	if runsFile != "" {
		runFile, err := openForAppend(runsFile)
		if err != nil {
			return failedError(err)
		}
		server.RunFile = runFile
	}
	server.Crash = exitOnCrash(server.ID)
	return failedError(standin.ServeServer(ctx, server.Listen, standin.NewServer(server.ServerSettings)))
}

func exitOnCrash(id string) func() {
	return func() {
		slog.Error("standin: request crashed the server, exiting", "server", id)
		os.Exit(ExitFailed)
	}
}

func openRunFile(dir, id string) (io.Writer, error) {
	if dir == "" {
		return nil, nil
	}
	return openForAppend(filepath.Join(dir, id+".runs.jsonl"))
}

func openForAppend(path string) (io.Writer, error) {
	file, err := os.OpenFile(path, os.O_APPEND|os.O_CREATE|os.O_WRONLY, runsFilePerm)
	if err != nil {
		return nil, fmt.Errorf("open run records: %w", err)
	}
	return file, nil
}

// signalContext returns the command's context, canceled on SIGTERM and SIGINT.
func signalContext(cmd *cobra.Command) context.Context {
	ctx, _ := signal.NotifyContext(cmd.Context(), syscall.SIGTERM, os.Interrupt)
	return ctx
}

func usageError(err error) error { return &ExitError{Code: ExitUsage, Err: err} }

func failedError(err error) error {
	if err == nil {
		return nil
	}
	return &ExitError{Code: ExitFailed, Err: err}
}
