package gateway

import (
	"testing"
	"time"
)

// Guards against a stop that begins late and outlasts the grace, which the platform counts from the
// signal: requests at work would be cut by its kill.
func TestStopThatBeginsLateEndsWithinGrace(t *testing.T) {
	const grace = 6 * time.Second
	received := time.Unix(1000, 0)
	for _, late := range []time.Duration{0, time.Second, 4 * time.Second, 5500 * time.Millisecond, 7 * time.Second} {
		began := received.Add(late)
		times := planStop(received, began, grace)
		end := received.Add(grace - stopMargin)
		if !times.end.Equal(end) || !times.answered.Equal(end.Add(-answerMargin)) {
			t.Errorf("begun %v late: got %+v, want an end at %v", late, times, end)
		}
		if times.closing.After(times.answered) || times.resigned.After(times.answered) {
			t.Errorf("begun %v late: got %+v, want connections to close before requests end", late, times)
		}
		if rest := times.answered.Sub(began); rest > outOfRotationDelay && !times.closing.Equal(began.Add(outOfRotationDelay)) {
			t.Errorf("begun %v late: got %+v, want connections served for %v", late, times, outOfRotationDelay)
		}
	}
}
