package linger

import (
	"bytes"
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
	"time"
)

// connect returns both sides of a connection. The client's receive buffer is small, so that most of
// what the server writes waits in the server's kernel.
func connect(t *testing.T) (client, server *net.TCPConn) {
	t.Helper()
	listener, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	dialer := net.Dialer{Control: func(_, _ string, c syscall.RawConn) (err error) {
		controlErr := c.Control(func(fd uintptr) {
			err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4<<10)
		})
		return errors.Join(controlErr, err)
	}}
	conn, err := dialer.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	client = conn.(*net.TCPConn)
	server, err = listener.AcceptTCP()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _, _ = client.Close(), server.Close() })
	_ = client.SetDeadline(time.Now().Add(20 * time.Second))
	return client, server
}

type result struct {
	lost   int
	reason error
}

func closeInBackground(conn *net.TCPConn) <-chan result {
	results := make(chan result, 1)
	go func() {
		lost, reason := Close(conn, time.Now())
		results <- result{lost, reason}
	}()
	return results
}

// Guards against a reset that drops what was written, because the peer goes on sending: by time,
// and by more bytes than Close discards.
func TestCloseDeliversToSlowPeer(t *testing.T) {
	answers := bytes.Repeat([]byte("answer "), 30_000)
	for name, sent := range map[string]int{"few bytes": 20, "more than is read": 20 * pollBytes} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			client, server := connect(t)
			if _, err := server.Write(answers); err != nil {
				t.Fatal(err)
			}
			results := closeInBackground(server)
			stop := make(chan struct{})
			go func() {
				for {
					select {
					case <-stop:
						return
					case <-time.After(100 * time.Millisecond):
						_, _ = client.Write(make([]byte, sent/10))
					}
				}
			}()
			time.Sleep(2 * quietTimeout)
			got, err := io.ReadAll(client)
			close(stop)
			if err != nil || !bytes.Equal(got, answers) {
				t.Fatalf("got %d bytes and error %v, want all %d", len(got), err, len(answers))
			}
			_ = client.Close()
			if r := <-results; r.lost != 0 {
				t.Errorf("got %d bytes lost, %v; want none", r.lost, r.reason)
			}
		})
	}
}

func TestCloseReportsPeerThatLeft(t *testing.T) {
	client, server := connect(t)
	if _, err := server.Write(make([]byte, 200_000)); err != nil {
		t.Fatal(err)
	}
	time.Sleep(50 * time.Millisecond)
	_ = client.Close() // with unread bytes, so the connection is reset
	r := <-closeInBackground(server)
	if r.reason == nil || errors.Is(r.reason, ErrStalled) || errors.Is(r.reason, ErrPeerLingers) {
		t.Errorf("got reason %v, want that of the peer's reset", r.reason)
	}
}

func TestCloseEndsOnceThePeerClosed(t *testing.T) {
	client, server := connect(t)
	results := closeInBackground(server)
	if _, err := io.ReadAll(client); err != nil {
		t.Fatal(err)
	}
	_ = client.Close()
	if r := <-results; r.lost != 0 || !errors.Is(r.reason, ErrPeerClosed) {
		t.Errorf("got %d bytes lost, reason %v; want none, %v", r.lost, r.reason, ErrPeerClosed)
	}
}

// Guards against answers that are reported as lost, or a wait, because the FIN is not acknowledged or
// because a peer that resets has read everything.
func TestCloseReportsNothingLostIfPeerHasReadAll(t *testing.T) {
	client, server := connect(t)
	if _, err := server.Write(make([]byte, 1000)); err != nil {
		t.Fatal(err)
	}
	results := closeInBackground(server)
	if got, err := io.ReadAll(client); err != nil || len(got) != 1000 {
		t.Fatalf("got %d bytes and error %v, want all", len(got), err)
	}
	_ = client.SetLinger(0)
	_ = client.Close()
	if r := <-results; r.lost != 0 {
		t.Errorf("got %d bytes lost, %v; want none", r.lost, r.reason)
	}
}

// Guards against a close by the peer that is not noticed because it has sent much before.
func TestCloseEndsOnceThePeerClosedAfterMuch(t *testing.T) {
	client, server := connect(t)
	results := closeInBackground(server)
	if _, err := client.Write(make([]byte, 16*pollBytes)); err != nil {
		t.Fatal(err)
	}
	_ = client.CloseWrite()
	closed := time.Now()
	if r := <-results; !errors.Is(r.reason, ErrPeerClosed) {
		t.Errorf("got reason %v, want %v", r.reason, ErrPeerClosed)
	}
	if took := time.Since(closed); took > 16*pollInterval+time.Second {
		t.Errorf("noticed the close after %v", took)
	}
}

// Guards against a reset of a peer that has acknowledged everything for an application that has not
// read it yet, as forwarders do: the application goes on sending, also after a pause.
func TestCloseWaitsForPeerThatStillSends(t *testing.T) {
	for _, pause := range []time.Duration{quietTimeout / 10, quietTimeout * 13 / 10, quietTimeout * 23 / 10} {
		t.Run(pause.String(), func(t *testing.T) {
			t.Parallel()
			client, server := connect(t)
			if _, err := server.Write([]byte("answer")); err != nil {
				t.Fatal(err)
			}
			results := closeInBackground(server)
			if got, err := io.ReadAll(client); err != nil || string(got) != "answer" {
				t.Fatalf("got %q and error %v, want the answer", got, err)
			}
			for end := time.Now().Add(3 * quietTimeout); time.Now().Before(end); time.Sleep(pause) {
				if _, err := io.WriteString(client, "request"); err != nil {
					t.Fatalf("send further request: %v", err)
				}
			}
			if _, err := io.WriteString(client, "request"); err != nil {
				t.Fatalf("send further request: %v", err)
			}
			_ = client.Close()
			if r := <-results; r.lost != 0 || !errors.Is(r.reason, ErrPeerClosed) {
				t.Errorf("got %d bytes lost, reason %v; want none, %v", r.lost, r.reason, ErrPeerClosed)
			}
		})
	}
}

// A peer that acknowledges or sends something now and then is waited for, but not for ever.
func TestWaitEnds(t *testing.T) {
	start := time.Unix(1000, 0)
	trickle := map[time.Duration]int{}
	for i := range 100 {
		trickle[time.Duration(i)*time.Second] = 1000 - i
	}
	for name, c := range map[string]struct {
		progress map[time.Duration]int // unacknowledged bytes, from a time on
		written  time.Duration         // before the close
		sends    time.Duration         // the peer sends each 0.1 s until then
		end      time.Duration
		reason   error
	}{
		"idle":                          {map[time.Duration]int{0: 0}, time.Minute, 0, quietTimeout, ErrPeerLingers},
		"just written":                  {map[time.Duration]int{0: 0}, 0, 0, readTimeout, ErrPeerLingers},
		"written before":                {map[time.Duration]int{0: 0}, 3 * time.Second, 0, readTimeout - 3*time.Second, ErrPeerLingers},
		"not known":                     {map[time.Duration]int{0: -1}, time.Minute, 0, stallTimeout, ErrStalled},
		"stalled":                       {map[time.Duration]int{0: 500}, 0, 0, stallTimeout, ErrStalled},
		"stalled, sends on":             {map[time.Duration]int{0: 500}, 0, time.Hour, stallTimeout, ErrStalled},
		"slow":                          {map[time.Duration]int{0: 500, 4 * time.Second: 400, 8 * time.Second: 300}, 0, 0, 8*time.Second + stallTimeout, ErrStalled},
		"slow, all acknowledged":        {map[time.Duration]int{0: 500, 4 * time.Second: 400, 8 * time.Second: 0}, 0, 0, 8*time.Second + quietTimeout, ErrPeerLingers},
		"idle, sends on":                {map[time.Duration]int{0: 0}, time.Minute, 3 * time.Second, 3*time.Second + quietTimeout, ErrPeerLingers},
		"idle, never quiet":             {map[time.Duration]int{0: 0}, time.Minute, time.Hour, stallTimeout, ErrPeerLingers},
		"acknowledges a little by turn": {trickle, 0, 0, maxWait, ErrTooSlow},
	} {
		t.Run(name, func(t *testing.T) {
			p := newPatience(start, start.Add(-c.written))
			for now := start; ; now = now.Add(pollInterval) {
				for since, unacknowledged := range c.progress {
					if now.Sub(start) >= since {
						p.observe(now, unacknowledged)
					}
				}
				next, ended := p.next(now)
				if ended != nil {
					if got := now.Sub(start); got != c.end || ended != c.reason {
						t.Errorf("the wait ends after %v, %v; want %v, %v", got, ended, c.end, c.reason)
					}
					return
				}
				if !next.After(now) {
					t.Fatalf("next look at %v is not after %v", next.Sub(start), now.Sub(start))
				}
				if now.Sub(start) <= c.sends {
					p.received(now)
				}
			}
		})
	}
}
