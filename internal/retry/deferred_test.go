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

// tableFault is what happens to one write.
type tableFault int

const (
	writeApplied tableFault = iota
	answerLost
	writeLost
	writeLate // applied before the next call, or never when the row moved on
	tableDown
)

// faultyTable is a table whose writes fail as faults says, the last entry for ever.
type faultyTable struct {
	rows   map[string]platform.Row
	late   []platform.Write
	faults []tableFault
	giveUp func() // called at each unanswered write
}

func newFaultyTable(faults ...tableFault) *faultyTable {
	return &faultyTable{rows: map[string]platform.Row{}, faults: append(faults, writeApplied), giveUp: func() {}}
}

func (t *faultyTable) down() bool { return t.faults[0] == tableDown }

func (t *faultyTable) Get(_ context.Context, key string) (platform.Row, error) {
	t.land()
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
	t.land()
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
	t.land()
	happens := t.faults[0]
	if len(t.faults) > 1 {
		t.faults = t.faults[1:]
	}
	switch happens {
	case writeApplied:
		return t.apply(writes[0])
	case answerLost:
		_, _ = t.apply(writes[0])
	case writeLate:
		t.late = append(t.late, writes[0])
	}
	t.giveUp()
	return nil, errNoAnswer
}

func (t *faultyTable) land() {
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

// impatient returns a context that ends at the first unanswered write.
func impatient(table *faultyTable) context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	table.giveUp = cancel
	return ctx
}

func TestLostAnswersOfAcceptAreSettled(t *testing.T) {
	for _, faults := range [][]tableFault{{answerLost}, {writeLost}, {writeLate}, {writeLost, writeLate, answerLost}} {
		table := newFaultyTable(faults...)
		d := NewDeferred(fastDeferred(), table, "vm1")
		if err := d.Accept(context.Background(), "settlement", "t1", true, refund(1)); err != nil {
			t.Errorf("faults %v: %v", faults, err)
		}
		if item, err := d.Status(context.Background(), "settlement", "t1"); err != nil || item.State != DeferredQueued {
			t.Errorf("faults %v: item %+v, %v", faults, item, err)
		}
	}
}

func TestPlatformDownIsATruthfulRefusal(t *testing.T) {
	table := newFaultyTable()
	table.faults = []tableFault{tableDown}
	err := NewDeferred(fastDeferred(), table, "vm1").Accept(context.Background(), "settlement", "t1", true, refund(1))
	if fault.KindOf(err) != fault.DeferralUnavailable || len(table.rows) > 0 {
		t.Fatalf("%v with %d rows", err, len(table.rows))
	}
}

func TestWriteThatMayStillLandIsNotCalledNotRun(t *testing.T) {
	for _, happens := range []tableFault{answerLost, writeLate, writeLost} {
		table := newFaultyTable(happens)
		d := NewDeferred(fastDeferred(), table, "vm1")
		err := d.Accept(impatient(table), "settlement", "t1", true, refund(1))
		if fault.AnswerFor(fault.KindOf(err)).Outcome != fault.Unknown {
			t.Errorf("fault %d: %v", happens, err)
		}
		withdrawn, err := d.Withdraw(context.Background(), "settlement", "t1")
		if err != nil || withdrawn != (happens == writeLost) {
			t.Errorf("fault %d: withdrawn %v, %v", happens, withdrawn, err)
		}
	}
}

func TestWithdrawnTicketIsAcceptedAnewButNotByItsOldWrite(t *testing.T) {
	table := newFaultyTable(writeLost)
	d := NewDeferred(fastDeferred(), table, "vm1")
	_ = d.Accept(impatient(table), "settlement", "t1", true, refund(1))
	if withdrawn, err := d.Withdraw(context.Background(), "settlement", "t1"); err != nil || !withdrawn {
		t.Fatalf("withdrawn %v, %v", withdrawn, err)
	}
	if _, err := table.apply(platform.Write{Key: DeferredKey("settlement", "t1")}); !errors.Is(err, platform.ErrConflict) {
		t.Fatalf("the old write landed: %v", err)
	}
	if err := d.Accept(context.Background(), "settlement", "t1", true, refund(1)); err != nil {
		t.Fatal(err)
	}
}

func TestResentRequestFindsItsTicketAndNoOther(t *testing.T) {
	d := NewDeferred(fastDeferred(), newFaultyTable(), "vm1")
	ticket := Ticket("settlement", "caller-key")
	for range 2 {
		if err := d.Accept(context.Background(), "settlement", ticket, true, refund(1)); err != nil {
			t.Fatal(err)
		}
	}
	if err := d.Accept(context.Background(), "settlement", ticket, true, refund(2)); fault.KindOf(err) != fault.BadRequest {
		t.Fatalf("another request under the ticket: %v", err)
	}
}

// deferredModel plays workers that are lost at any moment against a table that
// loses writes and answers, and a server that honours request ids or does not.
type deferredModel struct {
	table     *faultyTable
	clock     *clock
	honours   bool // what the server does
	claimed   bool // what the records say that it does
	accepted  []string
	ran       map[string]int
	processes int
	steps     []int
}

type processLost struct{}

// draw returns a random number below n.
func (m *deferredModel) draw(n int) int {
	if len(m.steps) == 0 {
		return 0
	}
	drawn := m.steps[0] % n
	m.steps = m.steps[1:]
	return drawn
}

// serve is the Runner: the request may run or not, and the worker may be lost.
func (m *deferredModel) serve(_ context.Context, item DeferredItem) (DeferredAnswer, error) {
	switch m.draw(6) {
	case 0:
		return DeferredAnswer{}, fault.New(fault.ConnectFailed, "refused")
	case 1:
		panic(processLost{})
	}
	if !m.honours || m.ran[item.Ticket] == 0 {
		m.ran[item.Ticket]++
	}
	switch m.draw(4) {
	case 0:
		return DeferredAnswer{}, fault.New(fault.ConnectionLost, "cut")
	case 1:
		panic(processLost{})
	}
	return DeferredAnswer{Status: 200}, nil
}

// work lets a worker step until it is lost or the steps are used up.
func (m *deferredModel) work() {
	defer func() {
		if lost := recover(); lost != nil && lost != any(processLost{}) {
			panic(lost)
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
	m.table.giveUp = func() {
		switch m.draw(6) {
		case 0:
			cancel()
		case 1:
			panic(processLost{})
		}
	}
	_, _ = w.Step(ctx, func(string) bool { return true })
	m.clock.advance(time.Duration(m.draw(90)) * time.Second)
}

func playDeferred(steps []int, honours, claimed bool) *deferredModel {
	m := &deferredModel{table: newFaultyTable(), clock: newClock(), honours: honours, claimed: claimed, ran: map[string]int{}, steps: steps}
	for n := range 4 {
		m.table.faults = append([]tableFault{tableFault(m.draw(4))}, writeApplied)
		d := NewDeferred(fastDeferred(), m.table, "vm1")
		ticket := fmt.Sprint("t", n)
		if d.Accept(impatient(m.table), "settlement", ticket, claimed, refund(n)) == nil {
			m.accepted = append(m.accepted, ticket)
		}
	}
	for len(m.steps) > 0 {
		m.work()
	}
	m.table.giveUp = func() {}
	m.table.faults = []tableFault{writeApplied}
	m.workUndisturbed()
	return m
}

// undisturbedSteps is enough for the lease of what lost workers left behind, and
// for the longest wait of what is queued then.
const undisturbedSteps = 6

// workUndisturbed lets one last worker finish, without faults.
func (m *deferredModel) workUndisturbed() {
	run := func(_ context.Context, item DeferredItem) (DeferredAnswer, error) {
		if !m.honours || m.ran[item.Ticket] == 0 {
			m.ran[item.Ticket]++
		}
		return DeferredAnswer{Status: 200}, nil
	}
	w := NewWorker(fastDeferred(), m.table, "settlement", "last", run, m.clock.now)
	for range undisturbedSteps {
		_, _ = w.Step(context.Background(), func(string) bool { return true })
		m.clock.advance(fastDeferred().Lease.Duration())
	}
}

// holds returns whether nothing accepted vanished and nothing ran twice; what is
// done ran, and where the server honours ids nothing is left parked.
func (m *deferredModel) holds() bool {
	d := NewDeferred(fastDeferred(), m.table, "vm1")
	for _, ticket := range m.accepted {
		item, err := d.Status(context.Background(), "settlement", ticket)
		if err != nil {
			return false
		}
		done := item.State == DeferredDone
		if done && m.ran[ticket] != 1 || !done && (m.claimed || item.State != DeferredParked) {
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

func deferredProperty(honours, claimed bool) gopter.Prop {
	return prop.ForAllNoShrink(func(steps []int) bool {
		return playDeferred(steps, honours, claimed).holds()
	}, gen.SliceOfN(200, gen.IntRange(0, 1<<20)))
}

func TestDeferredWorkLandsOnceOrIsParked(t *testing.T) {
	properties := gopter.NewProperties(propertyParameters())
	properties.Property("server honours ids: exactly once", deferredProperty(true, true))
	properties.Property("server does not: at most once, else parked", deferredProperty(false, false))
	properties.TestingRun(t)
	if deferredProperty(false, true).Check(propertyParameters()).Passed() {
		t.Error("seeded bug not found: work repeated at a server that does not honour ids")
	}
}

// acceptedOne returns a table with one accepted item at a server that does not
// honour request ids.
func acceptedOne(t *testing.T) (*faultyTable, *Deferred) {
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
		t.Fatalf("state %q (%s), %v; want %q", item.State, item.Reason, err, want)
	}
}

func every(string) bool { return true }

func TestWorkerFindsItsOwnWriteAfterALostAnswer(t *testing.T) {
	table, d := acceptedOne(t)
	table.faults = []tableFault{answerLost, answerLost, writeApplied}
	run := func(context.Context, DeferredItem) (DeferredAnswer, error) { return DeferredAnswer{Status: 200}, nil }
	w := NewWorker(fastDeferred(), table, "settlement", "vm1#1", run, newClock().now)
	if ran, err := w.Step(context.Background(), every); ran != 1 || err != nil {
		t.Fatalf("ran %d, %v", ran, err)
	}
	expectState(t, d, DeferredDone)
}

func TestPlannedStopFinishesTheAttemptUnderWay(t *testing.T) {
	table, d := acceptedOne(t)
	ctx, stop := context.WithCancel(context.Background())
	run := func(ctx context.Context, _ DeferredItem) (DeferredAnswer, error) {
		stop()
		if ctx.Err() != nil {
			return DeferredAnswer{}, fault.New(fault.ConnectionLost, "cut by the stop")
		}
		return DeferredAnswer{Status: 200}, nil
	}
	w := NewWorker(fastDeferred(), table, "settlement", "vm1#1", run, newClock().now)
	_, _ = w.Step(ctx, every)
	expectState(t, d, DeferredDone)
}

func TestItemIsLeftToItsWorkerForALease(t *testing.T) {
	table, d := acceptedOne(t)
	c := newClock()
	forbidden := func(context.Context, DeferredItem) (DeferredAnswer, error) {
		t.Error("two workers ran one item")
		return DeferredAnswer{}, nil
	}
	other := NewWorker(fastDeferred(), table, "settlement", "vm2#1", forbidden, c.now)
	run := func(context.Context, DeferredItem) (DeferredAnswer, error) {
		_, _ = other.Step(context.Background(), every)
		c.advance(fastDeferred().Lease.Duration() - time.Second)
		_, _ = other.Step(context.Background(), every)
		expectState(t, d, DeferredRunning)
		c.advance(time.Second)
		_, _ = other.Step(context.Background(), every)
		expectState(t, d, DeferredParked)
		return DeferredAnswer{Status: 200}, nil
	}
	w := NewWorker(fastDeferred(), table, "settlement", "vm1#1", run, c.now)
	if _, err := w.Step(context.Background(), every); err != nil {
		t.Fatal(err)
	}
	expectState(t, d, DeferredDone) // the late answer ends the parking
}

func TestOperatorEndsAParking(t *testing.T) {
	for _, ran := range []bool{true, false} {
		table, d := acceptedOne(t)
		cut := func(context.Context, DeferredItem) (DeferredAnswer, error) {
			return DeferredAnswer{}, fault.New(fault.ConnectionLost, "cut")
		}
		w := NewWorker(fastDeferred(), table, "settlement", "vm1#1", cut, newClock().now)
		if _, err := w.Step(context.Background(), every); err != nil {
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
			t.Fatalf("second decision: %v", err)
		}
	}
}
