package retry

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"kumquatcleat/internal/fault"
	"kumquatcleat/internal/platform"
)

var errNoAnswer = errors.New("no answer")

// tableFault is the injected outcome of one write.
type tableFault int

const (
	writeApplied tableFault = iota
	answerLost
	writeLost
	writeLate // applied before the next call, unless the row has changed by then
	tableDown
)

// faultyTable is an in-memory table with fault injection. Each write uses the next
// entry of faults; the last entry applies to all further calls.
type faultyTable struct {
	rows         map[string]platform.Row
	late         []platform.Write
	faults       []tableFault
	onUnanswered func() // called on each unanswered write
}

func newFaultyTable(faults ...tableFault) *faultyTable {
	return &faultyTable{rows: map[string]platform.Row{}, faults: append(faults, writeApplied), onUnanswered: func() {}}
}

func (t *faultyTable) down() bool { return t.faults[0] == tableDown }

func (t *faultyTable) Get(_ context.Context, key string) (platform.Row, error) {
	t.applyLate()
	row, ok := t.rows[key]
	if t.down() {
		return row, errNoAnswer
	}
	if !ok {
		return row, platform.ErrNotFound
	}
	return row, nil
}

func (t *faultyTable) List(_ context.Context, prefix string) ([]platform.Row, error) {
	t.applyLate()
	if t.down() {
		return nil, errNoAnswer
	}
	var rows []platform.Row
	for _, key := range slices.Sorted(maps.Keys(t.rows)) {
		if strings.HasPrefix(key, prefix) {
			rows = append(rows, t.rows[key])
		}
	}
	return rows, nil
}

func (t *faultyTable) Commit(_ context.Context, writes []platform.Write) ([]uint64, error) {
	t.applyLate()
	outcome := t.faults[0]
	if len(t.faults) > 1 {
		t.faults = t.faults[1:]
	}
	switch outcome {
	case writeApplied:
		return t.apply(writes[0])
	case answerLost:
		_, _ = t.apply(writes[0])
	case writeLate:
		t.late = append(t.late, writes[0])
	}
	t.onUnanswered()
	return nil, errNoAnswer
}

func (t *faultyTable) applyLate() {
	for _, write := range t.late {
		_, _ = t.apply(write)
	}
	t.late = nil
}

func (t *faultyTable) apply(write platform.Write) ([]uint64, error) {
	row := t.rows[write.Key]
	if row.Version != write.Expect {
		return nil, platform.ErrConflict
	}
	t.rows[write.Key] = platform.Row{Key: write.Key, Version: row.Version + 1, Value: write.Value}
	return []uint64{row.Version + 1}, nil
}

func fastDeferred() DeferredSettings {
	s := DefaultDeferredSettings()
	s.WriteRetry = 0
	return s
}

func refund(n int) DeferredRequest {
	return DeferredRequest{Method: "POST", Path: "/refunds", Body: []byte(fmt.Sprint("refund ", n))}
}

// canceledOnUnanswered returns a context that is canceled on the first unanswered write.
func canceledOnUnanswered(table *faultyTable) context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	table.onUnanswered = cancel
	return ctx
}

func TestAcceptRecoversFromLostWriteAnswers(t *testing.T) {
	for _, faults := range [][]tableFault{{answerLost}, {writeLost}, {writeLate}, {writeLost, writeLate, answerLost}} {
		table := newFaultyTable(faults...)
		d := NewDeferred(fastDeferred(), table, "vm1")
		if err := d.Accept(context.Background(), "settlement", "t1", true, refund(1)); err != nil {
			t.Errorf("faults %v: Accept failed: %v", faults, err)
		}
		if item, err := d.Status(context.Background(), "settlement", "t1"); err != nil || item.State != DeferredQueued {
			t.Errorf("faults %v: got item %+v, error %v; want it queued", faults, item, err)
		}
	}
}

func TestAcceptRefusesWithoutWritingWhenPlatformIsDown(t *testing.T) {
	table := newFaultyTable()
	table.faults = []tableFault{tableDown}
	err := NewDeferred(fastDeferred(), table, "vm1").Accept(context.Background(), "settlement", "t1", true, refund(1))
	if fault.KindOf(err) != fault.DeferralUnavailable || len(table.rows) > 0 {
		t.Fatalf("got error %v and %d rows, want DeferralUnavailable and no rows", err, len(table.rows))
	}
}

func TestUnconfirmedWriteIsNotReportedAsNotRun(t *testing.T) {
	for _, outcome := range []tableFault{answerLost, writeLate, writeLost} {
		table := newFaultyTable(outcome)
		d := NewDeferred(fastDeferred(), table, "vm1")
		err := d.Accept(canceledOnUnanswered(table), "settlement", "t1", true, refund(1))
		if fault.AnswerFor(fault.KindOf(err)).Outcome != fault.Unknown {
			t.Errorf("fault %d: got error %v, want one with outcome unknown", outcome, err)
		}
		withdrawn, err := d.Withdraw(context.Background(), "settlement", "t1")
		if err != nil || withdrawn != (outcome == writeLost) {
			t.Errorf("fault %d: got withdrawn %v, error %v; want withdrawn only if the write was lost", outcome, withdrawn, err)
		}
	}
}

func TestWithdrawnTicketRejectsOldWriteAndAcceptsNewRequest(t *testing.T) {
	table := newFaultyTable(writeLost)
	d := NewDeferred(fastDeferred(), table, "vm1")
	_ = d.Accept(canceledOnUnanswered(table), "settlement", "t1", true, refund(1))
	if withdrawn, err := d.Withdraw(context.Background(), "settlement", "t1"); err != nil || !withdrawn {
		t.Fatalf("got withdrawn %v, error %v; want true, nil", withdrawn, err)
	}
	if _, err := table.apply(platform.Write{Key: DeferredKey("settlement", "t1")}); !errors.Is(err, platform.ErrConflict) {
		t.Fatalf("late write after the withdrawal: got %v, want ErrConflict", err)
	}
	if err := d.Accept(context.Background(), "settlement", "t1", true, refund(1)); err != nil {
		t.Fatal(err)
	}
}

func TestTicketIsReusedOnlyByTheSameRequest(t *testing.T) {
	d := NewDeferred(fastDeferred(), newFaultyTable(), "vm1")
	ticket := Ticket("settlement", "caller-key")
	for range 2 {
		if err := d.Accept(context.Background(), "settlement", ticket, true, refund(1)); err != nil {
			t.Fatal(err)
		}
	}
	if err := d.Accept(context.Background(), "settlement", ticket, true, refund(2)); fault.KindOf(err) != fault.BadRequest {
		t.Fatalf("different request under the same ticket: got %v, want BadRequest", err)
	}
}

// deferredModel simulates workers that may crash at any step, a table that loses writes
// and answers, and a server that may or may not honor request ids.
type deferredModel struct {
	table              *faultyTable
	clock              *clock
	honorsID           bool // whether the server honors request ids
	configuredHonorsID bool // whether the service record says so
	accepted           []string
	ran                map[string]int
	processes          int
	steps              []int
}

type processCrash struct{}

// draw returns a random number below n.
func (m *deferredModel) draw(n int) int {
	if len(m.steps) == 0 {
		return 0
	}
	drawn := m.steps[0] % n
	m.steps = m.steps[1:]
	return drawn
}

// serve is the Runner. The request may or may not run, and the worker may crash.
func (m *deferredModel) serve(_ context.Context, item DeferredItem) (DeferredAnswer, error) {
	switch m.draw(6) {
	case 0:
		return DeferredAnswer{}, fault.New(fault.ConnectFailed, "refused")
	case 1:
		panic(processCrash{})
	}
	if !m.honorsID || m.ran[item.Ticket] == 0 {
		m.ran[item.Ticket]++
	}
	switch m.draw(4) {
	case 0:
		return DeferredAnswer{}, fault.New(fault.ConnectionLost, "cut")
	case 1:
		panic(processCrash{})
	}
	return DeferredAnswer{Status: 200}, nil
}

// runWorker runs a worker until it crashes or the steps are used up.
func (m *deferredModel) runWorker() {
	defer func() {
		if cause := recover(); cause != nil && cause != any(processCrash{}) {
			panic(cause)
		}
	}()
	m.processes++
	w := NewWorker(fastDeferred(), m.table, "settlement", fmt.Sprint("vm#", m.processes), m.serve, m.clock.now)
	for len(m.steps) > 0 {
		m.table.faults = append([]tableFault{tableFault(m.draw(4))}, tableFault(m.draw(4)), writeApplied)
		m.step(w)
	}
}

func (m *deferredModel) step(w *Worker) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	m.table.onUnanswered = func() {
		switch m.draw(6) {
		case 0:
			cancel()
		case 1:
			panic(processCrash{})
		}
	}
	_, _ = w.Step(ctx, func(string) bool { return true })
	m.clock.advance(time.Duration(m.draw(90)) * time.Second)
}

func playDeferred(steps []int, honorsID, configuredHonorsID bool) *deferredModel {
	m := &deferredModel{table: newFaultyTable(), clock: newClock(), honorsID: honorsID, configuredHonorsID: configuredHonorsID, ran: map[string]int{}, steps: steps}
	for n := range 4 {
		m.table.faults = append([]tableFault{tableFault(m.draw(4))}, writeApplied)
		d := NewDeferred(fastDeferred(), m.table, "vm1")
		ticket := fmt.Sprint("t", n)
		if d.Accept(canceledOnUnanswered(m.table), "settlement", ticket, configuredHonorsID, refund(n)) == nil {
			m.accepted = append(m.accepted, ticket)
		}
	}
	for len(m.steps) > 0 {
		m.runWorker()
	}
	m.table.onUnanswered = func() {}
	m.table.faults = []tableFault{writeApplied}
	m.finishWithoutFaults()
	return m
}

// faultFreeSteps is enough for the leases of crashed workers to expire and for the
// longest backoff of the items that are queued then.
const faultFreeSteps = 6

// finishWithoutFaults runs one last worker without faults, to settle all items.
func (m *deferredModel) finishWithoutFaults() {
	run := func(_ context.Context, item DeferredItem) (DeferredAnswer, error) {
		if !m.honorsID || m.ran[item.Ticket] == 0 {
			m.ran[item.Ticket]++
		}
		return DeferredAnswer{Status: 200}, nil
	}
	w := NewWorker(fastDeferred(), m.table, "settlement", "last", run, m.clock.now)
	for range faultFreeSteps {
		_, _ = w.Step(context.Background(), func(string) bool { return true })
		m.clock.advance(fastDeferred().Lease.Duration())
	}
}

// invariantHolds reports whether no accepted item is missing, nothing ran twice, every
// done item ran, and no item is parked if the record says that the server honors ids.
func (m *deferredModel) invariantHolds() bool {
	d := NewDeferred(fastDeferred(), m.table, "vm1")
	for _, ticket := range m.accepted {
		item, err := d.Status(context.Background(), "settlement", ticket)
		if err != nil {
			return false
		}
		done := item.State == DeferredDone
		if done && m.ran[ticket] != 1 || !done && (m.configuredHonorsID || item.State != DeferredParked) {
			return false
		}
	}
	for _, ran := range m.ran {
		if ran > 1 {
			return false
		}
	}
	return true
}

func deferredProperty(honorsID, configuredHonorsID bool) gopter.Prop {
	return prop.ForAllNoShrink(func(steps []int) bool {
		return playDeferred(steps, honorsID, configuredHonorsID).invariantHolds()
	}, gen.SliceOfN(200, gen.IntRange(0, 1<<20)))
}

func TestDeferredItemRunsOnceOrIsParked(t *testing.T) {
	properties := gopter.NewProperties(propertyParameters())
	properties.Property("server honours ids: exactly once", deferredProperty(true, true))
	properties.Property("server does not: at most once, else parked", deferredProperty(false, false))
	properties.TestingRun(t)
	if deferredProperty(false, true).Check(propertyParameters()).Passed() {
		t.Error("injected bug not found: item sent again to a server that does not honor request ids")
	}
}

// newAcceptedItem returns a table with one accepted item of a server that does not
// honor request ids.
func newAcceptedItem(t *testing.T) (*faultyTable, *Deferred) {
	t.Helper()
	table := newFaultyTable()
	d := NewDeferred(fastDeferred(), table, "vm1")
	if err := d.Accept(context.Background(), "settlement", "t1", false, refund(1)); err != nil {
		t.Fatal(err)
	}
	return table, d
}

func expectState(t *testing.T, d *Deferred, want DeferredState) {
	t.Helper()
	item, err := d.Status(context.Background(), "settlement", "t1")
	if err != nil || item.State != want {
		t.Fatalf("got state %q (%s), error %v; want %q", item.State, item.Reason, err, want)
	}
}

func allTickets(string) bool { return true }

func TestWorkerRecognizesOwnWriteAfterLostAnswer(t *testing.T) {
	table, d := newAcceptedItem(t)
	table.faults = []tableFault{answerLost, answerLost, writeApplied}
	run := func(context.Context, DeferredItem) (DeferredAnswer, error) { return DeferredAnswer{Status: 200}, nil }
	w := NewWorker(fastDeferred(), table, "settlement", "vm1#1", run, newClock().now)
	if ran, err := w.Step(context.Background(), allTickets); ran != 1 || err != nil {
		t.Fatalf("got ran %d, error %v; want 1, nil", ran, err)
	}
	expectState(t, d, DeferredDone)
}

func TestShutdownFinishesAttemptInFlight(t *testing.T) {
	table, d := newAcceptedItem(t)
	ctx, stop := context.WithCancel(context.Background())
	run := func(ctx context.Context, _ DeferredItem) (DeferredAnswer, error) {
		stop()
		if ctx.Err() != nil {
			return DeferredAnswer{}, fault.New(fault.ConnectionLost, "cut by the stop")
		}
		return DeferredAnswer{Status: 200}, nil
	}
	w := NewWorker(fastDeferred(), table, "settlement", "vm1#1", run, newClock().now)
	_, _ = w.Step(ctx, allTickets)
	expectState(t, d, DeferredDone)
}

func TestRunningItemIsNotTakenOverBeforeLeaseExpires(t *testing.T) {
	table, d := newAcceptedItem(t)
	c := newClock()
	forbidden := func(context.Context, DeferredItem) (DeferredAnswer, error) {
		t.Error("two workers ran one item")
		return DeferredAnswer{}, nil
	}
	other := NewWorker(fastDeferred(), table, "settlement", "vm2#1", forbidden, c.now)
	run := func(context.Context, DeferredItem) (DeferredAnswer, error) {
		_, _ = other.Step(context.Background(), allTickets)
		c.advance(fastDeferred().Lease.Duration() - time.Second)
		_, _ = other.Step(context.Background(), allTickets)
		expectState(t, d, DeferredRunning)
		c.advance(time.Second)
		_, _ = other.Step(context.Background(), allTickets)
		expectState(t, d, DeferredParked)
		return DeferredAnswer{Status: 200}, nil
	}
	w := NewWorker(fastDeferred(), table, "settlement", "vm1#1", run, c.now)
	if _, err := w.Step(context.Background(), allTickets); err != nil {
		t.Fatal(err)
	}
	expectState(t, d, DeferredDone) // the late answer settles the parked item
}

func TestParkedItemIsResolvedOnce(t *testing.T) {
	for _, ran := range []bool{true, false} {
		table, d := newAcceptedItem(t)
		cut := func(context.Context, DeferredItem) (DeferredAnswer, error) {
			return DeferredAnswer{}, fault.New(fault.ConnectionLost, "cut")
		}
		w := NewWorker(fastDeferred(), table, "settlement", "vm1#1", cut, newClock().now)
		if _, err := w.Step(context.Background(), allTickets); err != nil {
			t.Fatal(err)
		}
		expectState(t, d, DeferredParked)
		if err := d.Resolve(context.Background(), "settlement", "t1", ran, "looked it up"); err != nil {
			t.Fatal(err)
		}
		if ran {
			expectState(t, d, DeferredDone)
		} else {
			expectState(t, d, DeferredQueued)
		}
		if err := d.Resolve(context.Background(), "settlement", "t1", ran, "again"); fault.KindOf(err) != fault.ConfigConflict {
			t.Fatalf("second Resolve: got %v, want ConfigConflict", err)
		}
	}
}
