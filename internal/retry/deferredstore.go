package retry

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"kumquatcleat/internal/platform"
)

// errUnconfirmed means that a write may have been applied or may still be applied.
var errUnconfirmed = errors.New("the write was not confirmed")

// deferredRow is an item and the version of its row.
type deferredRow struct {
	item    DeferredItem
	version uint64
}

// deferredStore reads and writes deferred items in the platform's table.
type deferredStore struct {
	table         platform.Table
	newID         func() string
	retryInterval time.Duration // between attempts of an unconfirmed write
}

func (s *deferredStore) get(ctx context.Context, key string) (deferredRow, error) {
	row, err := s.table.Get(ctx, key)
	if err != nil {
		return deferredRow{}, err
	}
	item, err := decodeDeferred(row.Value)
	return deferredRow{item: item, version: row.Version}, err
}

// list returns the items of a service and the number of rows that cannot be decoded;
// those rows are left unchanged.
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

// put replaces a row if it has the given version; version 0 creates the row. The
// error is platform.ErrConflict if another write came first, and wraps errUnconfirmed
// if ctx ended before the outcome was known.
//
// An unanswered write may be applied at any later time while the row still has the
// version that the write expects. It is therefore repeated byte for byte until it is
// answered or the row has a later version. In the latter case, the row's write id
// shows whether this write was applied.
func (s *deferredStore) put(ctx context.Context, item DeferredItem, version uint64) (deferredRow, error) {
	item.WriteID = s.newID()
	value, err := json.Marshal(item)
	if err != nil {
		return deferredRow{}, fmt.Errorf("encode deferred item %s: %w", item.Ticket, err)
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
			return s.identifyWriter(ctx, item)
		}
		unanswered = true
		if !sleep(ctx, s.retryInterval) {
			return deferredRow{}, fmt.Errorf("write deferred item %s: %w: %w", item.Ticket, errUnconfirmed, err)
		}
	}
}

// identifyWriter reads the row after a repeated write conflicted. It returns the row
// if the write with the item's id created it, and platform.ErrConflict otherwise.
func (s *deferredStore) identifyWriter(ctx context.Context, item DeferredItem) (deferredRow, error) {
	for {
		row, err := s.get(ctx, item.key())
		if err == nil && row.item.WriteID == item.WriteID {
			return row, nil
		}
		if err == nil {
			return deferredRow{}, platform.ErrConflict
		}
		if !sleep(ctx, s.retryInterval) {
			return deferredRow{}, fmt.Errorf("write deferred item %s: %w: %w", item.Ticket, errUnconfirmed, err)
		}
	}
}

// sleep waits for d. It returns false if ctx ended.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
	return ctx.Err() == nil
}
