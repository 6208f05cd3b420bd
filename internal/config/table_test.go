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

// fakeTable is an in-memory table that injects faults: it loses answers and requests
// and applies some writes late.
type fakeTable struct {
	mu             sync.Mutex
	rows           map[string]platform.Row
	delayedCommits [][]platform.Write // unanswered commits that may still be applied
	rng            *rand.Rand         // nil: no faults
	down           bool
	reads          int
}

func newFakeTable(rng *rand.Rand) *fakeTable {
	return &fakeTable{rows: make(map[string]platform.Row), rng: rng}
}

func (f *fakeTable) setDown(down bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.down = down
}

// oneIn reports true with probability 1/n if faults are enabled.
func (f *fakeTable) oneIn(n int) bool { return f.rng != nil && f.rng.Intn(n) == 0 }

// applyDelayed applies the oldest delayed commit with probability 1/2.
func (f *fakeTable) applyDelayed() {
	if len(f.delayedCommits) > 0 && f.oneIn(2) {
		writes := f.delayedCommits[0]
		f.delayedCommits = f.delayedCommits[1:]
		_, _ = f.apply(writes)
	}
}

func (f *fakeTable) Get(_ context.Context, key string) (platform.Row, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reads++
	f.applyDelayed()
	if f.down || f.oneIn(8) {
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
	if f.down || f.oneIn(8) {
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
	f.applyDelayed()
	if f.down || f.oneIn(6) {
		return nil, errNoAnswer // the request was lost
	}
	if f.oneIn(4) {
		f.delayedCommits = append(f.delayedCommits, writes)
		return nil, errNoAnswer // it is applied later
	}
	versions, err := f.apply(writes)
	if err == nil && f.oneIn(3) {
		return nil, errNoAnswer // it was applied; the answer was lost
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
