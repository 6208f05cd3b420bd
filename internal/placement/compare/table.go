package main

import (
	"fmt"
	"io"
	"slices"
	"strings"
)

// naming names the table row of a result and says whether it is in the table.
type naming func(result) (name string, ok bool)

// printTable prints one row for each name and skew, with a column for each way.
func printTable(w io.Writer, column string, ways []way, results []result, nameOf naming) {
	fmt.Fprintf(w, "| %s | skew |", column)
	for _, way := range ways {
		fmt.Fprintf(w, " %s |", way.name)
	}
	fmt.Fprintf(w, "\n|---|---|%s\n", strings.Repeat("---|", len(ways)))
	var names []string
	for _, r := range results {
		if name, ok := nameOf(r); ok && !slices.Contains(names, name) {
			names = append(names, name)
		}
	}
	for _, name := range names {
		for _, skew := range skews {
			printRow(w, name, skew, ways, results, nameOf)
		}
	}
}

// printRow prints one row, or nothing if no result is in it.
func printRow(w io.Writer, name string, skew float64, ways []way, results []result, nameOf naming) {
	row := map[string]*figures{}
	for _, r := range results {
		if n, ok := nameOf(r); !ok || n != name || r.skew != skew {
			continue
		}
		if row[r.way] == nil {
			row[r.way] = &figures{}
		}
		row[r.way].merge(r.figures)
	}
	if len(row) == 0 {
		return
	}
	fmt.Fprintf(w, "| %s | %.1f |", name, skew)
	for _, way := range ways {
		fmt.Fprintf(w, " %s |", cell(way, row[way.name]))
	}
	fmt.Fprintln(w)
}

// cell returns the figures of one way. Moves of an ideal way are left out: it
// places all slots anew each time.
func cell(w way, f *figures) string {
	imbalance := fmt.Sprintf("%.2f / %.2f", mean(f.imbalances), quantile(f.imbalances, 0.95))
	if w.ideal {
		return imbalance
	}
	return fmt.Sprintf("%s; %.1f + %.1f %%", imbalance, 100*f.forced/f.minutes, 100*f.free/f.minutes)
}
