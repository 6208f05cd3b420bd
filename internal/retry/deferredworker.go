package retry

import (
	"context"
	"errors"
	"log/slog"
	"maps"
	"time"

	"kumquatcleat/internal/fault"
	"kumquatcleat/internal/platform"
)

// Runner sends one attempt of an item, with its ticket as the request id. ctx ends
// when the attempt must no longer be sent. The error is a *fault.Error whose kind
// tells, by its outcome, whether the request ran.
type Runner func(ctx context.Context, item DeferredItem) (DeferredAnswer, error)

// Worker runs deferred items of one service. It is used by one goroutine.
//
// An item moves by compare-and-set: queued -> running -> done, or -> parked. A
// worker sends only after its write to running was confirmed, so two workers never
// run one item at once while both keep their time: an attempt ends within Run of
// the start of that write, and the others leave the item for Lease, which is
// longer, from when they first saw it. Each counts on its own clock.
//
// An item whose worker was lost may have run. At a server that honours request ids
// it is sent again under the same id, which lands once; at any other it is parked.
type Worker struct {
	settings DeferredSettings
	store    deferredStore
	service  string
	self     string // this process: VM and incarnation
	run      Runner
	now      func() time.Time
	seen     map[string]sighting  // running items, by ticket
	retryAt  map[string]time.Time // of items that this worker queued again
}

// Bounds of the wait before an item that did not run is sent again; it doubles
// with each attempt. Shorter waits fill the table with writes in an outage.
const (
	firstDeferredWait = time.Second
	maxDeferredWait   = time.Minute
)

// sighting is when a version of an item was first seen.
type sighting struct {
	version uint64
	since   time.Time
}

// NewWorker returns a worker. self differs between any two processes.
func NewWorker(s DeferredSettings, table platform.Table, service, self string, run Runner, now func() time.Time) *Worker {
	return &Worker{
		settings: s,
		store:    newDeferredStore(s, table),
		service:  service,
		self:     self,
		run:      run,
		now:      now,
		seen:     make(map[string]sighting),
		retryAt:  make(map[string]time.Time),
	}
}

// deferredAction is what a worker does with an item.
type deferredAction int

const (
	actionNone deferredAction = iota
	actionRun
	actionPark
)

// Step looks once at the items that mine names and runs those that are due, one
// after another, until ctx ends; an attempt under way then is finished first, which
// takes up to Run and some seconds. It returns how many it ran, and the error of the platform, if any.
func (w *Worker) Step(ctx context.Context, mine func(ticket string) bool) (int, error) {
	rows, unreadable, err := w.store.list(ctx, w.service)
	if err != nil {
		return 0, err
	}
	if unreadable > 0 {
		slog.Warn("deferred: rows can't be read", "service", w.service, "rows", unreadable)
	}
	w.forget(rows)
	ran := 0
	for _, row := range rows {
		if ctx.Err() != nil {
			return ran, ctx.Err()
		}
		if !mine(row.item.Ticket) {
			continue
		}
		switch w.decide(row) {
		case actionRun:
			w.attempt(ctx, row)
			ran++
		case actionPark:
			w.park(ctx, row, "its worker was lost while it ran")
		}
	}
	return ran, nil
}

// decide returns what to do with an item now.
func (w *Worker) decide(row deferredRow) deferredAction {
	switch row.item.State {
	case DeferredQueued:
		if w.now().Before(w.retryAt[row.item.Ticket]) {
			return actionNone
		}
		return actionRun
	case DeferredRunning:
		if !w.lapsed(row) {
			return actionNone
		}
		if row.item.HonoursID {
			return actionRun
		}
		return actionPark
	default:
		return actionNone
	}
}

// lapsed returns whether the item stood at this version for a whole lease.
func (w *Worker) lapsed(row deferredRow) bool {
	first, known := w.seen[row.item.Ticket]
	if !known || first.version != row.version {
		w.seen[row.item.Ticket] = sighting{version: row.version, since: w.now()}
		return false
	}
	return w.now().Sub(first.since) >= w.settings.Lease.Duration()
}

// forget drops what is known of items that are in another state now.
func (w *Worker) forget(rows []deferredRow) {
	states := make(map[string]DeferredState, len(rows))
	for _, row := range rows {
		states[row.item.Ticket] = row.item.State
	}
	maps.DeleteFunc(w.seen, func(ticket string, _ sighting) bool { return states[ticket] != DeferredRunning })
	maps.DeleteFunc(w.retryAt, func(ticket string, _ time.Time) bool { return states[ticket] != DeferredQueued })
}

// recordTime bounds how long a worker that is told to stop tries to write down how
// its attempt ended. With less, an outage of the platform parks the item.
const recordTime = 10 * time.Second

// attempt takes the item, sends it, and records what became of it. Once the item is
// taken, the end of ctx no longer stops it: a planned stop would otherwise leave an
// item that may have run.
func (w *Worker) attempt(ctx context.Context, row deferredRow) {
	started := w.now()
	item := row.item
	item.State, item.Holder, item.Reason = DeferredRunning, w.self, ""
	item.Attempt++
	taken, err := w.store.put(ctx, item, row.version)
	if err != nil {
		w.note("deferred: not taken", item, err)
		return
	}
	left := w.settings.Run.Duration() - w.now().Sub(started)
	if left <= 0 {
		w.requeue(ctx, taken, "taking it took too long")
		return
	}
	runCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), left)
	defer cancel()
	answer, err := w.run(runCtx, taken.item)
	recordCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), recordTime)
	defer cancel()
	w.record(recordCtx, taken, answer, err)
}

// record writes down how an attempt ended.
func (w *Worker) record(ctx context.Context, row deferredRow, answer DeferredAnswer, err error) {
	switch {
	case err == nil:
		w.finish(ctx, row, answer)
	case fault.AnswerFor(fault.KindOf(err)).Outcome == fault.NotRun:
		w.requeue(ctx, row, err.Error())
	case row.item.HonoursID:
		w.requeue(ctx, row, err.Error())
	default:
		w.park(ctx, row, err.Error())
	}
}

func (w *Worker) finish(ctx context.Context, row deferredRow, answer DeferredAnswer) {
	if len(answer.Body) > w.settings.MaxBody {
		answer.Body = nil
		row.item.Reason = "the answer's body was too large to keep"
	}
	row.item.State, row.item.Answer = DeferredDone, &answer
	row.item.Request.Header, row.item.Request.Body = nil, nil
	_, err := w.store.put(ctx, row.item, row.version)
	if errors.Is(err, platform.ErrConflict) {
		err = w.finishParked(ctx, row.item)
	}
	if err != nil {
		w.note("deferred: answer not recorded", row.item, err)
	}
}

// finishParked records the answer of an attempt that another worker took for lost.
// Parked by that attempt's number, the item is known to have run after all.
func (w *Worker) finishParked(ctx context.Context, done DeferredItem) error {
	row, err := w.store.get(ctx, done.key())
	if err != nil {
		return err
	}
	if row.item.State != DeferredParked || row.item.Attempt != done.Attempt {
		return platform.ErrConflict
	}
	_, err = w.store.put(ctx, done, row.version)
	return err
}

func (w *Worker) requeue(ctx context.Context, row deferredRow, reason string) {
	wait := min(firstDeferredWait<<min(row.item.Attempt-1, 10), maxDeferredWait)
	w.retryAt[row.item.Ticket] = w.now().Add(wait)
	row.item.State, row.item.Holder, row.item.Reason = DeferredQueued, "", reason
	if _, err := w.store.put(ctx, row.item, row.version); err != nil {
		w.note("deferred: not queued again", row.item, err)
	}
}

func (w *Worker) park(ctx context.Context, row deferredRow, reason string) {
	row.item.State, row.item.Reason = DeferredParked, reason
	if _, err := w.store.put(ctx, row.item, row.version); err != nil {
		w.note("deferred: not parked", row.item, err)
		return
	}
	w.note("deferred: parked as unknown", row.item, errors.New(reason))
}

func (w *Worker) note(message string, item DeferredItem, err error) {
	slog.Warn(message, "service", item.Service, "ticket", item.Ticket, "attempt", item.Attempt, "error", err.Error())
}
