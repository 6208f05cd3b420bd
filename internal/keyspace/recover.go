package keyspace

import (
	"context"
	"errors"
	"log/slog"
	"time"
)

// A restored store holds an owners record from a copy, or none. Servers hold keys by records
// that were written since and are lost. The last of them is known to the VM that wrote it,
// which caches each record before it sends an order by it, and to the VMs that followed it.
// So once all VMs have told their newest record, the newest of them is the last one. A VM that
// does not answer, or whose process started after its predecessor may have granted leases
// that have not expired, may have been the last coordinator. Then keys are granted again
// only when all such leases have expired.

// askRecordsInterval is the interval between requests to all VMs for their newest records.
const askRecordsInterval = 250 * time.Millisecond

var errRecovering = errors.New("the last owners record is not known yet")

// recovery is the search for records that the store has lost, zero if there is none.
type recovery struct {
	era       uint64 // of the restored store
	startedAt time.Duration
	askAt     time.Duration // when to ask the VMs again
}

// recoverRecord returns the last owners record of a service that the store has lost. restored
// is the one from the copy. It returns an error while the last one is not known.
func (c *Coordinator) recoverRecord(ctx context.Context, service string, restored Record) (Record, error) {
	now := c.clock()
	if era := c.store.Era(); c.recovery.startedAt == 0 || c.recovery.era != era {
		c.recovery = recovery{era: era, startedAt: now}
	}
	if now < c.recovery.askAt {
		return Record{}, errRecovering
	}
	t := c.settings.Timing
	leasesEnd := t.CallTimeout + t.LinkQueueDelay + t.maxLeaseAfterCall(c.inheritedLease())
	complete := c.askRecords(ctx, leasesEnd)
	expired := now-c.recovery.startedAt > leasesEnd
	record, version := c.owners.record(service)
	slog.Info("keyspace: looking for records that the restored store has lost", "service", service, "restored_ranges", len(restored.Ranges),
		"newest", version, "all_vms_answered", complete, "leases_expired", expired)
	switch {
	case !complete && !expired:
		c.recovery.askAt = now + askRecordsInterval
		return Record{}, errRecovering
	case len(record.Ranges) == 0 || !record.covers(c.settings.Keys):
		return restored, nil
	}
	return record, nil
}
