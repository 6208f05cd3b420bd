package bench

import (
	"cmp"
	"slices"

	"kumquatcleat/internal/standin"
)

// runID names one run of one start of a server.
type runID struct {
	server, incarnation string
	number              uint64
}

// foldRuns joins the start and the end of each run. A run whose server was
// killed has no end: it is taken to have ended at the last moment at which that
// start of the server is known to have lived, which is never too late.
func foldRuns(lines []standin.RunRecord) []standin.RunRecord {
	type start struct{ server, incarnation string }
	lastSeen := map[start]int64{}
	index := map[runID]int{}
	var runs []standin.RunRecord
	for _, line := range lines {
		who := start{line.Server, line.Incarnation}
		lastSeen[who] = max(lastSeen[who], line.StartNS, line.EndNS)
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
			runs[i].EndNS = lastSeen[start{runs[i].Server, runs[i].Incarnation}]
			runs[i].Outcome = standin.RunCrashed
		}
	}
	slices.SortStableFunc(runs, func(a, b standin.RunRecord) int { return cmp.Compare(a.StartNS, b.StartNS) })
	return runs
}
