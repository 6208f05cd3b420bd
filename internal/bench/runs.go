package bench

import (
	"cmp"
	"slices"

	"kumquatcleat/internal/standin"
)

// runID identifies one run within one incarnation of a server.
type runID struct {
	server, incarnation string
	number              uint64
}

// foldRuns joins the start and end records of each run. A run whose server was
// killed has no end record: it is taken to have ended at the last time at which
// that incarnation of the server is known to have been alive, which is never
// later than its real end.
func foldRuns(lines []standin.RunRecord) []standin.RunRecord {
	type serverIncarnation struct{ server, incarnation string }
	lastSeen := map[serverIncarnation]int64{}
	index := map[runID]int{}
	var runs []standin.RunRecord
	for _, line := range lines {
		source := serverIncarnation{line.Server, line.Incarnation}
		lastSeen[source] = max(lastSeen[source], line.StartNS, line.EndNS)
		if line.Outcome == standin.RunRefused {
			runs = append(runs, line)
			continue
		}
		id := runID{line.Server, line.Incarnation, line.Number}
		if i, known := index[id]; known {
			if line.Outcome != standin.RunStarted {
				runs[i] = line
			}
			continue
		}
		index[id] = len(runs)
		runs = append(runs, line)
	}
	for i := range runs {
		if runs[i].Outcome == standin.RunStarted {
			runs[i].EndNS = lastSeen[serverIncarnation{runs[i].Server, runs[i].Incarnation}]
			runs[i].Outcome = standin.RunCrashed
		}
	}
	slices.SortStableFunc(runs, func(a, b standin.RunRecord) int { return cmp.Compare(a.StartNS, b.StartNS) })
	return runs
}
