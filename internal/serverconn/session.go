package serverconn

import (
	"context"
	"errors"
	"time"

	"kumquatcleat/internal/registry"
)

// A session is a set of connections that are known to reach the same server process.
// Servers close connections from time to time. With a spare connection in the session,
// a grant that the server acknowledged can be renewed without checking again that the
// same process receives the renewal.

// errNoSession means that no connection of the requested session is open.
var errNoSession = errors.New("no open connection of the session")

// ControlConnections is how many connections of a session are kept: one in use and one
// spare.
const ControlConnections = 2

// maxControlIdle is how long a connection may have been idle before a control call. Dead-peer
// detection (package dial) gives a connection up after 3 s without an answer at the earliest. If
// that happens during a call, nothing is reset: bytes that the network holds back arrive seconds
// later, after the lease that they grant has been counted as expired.
const maxControlIdle = 2 * time.Second

// controlConn returns a connection for a control call.
func (p *Pool) controlConn(ctx context.Context, call ControlCall) (*conn, error) {
	if call.Dedicated {
		return p.open(ctx, call.Server)
	}
	if c := p.takeFromSession(call.Server, call.Session); c != nil {
		return c, nil
	}
	if call.Session != 0 {
		return nil, errNoSession
	}
	c, err := p.open(ctx, call.Server)
	if err != nil {
		return nil, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastSession++
	c.session = p.lastSession
	return c, nil
}

// takeFromSession removes and returns the connection of a session that was idle for
// longest, so that all are used in turn. Session 0 stands for any.
func (p *Pool) takeFromSession(server *registry.Server, session uint64) *conn {
	key := server.Instance()
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	var found *conn
	kept := p.idle[key][:0]
	for _, c := range p.idle[key] {
		switch {
		case !c.reusable(now, maxControlIdle):
			_ = c.Close()
		case c.session == 0 || session != 0 && c.session != session:
			kept = append(kept, c)
		case found == nil:
			found = c
		case c.idleSince.Before(found.idleSince):
			kept = append(kept, found)
			found = c
		default:
			kept = append(kept, c)
		}
	}
	p.idle[key] = kept
	return found
}

// joinSession adds connections to the session of carrier, the connection that carried
// an answer. A connection joins if it was opened after carrier and before the request
// was sent on carrier: the process that answered was alive all that time, so the
// connection reaches it.
func (p *Pool) joinSession(server *registry.Server, carrier *conn, sent time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle[server.Instance()] {
		if c.session == 0 && c.opened.After(carrier.opened) && c.opened.Before(sent) {
			c.session = carrier.session
		}
	}
}

// ensureSpare opens a connection in the background if fewer than ControlConnections
// connections to the server are idle.
func (p *Pool) ensureSpare(server *registry.Server) {
	key := server.Instance()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.openingSpares[key] || len(p.idle[key]) >= ControlConnections {
		return
	}
	p.openingSpares[key] = true
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), p.settings.DialTimeout)
		defer cancel()
		_ = p.OpenIdle(ctx, server)
		p.mu.Lock()
		defer p.mu.Unlock()
		delete(p.openingSpares, key)
	}()
}
