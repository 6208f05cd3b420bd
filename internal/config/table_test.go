package config

import (
	"context"
	"errors"
	"math/rand"
	"sort"
	"strings"
	"sync"

	"kumquatcleat/internal/platform"
)

var errNoAnswer = errors.New("no answer")

// fakeTable is a table in memory that loses answers, loses requests and applies
// some writes late.
type fakeTable struct {
	mu    sync.Mutex
	rows  map[string]platform.Row
	late  [][]platform.Write // unanswered commits that may still land
	rng   *rand.Rand         // nil: no faults
	down  bool
	reads int
}

func newFakeTable(rng *rand.Rand) *fakeTable {
	return &fakeTable{rows: make(map[string]platform.Row), rng: rng}
}

func (f *fakeTable) setDown(down bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.down = down
}

// faulty decides whether a fault of one chance in n happens now.
func (f *fakeTable) faulty(n int) bool { return f.rng != nil && f.rng.Intn(n) == 0 }

// landLate applies one of the writes that were left open.
func (f *fakeTable) landLate() {
	if len(f.late) > 0 && f.faulty(2) {
		writes := f.late[0]
		f.late = f.late[1:]
		_, _ = f.apply(writes)
	}
}

func (f *fakeTable) Get(_ context.Context, key string) (platform.Row, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reads++
	f.landLate()
	if f.down || f.faulty(8) {
		return platform.Row{}, errNoAnswer
	}
	row, ok := f.rows[key]
	if !ok {
		return platform.Row{}, platform.ErrNotFound
	}
	return row, nil
}

func (f *fakeTable) List(_ context.Context, prefix string) ([]platform.Row, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reads++
	if f.down || f.faulty(8) {
		return nil, errNoAnswer
	}
	var rows []platform.Row
	for key, row := range f.rows {
		if strings.HasPrefix(key, prefix) {
			rows = append(rows, row)
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	return rows, nil
}

func (f *fakeTable) Commit(_ context.Context, writes []platform.Write) ([]uint64, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.landLate()
	if f.down || f.faulty(6) {
		return nil, errNoAnswer // the request was lost
	}
	if f.faulty(4) {
		f.late = append(f.late, writes)
		return nil, errNoAnswer // it lands later
	}
	versions, err := f.apply(writes)
	if err == nil && f.faulty(3) {
		return nil, errNoAnswer // it landed; the answer was lost
	}
	return versions, err
}

func (f *fakeTable) apply(writes []platform.Write) ([]uint64, error) {
	for _, w := range writes {
		if f.rows[w.Key].Version != w.Expect {
			return nil, platform.ErrConflict
		}
	}
	versions := make([]uint64, 0, len(writes))
	for _, w := range writes {
		f.rows[w.Key] = platform.Row{Key: w.Key, Version: w.Expect + 1, Value: w.Value}
		versions = append(versions, w.Expect+1)
	}
	return versions, nil
}
