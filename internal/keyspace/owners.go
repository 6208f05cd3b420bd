package keyspace

import (
	"context"
	"fmt"
	"log/slog"
	"maps"
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

	// Slow is what this VM knows of slow keys.
	Slow SlowKeys
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
		// A copy of an earlier era does not replace a record that was written later.
		o.update(row.Key, record, record.writtenAt(row.Version))
	}
}

// Newer returns the cached records that are newer than the given versions, by service.
func (o *Owners) Newer(versions map[string]uint64) (map[string]StoredRecord, error) {
	o.mu.RLock()
	defer o.mu.RUnlock()
	newer := map[string]StoredRecord{}
	for service, record := range o.records {
		if o.versions[service] <= versions[service] {
			continue
		}
		value, err := record.encode()
		if err != nil {
			return nil, fmt.Errorf("keyspace: encode the owners record of service %q: %w", service, err)
		}
		newer[service] = StoredRecord{Version: o.versions[service], Value: value}
	}
	return newer, nil
}

// Learn updates the cache by the records of another VM.
func (o *Owners) Learn(records map[string]StoredRecord) {
	for service, stored := range records {
		record, err := DecodeRecord(stored.Value, stored.Version)
		if err != nil {
			slog.Error("keyspace: cannot decode the owners record of another VM", "service", service, "version", stored.Version, "error", err.Error())
			continue
		}
		o.update(service, record, stored.Version)
	}
}

// Versions returns the versions of the cached records by service.
func (o *Owners) Versions() map[string]uint64 {
	o.mu.RLock()
	defer o.mu.RUnlock()
	return maps.Clone(o.versions)
}

// record returns the cached record of a service and its version, 0 if there is none.
func (o *Owners) record(service string) (Record, uint64) {
	o.mu.RLock()
	defer o.mu.RUnlock()
	if record := o.records[service]; record != nil {
		return record.clone(), o.versions[service]
	}
	return Record{}, 0
}

// StoredRecord is a record in its stored form.
type StoredRecord struct {
	Version uint64 `json:"version"` // under which it was written
	Value   []byte `json:"value"`
}

// update stores a record unless a newer version is cached.
func (o *Owners) update(service string, record Record, version uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if version <= o.versions[service] {
		return
	}
	o.records[service], o.versions[service] = &record, version
	o.Slow.observe(time.Now(), service, &record)
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
