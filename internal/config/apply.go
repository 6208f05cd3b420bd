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

// Accepted is a change that is committed in the platform's table.
type Accepted struct {
	Name     string `json:"name"`
	Version  uint64 `json:"version"`
	Sequence uint64 `json:"sequence"` // of the change; 0 when it is not known any more
}

// Conflict tells that another operator's change came first.
type Conflict struct {
	Name   string
	Expect uint64   // version that the change was based on
	Mine   *Service // the change that was refused
	Theirs *Service // the record that stands in its place; nil: there is none
}

// Error implements error. It shows both records.
func (c *Conflict) Error() string {
	if c.Theirs == nil {
		return fmt.Sprintf("record %q: based on version %d, but the table has no such record", c.Name, c.Expect)
	}
	mine, _ := json.Marshal(c.Mine)
	theirs, _ := json.Marshal(c.Theirs)
	return fmt.Sprintf("record %q: based on version %d, but the table has version %d\ntheirs: %s\nyours:  %s",
		c.Name, c.Expect, c.Theirs.Version, theirs, mine)
}

// retryPause is the time between two tries of a commit. Shorter ones press on a
// platform that is about to recover.
const retryPause = 200 * time.Millisecond

// Acceptor brings changes into the platform's table.
type Acceptor struct {
	Table platform.Table
	// VMs tells which VMs live; nil leaves out the check of their schemas.
	VMs platform.VMLister
	// NewWriteID returns a new unique id; nil: a random UUID.
	NewWriteID func() string
	// Wait pauses between two tries; nil: a timer.
	Wait func(ctx context.Context, d time.Duration) error
}

// Apply accepts a change that is based on version expect; 0: the record is new.
//
// The record, its history row and the digest are written in one transaction. The
// history row of a version is written once and never replaced: whose write_id it
// holds won that version. That decides a race, and it decides what became of a
// commit whose answer was lost, also when later changes stand above it. A commit
// without an answer is repeated with the same write_id and the same version, so
// it lands once at most, however late the first copy arrives.
//
// Errors are of kind ConfigInvalid; ConfigConflict, wrapping *Conflict; and
// PlatformUnavailable when ctx ended first, which says whether it may still land.
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
	if err := a.checkReaders(ctx, next); err != nil {
		return Accepted{}, err
	}
	t := &try{table: a.Table, next: next, expect: expect, writeID: a.newWriteID()}
	return a.repeat(ctx, t)
}

func (a *Acceptor) repeat(ctx context.Context, t *try) (Accepted, error) {
	for {
		accepted, err := t.once(ctx)
		if err == nil || !errors.Is(err, errTryAgain) {
			return accepted, err
		}
		if waitErr := a.wait(ctx, retryPause); waitErr != nil {
			return Accepted{}, t.unanswered(err)
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

// errTryAgain marks an error after which the same change is tried again.
var errTryAgain = errors.New("config: try again")

// try is one change on its way into the table. One goroutine uses it.
type try struct {
	table   platform.Table
	next    *Service
	expect  uint64
	writeID string
	sent    bool // a commit was sent, so the change may land at any later time
}

// tableView is what the table says of a record. History is read last: a change
// that lands between the reads then always shows there.
type tableView struct {
	record  platform.Row
	digest  platform.Row
	state   Digest
	history platform.Row // of the version that the change would get
}

// once looks at the table and commits if the change may still win.
func (t *try) once(ctx context.Context) (Accepted, error) {
	view, err := t.read(ctx)
	if err != nil {
		return Accepted{}, again(err)
	}
	if view.history.Version != 0 {
		return t.decided(view)
	}
	if err := t.mayFollow(view); err != nil {
		return Accepted{}, err
	}
	writes, after, err := t.writes(view)
	if err != nil {
		return Accepted{}, err
	}
	t.sent = true
	if _, err := t.table.Commit(ctx, writes); err != nil {
		return Accepted{}, again(err)
	}
	return Accepted{Name: t.next.Name, Version: t.next.Version, Sequence: after.Sequence}, nil
}

func again(err error) error { return fmt.Errorf("%w: %w", errTryAgain, err) }

func (t *try) read(ctx context.Context) (view tableView, err error) {
	view.record, err = getOrEmpty(ctx, t.table, RecordKey(t.next.Name))
	if err != nil {
		return view, err
	}
	view.state, view.digest, err = ReadDigest(ctx, t.table)
	if err != nil {
		return view, err
	}
	view.history, err = getOrEmpty(ctx, t.table, HistoryKey(t.next.Name, t.next.Version))
	return view, err
}

// decided tells from the history row who won the version.
func (t *try) decided(view tableView) (Accepted, error) {
	stored, theirs, err := DecodeStored(view.history)
	if stored.WriteID == t.writeID {
		return Accepted{Name: t.next.Name, Version: t.next.Version}, nil
	}
	if err != nil {
		return Accepted{}, fault.Wrap(fault.ConfigConflict, err, "the version is taken by a record that can't be read")
	}
	return Accepted{}, t.conflict(theirs)
}

func (t *try) conflict(theirs *Service) error {
	c := &Conflict{Name: t.next.Name, Expect: t.expect, Mine: t.next, Theirs: theirs}
	return fault.Wrap(fault.ConfigConflict, c, "another change came first")
}

// mayFollow compares the change with the record in the table.
func (t *try) mayFollow(view tableView) error {
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

// writes returns the transaction and the digest that it leaves.
func (t *try) writes(view tableView) ([]platform.Write, Digest, error) {
	record, err := Encode(t.next)
	if err != nil {
		return nil, Digest{}, fault.Wrap(fault.Internal, err, "encode record")
	}
	stored, err := json.Marshal(StoredRecord{WriteID: t.writeID, Record: record})
	if err != nil {
		return nil, Digest{}, fault.Wrap(fault.Internal, err, "encode row")
	}
	after := view.state.with(t.next.Name, t.next.Version)
	digest, err := json.Marshal(after)
	if err != nil {
		return nil, Digest{}, fault.Wrap(fault.Internal, err, "encode digest")
	}
	return []platform.Write{
		{Key: RecordKey(t.next.Name), Expect: view.record.Version, Value: stored},
		{Key: HistoryKey(t.next.Name, t.next.Version), Expect: 0, Value: stored},
		{Key: DigestKey, Expect: view.digest.Version, Value: digest},
	}, after, nil
}

// unanswered is the error after ctx ended.
func (t *try) unanswered(cause error) error {
	if !t.sent {
		return fault.Wrap(fault.PlatformUnavailable, cause, "record %q: nothing was written; apply it again later", t.next.Name)
	}
	return fault.Wrap(fault.PlatformUnavailable, cause,
		"record %q: version %d may have been accepted or may still be; look with 'kumquatcleat history %s' before you apply again",
		t.next.Name, t.next.Version, t.next.Name)
}
