package daemon

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"syscall"
	"testing"
	"time"

	"kumquatcleat/internal/backend"
	"kumquatcleat/internal/config"
	"kumquatcleat/internal/logging"
	"kumquatcleat/internal/ownership"
	"kumquatcleat/internal/platform"
	"kumquatcleat/internal/platformclient"
	"kumquatcleat/internal/routing"
	"kumquatcleat/internal/settings"
	"kumquatcleat/internal/standin"
)

// waitTimeout bounds each wait for a condition that must become true. It is far above
// every latency target, so that a slow machine does not fail a test.
const waitTimeout = 60 * time.Second

// testCluster runs stand-ins for the platform and the servers and several daemons on
// loopback, all in the test process.
type testCluster struct {
	t        *testing.T
	platform *standin.Platform
	address  string // of the platform
	service  *config.Service
	servers  map[string]*testServer
	vms      []*testVM
	tune     func(*settings.Settings)
}

type testServer struct {
	*standin.Server
	http *httptest.Server
}

// kill stops a server abruptly, as the failure of its VM does.
func (s *testServer) kill() {
	s.http.CloseClientConnections()
	s.http.Close()
}

type testVM struct {
	*Daemon
	stop   context.CancelFunc
	exited chan error
}

// kill stops a daemon abruptly, as the failure of its VM does: it hands over no role.
func (v *testVM) kill() {
	v.cancel()
	v.callerServer.close()
	_ = v.peerServer.Close()
}

func (v *testVM) url(path string) string { return "http://" + v.settings.Listen + path }

func freeAddress(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().String()
}

func newTestCluster(t *testing.T, vms int, changes ...func(*config.Service)) *testCluster {
	t.Helper()
	return newTunedTestCluster(t, vms, func(*settings.Settings) {}, changes...)
}

// newTunedTestCluster is newTestCluster with tune applied to the daemons' settings.
func newTunedTestCluster(t *testing.T, vms int, tune func(*settings.Settings), changes ...func(*config.Service)) *testCluster {
	t.Helper()
	logging.Setup(io.Discard, slog.LevelInfo)
	platformStandin := standin.NewPlatform(standin.PlatformSettings{})
	httpServer := httptest.NewServer(platformStandin)
	t.Cleanup(httpServer.Close)
	c := &testCluster{t: t, platform: platformStandin, address: strings.TrimPrefix(httpServer.URL, "http://"), servers: map[string]*testServer{}, tune: tune}
	c.service = &config.Service{
		Schema: config.Schema1, Version: 1, Name: "swapbay", SlotCount: 16, Domains: []string{"a"},
		Rules: []config.Rule{{PathPrefix: "/listings", KeyPrefix: "/listings/"}},
	}
	for i := 1; i <= 3; i++ {
		c.addServer(fmt.Sprintf("s%d", i))
	}
	for _, change := range changes {
		change(c.service)
	}
	c.apply(c.service, 0)
	for i := 1; i <= vms; i++ {
		c.startVM(fmt.Sprintf("vm-%d", i))
	}
	for _, vm := range c.vms {
		c.waitFor("ready", func() bool { return vm.notReady() == "" && c.get(vm, "/swapbay/listings/first") == http.StatusOK })
	}
	return c
}

func (c *testCluster) addServer(id string) {
	serverStandin := standin.NewServer(standin.ServerSettings{ID: id, FailureDomain: "a", Slots: 6, Checks: true, WorkMS: 1})
	httpServer := httptest.NewServer(serverStandin)
	c.t.Cleanup(httpServer.Close)
	c.servers[id] = &testServer{Server: serverStandin, http: httpServer}
	c.service.Servers = append(c.service.Servers, config.Server{
		ID: id, FailureDomain: "a", Address: strings.TrimPrefix(httpServer.URL, "http://"),
		Slots: 6, Connections: 130, Checks: true,
	})
}

// apply writes a record to the table if the current version is expect.
func (c *testCluster) apply(service *config.Service, expect uint64) {
	c.t.Helper()
	data, err := json.Marshal(service)
	if err != nil {
		c.t.Fatal(err)
	}
	acceptor := &config.Acceptor{Table: platformclient.New(c.address)}
	if _, err := acceptor.Apply(context.Background(), data, expect); err != nil {
		c.t.Fatal(err)
	}
}

// startVM starts a daemon and waits until it listens. If another process takes a free
// port before the daemon does, startVM retries with other ports.
func (c *testCluster) startVM(id string, peers ...string) *testVM {
	c.t.Helper()
	const attempts = 10
	for range attempts {
		vm := c.tryStartVM(id, peers)
		if vm.listens() {
			c.vms = append(c.vms, vm)
			return vm
		}
	}
	c.t.Fatalf("VM %s did not start: no free ports", id)
	return nil
}

func (c *testCluster) tryStartVM(id string, peers []string) *testVM {
	c.t.Helper()
	s := settings.Default()
	s.ID, s.Incarnation, s.Embedded = id, "p-"+id, false
	s.Peers = peers
	s.Placement.MoveBudget = 0 // slots move only because of the fault that a test injects
	c.tune(s)
	s.Listen, s.PeerListen, s.Platform = freeAddress(c.t), freeAddress(c.t), c.address
	c.platform.SetVM(platform.VM{
		ID: id, Incarnation: s.Incarnation, Role: "entry", FailureDomain: "a", Address: s.PeerListen, State: platform.VMLive,
	})
	d, err := New(s)
	if err != nil {
		c.t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	vm := &testVM{Daemon: d, stop: stop, exited: make(chan error, 1)}
	go func() { vm.exited <- d.Run(ctx) }()
	c.t.Cleanup(func() {
		if d.cancel != nil {
			vm.kill()
		}
		stop()
	})
	return vm
}

// listens waits until the daemon listens or exits, and reports whether it listens.
func (v *testVM) listens() bool {
	for {
		select {
		case <-v.exited:
			return false
		case <-time.After(10 * time.Millisecond):
		}
		conn, err := net.Dial("tcp", v.settings.Listen)
		if err == nil {
			_ = conn.Close()
			return true
		}
	}
}

// waitFor polls a condition and fails the test if it is still false after waitTimeout.
func (c *testCluster) waitFor(what string, condition func() bool) {
	c.t.Helper()
	deadline := time.Now().Add(waitTimeout)
	for !condition() {
		if time.Now().After(deadline) {
			c.t.Fatalf("timed out waiting for %s", what)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// answer is the response to a caller's request.
type answer struct {
	status  int
	outcome string
	server  string
	ticket  string
	refusal routing.Refusal
}

// call sends one request through a VM.
func (c *testCluster) call(vm *testVM, method, path string, header ...string) (answer, error) {
	req, err := http.NewRequest(method, vm.url(path), strings.NewReader("body"))
	if err != nil {
		c.t.Fatal(err)
	}
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return answer{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	a := answer{
		status:  resp.StatusCode,
		outcome: resp.Header.Get(routing.HeaderOutcome),
		server:  resp.Header.Get(backend.HeaderServer),
		ticket:  resp.Header.Get(routing.HeaderTicket),
	}
	data, err := io.ReadAll(resp.Body)
	if err == nil && a.outcome != "" {
		err = json.Unmarshal(data, &a.refusal)
	}
	return a, err
}

func (c *testCluster) get(vm *testVM, path string) int {
	a, err := c.call(vm, http.MethodGet, path)
	if err != nil {
		return 0
	}
	return a.status
}

// runs counts the matching runs on all servers, except refused ones.
func (c *testCluster) runs(match func(standin.RunRecord) bool) int {
	n := 0
	for _, server := range c.servers {
		for _, record := range server.Runs() {
			if record.Outcome != standin.RunRefused && match(record) {
				n++
			}
		}
	}
	return n
}

// keeper returns the keeper of the service's only group and another VM. It waits until
// there is also a standby.
func (c *testCluster) keeper() (keeper, other *testVM) {
	c.t.Helper()
	c.waitFor("a keeper with a standby that knows of its role", func() bool {
		keeper, other = nil, nil
		standby := false
		for _, vm := range c.vms {
			run, ok := vm.groups.find("swapbay/a/0")
			if ok && c.keeps(vm, run) {
				keeper = vm
				continue
			}
			standby = standby || ok && c.standsBy(run)
			other = vm
		}
		return keeper != nil && standby
	})
	return keeper, other
}

// standsBy reports whether a VM knows that it is the standby. The standby of a new group
// learns this from its next read of the row.
func (c *testCluster) standsBy(run *groupRun) bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	st, err := run.driver.Status(ctx)
	return err == nil && st.Role == ownership.RoleStandby
}

func (c *testCluster) keeps(vm *testVM, run *groupRun) bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	st, err := run.driver.Status(ctx)
	return err == nil && st.Role == ownership.RoleKeeper && st.Keeper == vm.self && !st.Standby.IsZero()
}

// isRefusedConnection reports whether a dial failed because nothing listens there.
func isRefusedConnection(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }
