package serverconn

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"kumquatcleat/internal/registry"
)

// A session is a set of connections that certainly reach one process of a server.
// Servers close connections now and then; with a spare one in its session, what a
// server acknowledged can be renewed without asking whether it is still the same
// process that would take it.

// errNoSession says that no connection of the session that a call needs is open.
var errNoSession = errors.New("no connection of its session is open")

// ControlConnections is how many connections of a session are kept: one in use and
// a spare.
const ControlConnections = 2

// control returns a connection for a control call.
func (p *Pool) control(ctx context.Context, call ControlCall) (*conn, error) {
	if call.Dedicated {
		return p.open(ctx, call.Server)
	}
	if c := p.ofSession(call.Server, call.Session); c != nil {
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
	p.sessions++
	c.session = p.sessions
	return c, nil
}

// ofSession removes the connection of a session that was idle for longest, so that
// all are used in turn; session 0 stands for any.
func (p *Pool) ofSession(server *registry.Server, session uint64) *conn {
	key := server.Instance()
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	var found *conn
	kept := p.idle[key][:0]
	for _, c := range p.idle[key] {
		switch {
		case !c.reusable(now, time.Hour): // the connection's own limit decides
			_ = c.Close()
		case c.session == 0 || session != 0 && c.session != session:
			kept = append(kept, c)
		case found == nil:
			found = c
		case c.idleFrom.Before(found.idleFrom):
			kept = append(kept, found)
			found = c
		default:
			kept = append(kept, c)
		}
	}
	p.idle[key] = kept
	return found
}

// adopt takes the connections into a session that were opened while one of its
// connections was open and before an answer on it was asked for: the process that
// answered then lived all the while, so they reached it.
func (p *Pool) adopt(server *registry.Server, answered *conn, sent time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle[server.Instance()] {
		if c.session == 0 && c.opened.After(answered.opened) && c.opened.Before(sent) {
			c.session = answered.session
		}
	}
}

// keepSpare opens a connection beside the last one to a server.
func (p *Pool) keepSpare(server *registry.Server) {
	key := server.Instance()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.spares[key] || len(p.idle[key]) >= ControlConnections {
		return
	}
	p.spares[key] = true
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), p.settings.DialTimeout)
		defer cancel()
		c, err := p.open(ctx, server)
		if err == nil {
			p.put(server, c)
		} else {
			slog.Debug("serverconn: no spare connection", "server", server.ID, "error", err.Error())
		}
		p.mu.Lock()
		defer p.mu.Unlock()
		delete(p.spares, key)
	}()
}
