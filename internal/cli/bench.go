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
		Short: "Load a cluster on loopback addresses and check what it did",
		// The platform client's library logs every call by default.
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
		Short: "Run a scenario, record its history and report its figures",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			flags.seedSet = cmd.Flags().Changed("seed")
			return runBench(cmd, args[0], flags)
		},
	}
	f := command.Flags()
	f.StringVar(&flags.targets, "targets", "", "entry VMs, IP:port on loopback, separated by commas; default: those of --run")
	f.StringVar(&flags.cluster, "run", "", "directory of a cluster: for faults and servers' run records")
	f.StringVar(&flags.out, "out", "", "directory for the history, the report and its plots")
	f.Uint64Var(&flags.seed, "seed", 0, "seed in place of the scenario's")
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
	history, err := bench.Run(stopContext(cmd), scenario, seed, targets, cluster)
	if err != nil {
		return failure(err)
	}
	report := bench.MakeReport(history)
	if flags.out != "" {
		if err := bench.SaveAll(flags.out, history, report); err != nil {
			return failure(err)
		}
	}
	if flags.asJSON {
		return failure(json.NewEncoder(cmd.OutOrStdout()).Encode(report))
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
		return nil, nil, errors.New("name the entry VMs by --targets or a cluster by --run")
	}
	return cluster, cluster.Targets(), nil
}

func benchReportCommand() *cobra.Command {
	var asJSON bool
	command := &cobra.Command{
		Use:   "report DIR",
		Short: "Work the figures of a recorded history out again",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			history, err := bench.LoadHistory(args[0])
			if err != nil {
				return usageError(err)
			}
			report := bench.MakeReport(history)
			if asJSON {
				return failure(json.NewEncoder(cmd.OutOrStdout()).Encode(report))
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
		Short: "Check a recorded history against what must always hold",
		Long: "Check a recorded history against what must always hold.\n" +
			"Exit code 1 when a rule was broken.",
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
			return failure(fmt.Errorf("bench check: %d violations", len(result.Violations)))
		},
	}
	command.Flags().BoolVar(&asJSON, "json", false, "print the result as JSON")
	return command
}

func benchClusterCommand() *cobra.Command {
	command := &cobra.Command{
		Use:   "cluster",
		Short: "Start and end a cluster of separate processes on loopback addresses",
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
				return failure(err)
			}
			s.Tool = tool
			if s.Daemon == "" {
				s.Daemon = filepath.Join(filepath.Dir(tool), "kumquatcleatd")
			}
			if s.Dir, err = filepath.Abs(s.Dir); err != nil {
				return usageError(err)
			}
			s.DaemonSettings = json.RawMessage(daemonSettings)
			cluster, err := bench.Up(stopContext(cmd), s)
			if err != nil {
				return failure(err)
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
	f.BoolVar(&s.Separate, "separate-servers", false, "one process for each server")
	f.BoolVar(&s.NoChecks, "no-checks", false, "servers that run whatever arrives, and records that say so")
	f.StringVar(&s.Daemon, "daemon", "", "path of kumquatcleatd; default: beside this program")
	f.StringVar(&daemonSettings, "daemon-settings", "", "JSON object laid over each daemon's settings")
	serverFlags(command, &s.Server)
	return command
}

// serverFlags are the flags of server stand-ins that a cluster's servers share.
func serverFlags(command *cobra.Command, s *standin.ServerSettings) {
	f := command.Flags()
	f.IntVar(&s.Queue, "queue", 4, "requests that wait for a slot of a server; -1: none")
	f.Float64Var(&s.WorkMS, "work-ms", 1, "time that a request holds a slot, in ms")
	f.Int64Var(&s.ColdStartMS, "cold-start-ms", 0, "how long requests are slow after a server's start")
	f.Float64Var(&s.ColdFactor, "cold-factor", 5, "how much slower requests are in the cold start")
	f.Int64Var(&s.ReportLagMS, "report-lag-ms", 0, "age of the health and load reports")
}

func benchClusterDownCommand() *cobra.Command {
	var dir string
	command := &cobra.Command{
		Use:   "down",
		Short: "End the processes that the cluster's pid files name",
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			cluster, err := bench.LoadCluster(dir)
			if err != nil {
				return usageError(err)
			}
			return failure(cluster.Down())
		},
	}
	command.Flags().StringVar(&dir, "run", "run/cluster", "directory of the cluster")
	return command
}
