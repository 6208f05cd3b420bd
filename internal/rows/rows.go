// Package rows defines the interface to a store of versioned rows whose changes can be
// watched, and provides views, local copies of its tables that follow these changes.
package rows

import (
	"context"
	"errors"
	"time"
)

// Errors of a store. After any other error the outcome of a write is unknown: it may
// have been applied or may be applied later.
var (
	// ErrConflict means that a row did not have the expected version; nothing was written.
	ErrConflict = errors.New("rows: version conflict")
	// ErrHistoryGone means that the store no longer keeps the changes after a version:
	// the table has to be listed again.
	ErrHistoryGone = errors.New("rows: change history is no longer available")
	// ErrRefused means that the store rejected the call and did nothing.
	ErrRefused = errors.New("rows: call refused by the store")
	// ErrInvalid means that the store did nothing and will never accept the call, for
	// example because a value is too long.
	ErrInvalid = errors.New("rows: call invalid for the store")
)

// Row is one versioned row of a table.
type Row struct {
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version uint64 `json:"version"` // of the transaction that wrote it; 0: the row does not exist
	Deleted bool   `json:"deleted,omitempty"`
	// Unsettled marks a deletion that was read during or shortly after a store outage:
	// the row may reappear.
	Unsettled bool `json:"unsettled,omitempty"`
}

// Page is the result of reading a table.
type Page struct {
	Rows []Row `json:"rows"`
	// Version is the store version up to which the page includes all changes.
	Version uint64 `json:"version"`
	// Unsettled means that rows missing from a list may reappear.
	Unsettled bool `json:"unsettled,omitempty"`
}

// Source is a store whose tables can be listed and watched.
type Source interface {
	// List reads all rows of a table.
	List(ctx context.Context, table string) (Page, error)
	// Watch returns the rows that changed after a version, as soon as there are any or
	// the wait has passed. It returns ErrHistoryGone if these changes are no longer kept.
	Watch(ctx context.Context, table string, after uint64, wait time.Duration) (Page, error)
}

// Write is one conditional write of a transaction.
type Write struct {
	Table  string
	Key    string
	Expect uint64 // required current version; 0: the row must not exist
	Value  []byte
	Delete bool
	// CheckOnly makes the version a write condition and leaves the row unchanged.
	CheckOnly bool
}

// Store is a durable store with atomic conditional writes.
type Store interface {
	Source
	// Get reads one row; the version is 0 if the row does not exist.
	Get(ctx context.Context, table, key string) (Row, error)
	// Commit applies all writes or none and returns the version of the transaction.
	Commit(ctx context.Context, writes []Write) (uint64, error)
	// Era returns the newest era that an answer of the store stated.
	Era() uint64
}
