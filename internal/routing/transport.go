package routing

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"time"

	"github.com/zeromicro/go-zero/core/breaker"
	"github.com/zeromicro/go-zero/rest/httpc"

	"kumquatcleat/internal/dial"
	"kumquatcleat/internal/httphead"
)

const (
	serverBreaker      = "server"
	dialTimeout        = time.Second      // a failed VM does not answer a SYN; its keys must be served again within 3 s
	serverIdleTimeout  = 10 * time.Second // below the idle timeout of common servers, so that they rarely close first
	maxHeaderBytes     = 64 << 10
	copyBufferBytes    = 32 << 10
	defaultConnections = 64
)

// errGuardRefused is the error of a write that the guard stopped, for example because
// the route lease has expired.
var errGuardRefused = errors.New("the right to send to the server ended before the first byte")

// Transport sends requests to servers. After a failure it reports whether any
// byte of the request may have been sent.
//
// net/http resends a replayable request by itself when a reused connection breaks
// before the first byte of the answer. Callers of send prevent that: the body is
// never http.NoBody and GetBody is nil, so that net/http can't replay the request.
type Transport struct {
	service httpc.Service
}

// NewTransport returns a Transport whose pools keep up to idlePerServer
// connections to each server.
func NewTransport(idlePerServer int) *Transport { return NewTransportFrom("", idlePerServer) }

// NewTransportFrom returns a Transport that dials from a local IP address. An
// empty localIP means any address.
func NewTransportFrom(localIP string, idlePerServer int) *Transport {
	if idlePerServer <= 0 {
		idlePerServer = defaultConnections
	}
	// Packages limits and retry handle failing servers. The circuit breaker of the
	// library would reject requests at random and hide a server that has recovered.
	breaker.NoBreakerFor(serverBreaker)
	dialer := dial.From(localIP, dialTimeout)
	roundTripper := &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &guardedConn{Conn: conn}, nil
		},
		MaxIdleConns:           0,
		MaxIdleConnsPerHost:    idlePerServer,
		IdleConnTimeout:        serverIdleTimeout,
		DisableCompression:     true, // bodies are forwarded unchanged
		MaxResponseHeaderBytes: maxHeaderBytes,
	}
	client := &http.Client{Transport: httphead.Transport(roundTripper), CheckRedirect: dial.NoRedirects} // the caller follows redirects
	return &Transport{service: httpc.NewServiceWithClient(serverBreaker, client)}
}

// sendResult states whether a failed send may have reached the server.
type sendResult int

const (
	// nothingSent means that no byte of the request was or will be sent.
	nothingSent sendResult = iota
	// maybeSent means that bytes may have been sent.
	maybeSent
)

// send makes one attempt. guard is called just before the first byte is written;
// if it returns false, nothing is sent. After an error, the sendResult states
// whether bytes may have been sent. A connection that has sent none is sealed: it
// rejects further writes.
func (t *Transport) send(req *http.Request, guard func() bool) (*http.Response, sendResult, error) {
	tracker := &sendTracker{guard: guard}
	trace := &httptrace.ClientTrace{GotConn: tracker.gotConn}
	req = req.WithContext(httptrace.WithClientTrace(req.Context(), trace))
	resp, err := t.service.DoRequest(req)
	if err == nil {
		return resp, maybeSent, nil
	}
	if tracker.sealIfUnwritten() {
		return nil, nothingSent, err
	}
	return nil, maybeSent, err
}

// sendTracker associates a request with its connection. mu guards conn and sealed:
// the transport may assign a connection after the request was canceled.
type sendTracker struct {
	guard  func() bool
	mu     sync.Mutex
	conn   *guardedConn
	sealed bool
}

func (s *sendTracker) gotConn(info httptrace.GotConnInfo) {
	checked, ok := info.Conn.(*httphead.Conn)
	if !ok {
		return
	}
	conn, ok := checked.Conn.(*guardedConn)
	if !ok {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conn = conn
	conn.begin(s.guard, s.sealed)
}

func (s *sendTracker) sealIfUnwritten() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sealed = true
	if s.conn == nil {
		return true
	}
	return s.conn.sealIfUnwritten()
}

// guardedConn calls its guard before the first byte of each request, records
// whether any byte of the request was written, and can be sealed against further
// writes. mu guards the fields and is held during a write, so that sealing and a
// write can't overlap.
type guardedConn struct {
	net.Conn
	mu      sync.Mutex
	guard   func() bool
	written bool
	sealed  bool
}

func (c *guardedConn) begin(guard func() bool, sealed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.guard = guard
	c.written = false
	c.sealed = c.sealed || sealed
}

// Write implements net.Conn.
func (c *guardedConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sealed {
		return 0, net.ErrClosed
	}
	if !c.written && c.guard != nil && !c.guard() {
		c.sealed = true
		return 0, errGuardRefused
	}
	c.written = true
	return c.Conn.Write(p)
}

// SetLinger sets whether Close resets the connection, as net.TCPConn has it.
func (c *guardedConn) SetLinger(seconds int) error {
	tcp, ok := c.Conn.(*net.TCPConn)
	if !ok {
		return errors.ErrUnsupported
	}
	return tcp.SetLinger(seconds)
}

func (c *guardedConn) sealIfUnwritten() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.written {
		return false
	}
	c.sealed = true
	return true
}
