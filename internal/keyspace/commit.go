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

// commitRetryInterval is the interval between retries of a commit without an answer.
const commitRetryInterval = 150 * time.Millisecond

// invalidRecordDelay is how long no record is written after one that the store can't
// accept.
const invalidRecordDelay = 2 * time.Second

// commit writes a record. It retries with exactly the same bytes until the outcome of
// the write is known.
func (c *Coordinator) commit(ctx context.Context, svc *serviceState, next Record, version uint64, reason string) {
	value, err := next.encodeFor(c.format(), c.settings.RecordBytes)
	if err == nil && len(value) > c.settings.RecordBytes {
		err = fmt.Errorf("the record of %d ranges has %d bytes, a row of the store %d", len(next.Ranges), len(value), c.settings.RecordBytes)
	}
	if err != nil {
		c.withdraw(svc, next, reason, err)
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
		if errors.Is(err, rows.ErrInvalid) {
			c.withdraw(svc, next, reason, err)
			return
		}
		if err != nil {
			written, err = c.writeOutcome(ctx, svc.service, next.WriteID, version, err)
		}
		switch {
		case written != 0:
			c.committed(svc, next, written, reason)
			return
		case err != nil:
			slog.Info("keyspace: another VM wrote the owners record", "service", svc.service, "error", err.Error())
			c.dropServiceState(svc)
			return
		}
		if !wait.For(ctx, commitRetryInterval) {
			return
		}
	}
}

// writeOutcome reads the record to find out whether a write that failed or got no
// answer was applied. It returns the version of the write, or zero without an error
// if the write has not been applied yet and may be retried. A copy of the write does not
// count: later records may be lost.
func (c *Coordinator) writeOutcome(ctx context.Context, service, writeID string, version uint64, cause error) (uint64, error) {
	row, err := c.store.Get(ctx, c.settings.Table, service)
	if err != nil {
		return 0, nil
	}
	if row.Version == version {
		// A conflict although the record is unchanged means that the coordinator row
		// has another version, usually because it was renewed concurrently.
		if !errors.Is(cause, rows.ErrConflict) {
			slog.Warn("keyspace: write of the owners record was not applied", "service", service, "version", version, "error", cause.Error())
		}
		return 0, nil
	}
	found, err := DecodeRecord(row.Value, row.Version)
	if err == nil && found.WriteID == writeID && !found.restored(row.Version) {
		return row.Version, nil
	}
	return 0, fmt.Errorf("expected version %d of the owners record, found %d", version, row.Version)
}

// withdraw gives up a record that the store will never accept. The record in force stays,
// and the next plan may differ.
func (c *Coordinator) withdraw(svc *serviceState, record Record, reason string, cause error) {
	slog.Error("keyspace: owners record not written", "service", svc.service, "reason", reason, "ranges", len(record.Ranges), "error", cause.Error())
	c.mu.Lock()
	defer c.mu.Unlock()
	svc.committing = false
	svc.pausedUntil = c.clock() + invalidRecordDelay
}

// dropServiceState discards the state of a service, so that its record is read again.
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
