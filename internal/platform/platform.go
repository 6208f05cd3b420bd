// Package platform defines the interfaces to the platform's services, the transactional table,
// the object store and the VM list, and the messages of its HTTP interface. Package
// platformclient implements them.
package platform

import (
	"context"
	"errors"
	"time"
)

// Errors of the platform interfaces. After any other error, the outcome of a write
// is unknown: it may have been applied, or may still be applied later.
var (
	// ErrConflict means that the current version of a row was not the expected one.
	// Nothing was written.
	ErrConflict = errors.New("platform: version conflict")
	// ErrNotFound means that the row or object does not exist.
	ErrNotFound = errors.New("platform: not found")
)

// Row is one row of the table.
type Row struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"` // 0: the row does not exist
	Value   []byte `json:"value"`
}

// Write is one compare-and-set write of a transaction.
type Write struct {
	Key    string `json:"key"`
	Expect uint64 `json:"expect"` // required current version; 0: the row must not exist
	Value  []byte `json:"value"`
}

// Table is the transactional table service.
type Table interface {
	// Get reads one row. It returns ErrNotFound if the row does not exist.
	Get(ctx context.Context, key string) (Row, error)
	// List reads the rows whose keys start with prefix, ordered by key.
	List(ctx context.Context, prefix string) ([]Row, error)
	// Commit applies all writes or none, and returns the new version of each row.
	// ErrConflict means that none was applied. After any other error, the outcome
	// is unknown.
	Commit(ctx context.Context, writes []Write) ([]uint64, error)
}

// ObjectStore is the object store service. It stores whole objects by name.
type ObjectStore interface {
	// Put stores an object, replacing any object with the same name.
	Put(ctx context.Context, name string, data []byte) error
	// Get reads an object. It returns ErrNotFound if the object does not exist.
	Get(ctx context.Context, name string) ([]byte, error)
}

// VMState is the state of a VM as reported by the platform.
type VMState string

const (
	// VMLive means that the platform runs the VM.
	VMLive VMState = "live"
	// VMLeaving means that the platform is about to stop the VM.
	VMLeaving VMState = "leaving"
)

// VM is one entry of the VM list. The list may be out of date; see VMLister.
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
	// VMs returns the entries of the list and its age as reported by the platform.
	VMs(ctx context.Context) ([]VM, time.Duration, error)
}
