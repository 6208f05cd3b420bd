package config

import (
	"slices"
	"sync"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

func record(name string, version uint64) *Service {
	return &Service{
		Schema: Schema1, Version: version, Name: name, SlotCount: 8, Domains: []string{"a"},
		Servers: []Server{{ID: "s1", FailureDomain: "a", Address: "127.0.0.1:9001", Slots: 1, Connections: 1}},
	}
}

// properties returns gopter parameters with a fixed seed.
func properties(tests int) *gopter.Properties {
	p := gopter.DefaultTestParametersWithSeed(7)
	p.MinSuccessfulTests = tests
	return gopter.NewProperties(p)
}

// reverted reports whether a sequence of Puts, with late and duplicate versions,
// lowered the version in force.
func reverted(put func(*Store, *Service), versions []uint64) bool {
	st := NewStore()
	var highest uint64
	for _, v := range versions {
		put(st, record("swapbay", v))
		highest = max(highest, v)
		if s, _ := st.Service("swapbay"); s.Version != highest {
			return true
		}
	}
	return false
}

func TestLateRecordsNeverRevertVersion(t *testing.T) {
	props := properties(500)
	versions := gen.SliceOfN(12, gen.UInt64Range(1, 9))
	props.Property("the highest version is in force", prop.ForAll(func(vs []uint64) bool {
		return !reverted(func(st *Store, s *Service) { st.Put(s) }, vs)
	}, versions))
	props.TestingRun(t)
}

// TestCheckerDetectsPutWithoutVersionCheck verifies that the property above detects an
// injected bug.
func TestCheckerDetectsPutWithoutVersionCheck(t *testing.T) {
	putWithoutVersionCheck := func(st *Store, s *Service) {
		st.snapshot.Store(newSnapshot(map[string]*Service{s.Name: s}))
	}
	if !reverted(putWithoutVersionCheck, []uint64{1, 3, 2}) {
		t.Fatal("injected bug not detected: Put without a version check")
	}
}

func TestPutReportsOnlyChangedRecords(t *testing.T) {
	st := NewStore()
	var notified []string
	st.OnChange(func(changed []*Service) {
		for _, s := range changed {
			notified = append(notified, s.Name)
		}
	})
	changed := st.Put(record("b", 1), record("a", 2), record("a", 1), record("b", 1))
	if !slices.Equal(changed, []string{"b", "a"}) || !slices.Equal(notified, changed) {
		t.Errorf("got changed %v, notified %v, want b and a in both", changed, notified)
	}
	if st.Put(record("a", 2)) != nil {
		t.Error("duplicate record counted as a change")
	}
	if raw := st.RawNewer(map[string]uint64{"a": 2}); len(raw) != 1 {
		t.Errorf("got %d records newer than known, want only b", len(raw))
	}
}

func TestDigestDependsOnlyOnContents(t *testing.T) {
	one, two := NewStore(), NewStore()
	one.Put(record("a", 1))
	one.Put(record("b", 2))
	two.Put(record("b", 2), record("a", 1))
	if one.Digest() != two.Digest() {
		t.Error("got different digests for equal records")
	}
	two.Put(record("a", 2))
	if one.Digest() == two.Digest() {
		t.Error("got equal digests for different versions")
	}
}

func TestNoTornSnapshotsDuringConcurrentPuts(t *testing.T) {
	st := NewStore()
	st.Put(record("a", 1), record("b", 1))
	var readers sync.WaitGroup
	for range 4 {
		readers.Go(func() {
			for range 500 {
				all := st.Services()
				if len(all) != 2 || all[0].Version != all[1].Version {
					t.Errorf("torn snapshot: got versions %d and %d, want equal", all[0].Version, all[1].Version)
					return
				}
			}
		})
	}
	for v := uint64(2); v < 200; v++ {
		st.Put(record("a", v), record("b", v))
	}
	readers.Wait()
}
