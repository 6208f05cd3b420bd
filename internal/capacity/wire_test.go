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

// countingListener counts the bytes that its connections read and write.
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

// stubPeer answers pings, and answers route requests as unchanged.
type stubPeer struct{ peer.Peer }

func (stubPeer) Ping(context.Context, *peer.PingRequest) (*peer.PingAnswer, error) {
	return &peer.PingAnswer{From: &peer.VMRef{Id: vmName(1), Incarnation: incarnationOf(1)}, ConfigDigest: 1 << 60}, nil
}

func (stubPeer) Routes(context.Context, *peer.RoutesRequest) (*peer.RoutesAnswer, error) {
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
	server := &http.Server{Handler: peer.NewPeerServer(stubPeer{}), ReadHeaderTimeout: time.Second}
	go func() { _ = server.Serve(listener) }()
	b.Cleanup(func() { _ = server.Close() })
	return peer.NewClients("").For(inner.Addr().String()), listener
}

// cpuTime returns the user and system CPU time that this process has used.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// measurePeerCalls measures calls to a peer server.
func measurePeerCalls(b *testing.B, call func(peer.Peer) error) {
	client, listener := startPeer(b)
	measure(b, listener, func() error { return call(client) })
}

// measure reports CPU time and bytes per call. CPU time covers both ends. Bytes exclude
// the TCP and IP headers.
func measure(b *testing.B, listener *countingListener, call func() error) {
	if err := call(); err != nil {
		b.Fatal(err)
	}
	bytesBefore, cpuBefore := listener.bytes.Load(), cpuTime()
	for b.Loop() {
		if err := call(); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(listener.bytes.Load()-bytesBefore)/float64(b.N), "wire-bytes/op")
	b.ReportMetric(float64(cpuTime()-cpuBefore)/float64(b.N), "cpu-ns/op")
}

func BenchmarkPingCall(b *testing.B) {
	request := &peer.PingRequest{From: &peer.VMRef{Id: vmName(2), Incarnation: incarnationOf(2)}}
	measurePeerCalls(b, func(p peer.Peer) error {
		_, err := p.Ping(context.Background(), request)
		return err
	})
}

func BenchmarkUnchangedRoutesCall(b *testing.B) {
	request := &peer.RoutesRequest{
		From: &peer.VMRef{Id: vmName(2), Incarnation: incarnationOf(2)}, Group: "reefread/lk-west-1/0", KnownVersion: 43210,
	}
	measurePeerCalls(b, func(p peer.Peer) error {
		_, err := p.Routes(context.Background(), request)
		return err
	})
}

// BenchmarkRenewCall measures one renewal of a grant of a server that owns 16 slots,
// which its response lists.
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
