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

// runsFilePerm lets the bench tool, run by the same user, read run records.
const runsFilePerm = 0o644

func standinCommand() *cobra.Command {
	command := &cobra.Command{
		Use:   "standin",
		Short: "Run a stand-in of the platform or of servers, for tests",
	}
	command.AddCommand(standinPlatformCommand(), standinServerCommand(), standinServersCommand(), standinRelaysCommand())
	return command
}

func standinPlatformCommand() *cobra.Command {
	var listen, settingsFile string
	command := &cobra.Command{
		Use:   "platform",
		Short: "Run a stand-in of the platform: table, object store, VM list",
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
			return failure(standin.ServePlatform(stopContext(cmd), listen, standin.NewPlatform(settings)))
		},
	}
	command.Flags().StringVar(&listen, "listen", "127.0.0.1:7001", "address to listen on, host:port")
	command.Flags().StringVar(&settingsFile, "settings", "", "JSON file of settings; none: no faults")
	return command
}

func standinServerCommand() *cobra.Command {
	var listen, runsFile string
	var s standin.ServerSettings
	command := &cobra.Command{
		Use:   "server",
		Short: "Run a stand-in of one server",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if err := s.Check(); err != nil {
				return usageError(err)
			}
			return serveServer(stopContext(cmd), standin.FleetServer{Listen: listen, ServerSettings: s}, runsFile)
		},
	}
	flags := command.Flags()
	flags.StringVar(&listen, "listen", "127.0.0.1:7101", "address to listen on, host:port")
	flags.StringVar(&runsFile, "runs", "", "file that run records are appended to")
	flags.StringVar(&s.ID, "id", "", "id of the server in the service's record")
	flags.StringVar(&s.FailureDomain, "domain", "", "failure domain")
	flags.IntVar(&s.Slots, "slots", 6, "requests run at once")
	flags.IntVar(&s.Connections, "connections", 130, "connections accepted at once; 0: no limit")
	flags.IntVar(&s.Queue, "queue", 4, "requests that wait for a slot; -1: none")
	flags.BoolVar(&s.Checks, "checks", true, "refuse requests without a valid grant")
	flags.BoolVar(&s.HonoursID, "honours-id", false, "run a request id once")
	flags.Float64Var(&s.WorkMS, "work-ms", 1, "time that a request holds a slot, in ms")
	flags.Int64Var(&s.ColdStartMS, "cold-start-ms", 0, "how long requests are slow after the start")
	flags.Float64Var(&s.ColdFactor, "cold-factor", 5, "how much slower requests are in the cold start")
	flags.Int64Var(&s.ReportLagMS, "report-lag-ms", 0, "age of the health and load reports")
	return command
}

func standinServersCommand() *cobra.Command {
	var settingsFile, runsDir string
	command := &cobra.Command{
		Use:   "servers",
		Short: "Run stand-ins of several servers in one process",
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
			return serveFleet(stopContext(cmd), fleet, runsDir)
		},
	}
	command.Flags().StringVar(&settingsFile, "settings", "", "JSON file of the servers' settings")
	command.Flags().StringVar(&runsDir, "runs-dir", "", "directory of the servers' run records, ID.runs.jsonl")
	_ = command.MarkFlagRequired("settings")
	return command
}

func standinRelaysCommand() *cobra.Command {
	var settingsFile string
	command := &cobra.Command{
		Use:   "relays",
		Short: "Run relays between VMs, which can be cut",
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
			return failure(standin.ServeRelays(stopContext(cmd), settings))
		},
	}
	command.Flags().StringVar(&settingsFile, "settings", "", "JSON file of the relays' settings")
	_ = command.MarkFlagRequired("settings")
	return command
}

// serveFleet runs all servers. A request that crashes a server ends the process
// when it is the only one; several restart inside the process, so that a crash
// does not take the others with it.
func serveFleet(ctx context.Context, fleet standin.FleetSettings, runsDir string) error {
	group, ctx := errgroup.WithContext(ctx)
	for _, server := range fleet.Servers {
		log, err := openRuns(runsDir, server.ID)
		if err != nil {
			return failure(err)
		}
		server.RunLog = log
		if len(fleet.Servers) == 1 {
			server.Crash = exitOnCrash(server.ID)
		}
		group.Go(func() error {
			return standin.ServeServer(ctx, server.Listen, standin.NewServer(server.ServerSettings))
		})
	}
	return failure(group.Wait())
}

// serveServer runs one server, whose process ends when a request crashes it.
func serveServer(ctx context.Context, server standin.FleetServer, runsFile string) error {
	if runsFile != "" {
		log, err := openAppend(runsFile)
		if err != nil {
			return failure(err)
		}
		server.RunLog = log
	}
	server.Crash = exitOnCrash(server.ID)
	return failure(standin.ServeServer(ctx, server.Listen, standin.NewServer(server.ServerSettings)))
}

func exitOnCrash(id string) func() {
	return func() {
		slog.Error("standin: crashed by a request", "server", id)
		os.Exit(ExitFailed)
	}
}

func openRuns(dir, id string) (io.Writer, error) {
	if dir == "" {
		return nil, nil
	}
	return openAppend(filepath.Join(dir, id+".runs.jsonl"))
}

func openAppend(path string) (io.Writer, error) {
	file, err := os.OpenFile(path, os.O_APPEND|os.O_CREATE|os.O_WRONLY, runsFilePerm)
	if err != nil {
		return nil, fmt.Errorf("run records: %w", err)
	}
	return file, nil
}

// stopContext ends on SIGTERM and SIGINT.
func stopContext(cmd *cobra.Command) context.Context {
	ctx, _ := signal.NotifyContext(cmd.Context(), syscall.SIGTERM, os.Interrupt)
	return ctx
}

func usageError(err error) error { return &ExitError{Code: ExitUsage, Err: err} }

func failure(err error) error {
	if err == nil {
		return nil
	}
	return &ExitError{Code: ExitFailed, Err: err}
}
