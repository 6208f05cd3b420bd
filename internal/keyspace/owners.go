package keyspace

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"kumquatcleat/internal/rows"
)

// Owner is the owner of a key.
type Owner struct {
	Holder
	Token   uint64
	Pending bool // a former owner may still hold the key
}

// Owners caches the owners records of all services on this VM.
type Owners struct {
	mu       sync.RWMutex // guards the fields below
	records  map[string]*Record
	versions map[string]uint64
	changed  chan struct{} // closed and replaced at each change
}

// NewOwners returns an empty cache.
func NewOwners() *Owners {
	return &Owners{records: map[string]*Record{}, versions: map[string]uint64{}, changed: make(chan struct{})}
}

// Apply updates the cache from changed rows of the table of owners records. It skips
// the row that holds the coordinator's address.
func (o *Owners) Apply(changed []rows.Row) {
	for _, row := range changed {
		if row.Key == coordinatorKey || row.Deleted {
			continue
		}
		record, err := DecodeRecord(row.Value, row.Version)
		if err != nil {
			slog.Error("keyspace: cannot decode the owners record", "service", row.Key, "version", row.Version, "error", err.Error())
			continue
		}
		o.update(row.Key, record, row.Version)
	}
}

// update stores a record unless a newer version is cached.
func (o *Owners) update(service string, record Record, version uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if version <= o.versions[service] {
		return
	}
	o.records[service], o.versions[service] = &record, version
	close(o.changed)
	o.changed = make(chan struct{})
}

// Find returns the owner of a key and the version of the record that names it.
func (o *Owners) Find(service string, key uint32) (owner Owner, version uint64, ok bool) {
	o.mu.RLock()
	defer o.mu.RUnlock()
	record := o.records[service]
	if record == nil {
		return Owner{}, 0, false
	}
	r := record.rangeOf(key)
	if r == nil {
		return Owner{}, 0, false
	}
	return Owner{Holder: r.Owner, Token: r.Token, Pending: r.Pending}, o.versions[service], true
}

// Wait waits until a record changes, at most for d, and reports whether one did.
func (o *Owners) Wait(ctx context.Context, d time.Duration) bool {
	o.mu.RLock()
	changed := o.changed
	o.mu.RUnlock()
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-changed:
		return true
	case <-timer.C:
	case <-ctx.Done():
	}
	return false
}

// CoordinatorAddress returns the address to which VMs send load reports, if a row of
// the table of owners records is the one that holds it.
func CoordinatorAddress(row rows.Row) (string, bool) {
	return string(row.Value), row.Key == coordinatorKey && !row.Deleted
}
