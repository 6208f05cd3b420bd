package retry

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"

	"github.com/google/uuid"

	"kumquatcleat/internal/config"
	"kumquatcleat/internal/fault"
	"kumquatcleat/internal/platform"
)

// DeferredSettings configures deferred work.
type DeferredSettings struct {
	// Lease is how long a worker does not take over an item that another worker
	// runs, counted from when it first saw that version of the row, in
	// milliseconds. Default 120000, at least twice run_ms.
	Lease config.Milliseconds `json:"lease_ms"`
	// Run is the timeout of one attempt, in milliseconds. Default 60000, at least 1.
	Run config.Milliseconds `json:"run_ms"`
	// WriteRetry is the interval at which an unanswered write is retried, in
	// milliseconds. Default 200, at least 1.
	WriteRetry config.Milliseconds `json:"write_retry_ms"`
	// MaxBody is the largest request or answer body that is stored, in bytes.
	// Default 262144, at least 1.
	MaxBody int `json:"max_body_bytes"`
}

// DefaultDeferredSettings returns the default of every field.
func DefaultDeferredSettings() DeferredSettings {
	return DeferredSettings{Lease: 120000, Run: 60000, WriteRetry: 200, MaxBody: 256 << 10}
}

// Validate returns an error that names the first field outside its range, its
// value and what is allowed.
func (s DeferredSettings) Validate() error {
	if s.Run < 1 {
		return fmt.Errorf("run_ms: %d is not allowed; want at least 1", s.Run)
	}
	if s.Lease < 2*s.Run {
		return fmt.Errorf("lease_ms: %d is not allowed; want at least twice run_ms, %d", s.Lease, 2*s.Run)
	}
	if s.WriteRetry < 1 {
		return fmt.Errorf("write_retry_ms: %d is not allowed; want at least 1", s.WriteRetry)
	}
	if s.MaxBody < 1 {
		return fmt.Errorf("max_body_bytes: %d is not allowed; want at least 1", s.MaxBody)
	}
	return nil
}

// Deferred stores requests for later execution and reports their state. It is safe
// for concurrent use.
type Deferred struct {
	settings  DeferredSettings
	store     deferredStore
	submitter string
}

// NewDeferred returns a Deferred that stores items in table with the VM submitter as
// their origin.
func NewDeferred(s DeferredSettings, table platform.Table, submitter string) *Deferred {
	return &Deferred{settings: s, store: newDeferredStore(s, table), submitter: submitter}
}

func newDeferredStore(s DeferredSettings, table platform.Table) deferredStore {
	return deferredStore{table: table, newID: uuid.NewString, retryInterval: s.WriteRetry.Duration()}
}

// Ticket returns the ticket of a deferred request. An idempotency key always gives
// the same ticket, so a re-sent request finds the first one. Without a key, every
// request gets a new ticket.
func Ticket(service, idempotencyKey string) string {
	if idempotencyKey == "" {
		return uuid.NewString()
	}
	digest := sha256.Sum256([]byte(service + string(separator) + idempotencyKey))
	return hex.EncodeToString(digest[:])
}

// Accept stores a request under a ticket and returns nil once it is durable.
// Accepting the same request under the same ticket again has no effect. Accept fails
// with a *fault.Error: DeferralUnavailable means that this call has not stored the
// request and will not store it later, DeferralUnconfirmed that it may have, and
// BadRequest that the ticket belongs to another request.
func (d *Deferred) Accept(ctx context.Context, service, ticket string, honoursID bool, request DeferredRequest) error {
	if len(request.Body) > d.settings.MaxBody {
		return fault.New(fault.BodyTooLarge, "deferred work keeps bodies up to %d bytes, this one has %d", d.settings.MaxBody, len(request.Body))
	}
	item := DeferredItem{
		Schema: deferredSchema, Ticket: ticket, Service: service, HonoursID: honoursID,
		Request: request, Fingerprint: request.fingerprint(), State: DeferredQueued, Submitter: d.submitter,
	}
	row, err := d.read(ctx, item.key())
	if err != nil {
		return fault.Wrap(fault.DeferralUnavailable, err, "deferred work can't be stored now")
	}
	if row.version > 0 && row.item.State != DeferredWithdrawn {
		return checkSameRequest(row.item, item)
	}
	_, err = d.store.put(ctx, item, row.version)
	if errors.Is(err, platform.ErrConflict) {
		return d.resolveConflict(ctx, item)
	}
	if err != nil {
		return fault.Wrap(fault.DeferralUnconfirmed, err, "ticket %s may or may not be accepted", ticket)
	}
	return nil
}

// read returns a row, with version 0 if it does not exist. Accept calls it first, to
// detect an unavailable platform while it can still be certain that nothing was
// written.
func (d *Deferred) read(ctx context.Context, key string) (deferredRow, error) {
	row, err := d.store.get(ctx, key)
	if errors.Is(err, platform.ErrNotFound) {
		return deferredRow{}, nil
	}
	return row, err
}

// resolveConflict reads the row that made the first write of an item fail: this
// call's own row that a worker has changed since, another copy's row, or a
// withdrawal.
func (d *Deferred) resolveConflict(ctx context.Context, item DeferredItem) error {
	row, err := d.store.get(ctx, item.key())
	if err != nil {
		return fault.Wrap(fault.DeferralUnconfirmed, err, "ticket %s may or may not be accepted", item.Ticket)
	}
	if row.item.State == DeferredWithdrawn {
		return fault.New(fault.DeferralUnavailable, "ticket %s was withdrawn", item.Ticket)
	}
	return checkSameRequest(row.item, item)
}

// checkSameRequest returns BadRequest if the accepted item holds another request.
func checkSameRequest(accepted, item DeferredItem) error {
	if accepted.Fingerprint != item.Fingerprint {
		return fault.New(fault.BadRequest, "ticket %s belongs to another request", item.Ticket)
	}
	return nil
}

// Status returns the item of a ticket, or a *fault.Error of kind NotFound or
// PlatformUnavailable.
func (d *Deferred) Status(ctx context.Context, service, ticket string) (DeferredItem, error) {
	row, err := d.store.get(ctx, DeferredKey(service, ticket))
	if errors.Is(err, platform.ErrNotFound) {
		return DeferredItem{}, fault.New(fault.NotFound, "service %s has no ticket %s", service, ticket)
	}
	if err != nil {
		return DeferredItem{}, fault.Wrap(fault.PlatformUnavailable, err, "ticket %s", ticket)
	}
	return row.item, nil
}

// Withdraw makes sure that a ticket whose acceptance is unconfirmed is not accepted.
// It returns true if the ticket is withdrawn and false if it was accepted after all.
func (d *Deferred) Withdraw(ctx context.Context, service, ticket string) (bool, error) {
	item := DeferredItem{
		Schema: deferredSchema, Ticket: ticket, Service: service,
		State: DeferredWithdrawn, Submitter: d.submitter,
	}
	_, err := d.store.put(ctx, item, 0)
	if err == nil {
		return true, nil
	}
	if !errors.Is(err, platform.ErrConflict) {
		return false, fault.Wrap(fault.PlatformUnavailable, err, "ticket %s", ticket)
	}
	row, err := d.store.get(ctx, item.key())
	if err != nil {
		return false, fault.Wrap(fault.PlatformUnavailable, err, "ticket %s", ticket)
	}
	return row.item.State == DeferredWithdrawn, nil
}

// Resolve settles a parked item after an operator has found out whether it ran: if it
// ran, it becomes done without an answer; otherwise it is queued again.
func (d *Deferred) Resolve(ctx context.Context, service, ticket string, ran bool, reason string) error {
	row, err := d.store.get(ctx, DeferredKey(service, ticket))
	if errors.Is(err, platform.ErrNotFound) {
		return fault.New(fault.NotFound, "service %s has no ticket %s", service, ticket)
	}
	if err != nil {
		return fault.Wrap(fault.PlatformUnavailable, err, "ticket %s", ticket)
	}
	if row.item.State != DeferredParked {
		return fault.New(fault.ConfigConflict, "ticket %s is %s, not parked", ticket, row.item.State)
	}
	item := row.item
	item.State, item.Holder, item.Reason = DeferredQueued, "", reason
	if ran {
		item.State = DeferredDone
	}
	_, err = d.store.put(ctx, item, row.version)
	if errors.Is(err, platform.ErrConflict) {
		return fault.Wrap(fault.ConfigConflict, err, "ticket %s changed meanwhile", ticket)
	}
	if err != nil {
		return fault.Wrap(fault.PlatformUnavailable, err, "ticket %s may or may not be resolved; look at it again", ticket)
	}
	return nil
}

// List returns all deferred items of a service, including done ones, and the number
// of rows that cannot be decoded.
func (d *Deferred) List(ctx context.Context, service string) (items []DeferredItem, unreadable int, err error) {
	rows, unreadable, err := d.store.list(ctx, service)
	if err != nil {
		return nil, 0, fault.Wrap(fault.PlatformUnavailable, err, "list the deferred work of %s", service)
	}
	for _, row := range rows {
		items = append(items, row.item)
	}
	return items, unreadable, nil
}
