package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/netip"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"
	"github.com/zeromicro/go-zero/core/logx"

	"kumquatcleat/internal/config"
	"kumquatcleat/internal/platformclient"
	"kumquatcleat/internal/settings"
)

// defaultTimeout limits the duration of one command. With a much shorter one, the
// command may end before the outcome of an unanswered commit is known.
const defaultTimeout = 15 * time.Second

// options holds the flags that several commands share.
type options struct {
	platform string
	vm       string
	asJSON   bool
	timeout  time.Duration
}

// addOutputFlags adds the flag that selects the output format.
func (o *options) addOutputFlags(cmd *cobra.Command) {
	cmd.Flags().BoolVar(&o.asJSON, "json", false, "print JSON")
}

// addPlatformFlags adds the flags for commands that use the platform's table.
func (o *options) addPlatformFlags(cmd *cobra.Command) {
	o.addOutputFlags(cmd)
	cmd.Flags().StringVar(&o.platform, "platform", settings.Default().Platform, "address of the platform, IP:port")
	cmd.Flags().DurationVar(&o.timeout, "timeout", defaultTimeout, "time limit for the whole command")
}

// addVMFlags adds the flags for commands that query a VM.
func (o *options) addVMFlags(cmd *cobra.Command) {
	o.addOutputFlags(cmd)
	cmd.Flags().StringVar(&o.vm, "vm", settings.Default().PeerListen, "peer_listen address of any VM, IP:port")
	cmd.Flags().DurationVar(&o.timeout, "timeout", defaultTimeout, "time limit for the whole command")
}

// withTimeout returns the command's context with the --timeout flag applied.
func (o *options) withTimeout(cmd *cobra.Command) (context.Context, context.CancelFunc) {
	return context.WithTimeout(cmd.Context(), o.timeout)
}

// platformClient returns a client for the platform, or a usage error if --platform is
// not a valid address.
func (o *options) platformClient() (*platformclient.Client, error) {
	if err := checkAddress("--platform", o.platform); err != nil {
		return nil, err
	}
	disableGoZeroLog()
	return platformclient.New(o.platform), nil
}

// acceptor returns the Acceptor that validates changes and commits them to the table.
func (o *options) acceptor() (*config.Acceptor, error) {
	client, err := o.platformClient()
	if err != nil {
		return nil, err
	}
	return &config.Acceptor{Table: client, VMs: client}, nil
}

func checkAddress(flag, value string) error {
	if addr, err := netip.ParseAddrPort(value); err != nil || addr.Port() == 0 {
		return usageError(fmt.Errorf("%s: %q: want IP:port, such as 10.0.0.7:8081", flag, value))
	}
	return nil
}

// disableGoZeroLog disables go-zero's log lines, which would go to standard output.
func disableGoZeroLog() { logx.Disable() }

// printJSON writes a value as indented JSON.
func printJSON(out io.Writer, value any) error {
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

// newTable returns a writer that aligns tab-separated columns.
func newTable(out io.Writer) *tabwriter.Writer {
	return tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
}

// printMessage writes a line for people to standard error.
func printMessage(cmd *cobra.Command, format string, args ...any) {
	_, _ = fmt.Fprintf(cmd.ErrOrStderr(), format+"\n", args...)
}
