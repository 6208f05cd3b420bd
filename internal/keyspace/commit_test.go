package keyspace

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"kumquatcleat/internal/bootclock"
	"kumquatcleat/internal/rows"
)

// rejectingStore has no rows and rejects each write for good.
type rejectingStore struct {
	rows.Store
	commits atomic.Int64
}

// Get implements rows.Store.
func (s *rejectingStore) Get(_ context.Context, _, key string) (rows.Row, error) {
	return rows.Row{Key: key}, nil
}

// Era implements rows.Store.
func (s *rejectingStore) Era() uint64 { return 0 }

// Commit implements rows.Store.
func (s *rejectingStore) Commit(_ context.Context, writes []rows.Write) (uint64, error) {
	for _, w := range writes {
		if w.Key == "keyed" {
			s.commits.Add(1)
		}
	}
	return 0, rows.ErrInvalid
}

// fixedMembers are servers that serve.
type fixedMembers []Member

// Members implements Members.
func (m fixedMembers) Members(string) []Member { return append([]Member(nil), m...) }

// State implements Members.
func (fixedMembers) State(Holder) ServerState { return Serving }

// A record that the store will never accept is not sent again and again: each attempt
// costs a call, and no other record could be written meanwhile.
func TestInvalidRecordIsNotRetried(t *testing.T) {
	for name, c := range map[string]struct {
		recordBytes int
		want        int64
	}{
		"rejected by the store":          {storeRowBytes, 1},
		"larger than a row of the store": {30, 0},
	} {
		t.Run(name, func(t *testing.T) {
			store := &rejectingStore{}
			coordinator := NewCoordinator(Options{
				Objective: func(string) time.Duration { return time.Second }, SlowTime: func(string) time.Duration { return 0 },
				Settings: CoordinatorSettings{Tick: 10 * time.Millisecond, Keys: planKeys, RecordBytes: c.recordBytes, Plan: testPlan, Table: "t"},
				Store:    store, CoordinatorLease: &CoordinatorLease{held: true, expiresAt: bootclock.Now() + time.Hour, clock: bootclock.Now},
				Members: fixedMembers(planMembers(3)), Owners: NewOwners(), Services: func() []string { return []string{"keyed"} }, Clock: bootclock.Now,
				Format: func() RecordFormat { return FormatColumns },
			})
			ctx, cancel := context.WithTimeout(context.Background(), 800*time.Millisecond)
			defer cancel()
			coordinator.Run(ctx)
			if got := store.commits.Load(); got != c.want {
				t.Errorf("got %d writes in 0.8s, want %d", got, c.want)
			}
			if state := coordinator.serviceStates["keyed"]; state == nil || state.committing {
				t.Errorf("got state %+v, want one that can write another record", state)
			}
		})
	}
}
