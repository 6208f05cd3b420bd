package reachability

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"kumquatcleat/internal/registry"
)

var errDown = errors.New("connection refused")

// rig is a VM of domain a before servers of two domains, some of which are down.
type rig struct {
	monitor *Monitor
	servers []*registry.Server

	mu      sync.Mutex // guards the fields below
	down    map[string]bool
	probes  int
	changes []bool
}

func newRig(t *testing.T) *rig {
	t.Helper()
	r := &rig{down: map[string]bool{}}
	for i := range 20 {
		r.servers = append(r.servers, &registry.Server{ID: fmt.Sprint("s", i), Incarnation: 1, FailureDomain: string(rune('a' + i%2))})
	}
	r.monitor = NewMonitor("a", func() []*registry.Server { return r.servers }, func(_ context.Context, s *registry.Server) error {
		r.mu.Lock()
		r.probes++
		r.mu.Unlock()
		return r.dial(s)
	}, func(isolated bool) { r.changes = append(r.changes, isolated) })
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	running.Go(func() { r.monitor.Run(ctx) })
	t.Cleanup(func() { cancel(); running.Wait() })
	return r
}

// dial opens a connection and reports the result, as the pool does.
func (r *rig) dial(s *registry.Server) error {
	r.mu.Lock()
	down := r.down[s.ID]
	r.mu.Unlock()
	var err error
	if down {
		err = errDown
	}
	r.monitor.Dialed(s, err)
	return err
}

func (r *rig) probeCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.probes
}

func (r *rig) setDown(down bool, which func(*registry.Server) bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range r.servers {
		if which(s) {
			r.down[s.ID] = down
		}
	}
}

// A VM that reaches no server is isolated soon, and no longer once it reaches one again.
func TestVMIsIsolatedWhileNoServerCanBeReached(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t)
		r.setDown(true, func(*registry.Server) bool { return true })
		for _, s := range r.servers[:suspectServers] {
			_ = r.dial(s)
		}
		time.Sleep(time.Second)
		if !r.monitor.Isolated() {
			t.Fatal("a VM that reaches no server is not isolated")
		}
		r.setDown(false, func(*registry.Server) bool { return true })
		time.Sleep(time.Second)
		if r.monitor.Isolated() || fmt.Sprint(r.changes) != "[true false]" {
			t.Fatalf("got isolated %v, changes %v after the servers are back", r.monitor.Isolated(), r.changes)
		}
	})
}

// Servers that are down together, or a failure domain that is cut off from the others, do not
// make a VM isolated.
func TestVMThatReachesServersOfItsDomainIsNotIsolated(t *testing.T) {
	for name, which := range map[string]func(*registry.Server) bool{
		"the other domain": func(s *registry.Server) bool { return s.FailureDomain == "b" },
		"half of the own":  func(s *registry.Server) bool { return s.FailureDomain == "a" && s.ID >= "s2" && s.ID < "s9" },
	} {
		synctest.Test(t, func(t *testing.T) {
			r := newRig(t)
			r.setDown(true, which)
			for range 50 {
				for _, s := range r.servers {
					if which(s) {
						_ = r.dial(s)
					}
				}
				if r.monitor.Isolated() {
					t.Fatalf("%s: isolated", name)
				}
				time.Sleep(100 * time.Millisecond)
			}
			if probes := r.probeCount(); probes > 60*(localProbes+remoteProbes) {
				t.Errorf("%s: got %d probes in 5 s", name, probes)
			}
		})
	}
}

// Nothing is probed while servers can be reached.
func TestNothingIsProbedWithoutSuspicion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t)
		r.setDown(true, func(s *registry.Server) bool { return s.ID == "s0" || s.ID == "s1" })
		for i := range 1000 {
			_ = r.dial(r.servers[i%len(r.servers)])
		}
		time.Sleep(10 * time.Second)
		if probes := r.probeCount(); probes > 0 || r.monitor.Isolated() {
			t.Errorf("got %d probes, isolated %v", probes, r.monitor.Isolated())
		}
	})
}

// Open connections may live on while no new one can be opened.
func TestConnectionsAreLiveWhileServersAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t)
		if r.monitor.ConnectionsLive() {
			t.Error("live before any answer")
		}
		r.monitor.Answered()
		time.Sleep(liveTime / 2)
		if !r.monitor.ConnectionsLive() {
			t.Error("not live shortly after an answer")
		}
		time.Sleep(liveTime)
		if r.monitor.ConnectionsLive() {
			t.Error("live although no server has answered lately")
		}
	})
}
