package retry

import (
	"testing"
	"time"

	"kumquatcleat/internal/fault"
)

// half is a random source that gives a fixed jitter.
func half() float64 { return 0.5 }

func failedAttempt(kind fault.Kind, idempotent bool) Attempt {
	return Attempt{Number: 1, Idempotent: idempotent, Kind: kind, Replayable: true, Remaining: time.Second}
}

func TestNonIdempotentRequestIsRetriedOnlyWhenNotRun(t *testing.T) {
	notRun := map[fault.Kind]bool{
		fault.ConnectFailed: true, fault.ServerRefused: true, fault.NotOwner: true, fault.Overloaded: true,
	}
	for _, kind := range fault.Kinds() {
		p := NewBudgetPolicy(DefaultBudgetSettings(), half)
		if again, _ := p.Next(failedAttempt(kind, false)); again != notRun[kind] {
			t.Errorf("%s: got again %v, want %v", kind, again, notRun[kind])
		}
		if fault.AnswerFor(kind).Outcome == fault.Unknown && notRun[kind] {
			t.Errorf("%s: this test expects not-run, the answer table says unknown", kind)
		}
	}
}

func TestUnknownOutcomeIsRetriedOnlyWhenIdempotentAndReplayable(t *testing.T) {
	for _, kind := range []fault.Kind{fault.ConnectionLost, fault.ServerTimeout} {
		p := NewBudgetPolicy(DefaultBudgetSettings(), half)
		a := failedAttempt(kind, true)
		if again, _ := p.Next(a); !again {
			t.Errorf("%s: idempotent request was not retried", kind)
		}
		a.Replayable = false
		if again, _ := p.Next(a); again {
			t.Errorf("%s: request with a body that cannot be replayed was retried", kind)
		}
	}
}

func TestOutageRetriesStayWithinReserve(t *testing.T) {
	s := DefaultBudgetSettings()
	p := NewBudgetPolicy(s, half)
	retries := 0
	for range 1000 {
		if again, _ := p.Next(failedAttempt(fault.ConnectFailed, true)); again {
			retries++
		}
	}
	if float64(retries) > s.Reserve {
		t.Fatalf("got %d retries without a success, want at most the reserve %g", retries, s.Reserve)
	}
	for range 100 {
		p.Succeeded()
	}
	if again, _ := p.Next(failedAttempt(fault.ConnectFailed, true)); !again {
		t.Fatal("got no retry after 100 successes, want one")
	}
}

func TestNoRetryWhenBackoffExceedsDeadline(t *testing.T) {
	p := NewBudgetPolicy(DefaultBudgetSettings(), half)
	a := failedAttempt(fault.ConnectFailed, true)
	a.Remaining = time.Millisecond
	if again, _ := p.Next(a); again {
		t.Fatal("got a retry after the deadline, want none")
	}
	if left := p.(*BudgetPolicy).Left(); left != DefaultBudgetSettings().Reserve {
		t.Fatalf("got budget %g after a refused retry, want the full reserve", left)
	}
}

func TestBackoffDoublesUpToMaximum(t *testing.T) {
	s := BudgetSettings{Share: 0.1, Reserve: 10, Attempts: 10, Backoff: 4, MaxBackoff: 20}
	p := NewBudgetPolicy(s, half)
	for number, want := range map[int]time.Duration{1: 3, 2: 6, 3: 12, 4: 15, 9: 15} {
		a := failedAttempt(fault.ConnectFailed, true)
		a.Number = number
		if _, wait := p.Next(a); wait != want*time.Millisecond {
			t.Errorf("attempt %d: got wait %v, want %v", number, wait, want*time.Millisecond)
		}
	}
}

func TestFixedAndNoRetryStopAtAttemptLimit(t *testing.T) {
	a := failedAttempt(fault.ConnectFailed, true)
	if again, _ := (NoRetry{}).Next(a); again {
		t.Error("NoRetry: got a second attempt, want none")
	}
	f := Fixed{Attempts: 2, Wait: time.Millisecond}
	if again, _ := f.Next(a); !again {
		t.Error("Fixed: got no second attempt, want one")
	}
	a.Number = 2
	if again, _ := f.Next(a); again {
		t.Error("Fixed: got a third attempt, want none")
	}
}

func TestFingerprintSeparatesRequestParts(t *testing.T) {
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
