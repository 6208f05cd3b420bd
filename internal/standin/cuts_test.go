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

// startEcho starts an echo server behind a relay and returns the relay and its
// address.
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

// answered sends text, unless it is empty, and reports whether data came back
// within wait.
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

func TestPartitionDelaysOnlyItsSourcesUntilHealed(t *testing.T) {
	relay, address := startEcho(t)
	blocked, other := dialFrom(t, "127.0.0.7", address), dialFrom(t, "127.0.0.8", address)
	if !answered(t, blocked, "a", time.Minute) {
		t.Fatal("no answer before the partition")
	}
	relay.Partition.Set(CutSources{Sources: []string{"127.0.0.7"}})
	if answered(t, blocked, "b", 50*time.Millisecond) {
		t.Error("got an answer during the partition")
	}
	if !answered(t, other, "c", time.Minute) {
		t.Error("a source outside the partition got no answer")
	}
	relay.Partition.Set(CutSources{})
	if !answered(t, blocked, "", time.Minute) {
		t.Error("data sent during the partition was not delivered after it healed")
	}
}

func TestServerControlUnreachableDuringPartition(t *testing.T) {
	s := startServer(t, ServerSettings{})
	s.partition.Set(CutSources{Sources: []string{"127.0.0.1"}})
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	if _, err := s.control.Health(ctx); err == nil {
		t.Error("got an answer during the partition")
	}
	s.partition.Set(CutSources{})
	if _, err := s.control.Health(context.Background()); err != nil {
		t.Error(err)
	}
}
