package bench

import (
	"context"
	"log/slog"
	"time"

	"kumquatcleat/internal/standin"
)

// standinRequestTimeout bounds a request that changes a stand-in's faults, cuts or
// VM list. A stopped stand-in does not answer.
const standinRequestTimeout = 2 * time.Second

// inject applies the faults at their times and records each.
func inject(ctx context.Context, faults []Fault, cluster *Cluster, start int64) []FaultRecord {
	var records []FaultRecord
	for _, fault := range faults {
		if !sleepUntil(ctx, start+fault.AtMS*int64(time.Millisecond)) {
			return records
		}
		record := FaultRecord{Fault: fault}
		if err := injectOne(ctx, fault, cluster); err != nil {
			record.Error = err.Error()
			slog.Error("bench: fault not injected", "at_ms", fault.AtMS, "error", err)
		} else {
			slog.Info("bench: fault injected", "at_ms", fault.AtMS, "standin", fault.Standin, "process", fault.Process, "do", fault.Do, "cut", fault.Cut)
		}
		record.AtNS = standin.MonotonicNow()
		records = append(records, record)
	}
	return records
}

func injectOne(ctx context.Context, fault Fault, cluster *Cluster) error {
	if fault.Cut != nil {
		return cluster.Cut(ctx, *fault.Cut)
	}
	if fault.Process != "" {
		return cluster.Act(ctx, fault.Process, fault.Do)
	}
	address, err := cluster.StandinAddress(fault.Standin)
	if err != nil {
		return err
	}
	return postJSON(ctx, "http://"+address+standin.PathFaults, fault.Switches)
}
