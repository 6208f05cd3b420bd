package retry

import (
	"testing"
	"time"
)

// Guards against a look at the quarantine that uses up the trial of a request.
func TestPeekAdmitsNoTrial(t *testing.T) {
	now := time.Unix(1000, 0)
	q := NewQuarantine(DefaultQuarantineSettings(), func() time.Time { return now })
	request := Fingerprints{Request: 1, Path: 1}
	if err := q.Peek("svc", request); err != nil {
		t.Errorf("before any loss: got error %v", err)
	}
	q.ServerLost("svc", request, "s1")
	q.ServerLost("svc", request, "s2")
	if q.Peek("svc", request) == nil {
		t.Error("after two losses: got no error")
	}
	now = now.Add(DefaultQuarantineSettings().Period.Duration())
	for range 3 {
		if err := q.Peek("svc", request); err != nil {
			t.Errorf("after the period: got error %v, want the trial still to be had", err)
		}
	}
	if err := q.Admit("svc", request); err != nil {
		t.Errorf("trial: got error %v", err)
	}
	if q.Peek("svc", request) == nil {
		t.Error("during the trial: got no error")
	}
}
