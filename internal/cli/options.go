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
	"kumquatcleat/internal/platform"
	"kumquatcleat/internal/settings"
)

// defaultTimeout bounds one command. A shorter one ends while an unanswered
// commit is still being resolved.
const defaultTimeout = 15 * time.Second

// options are the flags that several commands share.
type options struct {
	platform string
	vm       string
	asJSON   bool
	timeout  time.Duration
}

// forOutput adds the flag of every command.
func (o *options) forOutput(cmd *cobra.Command) {
	cmd.Flags().BoolVar(&o.asJSON, "json", false, "print JSON")
}

// forPlatform adds the flags of commands that use the platform's table.
func (o *options) forPlatform(cmd *cobra.Command) {
	o.forOutput(cmd)
	cmd.Flags().StringVar(&o.platform, "platform", settings.Default().Platform, "the platform's service, IP:port")
	cmd.Flags().DurationVar(&o.timeout, "timeout", defaultTimeout, "when to give up")
}

// forVM adds the flags of commands that ask a VM.
func (o *options) forVM(cmd *cobra.Command) {
	o.forOutput(cmd)
	cmd.Flags().StringVar(&o.vm, "vm", settings.Default().PeerListen, "peer_listen of any VM, IP:port")
	cmd.Flags().DurationVar(&o.timeout, "timeout", defaultTimeout, "when to give up")
}

// bounded returns the command's context, ended by the timeout.
func (o *options) bounded(cmd *cobra.Command) (context.Context, context.CancelFunc) {
	return context.WithTimeout(cmd.Context(), o.timeout)
}

// table returns the platform's client.
func (o *options) table() (*platform.Client, error) {
	if err := checkAddress("--platform", o.platform); err != nil {
		return nil, err
	}
	quietLibraries()
	return platform.NewClient(o.platform), nil
}

// acceptor returns what brings changes into the table.
func (o *options) acceptor() (*config.Acceptor, error) {
	client, err := o.table()
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

// quietLibraries keeps go-zero's log lines off standard output.
func quietLibraries() { logx.Disable() }

// printJSON writes a value as indented JSON.
func printJSON(out io.Writer, value any) error {
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

// newTable returns a writer that aligns columns separated by tabs.
func newTable(out io.Writer) *tabwriter.Writer {
	return tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
}

// say writes a sentence for people.
func say(cmd *cobra.Command, format string, args ...any) {
	_, _ = fmt.Fprintf(cmd.ErrOrStderr(), format+"\n", args...)
}
