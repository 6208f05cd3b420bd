package main

import (
	"fmt"
	"io"
	"slices"
	"strings"
)

// rowNamer returns the name of the table row of a result, or false if the table does
// not include the result.
type rowNamer func(result) (name string, ok bool)

// printTable prints one row per name and skew, with one column per algorithm.
func printTable(w io.Writer, column string, algorithms []algorithm, results []result, nameOf rowNamer) {
	fmt.Fprintf(w, "| %s | skew |", column)
	for _, algorithm := range algorithms {
		fmt.Fprintf(w, " %s |", algorithm.name)
	}
	fmt.Fprintf(w, "\n|---|---|%s\n", strings.Repeat("---|", len(algorithms)))
	var names []string
	for _, r := range results {
		if name, ok := nameOf(r); ok && !slices.Contains(names, name) {
			names = append(names, name)
		}
	}
	for _, name := range names {
		for _, skew := range skews {
			printRow(w, name, skew, algorithms, results, nameOf)
		}
	}
}

// printRow prints one row, or nothing if there are no results for it.
func printRow(w io.Writer, name string, skew float64, algorithms []algorithm, results []result, nameOf rowNamer) {
	row := map[string]*stats{}
	for _, r := range results {
		if n, ok := nameOf(r); !ok || n != name || r.skew != skew {
			continue
		}
		if row[r.algorithm] == nil {
			row[r.algorithm] = &stats{}
		}
		row[r.algorithm].merge(r.stats)
	}
	if len(row) == 0 {
		return
	}
	fmt.Fprintf(w, "| %s | %.1f |", name, skew)
	for _, algorithm := range algorithms {
		fmt.Fprintf(w, " %s |", cell(algorithm, row[algorithm.name]))
	}
	fmt.Fprintln(w)
}

// cell formats the stats of one algorithm. Moves of an ideal algorithm are omitted,
// because it places all slots from scratch each time.
func cell(a algorithm, s *stats) string {
	imbalance := fmt.Sprintf("%.2f / %.2f", mean(s.imbalances), quantile(s.imbalances, 0.95))
	if a.ideal {
		return imbalance
	}
	return fmt.Sprintf("%s; %.1f + %.1f %%", imbalance, 100*s.forcedMoves/s.groupMinutes, 100*s.balanceMoves/s.groupMinutes)
}
