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
func (c *Coordinator) commit(ctx context.Context, d *desk, next Record, version uint64, reason string) {
	value, err := next.encode()
	if err != nil {
		slog.Error("keyspace: the record can't be encoded", "service", d.service, "error", err.Error())
		c.drop(d)
		return
	}
	for {
		condition, held := c.lead.WriteCondition()
		if !held {
			c.drop(d)
			return
		}
		write := rows.Write{Table: c.settings.Table, Key: d.service, Expect: version, Value: value}
		written, err := c.store.Commit(ctx, []rows.Write{condition, write})
		if err != nil {
			written, err = c.outcome(ctx, d.service, next.WriteID, version, err)
		}
		switch {
		case written != 0:
			c.committed(d, next, written, reason)
			return
		case err != nil:
			slog.Info("keyspace: the record was written by another VM", "service", d.service, "error", err.Error())
			c.drop(d)
			return
		}
		if !wait.For(ctx, commitRetry) {
			return
		}
	}
}

// outcome reads whether a write that failed or got no answer was applied after
// all. Zero without an error: it was not yet, and may be repeated.
func (c *Coordinator) outcome(ctx context.Context, service, writeID string, version uint64, cause error) (uint64, error) {
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
func (c *Coordinator) drop(d *desk) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.desks[d.service] == d {
		delete(c.desks, d.service)
	}
}

func (c *Coordinator) committed(d *desk, record Record, version uint64, reason string) {
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
	d.committing = false
	d.ledger.Committed(record, version)
	c.mu.Unlock()
	wait.Signal(c.wake)
	c.owners.update(d.service, record, version)
	slog.Info("keyspace: record written", "service", d.service, "version", version, "reason", reason,
		"ranges", len(record.Ranges), "moving", moving)
}
