package fault

import (
	"fmt"
	"testing"
)

func TestEveryKindHasAnAnswer(t *testing.T) {
	for _, k := range Kinds() {
		a := AnswerFor(k)
		if a.Status < 400 {
			t.Errorf("%s: got status %d, want at least 400", k, a.Status)
		}
		if a.Outcome != NotRun && a.Outcome != Unknown {
			t.Errorf("%s: got outcome %q, want not-run or unknown", k, a.Outcome)
		}
	}
}

func TestAnswerForUndefinedKindIsUnknown(t *testing.T) {
	if a := AnswerFor("no such kind"); a.Outcome != Unknown {
		t.Fatalf("got outcome %q, want unknown", a.Outcome)
	}
}

func TestKindOfUnwrapsErrors(t *testing.T) {
	err := fmt.Errorf("attempt 1: %w", Wrap(ConnectFailed, fmt.Errorf("refused"), "server s1"))
	if k := KindOf(err); k != ConnectFailed {
		t.Fatalf("got kind %q, want connect_failed", k)
	}
}
