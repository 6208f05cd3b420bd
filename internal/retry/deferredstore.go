package retry

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"kumquatcleat/internal/platform"
)

// errUnconfirmed says that a write may have been applied or may still be.
var errUnconfirmed = errors.New("the write was not confirmed")

// deferredRow is an item with the version of its row.
type deferredRow struct {
	item    DeferredItem
	version uint64
}

// deferredStore reads and writes items.
type deferredStore struct {
	table platform.Table
	newID func() string
	pause time.Duration // between two tries of a write
}

func (s *deferredStore) get(ctx context.Context, key string) (deferredRow, error) {
	row, err := s.table.Get(ctx, key)
	if err != nil {
		return deferredRow{}, err
	}
	item, err := decodeDeferred(row.Value)
	return deferredRow{item: item, version: row.Version}, err
}

// list returns the readable items of a service. A row that can't be read is left
// alone and counted.
func (s *deferredStore) list(ctx context.Context, service string) (rows []deferredRow, unreadable int, err error) {
	found, err := s.table.List(ctx, DeferredKey(service, ""))
	if err != nil {
		return nil, 0, err
	}
	for _, row := range found {
		item, err := decodeDeferred(row.Value)
		if err != nil {
			unreadable++
			continue
		}
		rows = append(rows, deferredRow{item: item, version: row.Version})
	}
	return rows, unreadable, nil
}

// put replaces a row of a known version; version 0 creates it. The error is
// platform.ErrConflict when another write came first, and errUnconfirmed when ctx
// ended before it was known.
//
// A write without an answer may land at any later time while the row stands at the
// version that it expects. So it is repeated byte for byte until it is answered, or
// until the row is past it; then the row's write id tells whose write that was.
func (s *deferredStore) put(ctx context.Context, item DeferredItem, version uint64) (deferredRow, error) {
	item.WriteID = s.newID()
	value, err := json.Marshal(item)
	if err != nil {
		return deferredRow{}, fmt.Errorf("deferred row %s: %w", item.Ticket, err)
	}
	write := platform.Write{Key: item.key(), Expect: version, Value: value}
	unanswered := false
	for {
		versions, err := s.table.Commit(ctx, []platform.Write{write})
		if err == nil {
			return deferredRow{item: item, version: versions[0]}, nil
		}
		if errors.Is(err, platform.ErrConflict) {
			if !unanswered {
				return deferredRow{}, err
			}
			return s.settle(ctx, item)
		}
		unanswered = true
		if !sleep(ctx, s.pause) {
			return deferredRow{}, fmt.Errorf("deferred row %s: %w: %w", item.Ticket, errUnconfirmed, err)
		}
	}
}

// settle reads whose write made the row pass the version that ours expected.
func (s *deferredStore) settle(ctx context.Context, item DeferredItem) (deferredRow, error) {
	for {
		row, err := s.get(ctx, item.key())
		if err == nil && row.item.WriteID == item.WriteID {
			return row, nil
		}
		if err == nil {
			return deferredRow{}, platform.ErrConflict
		}
		if !sleep(ctx, s.pause) {
			return deferredRow{}, fmt.Errorf("deferred row %s: %w: %w", item.Ticket, errUnconfirmed, err)
		}
	}
}

// sleep returns false when ctx ended first.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
	return ctx.Err() == nil
}
