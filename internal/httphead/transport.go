package httphead

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
)

// Transport returns a RoundTripper for base that fails for answers with invalid heads and resets
// their connections. base must have a DialContext.
//
// A check of the response alone would come too late: net/http puts a connection back into its pool
// before it returns a response without a body, and another request could then read the bytes that
// follow as its answer. So connections check heads as they read them.
//
// Bytes that arrive together with the end of an answer are read before net/http hands the connection to
// the next request, which may get them as its answer. So an answer fails, too, if its first byte was read
// before its request was sent.
func Transport(base *http.Transport) http.RoundTripper {
	dial := base.DialContext
	base.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &Conn{Conn: c}, nil
	}
	return transport{base}
}

type transport struct{ *http.Transport }

// RoundTrip implements http.RoundTripper.
func (t transport) RoundTrip(r *http.Request) (*http.Response, error) {
	var used atomic.Pointer[Conn]
	var early atomic.Bool
	ctx := httptrace.WithClientTrace(r.Context(), &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			if c, ok := info.Conn.(*Conn); ok {
				c.awaitAnswer()
				used.Store(c)
				early.Store(false)
			}
		},
		GotFirstResponseByte: func() {
			if c := used.Load(); c != nil && !c.answerBegun() {
				c.reset()
				early.Store(true)
			}
		},
	})
	resp, err := t.Transport.RoundTrip(r.WithContext(ctx))
	if early.Load() { // the error, if any, is that of the connection, which was reset
		if err == nil {
			_ = resp.Body.Close()
		}
		return nil, fmt.Errorf("read answer: %w", invalid("answer that came before its request"))
	}
	if err != nil {
		// The error may be that of a write to the connection, which the check has closed.
		if c := used.Load(); c != nil && c.invalid() != nil {
			return nil, fmt.Errorf("read answer: %w", c.invalid())
		}
		return nil, err
	}
	// Covers 101, after which net/http passes the connection to the caller.
	if err := CheckFinal(resp.StatusCode); err != nil {
		if c := used.Load(); c != nil {
			c.reset()
		}
		_ = resp.Body.Close()
		return nil, fmt.Errorf("read answer: %w", err)
	}
	return resp, nil
}

// Conn is a connection that checks the heads of the answers that are read from it.
type Conn struct {
	net.Conn
	mu    sync.Mutex // guards the fields below
	scan  scanner
	begun bool  // bytes were read since the last request got the connection
	err   error // invalid head that was read
}

// Read implements net.Conn. It resets the connection at an invalid head.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.begun = c.begun || n > 0
	if c.err == nil {
		if c.err = c.scan.add(p[:n]); c.err != nil {
			c.reset()
		}
	}
	if c.err != nil {
		return 0, c.err
	}
	return n, err
}

// awaitAnswer begins the check of the answer to the next request.
func (c *Conn) awaitAnswer() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.scan.begin()
	c.begun = false
}

// answerBegun reports whether bytes were read since awaitAnswer.
func (c *Conn) answerBegun() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.begun
}

func (c *Conn) invalid() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.err
}

// reset closes the connection with a TCP reset, so that bytes still in transit are dropped.
func (c *Conn) reset() {
	if tcp, ok := c.Conn.(interface{ SetLinger(seconds int) error }); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Conn.Close()
}
