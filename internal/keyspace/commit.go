package keyspace

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"time"

	"kumquatcleat/internal/rows"
	"kumquatcleat/internal/wait"
)

const commitRetry = 150 * time.Millisecond // a commit without an answer is repeated after this

// commit writes a record, byte for byte the same until its outcome is known.
func (c *Coordinator) commit(ctx context.Context, svc *serviceState, next Record, version uint64, reason string) {
	value, err := next.encode()
	if err != nil {
		slog.Error("keyspace: the record can't be encoded", "service", svc.service, "error", err.Error())
		c.dropServiceState(svc)
		return
	}
	for {
		condition, held := c.lease.WriteCondition()
		if !held {
			c.dropServiceState(svc)
			return
		}
		write := rows.Write{Table: c.settings.Table, Key: svc.service, Expect: version, Value: value}
		written, err := c.store.Commit(ctx, []rows.Write{condition, write})
		if err != nil {
			written, err = c.writeOutcome(ctx, svc.service, next.WriteID, version, err)
		}
		switch {
		case written != 0:
			c.committed(svc, next, written, reason)
			return
		case err != nil:
			slog.Info("keyspace: the record was written by another VM", "service", svc.service, "error", err.Error())
			c.dropServiceState(svc)
			return
		}
		if !wait.For(ctx, commitRetry) {
			return
		}
	}
}

// outcome reads whether a write that failed or got no answer was applied after
// all. Zero without an error: it was not yet, and may be repeated.
func (c *Coordinator) writeOutcome(ctx context.Context, service, writeID string, version uint64, cause error) (uint64, error) {
	row, err := c.store.Get(ctx, c.settings.Table, service)
	if err != nil {
		return 0, nil
	}
	if row.Version == version {
		if !errors.Is(cause, rows.ErrConflict) {
			slog.Warn("keyspace: a record was not written", "service", service, "version", version, "error", cause.Error())
		}
		return 0, nil // or the coordinator's row was renewed beside it
	}
	found, err := DecodeRecord(row.Value, row.Version)
	if err == nil && found.WriteID == writeID {
		return row.Version, nil
	}
	return 0, fmt.Errorf("version %d was expected, found %d", version, row.Version)
}

// drop makes the record be read anew.
func (c *Coordinator) dropServiceState(svc *serviceState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.serviceStates[svc.service] == svc {
		delete(c.serviceStates, svc.service)
	}
}

func (c *Coordinator) committed(svc *serviceState, record Record, version uint64, reason string) {
	c.mu.Lock()
	moving := 0
	for i := range record.Ranges {
		if record.Ranges[i].Token == 0 {
			record.Ranges[i].Token = version
		}
		if record.Ranges[i].Pending {
			moving++
		}
	}
	svc.committing = false
	svc.leases.Committed(record, version)
	c.mu.Unlock()
	wait.Signal(c.wake)
	c.owners.update(svc.service, record, version)
	slog.Info("keyspace: record written", "service", svc.service, "version", version, "reason", reason,
		"ranges", len(record.Ranges), "moving", moving)
}
