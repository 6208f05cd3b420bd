// Package platform holds the interfaces to the platform's services: the
// transactional table, the object store and the list of VMs, with the HTTP
// clients that meet them.
package platform

import (
	"context"
	"errors"
	"time"
)

// Errors of the platform interfaces. Any other error leaves the effect of a
// write unknown: it may have been applied or may still be.
var (
	// ErrConflict says that a compare-and-set found another version; nothing was written.
	ErrConflict = errors.New("platform: version conflict")
	// ErrNotFound says that the row or object does not exist.
	ErrNotFound = errors.New("platform: not found")
)

// Row is one row of the table.
type Row struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"` // 0: the row does not exist
	Value   []byte `json:"value"`
}

// Write is one conditional write of a transaction.
type Write struct {
	Key    string `json:"key"`
	Expect uint64 `json:"expect"` // version that must be current; 0: must not exist
	Value  []byte `json:"value"`
}

// Table is the transactional table service.
type Table interface {
	// Get reads one row. It fails with ErrNotFound when there is none.
	Get(ctx context.Context, key string) (Row, error)
	// List reads the rows whose key starts with prefix, ordered by key.
	List(ctx context.Context, prefix string) ([]Row, error)
	// Commit applies all writes or none and returns the new version of each.
	// ErrConflict means that none was applied. Any other error leaves it open.
	Commit(ctx context.Context, writes []Write) ([]uint64, error)
}

// ObjectStore stores whole objects by name.
type ObjectStore interface {
	// Put stores an object, replacing an earlier one.
	Put(ctx context.Context, name string, data []byte) error
	// Get reads an object. It fails with ErrNotFound when there is none.
	Get(ctx context.Context, name string) ([]byte, error)
}

// VMState is the platform's view of a VM.
type VMState string

const (
	// VMLive is a VM that the platform runs.
	VMLive VMState = "live"
	// VMLeaving is a VM that is about to be stopped.
	VMLeaving VMState = "leaving"
)

// VM is one entry of the VM list. The list lags behind the truth.
type VM struct {
	ID            string  `json:"id"`
	Incarnation   string  `json:"incarnation"`
	Role          string  `json:"role"` // "entry" or "server"
	FailureDomain string  `json:"failure_domain"`
	Address       string  `json:"address"` // host:port that its peers use
	State         VMState `json:"state"`
}

// VMLister reads the list of VMs.
type VMLister interface {
	// VMs returns the entries and how old the platform says that they are.
	VMs(ctx context.Context) ([]VM, time.Duration, error)
}
