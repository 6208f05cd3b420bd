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

// reverted says whether a sequence of Puts, late and doubled, lowered a version.
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

func TestLateRecordsNeverRevertAVersion(t *testing.T) {
	props := properties(500)
	versions := gen.SliceOfN(12, gen.UInt64Range(1, 9))
	props.Property("the highest version is in force", prop.ForAll(func(vs []uint64) bool {
		return !reverted(func(st *Store, s *Service) { st.Put(s) }, vs)
	}, versions))
	props.TestingRun(t)
}

// TestSeededPutWithoutComparisonIsFound shows that the property above can fail.
func TestSeededPutWithoutComparisonIsFound(t *testing.T) {
	careless := func(st *Store, s *Service) {
		st.snapshot.Store(newSnapshot(map[string]*Service{s.Name: s}))
	}
	if !reverted(careless, []uint64{1, 3, 2}) {
		t.Fatal("a Put that takes any version was not found")
	}
}

func TestPutNamesWhatChanged(t *testing.T) {
	st := NewStore()
	var told []string
	st.OnChange(func(changed []*Service) {
		for _, s := range changed {
			told = append(told, s.Name)
		}
	})
	changed := st.Put(record("b", 1), record("a", 2), record("a", 1), record("b", 1))
	if !slices.Equal(changed, []string{"b", "a"}) || !slices.Equal(told, changed) {
		t.Errorf("changed %v, told %v", changed, told)
	}
	if st.Put(record("a", 2)) != nil {
		t.Error("a doubled record counted as a change")
	}
	if raw := st.RawNewer(map[string]uint64{"a": 2}); len(raw) != 1 {
		t.Errorf("%d records newer than known, want b alone", len(raw))
	}
}

func TestDigestDependsOnContentsAlone(t *testing.T) {
	one, two := NewStore(), NewStore()
	one.Put(record("a", 1))
	one.Put(record("b", 2))
	two.Put(record("b", 2), record("a", 1))
	if one.Digest() != two.Digest() {
		t.Error("equal records, other digest")
	}
	two.Put(record("a", 2))
	if one.Digest() == two.Digest() {
		t.Error("other versions, equal digest")
	}
}

func TestReadersSeeWholeSnapshotsWhileRecordsChange(t *testing.T) {
	st := NewStore()
	st.Put(record("a", 1), record("b", 1))
	var readers sync.WaitGroup
	for range 4 {
		readers.Go(func() {
			for range 500 {
				all := st.Services()
				if len(all) != 2 || all[0].Version != all[1].Version {
					t.Errorf("torn snapshot: versions %d and %d", all[0].Version, all[1].Version)
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
