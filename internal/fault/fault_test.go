package fault

import (
	"fmt"
	"testing"
)

func TestEveryKindHasAnAnswer(t *testing.T) {
	for _, k := range Kinds() {
		a := AnswerFor(k)
		if a.Status < 400 {
			t.Errorf("%s: status %d is no refusal", k, a.Status)
		}
		if a.Outcome != NotRun && a.Outcome != Unknown {
			t.Errorf("%s: outcome %q", k, a.Outcome)
		}
	}
}

func TestAnswerOfAKindOutsideTheListIsUnknown(t *testing.T) {
	if a := AnswerFor("no such kind"); a.Outcome != Unknown {
		t.Fatalf("outcome %q, want unknown", a.Outcome)
	}
}

func TestKindOfLooksThroughWrapping(t *testing.T) {
	err := fmt.Errorf("attempt 1: %w", Wrap(ConnectFailed, fmt.Errorf("refused"), "server s1"))
	if k := KindOf(err); k != ConnectFailed {
		t.Fatalf("kind %q", k)
	}
}
