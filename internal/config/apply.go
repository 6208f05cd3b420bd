package config

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/google/uuid"

	"kumquatcleat/internal/fault"
	"kumquatcleat/internal/platform"
	"kumquatcleat/internal/strictjson"
)

// Accepted describes a change that is committed to the platform's table.
type Accepted struct {
	Name     string `json:"name"`
	Version  uint64 `json:"version"`
	Sequence uint64 `json:"sequence"` // of the change; 0 if it is unknown
}

// Conflict reports that another change of the record was committed first.
type Conflict struct {
	Name   string
	Expect uint64   // version that the change was based on
	Mine   *Service // the change that was refused
	Theirs *Service // the record in the table; nil: there is none
}

// Error implements error. The text includes both records.
func (c *Conflict) Error() string {
	if c.Theirs == nil {
		return fmt.Sprintf("record %q: based on version %d, but the table has no such record", c.Name, c.Expect)
	}
	mine, _ := json.Marshal(c.Mine)
	theirs, _ := json.Marshal(c.Theirs)
	return fmt.Sprintf("record %q: based on version %d, but the table has version %d\ntheirs: %s\nyours:  %s",
		c.Name, c.Expect, c.Theirs.Version, theirs, mine)
}

// retryInterval is the time between two attempts to commit a change. A shorter one
// would add load to a platform that is recovering.
const retryInterval = 200 * time.Millisecond

// Acceptor validates changes and commits them to the platform's table.
type Acceptor struct {
	Table platform.Table
	// VMs lists the live VMs; nil skips the check of the schemas that they can read.
	VMs platform.VMLister
	// NewWriteID returns a unique id; nil: a random UUID.
	NewWriteID func() string
	// Wait pauses between two attempts; nil: a timer.
	Wait func(ctx context.Context, d time.Duration) error
}

// Apply commits a change that is based on version expect. A new record has expect 0.
//
// The record, its history row and the change log are written in one transaction. The
// history row of a version is written once and never replaced: the change whose write_id
// it holds won that version. This resolves races between operators, the people who apply
// changes with the kumquatcleat command. It also resolves a commit whose answer was lost,
// even if later versions exist. A commit without an answer is retried with the same
// write_id and version, so it is applied at most once, however late the first copy
// arrives.
//
// Errors are of kind ConfigInvalid, ConfigConflict (wrapping *Conflict if this release can
// read the other record), or PlatformUnavailable. A PlatformUnavailable error is returned
// at once if the VM list or the published schemas of the VMs can't be read, otherwise when
// ctx is done. Its text says whether the change may still be applied.
func (a *Acceptor) Apply(ctx context.Context, data []byte, expect uint64) (Accepted, error) {
	next, err := Decode(data)
	if err != nil {
		return Accepted{}, err
	}
	if next.Version != expect+1 {
		return Accepted{}, invalid(next.Name, []strictjson.Problem{{
			Field: "version", Value: fmt.Sprint(next.Version),
			Want: fmt.Sprintf("%d, one above the version that it is based on", expect+1),
		}})
	}
	if err := a.checkSchemaSupport(ctx, next); err != nil {
		return Accepted{}, err
	}
	t := &pendingChange{table: a.Table, next: next, expect: expect, writeID: a.newWriteID()}
	return a.applyWithRetry(ctx, t)
}

func (a *Acceptor) applyWithRetry(ctx context.Context, t *pendingChange) (Accepted, error) {
	for {
		accepted, err := t.attempt(ctx)
		if err == nil || !errors.Is(err, errRetry) {
			return accepted, err
		}
		if waitErr := a.wait(ctx, retryInterval); waitErr != nil {
			return Accepted{}, t.abandonedError(err)
		}
	}
}

func (a *Acceptor) newWriteID() string {
	if a.NewWriteID != nil {
		return a.NewWriteID()
	}
	return uuid.NewString()
}

func (a *Acceptor) wait(ctx context.Context, d time.Duration) error {
	if a.Wait != nil {
		return a.Wait(ctx, d)
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}

// errRetry marks an error after which the same change is retried.
var errRetry = errors.New("config: attempt failed")

// pendingChange is a change that is not yet known to be committed or refused. It is
// not safe for concurrent use.
type pendingChange struct {
	table   platform.Table
	next    *Service
	expect  uint64
	writeID string
	sent    bool // a commit was sent, so the change may be applied at any later time
}

// tableView holds the rows of the table that a change depends on. The history row is
// read last, so that it always shows a change applied between the reads.
type tableView struct {
	record       platform.Row
	changeLogRow platform.Row
	changeLog    ChangeLog
	history      platform.Row // of the version of the change
}

// attempt reads the table and sends a commit unless the version is already taken.
func (t *pendingChange) attempt(ctx context.Context) (Accepted, error) {
	view, err := t.read(ctx)
	if err != nil {
		return Accepted{}, retryable(err)
	}
	if view.history.Version != 0 {
		return t.resolveFromHistory(view)
	}
	if err := t.checkBase(view); err != nil {
		return Accepted{}, err
	}
	writes, after, err := t.writes(view)
	if err != nil {
		return Accepted{}, err
	}
	t.sent = true
	if _, err := t.table.Commit(ctx, writes); err != nil {
		return Accepted{}, retryable(err)
	}
	return Accepted{Name: t.next.Name, Version: t.next.Version, Sequence: after.Sequence}, nil
}

func retryable(err error) error { return fmt.Errorf("%w: %w", errRetry, err) }

func (t *pendingChange) read(ctx context.Context) (view tableView, err error) {
	view.record, err = getOrEmpty(ctx, t.table, RecordKey(t.next.Name))
	if err != nil {
		return view, err
	}
	view.changeLog, view.changeLogRow, err = ReadChangeLog(ctx, t.table)
	if err != nil {
		return view, err
	}
	view.history, err = getOrEmpty(ctx, t.table, HistoryKey(t.next.Name, t.next.Version))
	return view, err
}

// resolveFromHistory determines from the history row whether this change won its
// version.
func (t *pendingChange) resolveFromHistory(view tableView) (Accepted, error) {
	stored, theirs, err := DecodeStored(view.history)
	if stored.WriteID == t.writeID {
		return Accepted{Name: t.next.Name, Version: t.next.Version}, nil
	}
	if err != nil {
		return Accepted{}, fault.Wrap(fault.ConfigConflict, err, "the version is taken by a record that this release can't read")
	}
	return Accepted{}, t.conflict(theirs)
}

func (t *pendingChange) conflict(theirs *Service) error {
	c := &Conflict{Name: t.next.Name, Expect: t.expect, Mine: t.next, Theirs: theirs}
	return fault.Wrap(fault.ConfigConflict, c, "another change came first")
}

// checkBase checks that the change follows the record in the table.
func (t *pendingChange) checkBase(view tableView) error {
	if view.record.Version == 0 {
		if t.expect != 0 {
			return t.conflict(nil)
		}
		return ValidateChange(nil, t.next)
	}
	_, current, err := DecodeStored(view.record)
	if err != nil {
		return fault.Wrap(fault.ConfigInvalid, err, "the record in force can't be read by this release; use the newer program")
	}
	if current.Version != t.expect {
		return t.conflict(current)
	}
	return ValidateChange(current, t.next)
}

// writes returns the transaction and the resulting change log.
func (t *pendingChange) writes(view tableView) ([]platform.Write, ChangeLog, error) {
	record, err := Encode(t.next)
	if err != nil {
		return nil, ChangeLog{}, fault.Wrap(fault.Internal, err, "encode record")
	}
	stored, err := json.Marshal(StoredRecord{WriteID: t.writeID, Record: record})
	if err != nil {
		return nil, ChangeLog{}, fault.Wrap(fault.Internal, err, "encode row")
	}
	after := view.changeLog.with(t.next.Name, t.next.Version)
	changeLog, err := json.Marshal(after)
	if err != nil {
		return nil, ChangeLog{}, fault.Wrap(fault.Internal, err, "encode digest")
	}
	return []platform.Write{
		{Key: RecordKey(t.next.Name), Expect: view.record.Version, Value: stored},
		{Key: HistoryKey(t.next.Name, t.next.Version), Expect: 0, Value: stored},
		{Key: ChangeLogKey, Expect: view.changeLogRow.Version, Value: changeLog},
	}, after, nil
}

// abandonedError returns the error for a change that is abandoned because ctx is done.
func (t *pendingChange) abandonedError(cause error) error {
	if !t.sent {
		return fault.Wrap(fault.PlatformUnavailable, cause, "record %q: nothing was written; apply it again later", t.next.Name)
	}
	return fault.Wrap(fault.PlatformUnavailable, cause,
		"record %q: version %d may have been accepted or may still be; check with 'kumquatcleat history %s' before you apply it again",
		t.next.Name, t.next.Version, t.next.Name)
}
