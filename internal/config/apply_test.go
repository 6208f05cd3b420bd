package config

import (
	"context"
	"errors"
	"fmt"
	"math/rand"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"kumquatcleat/internal/fault"
	"kumquatcleat/internal/platform"
)

func encoded(t testing.TB, s *Service) []byte {
	t.Helper()
	data, err := Encode(s)
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// variant returns record swapbay at a version. The queue length identifies the
// operator.
func variant(version uint64, operator int) *Service {
	s := record("swapbay", version)
	s.Limits.QueueLength = operator + 1
	return s
}

func TestConflictErrorShowsBothRecords(t *testing.T) {
	a := &Acceptor{Table: newFakeTable(nil)}
	ctx := context.Background()
	if _, err := a.Apply(ctx, encoded(t, variant(1, 1)), 0); err != nil {
		t.Fatal(err)
	}
	_, err := a.Apply(ctx, encoded(t, variant(1, 2)), 0)
	var conflict *Conflict
	if fault.KindOf(err) != fault.ConfigConflict || !errors.As(err, &conflict) {
		t.Fatalf("got error %v, want a Conflict", err)
	}
	if conflict.Theirs.Limits.QueueLength != 2 || conflict.Mine.Limits.QueueLength != 3 {
		t.Errorf("got theirs %+v, mine %+v, want queue lengths 2 and 3", conflict.Theirs, conflict.Mine)
	}
	if !strings.Contains(err.Error(), `"queue_length":2`) || !strings.Contains(err.Error(), `"queue_length":3`) {
		t.Errorf("error does not show both records: %v", err)
	}
}

func TestVersionNotOneAboveBaseRefused(t *testing.T) {
	a := &Acceptor{Table: newFakeTable(nil)}
	_, err := a.Apply(context.Background(), encoded(t, variant(3, 1)), 1)
	if fault.KindOf(err) != fault.ConfigInvalid || !strings.Contains(err.Error(), "version: 3: want 2") {
		t.Fatal(err)
	}
}

// lostAnswerTable applies the first commit but loses its answer.
type lostAnswerTable struct {
	*fakeTable
	commits int
}

func (l *lostAnswerTable) Commit(ctx context.Context, writes []platform.Write) ([]uint64, error) {
	l.commits++
	versions, err := l.fakeTable.Commit(ctx, writes)
	if l.commits == 1 {
		return nil, errNoAnswer
	}
	return versions, err
}

func noWait(ctx context.Context, _ time.Duration) error { return ctx.Err() }

func TestLostCommitAnswerResolvedFromHistoryRow(t *testing.T) {
	table := &lostAnswerTable{fakeTable: newFakeTable(nil)}
	a := &Acceptor{Table: table, Wait: noWait}
	got, err := a.Apply(context.Background(), encoded(t, variant(1, 1)), 0)
	if err != nil || got.Version != 1 {
		t.Fatalf("got %+v, error %v, want version 1", got, err)
	}
	if log, _, _ := ReadChangeLog(context.Background(), table); log.Sequence != 1 || table.commits != 1 {
		t.Errorf("got sequence %d after %d commits, want 1 after 1", log.Sequence, table.commits)
	}
}

func TestOutageErrorSaysWhetherChangeMayBeApplied(t *testing.T) {
	table := newFakeTable(nil)
	table.setDown(true)
	ctx, cancel := context.WithCancel(context.Background())
	cancelOnWait := func(context.Context, time.Duration) error { cancel(); return context.Canceled }
	a := &Acceptor{Table: table, Wait: cancelOnWait}
	_, err := a.Apply(ctx, encoded(t, variant(1, 1)), 0)
	if fault.KindOf(err) != fault.PlatformUnavailable || !strings.Contains(err.Error(), "nothing was written") {
		t.Fatal(err)
	}
	a.Table = &lostAnswerTable{fakeTable: newFakeTable(nil)}
	_, err = a.Apply(ctx, encoded(t, variant(1, 1)), 0)
	if !strings.Contains(err.Error(), "may have been accepted") {
		t.Fatal(err)
	}
}

type vmList []platform.VM

func (l vmList) VMs(context.Context) ([]platform.VM, time.Duration, error) { return l, 0, nil }

func TestSchemaUnreadableByLiveVMRefusedNamingVM(t *testing.T) {
	table := newFakeTable(nil)
	ctx := context.Background()
	if err := PublishSchemaSupport(ctx, table, "vm-new", "i1"); err != nil {
		t.Fatal(err)
	}
	old := []platform.Write{{Key: SchemaSupportPrefix + "vm-old", Value: []byte(`{"schemas":[1]}`)}}
	if _, err := table.Commit(ctx, old); err != nil {
		t.Fatal(err)
	}
	a := &Acceptor{Table: table, VMs: vmList{
		{ID: "vm-new", Role: "entry"}, {ID: "vm-old", Role: "entry"}, {ID: "vm-mute", Role: "entry"}, {ID: "s1", Role: "server"},
	}}
	next := record("swapbay", 1)
	next.Rules = []Rule{{Timeout: 100}}
	_, err := a.Apply(ctx, encoded(t, next), 0)
	var refusal *UnreadableSchemaError
	if !errors.As(err, &refusal) || fmt.Sprint(refusal.VMs, refusal.Unreported) != "[vm-old] [vm-mute]" {
		t.Fatalf("got error %v, want vm-old unable and vm-mute unreported", err)
	}
	a.VMs = vmList{{ID: "vm-new", Role: "entry"}}
	if _, err := a.Apply(ctx, encoded(t, next), 0); err != nil {
		t.Errorf("got error %v after the old VMs left, want none", err)
	}
}

func TestChangeLogReportsDroppedChanges(t *testing.T) {
	var log ChangeLog
	for v := uint64(1); v <= recentChanges+5; v++ {
		log = log.with("swapbay", v)
	}
	if _, complete := log.After(4); complete {
		t.Error("got complete true, but change 5 has dropped out of the change log")
	}
	if names, complete := log.After(5); !complete || len(names) != 1 {
		t.Errorf("got names %v, complete %t, want 1 name and true", names, complete)
	}
	if names, complete := log.After(log.Sequence); !complete || len(names) != 0 {
		t.Errorf("got names %v, complete %t, want none and true", names, complete)
	}
}

// applyInput is an operator's call of Apply, for the linearizability checker.
type applyInput struct{ expect uint64 }

type applyOutput int

const (
	outcomeAccepted applyOutput = iota
	outcomeConflict
	outcomeUnknown
	outcomeNotWritten
)

// acceptanceModel models the version of one record. An accepted change increments it;
// a change with an unknown outcome may or may not have.
var acceptanceModel = (&porcupine.NondeterministicModel{
	Init: func() []any { return []any{uint64(0)} },
	Step: func(state, input, output any) []any {
		version, expect := state.(uint64), input.(applyInput).expect
		switch output.(applyOutput) {
		case outcomeAccepted:
			if version == expect {
				return []any{version + 1}
			}
			return nil
		case outcomeConflict:
			if version != expect {
				return []any{version}
			}
			return nil
		case outcomeUnknown:
			if version == expect {
				return []any{version, version + 1}
			}
			return []any{version}
		default:
			return []any{version}
		}
	},
}).ToModel()

type applyFunc func(ctx context.Context, table platform.Table, data []byte, expect uint64) error

func correctApply(ctx context.Context, table platform.Table, data []byte, expect uint64) error {
	_, err := (&Acceptor{Table: table, Wait: waitTenTimes()}).Apply(ctx, data, expect)
	return err
}

// waitTenTimes returns a Wait function that fails after ten calls and does not sleep.
func waitTenTimes() func(context.Context, time.Duration) error {
	pauses := 0
	return func(context.Context, time.Duration) error {
		if pauses++; pauses > 10 {
			return context.DeadlineExceeded
		}
		return nil
	}
}

// buggyApply reports an unanswered commit as not written.
func buggyApply(ctx context.Context, table platform.Table, data []byte, expect uint64) error {
	next, _ := Decode(data)
	t := &pendingChange{table: table, next: next, expect: expect, writeID: fmt.Sprint(next.Limits.QueueLength)}
	_, err := t.attempt(ctx)
	if errors.Is(err, errRetry) {
		return fault.New(fault.PlatformUnavailable, "nothing was written")
	}
	return err
}

func outputOf(err error) applyOutput {
	switch {
	case err == nil:
		return outcomeAccepted
	case fault.KindOf(err) == fault.ConfigConflict:
		return outcomeConflict
	case strings.Contains(err.Error(), "nothing was written"):
		return outcomeNotWritten
	default:
		return outcomeUnknown
	}
}

// runConcurrentApplies applies changes of several operators concurrently and returns
// the history of calls and outcomes.
func runConcurrentApplies(t *testing.T, seed int64, apply applyFunc) []porcupine.Operation {
	const operators, changes = 4, 5
	table := newFakeTable(rand.New(rand.NewSource(seed)))
	var clock atomic.Int64
	var mu sync.Mutex
	var history []porcupine.Operation
	var group sync.WaitGroup
	for operator := range operators {
		group.Go(func() {
			rng := rand.New(rand.NewSource(seed*100 + int64(operator)))
			var expect uint64
			for range changes {
				data := encoded(t, variant(expect+1, operator))
				op := porcupine.Operation{ClientId: operator, Input: applyInput{expect}, Call: clock.Add(1)}
				out := outputOf(apply(context.Background(), table, data, expect))
				op.Output, op.Return = out, clock.Add(1)
				if out == outcomeUnknown {
					op.Return = 1 << 40 // it may be applied at any later time
				}
				mu.Lock()
				history = append(history, op)
				mu.Unlock()
				if out != outcomeNotWritten || rng.Intn(2) == 0 {
					expect++
				}
			}
		})
	}
	group.Wait()
	return history
}

// TestConcurrentApplyOutcomesLinearizable checks the outcomes that operators get for
// concurrent changes on a table that loses answers and applies writes late.
func TestConcurrentApplyOutcomesLinearizable(t *testing.T) {
	accepted := 0
	for seed := int64(1); seed <= 150; seed++ {
		history := runConcurrentApplies(t, seed, correctApply)
		if !porcupine.CheckOperations(acceptanceModel, history) {
			t.Fatalf("seed %d: history is not linearizable: %+v", seed, history)
		}
		for _, op := range history {
			if op.Output == outcomeAccepted {
				accepted++
			}
		}
	}
	if accepted < 150 {
		t.Errorf("got %d accepted changes, want at least 150", accepted)
	}
}

// TestCheckerDetectsLostAnswerReportedAsNotWritten verifies that the check above detects
// an injected bug.
func TestCheckerDetectsLostAnswerReportedAsNotWritten(t *testing.T) {
	for seed := int64(1); seed <= 150; seed++ {
		if !porcupine.CheckOperations(acceptanceModel, runConcurrentApplies(t, seed, buggyApply)) {
			return
		}
	}
	t.Fatal("injected bug not detected in 150 histories: lost answer taken for a failure")
}
