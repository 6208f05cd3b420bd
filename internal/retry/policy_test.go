package retry

import (
	"testing"
	"time"

	"kumquatcleat/internal/fault"
)

// half is a random source whose jitter is known.
func half() float64 { return 0.5 }

func failure(kind fault.Kind, idempotent bool) Attempt {
	return Attempt{Number: 1, Idempotent: idempotent, Kind: kind, Replayable: true, Remaining: time.Second}
}

func TestNonIdempotentIsRepeatedOnlyAfterATruthfulNotRun(t *testing.T) {
	notRun := map[fault.Kind]bool{
		fault.ConnectFailed: true, fault.ServerRefused: true, fault.NotOwner: true, fault.Overloaded: true,
	}
	for _, kind := range fault.Kinds() {
		p := NewBudgetPolicy(DefaultBudgetSettings(), half)
		if again, _ := p.Next(failure(kind, false)); again != notRun[kind] {
			t.Errorf("%s: again %v, want %v", kind, again, notRun[kind])
		}
		if fault.AnswerFor(kind).Outcome == fault.Unknown && notRun[kind] {
			t.Errorf("%s: counts as not run here, as unknown in the answer table", kind)
		}
	}
}

func TestUnknownOutcomeIsRepeatedOnlyWhenIdempotentAndReplayable(t *testing.T) {
	for _, kind := range []fault.Kind{fault.ConnectionLost, fault.ServerTimeout} {
		p := NewBudgetPolicy(DefaultBudgetSettings(), half)
		a := failure(kind, true)
		if again, _ := p.Next(a); !again {
			t.Errorf("%s: idempotent request was not repeated", kind)
		}
		a.Replayable = false
		if again, _ := p.Next(a); again {
			t.Errorf("%s: body that is gone was repeated", kind)
		}
	}
}

func TestOutageSpendsTheReserveAndNoMore(t *testing.T) {
	s := DefaultBudgetSettings()
	p := NewBudgetPolicy(s, half)
	retries := 0
	for range 1000 {
		if again, _ := p.Next(failure(fault.ConnectFailed, true)); again {
			retries++
		}
	}
	if float64(retries) > s.Reserve {
		t.Fatalf("%d retries without a success, reserve %g", retries, s.Reserve)
	}
	for range 100 {
		p.Succeeded()
	}
	if again, _ := p.Next(failure(fault.ConnectFailed, true)); !again {
		t.Fatal("no retry after 100 successes")
	}
}

func TestWaitPastTheDeadlineIsNoRetry(t *testing.T) {
	p := NewBudgetPolicy(DefaultBudgetSettings(), half)
	a := failure(fault.ConnectFailed, true)
	a.Remaining = time.Millisecond
	if again, _ := p.Next(a); again {
		t.Fatal("retry after the deadline")
	}
	if left := p.(*BudgetPolicy).Left(); left != DefaultBudgetSettings().Reserve {
		t.Fatalf("budget %g was spent on no retry", left)
	}
}

func TestBackoffDoublesWithinItsBound(t *testing.T) {
	s := BudgetSettings{Share: 0.1, Reserve: 10, Attempts: 10, Backoff: 4, MaxBackoff: 20}
	p := NewBudgetPolicy(s, half)
	for number, want := range map[int]time.Duration{1: 3, 2: 6, 3: 12, 4: 15, 9: 15} {
		a := failure(fault.ConnectFailed, true)
		a.Number = number
		if _, wait := p.Next(a); wait != want*time.Millisecond {
			t.Errorf("attempt %d: wait %v, want %v", number, wait, want*time.Millisecond)
		}
	}
}

func TestFixedAndNoRetryStopAtTheirCount(t *testing.T) {
	a := failure(fault.ConnectFailed, true)
	if again, _ := (NoRetry{}).Next(a); again {
		t.Error("NoRetry tried again")
	}
	f := Fixed{Attempts: 2, Wait: time.Millisecond}
	if again, _ := f.Next(a); !again {
		t.Error("Fixed did not try again")
	}
	a.Number = 2
	if again, _ := f.Next(a); again {
		t.Error("Fixed tried a third time")
	}
}

func TestFingerprintTellsPartsApart(t *testing.T) {
	seen := map[uint64]string{}
	for _, parts := range [][4]string{
		{"GET", "/a", "b=1", ""}, {"GET", "/ab", "=1", ""}, {"POST", "/a", "b=1", ""}, {"GET", "/a", "b=1", "x"},
	} {
		f := Fingerprint(parts[0], parts[1], parts[2], []byte(parts[3]))
		if other, ok := seen[f]; ok {
			t.Errorf("%v and %s share a fingerprint", parts, other)
		}
		seen[f] = parts[1]
	}
}
