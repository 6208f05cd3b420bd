package standin

import (
	"io"
	"net"
	"net/http"
	"slices"
	"sync/atomic"
	"time"
)

// PathCuts is the path of a stand-in's simulated network partition. GET returns
// the current CutSources, POST replaces them.
const PathCuts = "/_standin/cuts"

// CutSources lists the source IPs that a stand-in is partitioned from.
type CutSources struct {
	Sources []string `json:"sources"`
}

// Partition simulates a network partition between a listener and a set of source
// IPs. As on a network that drops packets, connections stay open, no data passes
// in either direction, and data in transit is delivered once the partition heals.
// Safe for concurrent use.
type Partition struct {
	sources atomic.Pointer[CutSources]
}

// healPollInterval bounds how late a blocked connection notices that the partition
// has healed.
const healPollInterval = 5 * time.Millisecond

// Set replaces the blocked sources. Empty sources heal the partition.
func (p *Partition) Set(sources CutSources) { p.sources.Store(&sources) }

func (p *Partition) blocks(ip string) bool {
	sources := p.sources.Load()
	return sources != nil && slices.Contains(sources.Sources, ip)
}

// Listener wraps l so that the partition applies to its connections.
func (p *Partition) Listener(l net.Listener) net.Listener {
	return &partitionedListener{Listener: l, partition: p}
}

type partitionedListener struct {
	net.Listener
	partition *Partition
}

// Accept implements net.Listener.
func (l *partitionedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	ip, _, err := net.SplitHostPort(conn.RemoteAddr().String())
	if err != nil {
		return conn, nil
	}
	return &partitionedConn{Conn: conn, partition: l.partition, remote: ip}, nil
}

type partitionedConn struct {
	net.Conn
	partition *Partition
	remote    string
	closed    atomic.Bool
}

// Read implements net.Conn. Bytes that arrive during a partition are delivered
// once it heals.
func (c *partitionedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if !c.waitWhileBlocked() {
		return 0, net.ErrClosed
	}
	return n, err
}

// Write implements net.Conn. Bytes written during a partition are sent once it
// heals.
func (c *partitionedConn) Write(p []byte) (int, error) {
	if !c.waitWhileBlocked() {
		return 0, net.ErrClosed
	}
	return c.Conn.Write(p)
}

// Close implements net.Conn.
func (c *partitionedConn) Close() error {
	c.closed.Store(true)
	return c.Conn.Close()
}

// waitWhileBlocked waits until the remote IP is no longer blocked. It returns false
// if the connection is closed meanwhile.
func (c *partitionedConn) waitWhileBlocked() bool {
	for c.partition.blocks(c.remote) {
		if c.closed.Load() {
			return false
		}
		time.Sleep(healPollInterval)
	}
	return true
}

func (p *Partition) get(w http.ResponseWriter, _ *http.Request) {
	sources := p.sources.Load()
	if sources == nil {
		sources = &CutSources{}
	}
	writeJSON(w, sources)
}

func (p *Partition) post(w http.ResponseWriter, r *http.Request) {
	var sources CutSources
	if err := decodeJSON(r, &sources); err != nil {
		badRequest(w, err)
		return
	}
	p.Set(sources)
	writeJSON(w, sources)
}

// registerHandlers adds the handlers of PathCuts to mux.
func (p *Partition) registerHandlers(mux *http.ServeMux) {
	mux.HandleFunc("GET "+PathCuts, p.get)
	mux.HandleFunc("POST "+PathCuts, p.post)
}

// Relay is a TCP proxy. Placed between two real processes, it allows a test to
// partition them from each other.
type Relay struct {
	Partition Partition
	forward   string // host:port
}

// NewRelay returns a relay that proxies to forward, host:port.
func NewRelay(forward string) *Relay { return &Relay{forward: forward} }

// Serve proxies the connections accepted by l until l is closed.
func (r *Relay) Serve(l net.Listener) error {
	partitioned := r.Partition.Listener(l)
	for {
		conn, err := partitioned.Accept()
		if err != nil {
			return err
		}
		go r.proxy(conn)
	}
}

func (r *Relay) proxy(in net.Conn) {
	defer func() { _ = in.Close() }()
	out, err := net.Dial("tcp", r.forward)
	if err != nil {
		reset(unwrapConn(in))
		return
	}
	defer func() { _ = out.Close() }()
	done := make(chan struct{}, 2)
	copyStream := func(to, from net.Conn) {
		_, _ = io.Copy(to, from)
		done <- struct{}{}
	}
	go copyStream(out, in)
	go copyStream(in, out)
	<-done
}

func unwrapConn(conn net.Conn) net.Conn {
	if partitioned, ok := conn.(*partitionedConn); ok {
		return partitioned.Conn
	}
	return conn
}
