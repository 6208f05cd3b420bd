package cli

import (
	"cmp"
	"fmt"
	"io"
	"slices"

	"github.com/spf13/cobra"

	"kumquatcleat/internal/operator"
)

// maxStatusLines limits each list that status prints, so that the whole system fits on
// one screen; --json prints everything.
const maxStatusLines = 12

func statusCommand() *cobra.Command {
	var o options
	cmd := &cobra.Command{
		Use:   "status",
		Short: "Show VMs, groups, keepers, servers and versions on one screen",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return withExitCode(status(cmd, &o))
		},
	}
	o.addVMFlags(cmd)
	return cmd
}

func status(cmd *cobra.Command, o *options) error {
	client, err := o.vmClient()
	if err != nil {
		return err
	}
	ctx, cancel := o.withTimeout(cmd)
	defer cancel()
	s, err := client.Status(ctx)
	if err != nil {
		return err
	}
	if o.asJSON {
		return printJSON(cmd.OutOrStdout(), s)
	}
	return printStatus(cmd.OutOrStdout(), s)
}

// printStatus prints totals per failure domain and service, and lists the VMs, groups
// and servers that need attention.
func printStatus(out io.Writer, s operator.Status) error {
	w := newTable(out)
	printVMs(w, s)
	printGroups(w, s.Groups)
	printServers(w, s.Servers)
	printVersions(w, s)
	return w.Flush()
}

// domainCount counts the VMs of one failure domain. differing counts the live ones
// whose config digest is not the most common one.
type domainCount struct {
	domain                string
	all, alive, differing int
}

func printVMs(w io.Writer, s operator.Status) {
	platform := "up"
	if !s.PlatformUp {
		platform = "DOWN"
	}
	_, _ = fmt.Fprintf(w, "status reported by VM %s; platform %s\n\n", s.VM, platform)
	_, _ = fmt.Fprintln(w, "DOMAIN\tVMS\tALIVE\tCONFIG BEHIND")
	for _, c := range countDomains(s) {
		_, _ = fmt.Fprintf(w, "%s\t%d\t%d\t%d\n", c.domain, c.all, c.alive, c.differing)
	}
	var unreachable []string
	for _, vm := range s.VMs {
		if !vm.Alive {
			unreachable = append(unreachable, vm.ID+"@"+vm.FailureDomain)
		}
	}
	printTruncated(w, "VMs that do not answer", unreachable)
}

func countDomains(s operator.Status) []domainCount {
	common := commonDigest(s.VMs)
	byName := make(map[string]*domainCount)
	for _, vm := range s.VMs {
		c := byName[vm.FailureDomain]
		if c == nil {
			c = &domainCount{domain: vm.FailureDomain}
			byName[vm.FailureDomain] = c
		}
		c.all++
		if vm.Alive {
			c.alive++
		}
		if vm.Alive && vm.ConfigDigest != 0 && vm.ConfigDigest != common {
			c.differing++
		}
	}
	counts := make([]domainCount, 0, len(byName))
	for _, c := range byName {
		counts = append(counts, *c)
	}
	slices.SortFunc(counts, func(a, b domainCount) int { return cmp.Compare(a.domain, b.domain) })
	return counts
}

// commonDigest returns the most frequent config digest among live VMs. VMs whose
// digest is unknown, which is 0, do not count.
func commonDigest(vms []operator.VM) uint64 {
	counts := make(map[uint64]int)
	var best uint64
	for _, vm := range vms {
		if !vm.Alive || vm.ConfigDigest == 0 {
			continue
		}
		counts[vm.ConfigDigest]++
		if counts[vm.ConfigDigest] > counts[best] {
			best = vm.ConfigDigest
		}
	}
	return best
}

func printGroups(w io.Writer, groups []operator.Group) {
	shown := groups
	note := ""
	if len(groups) > maxStatusLines {
		shown = slices.DeleteFunc(slices.Clone(groups), isHealthyGroup)
		note = fmt.Sprintf(" (%d, healthy ones omitted)", len(groups))
	}
	_, _ = fmt.Fprintf(w, "\nGROUP%s\tKEEPER\tSTANDBY\tEPOCH\tMODE\tSLOTS\tUNOWNED\tMOVING\n", note)
	for i, g := range shown {
		if i == maxStatusLines {
			_, _ = fmt.Fprintf(w, "and %d more\n", len(shown)-i)
			break
		}
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%s\t%d\t%d\t%d\n",
			g.Group, orNone(g.Keeper), orNone(g.Standby), g.Epoch, g.Mode, g.Slots, g.Unowned, g.Moving)
	}
}

func isHealthyGroup(g operator.Group) bool {
	// ModeElsewhere: another VM keeps the group and knows its mode.
	expectedMode := g.Mode == operator.ModeTable || g.Mode == operator.ModeElsewhere
	return expectedMode && g.Keeper != "" && g.Standby != "" && g.Unowned == 0
}

func orNone(value string) string {
	if value == "" {
		return "none"
	}
	return value
}

// serviceCount counts the servers of one service.
type serviceCount struct {
	service                                 string
	all, healthy, draining, slots, inFlight int
}

func printServers(w io.Writer, servers []operator.Server) {
	_, _ = fmt.Fprintln(w, "\nSERVICE\tSERVERS\tHEALTHY\tDRAINING\tSLOTS OWNED\tIN FLIGHT HERE")
	for i, c := range countServices(servers) {
		if i == maxStatusLines {
			_, _ = fmt.Fprintln(w, "and more; --json prints all")
			break
		}
		_, _ = fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\n", c.service, c.all, c.healthy, c.draining, c.slots, c.inFlight)
	}
	var unhealthy []string
	for _, s := range servers {
		if !s.Healthy && !s.Draining {
			unhealthy = append(unhealthy, s.Service+"/"+s.ID)
		}
	}
	printTruncated(w, "servers that are not healthy", unhealthy)
}

func countServices(servers []operator.Server) []serviceCount {
	byName := make(map[string]*serviceCount)
	for _, s := range servers {
		c := byName[s.Service]
		if c == nil {
			c = &serviceCount{service: s.Service}
			byName[s.Service] = c
		}
		c.all++
		c.slots += s.SlotsOwned
		c.inFlight += s.InFlight
		if s.Healthy {
			c.healthy++
		}
		if s.Draining {
			c.draining++
		}
	}
	counts := make([]serviceCount, 0, len(byName))
	for _, c := range byName {
		counts = append(counts, *c)
	}
	slices.SortFunc(counts, func(a, b serviceCount) int { return cmp.Compare(a.service, b.service) })
	return counts
}

func printVersions(w io.Writer, s operator.Status) {
	_, _ = fmt.Fprintln(w, "\nRECORD\tVERSION IN FORCE")
	for i, r := range s.ConfigVersions {
		if i == maxStatusLines {
			_, _ = fmt.Fprintf(w, "and %d more\n", len(s.ConfigVersions)-i)
			return
		}
		_, _ = fmt.Fprintf(w, "%s\t%d\n", r.Name, r.Version)
	}
}

// printTruncated prints up to maxStatusLines items on one line, and nothing if there
// are no items.
func printTruncated(w io.Writer, title string, items []string) {
	if len(items) == 0 {
		return
	}
	_, _ = fmt.Fprintf(w, "%s: %d:", title, len(items))
	for i, item := range items {
		if i == maxStatusLines {
			_, _ = fmt.Fprint(w, " ...")
			break
		}
		_, _ = fmt.Fprint(w, " ", item)
	}
	_, _ = fmt.Fprintln(w)
}
