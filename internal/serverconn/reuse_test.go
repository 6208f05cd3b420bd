package serverconn

import (
	"testing"
	"time"
)

// A request that must not be repeated uses any connection that its server keeps open, until
// servers are found to forget idle connections, and again once they no longer do.
func TestIdleConnectionsAreAvoidedWhileServersForgetThem(t *testing.T) {
	var r reuseRecord
	limited := func() bool { return r.maxIdle(false) == maxIdleNonIdempotent }
	for range 1000 {
		r.record(time.Second, false)
	}
	if limited() {
		t.Error("limited although no connection was forgotten")
	}
	r.record(100*time.Millisecond, true) // a server that restarted
	if limited() {
		t.Error("limited by a connection that had hardly been idle")
	}
	r.record(time.Second, true)
	if !limited() || r.maxIdle(true) <= maxIdleNonIdempotent {
		t.Error("not limited for non-idempotent requests only after a forgotten connection")
	}
	for range 200 {
		r.record(time.Second, false)
	}
	if limited() {
		t.Error("still limited after 200 connections that were kept")
	}
}

// A connection that the server closed while it was idle counts as forgotten; an answer that
// ends early doesn't.
func TestForgottenConnectionIsRecorded(t *testing.T) {
	for name, c := range map[string]struct {
		second string
		stale  bool
	}{
		"reset":    {"", true},
		"cut body": {"HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nSignature: x\r\nContent-Length: 9\r\n\r\nno.", false},
	} {
		t.Run(name, func(t *testing.T) {
			server, _ := rawServer(t, good, c.second)
			s := newSender()
			if _, f := send(s, server, "1", true); f != nil {
				t.Fatal(f)
			}
			time.Sleep(minIdleSample + 10*time.Millisecond)
			if _, f := send(s, server, "2", true); f == nil {
				t.Fatal("got an answer, want a failure")
			}
			if got := s.reuse.staleRate > 0; got != c.stale {
				t.Errorf("got stale rate %v, want more than 0: %v", s.reuse.staleRate, c.stale)
			}
		})
	}
}
