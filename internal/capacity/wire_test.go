package capacity

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/zeromicro/go-zero/core/logx"

	"kumquatcleat/internal/backend"
	"kumquatcleat/internal/peer"
)

// countingListener counts the bytes that cross its connections both ways.
type countingListener struct {
	net.Listener
	bytes atomic.Int64
}

func (l *countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	return &countingConn{conn, &l.bytes}, err
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// answering is a peer that answers pings and has no routes that are newer.
type answering struct{ peer.Peer }

func (answering) Ping(context.Context, *peer.PingRequest) (*peer.PingAnswer, error) {
	return &peer.PingAnswer{From: &peer.VMRef{Id: vmName(1), Incarnation: startOf(1)}, ConfigDigest: 1 << 60}, nil
}

func (answering) Routes(context.Context, *peer.RoutesRequest) (*peer.RoutesAnswer, error) {
	return &peer.RoutesAnswer{Keeper: true, Version: 43210, Token: &peer.Token{Epoch: 120, Seq: 43210}, RouteLeaseMs: 500}, nil
}

// startPeer serves a peer on a loopback address until the benchmark ends.
func startPeer(b *testing.B) (peer.Peer, *countingListener) {
	b.Helper()
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	listener := &countingListener{Listener: inner}
	server := &http.Server{Handler: peer.NewPeerServer(answering{}), ReadHeaderTimeout: time.Second}
	go func() { _ = server.Serve(listener) }()
	b.Cleanup(func() { _ = server.Close() })
	return peer.NewClients("").For(inner.Addr().String()), listener
}

// processorTime returns what this process has used so far.
func processorTime() time.Duration {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// measureCalls measures calls of a peer.
func measureCalls(b *testing.B, call func(peer.Peer) error) {
	client, listener := startPeer(b)
	measure(b, listener, func() error { return call(client) })
}

// measure reports processor time and bytes a call, both ends together, without
// the headers of TCP and IP.
func measure(b *testing.B, listener *countingListener, call func() error) {
	if err := call(); err != nil {
		b.Fatal(err)
	}
	bytes, used := listener.bytes.Load(), processorTime()
	for b.Loop() {
		if err := call(); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(listener.bytes.Load()-bytes)/float64(b.N), "wire-bytes/op")
	b.ReportMetric(float64(processorTime()-used)/float64(b.N), "cpu-ns/op")
}

func BenchmarkPingCall(b *testing.B) {
	request := &peer.PingRequest{From: &peer.VMRef{Id: vmName(2), Incarnation: startOf(2)}}
	measureCalls(b, func(p peer.Peer) error {
		_, err := p.Ping(context.Background(), request)
		return err
	})
}

func BenchmarkUnchangedRoutesCall(b *testing.B) {
	request := &peer.RoutesRequest{
		From: &peer.VMRef{Id: vmName(2), Incarnation: startOf(2)}, Group: "reefread/lk-west-1/0", KnownVersion: 43210,
	}
	measureCalls(b, func(p peer.Peer) error {
		_, err := p.Routes(context.Background(), request)
		return err
	})
}

// BenchmarkRenewCall is one renewal of a grant, with the slots that a server of
// 16 slots holds in its answer.
func BenchmarkRenewCall(b *testing.B) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	listener := &countingListener{Listener: inner}
	logx.Disable()
	grant, state := renewal(16)
	answer, _ := json.Marshal(state)
	handler := func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = w.Write(answer)
	}
	server := &http.Server{Handler: http.HandlerFunc(handler), ReadHeaderTimeout: time.Second}
	go func() { _ = server.Serve(listener) }()
	b.Cleanup(func() { _ = server.Close() })
	controller := backend.NewControlClients().For(inner.Addr().String())
	measure(b, listener, func() error {
		_, err := controller.Grant(context.Background(), grant)
		return err
	})
}
