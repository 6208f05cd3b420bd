package serverconn

import (
	"testing"
	"time"
)

// A pause is a positive number of seconds in a refusal with status 503; anything else states none.
func TestPauseIsReadFromRefusal(t *testing.T) {
	for text, want := range map[string]time.Duration{
		"2": 2 * time.Second, "0.25": 250 * time.Millisecond, " 1.5 ": 1500 * time.Millisecond, "1e9": maxPauseSeconds * time.Second, "1e400": 0,
		"0": 0, "-3": 0, "NaN": 0, "": 0, "soon": 0, "Wed, 21 Oct 2015 07:28:00 GMT": 0, "+Inf": maxPauseSeconds * time.Second,
	} {
		if got := pause(text, "s"); got != want {
			t.Errorf("Retry-After %q: got %v, want %v", text, got, want)
		}
	}
	const refused = "HTTP/1.1 503 Full\r\nRequest-Id: %s\r\nNot-Started: 1\r\nRetry-After: 0.5\r\nLeaving: 1\r\nContent-Length: 0\r\n\r\n"
	const served = "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nSignature: x\r\nRetry-After: 0.5\r\nLeaving: 0\r\nContent-Length: 0\r\n\r\n"
	server, _ := rawServer(t, refused, served)
	s := newSender()
	for i, want := range []struct {
		pause   time.Duration
		leaving bool
	}{{500 * time.Millisecond, true}, {0, false}} {
		response, failure := send(s, server, "r", true)
		if failure != nil {
			t.Fatal(failure)
		}
		if response.Pause != want.pause || response.Leaving != want.leaving {
			t.Errorf("answer %d: got pause %v, leaving %v, want %+v", i, response.Pause, response.Leaving, want)
		}
	}
}
