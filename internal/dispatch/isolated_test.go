package dispatch

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"kumquatcleat/internal/fault"
	"kumquatcleat/internal/keyspace"
	"kumquatcleat/internal/reachability"
	"kumquatcleat/internal/registry"
	"kumquatcleat/internal/rows"
	"kumquatcleat/internal/serverconn"
)

// cutKind is what happens to the links between a VM and all servers.
type cutKind int

const (
	linksUp     cutKind = iota
	linksSilent         // open connections and new ones hang
	linksReset          // open connections are reset, new ones refused
	linksRefuse         // open connections live on, new ones are refused
)

// isolationFleet is several VMs, some of which lose their links to all servers. It runs in the
// virtual time of a synctest bubble.
type isolationFleet struct {
	vms   []*isolationVM
	cutAt time.Time

	mu   sync.Mutex     // guards runs
	runs map[string]int // by request ID
}

// isolationVM is one VM. It is the sender, the relay and the connection pool of its core.
type isolationVM struct {
	fleet   *isolationFleet
	core    *Core
	monitor *reachability.Monitor

	mu    sync.Mutex // guards the fields below
	links cutKind
	idle  map[string]int // open connections, by server ID
}

const (
	isolationServers  = 12
	isolationSlots    = 6
	isolationDialTime = 300 * time.Millisecond // until a connection that hangs is given up
	relayHop          = 3 * time.Millisecond
)

func newIsolationFleet(t *testing.T, vms int) *isolationFleet {
	t.Helper()
	f := &isolationFleet{runs: map[string]int{}}
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	t.Cleanup(func() { cancel(); running.Wait() })
	for i := range vms {
		r, owners := registry.New(), keyspace.NewOwners()
		ranges := ""
		for j := range isolationServers {
			for _, service := range []string{"plain", "keyed"} {
				r.Put(registry.Server{ID: fmt.Sprint(service, j), Service: service, Slots: isolationSlots, Incarnation: 1, FailureDomain: fmt.Sprint(j % fleetDomains)})
			}
			ranges += fmt.Sprintf(`,{"from":%d,"to":%d,"owner":{"server":"keyed%d","incarnation":1},"fence":1}`, j*100, j*100+99, j)
		}
		owners.Apply([]rows.Row{{Key: "keyed", Version: 1, Value: []byte(`{"ranges":[` + ranges[1:] + `]}`)}})
		vm := &isolationVM{fleet: f, idle: map[string]int{}}
		vm.monitor = reachability.NewMonitor(fmt.Sprint(i%fleetDomains), r.All, vm.dial, func(bool) {})
		vm.core = newFleetVM(i, vms, 60*time.Millisecond, r, owners, vm, nil)
		vm.core.Reach, vm.core.Relay, vm.core.HasIdleConnection = vm.monitor, vm, vm.hasIdle
		running.Go(func() { vm.monitor.Run(ctx) })
		f.vms = append(f.vms, vm)
	}
	return f
}

func (v *isolationVM) hasIdle(s *registry.Server) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.idle[s.ID] > 0
}

func (v *isolationVM) linksNow() cutKind {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.links
}

// dial opens a connection.
func (v *isolationVM) dial(ctx context.Context, s *registry.Server) error {
	time.Sleep(time.Millisecond)
	var err error
	switch v.linksNow() {
	case linksSilent:
		select {
		case <-time.After(isolationDialTime):
			err = errors.New("i/o timeout")
		case <-ctx.Done():
			return ctx.Err()
		}
	case linksReset, linksRefuse:
		err = syscall.ECONNREFUSED
	}
	v.monitor.Dialed(s, err)
	if err == nil {
		v.put(s)
	}
	return err
}

func (v *isolationVM) put(s *registry.Server) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.links != linksReset {
		v.idle[s.ID] = min(v.idle[s.ID]+1, isolationSlots)
	}
}

// takeIdle removes an open connection to a server.
func (v *isolationVM) takeIdle(s *registry.Server) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.idle[s.ID] == 0 {
		return false
	}
	v.idle[s.ID]--
	return true
}

// Do implements Sender.
func (v *isolationVM) Do(ctx context.Context, r *serverconn.Request) (*serverconn.Response, *serverconn.Failure) {
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	defer cancel()
	if !v.takeIdle(r.Server) {
		if err := v.dial(ctx, r.Server); err != nil {
			return nil, &serverconn.Failure{Progress: serverconn.NotSent, Refused: errors.Is(err, syscall.ECONNREFUSED), Err: err}
		}
		v.takeIdle(r.Server)
	}
	if v.linksNow() == linksSilent {
		<-ctx.Done()
		return nil, &serverconn.Failure{Progress: serverconn.Sent, Err: ctx.Err()}
	}
	v.fleet.mu.Lock()
	v.fleet.runs[r.ID]++
	v.fleet.mu.Unlock()
	select {
	case <-time.After(time.Duration((0.3 + rand.ExpFloat64()*0.7) * float64(60*time.Millisecond))):
	case <-ctx.Done():
		return nil, &serverconn.Failure{Progress: serverconn.Sent, Err: ctx.Err()}
	}
	switch v.linksNow() {
	case linksSilent:
		<-ctx.Done()
		return nil, &serverconn.Failure{Progress: serverconn.Sent, Err: ctx.Err()}
	case linksReset:
		return nil, &serverconn.Failure{Progress: serverconn.Sent, Reset: true, Err: io.EOF}
	}
	if rand.IntN(50) > 0 { // some servers close a connection after an answer
		v.put(r.Server)
	}
	return &serverconn.Response{Status: http.StatusOK, Header: http.Header{}}, nil
}

// Send implements Relay through a random VM.
func (v *isolationVM) Send(ctx context.Context, r *Request, deadline time.Time, _ uint64) RelayResult {
	for range 4 {
		other := v.fleet.vms[rand.IntN(len(v.fleet.vms))]
		if other == v {
			continue
		}
		time.Sleep(relayHop)
		relayed := *r
		relayed.Arrived, relayed.Timeout, relayed.Relayed = time.Now(), time.Until(deadline), true
		answer := other.core.Serve(ctx, &relayed)
		time.Sleep(relayHop)
		if answer.Refusal != fault.Isolated {
			return RelayResult{Answer: answer}
		}
	}
	return RelayResult{Err: errors.New("no VM takes the request")}
}

// tries are the first tries of callers at some VMs.
type tries struct{ served, all int }

func (t tries) share() float64 { return float64(t.served) / float64(max(t.all, 1)) }

// Guards against callers of VMs that reach no server: they were refused one by one, although the
// VM reached others that could serve them.
func TestCallersOfIsolatedVMsAreServed(t *testing.T) {
	for name, cut := range map[string]struct {
		links cutKind
		at    func(vm int) bool
	}{
		"silent, most VMs":                {linksSilent, func(vm int) bool { return vm%12 >= 4 }},
		"reset, most VMs":                 {linksReset, func(vm int) bool { return vm%12 >= 4 }},
		"refuse, most VMs":                {linksRefuse, func(vm int) bool { return vm%12 >= 4 }},
		"silent, a whole failure domain":  {linksSilent, func(vm int) bool { return vm%fleetDomains == 1 }},
		"reset, a whole failure domain":   {linksReset, func(vm int) bool { return vm%fleetDomains == 1 }},
		"refuse, a whole failure domain":  {linksRefuse, func(vm int) bool { return vm%fleetDomains == 1 }},
		"silent, one VM":                  {linksSilent, func(vm int) bool { return vm == 0 }},
		"silent, a part, again and again": {linksSilent, func(vm int) bool { return vm%12 < 3 }},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const vms, settle, length = 12, 3 * time.Second, 9 * time.Second
				f := newIsolationFleet(t, vms)
				var mu sync.Mutex
				var isolated, others tries
				begin := time.Now()
				end := begin.Add(2*time.Second + length)
				f.cutAt = begin.Add(2 * time.Second)
				setLinks := func(links cutKind) {
					for i, vm := range f.vms {
						if cut.at(i) {
							vm.mu.Lock()
							vm.links = links
							if links == linksReset {
								clear(vm.idle)
							}
							vm.mu.Unlock()
						}
					}
				}
				time.AfterFunc(time.Until(f.cutAt), func() { setLinks(cut.links) })
				var requests sync.WaitGroup
				for n := 0; time.Now().Before(end); n++ {
					time.Sleep(time.Duration(rand.ExpFloat64() * 4 * float64(time.Millisecond)))
					vm := rand.IntN(vms)
					path := fmt.Sprint([]string{"/p/", "/u/", "/k/"}[n%3], n)
					sent := time.Now()
					requests.Go(func() {
						answer := f.vms[vm].core.Serve(context.Background(), &Request{ID: fmt.Sprint("r", n), Method: "GET", Target: path, Path: path, Host: "h", Arrived: sent, Timeout: 800 * time.Millisecond, Key: uint32(rand.IntN(isolationServers * 100)), HasKey: true})
						f.mu.Lock()
						runs := f.runs[fmt.Sprint("r", n)]
						f.mu.Unlock()
						if answer.promisesNotRun() && runs > 0 || n%3 == 1 && runs > 1 {
							t.Errorf("request %s: got status %d (%s), it ran %d times", path, answer.Status, answer.Message, runs)
						}
						mu.Lock()
						defer mu.Unlock()
						if sent.Sub(f.cutAt) < settle {
							return
						}
						counted := &others
						if cut.at(vm) {
							counted = &isolated
						}
						counted.all++
						if answer.Status == http.StatusOK {
							counted.served++
						}
					})
				}
				requests.Wait()
				setLinks(linksUp)
				time.Sleep(2 * time.Second)
				t.Logf("first tries served: %d of %d at isolated VMs, %d of %d at others", isolated.served, isolated.all, others.served, others.all)
				failed := isolated.all - isolated.served
				if isolated.share() < others.share()*2/3 && failed > 10+isolated.all/50 {
					t.Errorf("callers of isolated VMs are served less than two thirds as often as others")
				}
				for i, vm := range f.vms {
					if vm.monitor.Isolated() {
						t.Errorf("VM %d is still isolated 2 s after its links are back", i)
					}
				}
			})
		})
	}
}

// isolatedButLive is a VM that can't open connections, while open ones live on.
type isolatedButLive struct{ alwaysReaching }

func (isolatedButLive) Isolated() bool { return true }

// Guards against callers of isolated VMs who are refused, because the VM that
// their request was sent through is isolated too and only has connections that are in use: it
// tried to open others, and refused the request as its own.
func TestRelayedRequestIsLeftToOthersWithoutOpenConnection(t *testing.T) {
	for path, key := range map[string]int{"/p/": -1, "/k/": 5} {
		for _, idle := range []bool{false, true} {
			f := newFixture(true, answers(http.StatusOK))
			f.setOwners(1, ownedByK0)
			f.core.Reach, f.core.HasIdleConnection = isolatedButLive{}, func(*registry.Server) bool { return idle }
			request := &Request{ID: "id", Method: "GET", Target: path, Path: path, Host: "h", Arrived: time.Now(), Timeout: time.Second, Relayed: true}
			if key >= 0 {
				request.Key, request.HasKey = uint32(key), true
			}
			answer := f.core.Serve(context.Background(), request)
			if idle && answer.Status != http.StatusOK || !idle && (answer.Refusal != fault.Isolated || len(f.sender.sent) != 0) {
				t.Errorf("%s, open connection %v: got answer %+v after attempts at %v, want 200 with one, otherwise a refusal as isolated without any attempt", path, idle, answer, f.sender.sent)
			}
		}
	}
	// Once a server has got the request, this VM may not claim that it did nothing.
	f := newFixture(true, fails(serverconn.Sent), answers(http.StatusOK))
	open := true
	f.core.Reach, f.core.HasIdleConnection = isolatedButLive{}, func(*registry.Server) bool {
		before := open
		open = false
		return before
	}
	answer := f.core.Serve(context.Background(), &Request{ID: "id", Method: "GET", Target: "/p/", Path: "/p/", Host: "h", Arrived: time.Now(), Timeout: time.Second, Relayed: true})
	if answer.Refusal == fault.Isolated || len(f.sender.sent) == 0 {
		t.Errorf("after an attempt: got answer %+v after attempts at %v, want anything but a refusal as isolated", answer, f.sender.sent)
	}
}
