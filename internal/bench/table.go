package bench

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
)

// Write prints the report as tables.
func (r *Report) Write(w io.Writer) {
	_, _ = fmt.Fprintf(w, "scenario %s, seed %d, %.0f s, %d VMs, %d calls, %d skipped by the bench\n\n",
		r.Scenario, r.Seed, r.DurationS, r.Targets, r.Calls, r.Skipped)
	r.writeLatencies(w)
	r.writeOutcomes(w)
	r.writeBalanceAndAvailability(w)
	if c := r.Cost; c != nil {
		_, _ = fmt.Fprintf(w, "daemons: %.2f s of processor, %.3f ms a call, %.0f calls a second a core, memory %.1f MB each before, %.1f MB after\n",
			c.CPUSeconds, c.CPUMSPerCall, c.CallsPerCoreS, c.RSSMBBefore, c.RSSMBAfter)
	}
	for _, s := range r.Services {
		if len(s.Refusals) > 0 {
			_, _ = fmt.Fprintf(w, "refusals of %s: %s\n", s.Service, formatCounts(s.Refusals))
		}
	}
}

func newTable(w io.Writer, header string) *tabwriter.Writer {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, header)
	return table
}

func (r *Report) writeLatencies(w io.Writer) {
	table := newTable(w, "service\tkind\tclass\tanswered\tp50 ms\tp99 ms\tp99.9 ms\tmax ms")
	for _, s := range r.Services {
		for _, l := range s.Latencies {
			_, _ = fmt.Fprintf(table, "%s\t%s\t%s\t%d\t%.2f\t%.2f\t%.2f\t%.2f\n",
				s.Service, l.Kind, l.Class, l.Count, l.P50MS, l.P99MS, l.P999MS, l.MaxMS)
		}
	}
	_ = table.Flush()
	_, _ = fmt.Fprintln(w)
}

func (r *Report) writeOutcomes(w io.Writer) {
	outcomes := []CallOutcome{CallAnswered, CallDeferred, CallNotRun, CallUnknown, CallFailed, CallLost, CallUnsent, CallWrong}
	header := "service\tcalls\tresent"
	for _, o := range outcomes {
		header += "\t" + string(o)
	}
	table := newTable(w, header)
	for _, s := range r.Services {
		line := fmt.Sprintf("%s\t%d\t%d", s.Service, s.Calls, s.Resent)
		for _, o := range outcomes {
			line += fmt.Sprintf("\t%d", s.Outcomes[o])
		}
		_, _ = fmt.Fprintln(table, line)
	}
	_ = table.Flush()
	_, _ = fmt.Fprintln(w)
}

func (r *Report) writeBalanceAndAvailability(w io.Writer) {
	table := newTable(w, "service\timbalance\tfloor\tchanges\tslots changed\ttries\tunavailable key-s\tshare\tlongest ms\tprobes key-s\tshare\tlongest ms")
	for _, s := range r.Services {
		_, _ = fmt.Fprintf(table, "%s\t%.3f\t%.3f\t%d\t%.1f%%\t%.3f\t%.2f\t%.3f%%\t%.0f\t%.2f\t%.3f%%\t%.0f\n",
			s.Service, s.Imbalance, s.Floor, s.Changes, 100*s.ChangedSlots, s.Tries,
			s.Unavailable.KeySeconds, 100*s.Unavailable.Share, s.Unavailable.LongestMS,
			s.Probes.KeySeconds, 100*s.Probes.Share, s.Probes.LongestMS)
	}
	_ = table.Flush()
	_, _ = fmt.Fprintln(w)
}

// formatCounts formats a map in the order of its keys.
func formatCounts[K cmp.Ordered](m map[K]int) string {
	var parts []string
	for _, k := range slices.Sorted(maps.Keys(m)) {
		parts = append(parts, fmt.Sprintf("%v %d", k, m[k]))
	}
	return strings.Join(parts, ", ")
}
