package config

import (
	"slices"
	"strings"
	"sync"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"
)

// Store holds the records in force on one VM. Reads take no lock and see a
// consistent snapshot. The version of a record never decreases.
type Store struct {
	snapshot atomic.Pointer[snapshot]

	mu       sync.Mutex // serializes writes of snapshot and guards onChange
	onChange []func(changed []*Service)
}

// snapshot is immutable after it is published.
type snapshot struct {
	byName map[string]*Service
	sorted []*Service
	digest uint64
}

// NewStore returns an empty store.
func NewStore() *Store {
	st := &Store{}
	st.snapshot.Store(newSnapshot(nil))
	return st
}

func newSnapshot(byName map[string]*Service) *snapshot {
	sorted := make([]*Service, 0, len(byName))
	for _, s := range byName {
		sorted = append(sorted, s)
	}
	slices.SortFunc(sorted, func(a, b *Service) int { return strings.Compare(a.Name, b.Name) })
	return &snapshot{byName: byName, sorted: sorted, digest: digestOf(sorted)}
}

// digestOf returns a hash of the names and versions. Equal records give equal
// digests on every VM.
func digestOf(sorted []*Service) uint64 {
	h := xxhash.New()
	var buf []byte
	for _, s := range sorted {
		buf = append(buf[:0], s.Name...)
		buf = append(buf, 0)
		for shift := 0; shift < 64; shift += 8 {
			buf = append(buf, byte(s.Version>>shift))
		}
		_, _ = h.Write(buf)
	}
	return h.Sum64()
}

// emptyDigest is the digest of a VM without records.
var emptyDigest = digestOf(nil)

// Put puts into force the records that are newer than the stored ones and returns
// their names. It ignores the others, so late and duplicate messages are harmless.
// The store keeps the records; the caller must not modify them.
func (st *Store) Put(records ...*Service) (changed []string) {
	st.mu.Lock()
	defer st.mu.Unlock()
	old := st.snapshot.Load()
	byName := make(map[string]*Service, len(old.byName)+len(records))
	for name, s := range old.byName {
		byName[name] = s
	}
	for _, s := range records {
		if held, ok := byName[s.Name]; ok && held.Version >= s.Version {
			continue
		}
		byName[s.Name] = s
		if !slices.Contains(changed, s.Name) {
			changed = append(changed, s.Name)
		}
	}
	if len(changed) == 0 {
		return nil
	}
	next := newSnapshot(byName)
	st.snapshot.Store(next)
	st.notify(next, changed)
	return changed
}

// notify calls the functions of OnChange. The caller holds mu, so that they see
// changes in order.
func (st *Store) notify(now *snapshot, changed []string) {
	services := make([]*Service, 0, len(changed))
	for _, name := range changed {
		services = append(services, now.byName[name])
	}
	for _, f := range st.onChange {
		f(services)
	}
}

// OnChange registers a function to call after each Put that changes a record, in the
// order of the changes. The function must not block or call Put. It can add the
// change to a ring.Ring instead.
func (st *Store) OnChange(f func(changed []*Service)) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.onChange = append(st.onChange, f)
}

// Service returns the record of a service.
func (st *Store) Service(name string) (*Service, bool) {
	s, ok := st.snapshot.Load().byName[name]
	return s, ok
}

// Services returns all records, ordered by name.
func (st *Store) Services() []*Service {
	return slices.Clone(st.snapshot.Load().sorted)
}

// Versions returns the version of each record by name.
func (st *Store) Versions() map[string]uint64 {
	now := st.snapshot.Load()
	versions := make(map[string]uint64, len(now.sorted))
	for _, s := range now.sorted {
		versions[s.Name] = s.Version
	}
	return versions
}

// Digest returns a hash of all names and versions.
func (st *Store) Digest() uint64 { return st.snapshot.Load().digest }

// Raw returns all records in encoded form, ordered by name.
func (st *Store) Raw() [][]byte { return st.RawNewer(nil) }

// RawNewer returns, in encoded form, the records that are newer than the known
// versions.
func (st *Store) RawNewer(known map[string]uint64) [][]byte {
	var raw [][]byte
	for _, s := range st.snapshot.Load().sorted {
		if s.Version <= known[s.Name] {
			continue
		}
		data, err := Encode(s)
		if err != nil {
			continue // unreachable: every decoded record can be encoded
		}
		raw = append(raw, data)
	}
	return raw
}
