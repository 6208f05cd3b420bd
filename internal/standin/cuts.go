package standin

import (
	"io"
	"net"
	"net/http"
	"slices"
	"sync/atomic"
	"time"
)

// PathCuts is the path of a stand-in's partition. GET shows it, POST replaces
// it: a CutSources.
const PathCuts = "/_standin/cuts"

// CutSources are the source IPs that a stand-in is cut off from.
type CutSources struct {
	Sources []string `json:"sources"`
}

// Cuts holds back everything between a listener and the sources that are cut
// off, as a network does that drops packets: connections stay open, nothing
// passes either way, and what was on the way arrives once the cut ends. Safe for
// concurrent use.
type Cuts struct {
	sources atomic.Pointer[CutSources]
}

// cutPoll is how late the end of a cut is noticed.
const cutPoll = 5 * time.Millisecond

// Set replaces the sources that are cut off.
func (c *Cuts) Set(sources CutSources) { c.sources.Store(&sources) }

func (c *Cuts) has(ip string) bool {
	sources := c.sources.Load()
	return sources != nil && slices.Contains(sources.Sources, ip)
}

// Listener wraps l so that its connections feel the cuts.
func (c *Cuts) Listener(l net.Listener) net.Listener { return &cutListener{Listener: l, cuts: c} }

type cutListener struct {
	net.Listener
	cuts *Cuts
}

// Accept implements net.Listener.
func (l *cutListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	ip, _, err := net.SplitHostPort(conn.RemoteAddr().String())
	if err != nil {
		return conn, nil
	}
	return &cutConn{Conn: conn, cuts: l.cuts, remote: ip}, nil
}

type cutConn struct {
	net.Conn
	cuts   *Cuts
	remote string
	closed atomic.Bool
}

// Read implements net.Conn. Bytes that arrive during a cut wait for its end.
func (c *cutConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if !c.waitWhileCut() {
		return 0, net.ErrClosed
	}
	return n, err
}

// Write implements net.Conn. Bytes written during a cut leave at its end.
func (c *cutConn) Write(p []byte) (int, error) {
	if !c.waitWhileCut() {
		return 0, net.ErrClosed
	}
	return c.Conn.Write(p)
}

// Close implements net.Conn.
func (c *cutConn) Close() error {
	c.closed.Store(true)
	return c.Conn.Close()
}

// waitWhileCut returns false when the connection was closed meanwhile.
func (c *cutConn) waitWhileCut() bool {
	for c.cuts.has(c.remote) {
		if c.closed.Load() {
			return false
		}
		time.Sleep(cutPoll)
	}
	return true
}

func (c *Cuts) get(w http.ResponseWriter, _ *http.Request) {
	sources := c.sources.Load()
	if sources == nil {
		sources = &CutSources{}
	}
	writeJSON(w, sources)
}

func (c *Cuts) post(w http.ResponseWriter, r *http.Request) {
	var sources CutSources
	if err := decodeJSON(r, &sources); err != nil {
		badRequest(w, err)
		return
	}
	c.Set(sources)
	writeJSON(w, sources)
}

// handle adds the path of the cuts.
func (c *Cuts) handle(mux *http.ServeMux) {
	mux.HandleFunc("GET "+PathCuts, c.get)
	mux.HandleFunc("POST "+PathCuts, c.post)
}

// Relay passes TCP connections on from one address to another, so that what two
// real processes send each other can be cut.
type Relay struct {
	Cuts    Cuts
	forward string // host:port
}

// NewRelay returns a relay to forward, host:port.
func NewRelay(forward string) *Relay { return &Relay{forward: forward} }

// Serve passes on the connections of l until it is closed.
func (r *Relay) Serve(l net.Listener) error {
	cut := r.Cuts.Listener(l)
	for {
		conn, err := cut.Accept()
		if err != nil {
			return err
		}
		go r.pass(conn)
	}
}

func (r *Relay) pass(in net.Conn) {
	defer func() { _ = in.Close() }()
	out, err := net.Dial("tcp", r.forward)
	if err != nil {
		reset(innerTCP(in))
		return
	}
	defer func() { _ = out.Close() }()
	ended := make(chan struct{}, 2)
	copyOne := func(to, from net.Conn) {
		_, _ = io.Copy(to, from)
		ended <- struct{}{}
	}
	go copyOne(out, in)
	go copyOne(in, out)
	<-ended
}

func innerTCP(conn net.Conn) net.Conn {
	if cut, ok := conn.(*cutConn); ok {
		return cut.Conn
	}
	return conn
}
