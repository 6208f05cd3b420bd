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

// Runner sends an item to a server once, with its ticket as the request id. The
// attempt must not be sent after ctx ends. The error is a *fault.Error; the outcome
// of its kind states whether the request may have run.
type Runner func(ctx context.Context, item DeferredItem) (DeferredAnswer, error)

// Worker runs the deferred items of one service. It must be used by one goroutine
// only.
//
// Workers change the state of an item by compare-and-set:
//
//	queued  -> running: a worker starts an attempt
//	running -> done:    the server gave a complete answer
//	running -> queued:  the attempt failed and may be repeated, because it did not run
//	                    or the server honors request ids
//	running -> parked:  the attempt failed, or its worker did, and the item may have run
//	running -> running: another worker repeats the attempt, because the first worker
//	                    failed and the server honors request ids
//	parked  -> done:    the answer arrived after another worker had parked the item
//
// Deferred writes the other changes.
//
// A worker sends an item only after its write of the running state was confirmed. As
// long as the timeouts hold, no two workers run an item concurrently: an attempt ends
// within the run timeout, counted from the start of that write, and other workers leave
// the item alone for the lease, which is longer, after they first saw it running. Each
// worker uses only its own clock.
//
// If a worker fails while an item is running, the item may have run. If the server
// honors request ids, the item is sent again with the same id, so that it runs only
// once; otherwise it is parked.
type Worker struct {
	settings DeferredSettings
	store    deferredStore
	service  string
	self     string // VM and incarnation of this process
	run      Runner
	now      func() time.Time
	observed map[string]observation // running items by ticket
	retryAt  map[string]time.Time   // by ticket, for items that this worker queued again
}

// Bounds of the backoff before a requeued item is sent again. It doubles with each
// attempt. With a shorter backoff, an outage would flood the table with writes.
const (
	minDeferredBackoff = time.Second
	maxDeferredBackoff = time.Minute
)

// observation records when a worker first saw a version of an item.
type observation struct {
	version uint64
	since   time.Time
}

// NewWorker returns a worker. self must be unique to the process.
func NewWorker(s DeferredSettings, table platform.Table, service, self string, run Runner, now func() time.Time) *Worker {
	return &Worker{
		settings: s,
		store:    newDeferredStore(s, table),
		service:  service,
		self:     self,
		run:      run,
		now:      now,
		observed: make(map[string]observation),
		retryAt:  make(map[string]time.Time),
	}
}

// deferredAction is what a worker does next with an item.
type deferredAction int

const (
	actionNone deferredAction = iota
	actionRun
	actionPark
)

// Step reads the service's items once and runs those that are due and for which mine
// returns true, one after another. If ctx ends, the attempt in flight is finished
// first, which takes up to Run plus recordTimeout. Step returns the number of items it
// ran, and the platform's or the context's error.
func (w *Worker) Step(ctx context.Context, mine func(ticket string) bool) (int, error) {
	rows, unreadable, err := w.store.list(ctx, w.service)
	if err != nil {
		return 0, err
	}
	if unreadable > 0 {
		slog.Warn("deferred: skipped rows that cannot be decoded", "service", w.service, "rows", unreadable)
	}
	w.dropObsolete(rows)
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

// decide returns the next action for an item.
func (w *Worker) decide(row deferredRow) deferredAction {
	switch row.item.State {
	case DeferredQueued:
		if w.now().Before(w.retryAt[row.item.Ticket]) {
			return actionNone
		}
		return actionRun
	case DeferredRunning:
		if !w.leaseExpired(row) {
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

// leaseExpired reports whether the item has had the same version for a whole lease.
func (w *Worker) leaseExpired(row deferredRow) bool {
	first, known := w.observed[row.item.Ticket]
	if !known || first.version != row.version {
		w.observed[row.item.Ticket] = observation{version: row.version, since: w.now()}
		return false
	}
	return w.now().Sub(first.since) >= w.settings.Lease.Duration()
}

// dropObsolete deletes the observations of items that are no longer running and the
// retry times of items that are no longer queued.
func (w *Worker) dropObsolete(rows []deferredRow) {
	states := make(map[string]DeferredState, len(rows))
	for _, row := range rows {
		states[row.item.Ticket] = row.item.State
	}
	maps.DeleteFunc(w.observed, func(ticket string, _ observation) bool { return states[ticket] != DeferredRunning })
	maps.DeleteFunc(w.retryAt, func(ticket string, _ time.Time) bool { return states[ticket] != DeferredQueued })
}

// recordTimeout bounds the write of an attempt's result, which a shutdown does not
// cancel. With a shorter timeout, a brief outage of the platform parks the item.
const recordTimeout = 10 * time.Second

// attempt marks the item as running, sends it, and records the result. Once the item
// is marked, the end of ctx no longer cancels the attempt: a planned shutdown would
// otherwise leave an item that may have run.
func (w *Worker) attempt(ctx context.Context, row deferredRow) {
	started := w.now()
	item := row.item
	item.State, item.Holder, item.Reason = DeferredRunning, w.self, ""
	item.Attempt++
	running, err := w.store.put(ctx, item, row.version)
	if err != nil {
		w.warn("deferred: failed to mark item as running", item, err)
		return
	}
	left := w.settings.Run.Duration() - w.now().Sub(started)
	if left <= 0 {
		w.requeue(ctx, running, "taking it took too long")
		return
	}
	runCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), left)
	defer cancel()
	answer, err := w.run(runCtx, running.item)
	recordCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), recordTimeout)
	defer cancel()
	w.record(recordCtx, running, answer, err)
}

// record writes the result of an attempt.
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
		w.warn("deferred: failed to record answer", row.item, err)
	}
}

// finishParked records the answer of an item that another worker parked meanwhile. If
// the item was parked at the same attempt number, this answer shows that it ran.
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
	wait := min(minDeferredBackoff<<min(row.item.Attempt-1, 10), maxDeferredBackoff)
	w.retryAt[row.item.Ticket] = w.now().Add(wait)
	row.item.State, row.item.Holder, row.item.Reason = DeferredQueued, "", reason
	if _, err := w.store.put(ctx, row.item, row.version); err != nil {
		w.warn("deferred: failed to requeue item", row.item, err)
	}
}

func (w *Worker) park(ctx context.Context, row deferredRow, reason string) {
	row.item.State, row.item.Reason = DeferredParked, reason
	if _, err := w.store.put(ctx, row.item, row.version); err != nil {
		w.warn("deferred: failed to park item", row.item, err)
		return
	}
	w.warn("deferred: parked as unknown", row.item, errors.New(reason))
}

func (w *Worker) warn(message string, item DeferredItem, err error) {
	slog.Warn(message, "service", item.Service, "ticket", item.Ticket, "attempt", item.Attempt, "error", err.Error())
}
