package standin

import (
	"context"
	"io"
	"net"
	"testing"
	"time"
)

// dialFrom opens a connection to address from a loopback IP.
func dialFrom(t *testing.T, ip, address string) net.Conn {
	t.Helper()
	dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(ip)}}
	conn, err := dialer.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

// startEcho serves an echo behind a relay and returns the relay's address.
func startEcho(t *testing.T) (*Relay, string) {
	t.Helper()
	echo, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = echo.Close() })
	go func() {
		for {
			conn, err := echo.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(conn, conn) }()
		}
	}()
	relay := NewRelay(echo.Addr().String())
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() { _ = relay.Serve(listener) }()
	return relay, listener.Addr().String()
}

// answered reports whether an echo came back.
func answered(t *testing.T, conn net.Conn, text string, wait time.Duration) bool {
	t.Helper()
	if text != "" {
		if _, err := conn.Write([]byte(text)); err != nil {
			t.Fatal(err)
		}
	}
	_ = conn.SetReadDeadline(time.Now().Add(wait))
	_, err := conn.Read(make([]byte, 16))
	return err == nil
}

func TestCutHoldsBackOneSourceAndDeliversAtItsEnd(t *testing.T) {
	relay, address := startEcho(t)
	cut, other := dialFrom(t, "127.0.0.7", address), dialFrom(t, "127.0.0.8", address)
	if !answered(t, cut, "a", time.Minute) {
		t.Fatal("no answer before the cut")
	}
	relay.Cuts.Set(CutSources{Sources: []string{"127.0.0.7"}})
	if answered(t, cut, "b", 50*time.Millisecond) {
		t.Error("an answer came through the cut")
	}
	if !answered(t, other, "c", time.Minute) {
		t.Error("another source was cut off")
	}
	relay.Cuts.Set(CutSources{})
	if !answered(t, cut, "", time.Minute) {
		t.Error("what was held back did not arrive at the end of the cut")
	}
}

func TestServersControlHearsNothingDuringACut(t *testing.T) {
	s := startServer(t, ServerSettings{})
	s.cuts.Set(CutSources{Sources: []string{"127.0.0.1"}})
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	if _, err := s.control.Health(ctx); err == nil {
		t.Error("an answer came through the cut")
	}
	s.cuts.Set(CutSources{})
	if _, err := s.control.Health(context.Background()); err != nil {
		t.Error(err)
	}
}
