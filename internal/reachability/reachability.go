// Package reachability finds out whether this VM reaches servers at all. A VM that can't open a
// connection to any server, while callers and other VMs reach it, is isolated: it has to send
// requests through other VMs.
package reachability

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"kumquatcleat/internal/registry"
	"kumquatcleat/internal/wait"
)

const (
	// suspectServers is how many servers in a row must refuse or not answer a connection
	// before others are probed. Some servers are down at most times.
	suspectServers = 3
	// failureMemory is how long a failed connection counts.
	failureMemory = 2 * time.Second
	// localProbes and remoteProbes are how many servers are probed in this VM's failure
	// domain and in others: a VM whose domain is cut off from the others is not isolated.
	localProbes  = 3
	remoteProbes = 1
	// probePause is the time between probes of a VM that is suspected or isolated.
	probePause = 400 * time.Millisecond
	// liveTime is how long after an answer of a server open connections count as usable.
	liveTime = time.Second
)

// Monitor decides whether this VM is isolated. Safe for concurrent use.
type Monitor struct {
	domain  string
	servers func() []*registry.Server
	// probe opens a connection to a server.
	probe func(context.Context, *registry.Server) error
	// changed is called when the VM becomes isolated or ceases to be; it must not block.
	changed func(isolated bool)

	isolated   atomic.Bool
	answeredAt atomic.Int64 // Unix time in nanoseconds
	suspected  chan struct{}

	mu     sync.Mutex // guards failed
	failed map[registry.Instance]time.Time
}

// NewMonitor returns a monitor of a VM in a failure domain that is not isolated. servers
// returns all servers that may be used.
func NewMonitor(domain string, servers func() []*registry.Server, probe func(context.Context, *registry.Server) error, changed func(isolated bool)) *Monitor {
	return &Monitor{domain: domain, servers: servers, probe: probe, changed: changed, suspected: make(chan struct{}, 1), failed: map[registry.Instance]time.Time{}}
}

// Isolated reports whether this VM reaches no server.
func (m *Monitor) Isolated() bool { return m.isolated.Load() }

// ConnectionsLive reports whether a server answered lately, so that open connections can be
// used even if no new one can be opened.
func (m *Monitor) ConnectionsLive() bool {
	return time.Now().UnixNano()-m.answeredAt.Load() < int64(liveTime)
}

// Answered records that a server answered.
func (m *Monitor) Answered() { m.answeredAt.Store(time.Now().UnixNano()) }

// Dialed records the result of opening a connection to a server.
func (m *Monitor) Dialed(server *registry.Server, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err == nil {
		clear(m.failed)
		m.set(false)
		return
	}
	now := time.Now()
	for instance, at := range m.failed {
		if now.Sub(at) > failureMemory {
			delete(m.failed, instance)
		}
	}
	m.failed[server.Instance()] = now
	if len(m.failed) >= suspectServers {
		wait.Signal(m.suspected)
	}
}

// set changes the state. The caller holds the lock.
func (m *Monitor) set(isolated bool) {
	if m.isolated.Swap(isolated) != isolated {
		slog.Warn("reachability: changed", "isolated", isolated, "failed_servers", len(m.failed), "connections_live", m.ConnectionsLive())
		m.changed(isolated)
	}
}

// Run probes servers while the VM is suspected or isolated, until ctx ends.
func (m *Monitor) Run(ctx context.Context) {
	for {
		if !m.Isolated() {
			select {
			case <-m.suspected:
			case <-ctx.Done():
				return
			}
		}
		if m.Isolated() || m.suspicious() {
			m.probeServers(ctx)
		}
		if !wait.For(ctx, probePause) {
			return
		}
	}
}

// suspicious reports whether connections to several servers failed and none was opened since.
func (m *Monitor) suspicious() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.failed) >= suspectServers
}

// probeServers opens connections to some servers at once. The VM is isolated if all fail.
func (m *Monitor) probeServers(ctx context.Context) {
	servers := m.candidates()
	var reached atomic.Bool
	var probes sync.WaitGroup
	for _, server := range servers {
		probes.Go(func() {
			err := m.probe(ctx, server)
			if err == nil {
				reached.Store(true)
			}
		})
	}
	probes.Wait()
	if len(servers) == 0 || ctx.Err() != nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.set(!reached.Load())
	if reached.Load() {
		clear(m.failed)
	}
}

// candidates returns servers to probe, at random: those that have not failed lately first.
func (m *Monitor) candidates() []*registry.Server {
	all := m.servers()
	m.mu.Lock()
	defer m.mu.Unlock()
	var picked, failed []*registry.Server
	local, remote := 0, 0
	for _, i := range rand.Perm(len(all)) {
		s := all[i]
		count, limit := &remote, remoteProbes
		if s.FailureDomain == m.domain {
			count, limit = &local, localProbes
		}
		_, bad := m.failed[s.Instance()]
		switch {
		case bad:
			failed = append(failed, s)
		case *count < limit:
			*count++
			picked = append(picked, s)
		}
	}
	if missing := localProbes + remoteProbes - len(picked); missing > 0 {
		picked = append(picked, failed[:min(missing, len(failed))]...)
	}
	return picked
}
