package cli

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"

	"github.com/spf13/cobra"
	"github.com/zeromicro/go-zero/core/logx"

	"kumquatcleat/internal/bench"
	"kumquatcleat/internal/standin"
)

func benchCommand() *cobra.Command {
	command := &cobra.Command{
		Use:   "bench",
		Short: "Run load tests against a cluster on loopback addresses and check the results",
		// By default, go-zero, which the platform client uses, logs every call.
		PersistentPreRun: func(*cobra.Command, []string) { logx.Disable() },
	}
	command.AddCommand(benchRunCommand(), benchReportCommand(), benchCheckCommand(), benchClusterCommand())
	return command
}

// benchRunFlags are the flags of bench run.
type benchRunFlags struct {
	targets string
	cluster string
	out     string
	seed    uint64
	seedSet bool
	asJSON  bool
}

func benchRunCommand() *cobra.Command {
	var flags benchRunFlags
	command := &cobra.Command{
		Use:   "run SCENARIO.json",
		Short: "Run a scenario, record its history and print a report",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			flags.seedSet = cmd.Flags().Changed("seed")
			return runBench(cmd, args[0], flags)
		},
	}
	f := command.Flags()
	f.StringVar(&flags.targets, "targets", "", "comma-separated loopback addresses of entry VMs, IP:port (default: those of --run)")
	f.StringVar(&flags.cluster, "run", "", "cluster directory, used for fault injection and the servers' run records")
	f.StringVar(&flags.out, "out", "", "output directory for the history, the report and its plots")
	f.Uint64Var(&flags.seed, "seed", 0, "seed that overrides the scenario's")
	f.BoolVar(&flags.asJSON, "json", false, "print the report as JSON")
	return command
}

func runBench(cmd *cobra.Command, path string, flags benchRunFlags) error {
	scenario, err := readScenario(path)
	if err != nil {
		return usageError(err)
	}
	seed := scenario.Seed
	if flags.seedSet {
		seed = flags.seed
	}
	cluster, targets, err := benchTargets(flags)
	if err != nil {
		return usageError(err)
	}
	history, err := bench.Run(signalContext(cmd), scenario, seed, targets, cluster)
	if err != nil {
		return failedError(err)
	}
	report := bench.MakeReport(history)
	if flags.out != "" {
		if err := bench.SaveAll(flags.out, history, report); err != nil {
			return failedError(err)
		}
	}
	if flags.asJSON {
		return failedError(json.NewEncoder(cmd.OutOrStdout()).Encode(report))
	}
	report.Write(cmd.OutOrStdout())
	return nil
}

func readScenario(path string) (*bench.Scenario, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return bench.ParseScenario(data)
}

func benchTargets(flags benchRunFlags) (*bench.Cluster, []string, error) {
	var cluster *bench.Cluster
	var err error
	if flags.cluster != "" {
		if cluster, err = bench.LoadCluster(flags.cluster); err != nil {
			return nil, nil, err
		}
	}
	if flags.targets != "" {
		targets, err := bench.ParseTargets(flags.targets)
		return cluster, targets, err
	}
	if cluster == nil {
		return nil, nil, errors.New("set --targets to the entry VMs or --run to a cluster directory")
	}
	return cluster, cluster.Targets(), nil
}

func benchReportCommand() *cobra.Command {
	var asJSON bool
	command := &cobra.Command{
		Use:   "report DIR",
		Short: "Recompute the report of a recorded history",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			history, err := bench.LoadHistory(args[0])
			if err != nil {
				return usageError(err)
			}
			report := bench.MakeReport(history)
			if asJSON {
				return failedError(json.NewEncoder(cmd.OutOrStdout()).Encode(report))
			}
			report.Write(cmd.OutOrStdout())
			return nil
		},
	}
	command.Flags().BoolVar(&asJSON, "json", false, "print the report as JSON")
	return command
}

func benchCheckCommand() *cobra.Command {
	var asJSON bool
	command := &cobra.Command{
		Use:   "check DIR",
		Short: "Check a recorded history for violated invariants",
		Long: "Check a recorded history for violated invariants.\n" +
			"The exit code is 1 if any invariant is violated.",
		Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			history, err := bench.LoadHistory(args[0])
			if err != nil {
				return usageError(err)
			}
			result := bench.Check(history)
			if asJSON {
				_ = json.NewEncoder(cmd.OutOrStdout()).Encode(result)
			} else {
				result.Write(cmd.OutOrStdout())
			}
			if result.OK() {
				return nil
			}
			return failedError(fmt.Errorf("bench check: %d violations", len(result.Violations)))
		},
	}
	command.Flags().BoolVar(&asJSON, "json", false, "print the result as JSON")
	return command
}

func benchClusterCommand() *cobra.Command {
	command := &cobra.Command{
		Use:   "cluster",
		Short: "Start and stop a cluster of separate processes on loopback addresses",
	}
	command.AddCommand(benchClusterUpCommand(), benchClusterDownCommand())
	return command
}

func benchClusterUpCommand() *cobra.Command {
	var s bench.ClusterSettings
	var daemonSettings string
	command := &cobra.Command{
		Use:   "up",
		Short: "Start a platform stand-in, servers and daemons, and wait until they are ready",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			tool, err := os.Executable()
			if err != nil {
				return failedError(err)
			}
			s.Tool = tool
			if s.Daemon == "" {
				s.Daemon = filepath.Join(filepath.Dir(tool), "kumquatcleatd")
			}
			if s.Dir, err = filepath.Abs(s.Dir); err != nil {
				return usageError(err)
			}
			s.DaemonSettings = json.RawMessage(daemonSettings)
			cluster, err := bench.Up(signalContext(cmd), s)
			if err != nil {
				return failedError(err)
			}
			for _, target := range cluster.Targets() {
				_, _ = fmt.Fprintln(cmd.OutOrStdout(), target)
			}
			return nil
		},
	}
	f := command.Flags()
	f.StringVar(&s.Size, "size", "small", "fellowship, omuramba or small")
	f.StringVar(&s.Dir, "run", "run/cluster", "directory for settings, logs, pid files and run records")
	f.IntVar(&s.Net, "net", 0, "second octet of the addresses 127.NET.x.y")
	f.BoolVar(&s.Separate, "separate-servers", false, "run each server in a process of its own")
	f.BoolVar(&s.NoChecks, "no-checks", false, "servers run requests without a valid grant, and the service records say so")
	f.StringVar(&s.Daemon, "daemon", "", "path of kumquatcleatd (default: in the directory of this program)")
	f.StringVar(&daemonSettings, "daemon-settings", "", "JSON object whose fields override each daemon's settings")
	serverFlags(command, &s.Server)
	return command
}

// serverFlags adds the flags that apply to all server stand-ins of a cluster.
func serverFlags(command *cobra.Command, s *standin.ServerSettings) {
	f := command.Flags()
	f.IntVar(&s.Queue, "queue", 4, "maximum number of requests that wait for an execution slot of a server; -1: none")
	f.Float64Var(&s.WorkMS, "work-ms", 1, "time that a request occupies an execution slot, in ms")
	f.Int64Var(&s.ColdStartMS, "cold-start-ms", 0, "duration of the cold start after a server starts, in ms")
	f.Float64Var(&s.ColdFactor, "cold-factor", 5, "factor by which requests are slower during the cold start")
	f.Int64Var(&s.ReportLagMS, "report-lag-ms", 0, "maximum age of the health and load reports, in ms")
}

func benchClusterDownCommand() *cobra.Command {
	var dir string
	command := &cobra.Command{
		Use:   "down",
		Short: "Stop the processes named in the cluster's pid files",
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			cluster, err := bench.LoadCluster(dir)
			if err != nil {
				return usageError(err)
			}
			return failedError(cluster.Down())
		},
	}
	command.Flags().StringVar(&dir, "run", "run/cluster", "cluster directory")
	return command
}
