package serverconn

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"sync"
	"syscall"
	"time"

	"kumquatcleat/internal/dial"
	"kumquatcleat/internal/registry"

	"github.com/rcrowley/go-metrics"
)

// Settings configure a pool.
type Settings struct {
	// DialTimeout bounds the opening of a connection. Nothing was sent when it
	// expires, so another server may be tried.
	DialTimeout time.Duration
	// IdlePerServer returns how many idle connections to a server of a service are
	// kept. All VMs together must not have more than a server accepts.
	IdlePerServer func(service string) int
	// LocalIP is the source address of connections; empty: any.
	LocalIP string
	// Dialed is called with the result of opening a connection, unless the context ended
	// first; nil: not called.
	Dialed func(server *registry.Server, err error)
}

// Pool keeps idle connections to servers. It is safe for concurrent use.
type Pool struct {
	settings Settings
	dialer   *net.Dialer
	opened   metrics.Counter
	streamed metrics.Counter
	// cutBySlowReaders counts answers that servers cut off because this VM did not read on, as
	// the caller did not.
	cutBySlowReaders metrics.Counter

	mu            sync.Mutex // protects the fields below
	idle          map[registry.Instance][]*conn
	lastSession   uint64                     // number of the newest session
	openingSpares map[registry.Instance]bool // servers to which a spare connection is being opened
}

// NewPool returns an empty pool.
func NewPool(s Settings, counters metrics.Registry) *Pool {
	p := &Pool{
		settings:      s,
		dialer:        dial.WithDeadPeerDetection(s.LocalIP, s.DialTimeout),
		idle:          map[registry.Instance][]*conn{},
		openingSpares: map[registry.Instance]bool{},
		opened:        metrics.GetOrRegisterCounter("server_connections_opened", counters),

		streamed:         metrics.GetOrRegisterCounter("answers_streamed", counters),
		cutBySlowReaders: metrics.GetOrRegisterCounter("answers_cut_by_slow_readers", counters),
	}
	return p
}

// get returns a connection that was idle for at most maxIdle, or a new one. If maxIdle is
// negative, it always returns a new one and leaves the idle ones alone.
func (p *Pool) get(ctx context.Context, server *registry.Server, maxIdle time.Duration) (*conn, error) {
	if maxIdle >= 0 {
		if c := p.idleConn(server, maxIdle); c != nil {
			return c, nil
		}
	}
	return p.open(ctx, server)
}

func (p *Pool) open(ctx context.Context, server *registry.Server) (*conn, error) {
	opened, err := p.dialer.DialContext(ctx, "tcp", server.Address)
	if p.settings.Dialed != nil && (err == nil || ctx.Err() == nil) {
		p.settings.Dialed(server, err)
	}
	if err != nil {
		return nil, err
	}
	p.opened.Inc(1)
	return newConn(opened), nil
}

// HasIdle reports whether there is an idle connection to a server.
func (p *Pool) HasIdle(server *registry.Server) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.idle[server.Instance()]) > 0
}

// OpenIdle opens a connection to a server and keeps it as an idle one.
func (p *Pool) OpenIdle(ctx context.Context, server *registry.Server) error {
	c, err := p.open(ctx, server)
	if err != nil {
		slog.Debug("serverconn: opening an idle connection failed", "server", server.ID, "error", err.Error())
		return err
	}
	p.put(server, c)
	return nil
}

// idleConn returns a pooled connection that was idle for at most maxIdle, or nil.
func (p *Pool) idleConn(server *registry.Server, maxIdle time.Duration) *conn {
	key := server.Instance()
	now := time.Now()
	for {
		c := p.popIdle(key)
		if c == nil || c.reusable(now, maxIdle) {
			return c
		}
		_ = c.Close()
	}
}

// popIdle removes and returns the most recently used idle connection, or nil.
func (p *Pool) popIdle(key registry.Instance) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[key]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	p.idle[key] = list[:len(list)-1]
	return c
}

func (p *Pool) put(server *registry.Server, c *conn) {
	if c.reader.Buffered() > 0 {
		_ = c.Close()
		return
	}
	c.neverPooled = false
	c.idleSince = time.Now()
	_ = c.SetDeadline(time.Time{})
	key := server.Instance()
	p.mu.Lock()
	defer p.mu.Unlock()
	if list := p.idle[key]; len(list) < p.settings.IdlePerServer(server.Service) {
		p.idle[key] = append(list, c)
		return
	}
	_ = c.Close()
}

// Sweep closes connections that were idle for too long, and those of servers for
// which keep returns false.
func (p *Pool) Sweep(keep func(registry.Instance) bool) {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for key, list := range p.idle {
		alive := list[:0]
		for _, c := range list {
			if keep(key) && now.Sub(c.idleSince) < c.idleTimeout-reuseMargin {
				alive = append(alive, c)
				continue
			}
			_ = c.Close()
		}
		p.idle[key] = alive
		if len(alive) == 0 {
			delete(p.idle, key)
		}
	}
}

// Refused reports whether a dial error means that nothing listens at the address.
func Refused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }
