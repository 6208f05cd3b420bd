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
)

const (
	serverBreaker      = "server"
	dialTimeout        = time.Second      // a lost VM answers no SYN; its keys must be served again within 3 s
	serverIdleTimeout  = 10 * time.Second // below the idle timeout of common servers, so that they rarely close first
	maxHeaderBytes   = 1 << 20
	copyBufferBytes    = 32 << 10
	defaultConnections = 64
)

var errGuardRefused = errors.New("the right to send to the server ended before the first byte")

// Transport sends requests to servers and knows, after a failure, whether any
// byte may have left.
//
// net/http may send a request again on its own when a reused connection breaks
// before the first answer byte. sendOnce prevents that: the body is never
// NoBody and GetBody is nil, so that the transport holds it for not repeatable.
type Transport struct {
	service httpc.Service
}

// NewTransport returns a Transport whose pools keep up to idlePerServer
// connections to each server.
func NewTransport(idlePerServer int) *Transport { return NewTransportFrom("", idlePerServer) }

// NewTransportFrom returns a Transport that dials from a local IP address;
// empty: any.
func NewTransportFrom(localIP string, idlePerServer int) *Transport {
	if idlePerServer <= 0 {
		idlePerServer = defaultConnections
	}
	// The limits and retry slices decide about servers in trouble. The library's
	// breaker would refuse at random and hide a server that has recovered.
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
		DisableCompression:     true, // bodies pass as they are
		MaxResponseHeaderBytes: maxHeaderBytes,
	}
	client := &http.Client{
		Transport: roundTripper,
		CheckRedirect: func(*http.Request, []*http.Request) error {
			return http.ErrUseLastResponse // redirects are the caller's to follow
		},
	}
	return &Transport{service: httpc.NewServiceWithClient(serverBreaker, client)}
}

// sendResult tells how far a failed send came.
type sendResult int

const (
	// nothingSent means that no byte of the request reached the network and none will.
	nothingSent sendResult = iota
	// maybeSent means that bytes may have left.
	maybeSent
)

// send makes one attempt. guard is asked just before the first byte is written;
// false stops the send. After an error the result tells whether bytes may have
// left; a connection that had sent none is sealed and never will.
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

// sendTracker ties one request to the connection that it got. mu guards conn:
// the transport may hand a connection over after the caller gave up.
type sendTracker struct {
	guard  func() bool
	mu     sync.Mutex
	conn   *guardedConn
	sealed bool
}

func (s *sendTracker) gotConn(info httptrace.GotConnInfo) {
	conn, ok := info.Conn.(*guardedConn)
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

// guardedConn counts the bytes of the present request, asks its guard before
// the first, and can be sealed against further writes. mu guards the fields
// and is held during a write, so that a seal and a write can't overlap.
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

func (c *guardedConn) sealIfUnwritten() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.written {
		return false
	}
	c.sealed = true
	return true
}
