package dispatch

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"kumquatcleat/internal/keyspace"
	"kumquatcleat/internal/registry"
	"kumquatcleat/internal/retry"
	"kumquatcleat/internal/rows"
	"kumquatcleat/internal/serverconn"
)

// crashFleet is several VMs before servers that end when they begin to run a certain request.
// It runs in the virtual time of a synctest bubble.
type crashFleet struct {
	vms        []*Core
	registries []*registry.Registry
	owners     []*keyspace.Owners
	service    time.Duration
	scenario   crashScenario
	crashFrom  time.Time // the request crashes no server before

	mu        sync.Mutex // guards the fields below
	servers   map[string]*crashServer
	keyOwner  string // address
	record    uint64 // version of the owners record
	crashes   []crash
	posts     map[int]retry.Post // by VM
	processes int
	running   map[*Core]int // number of the process
	ended     bool
	refusedOK int // harmless requests that were refused as if they crashed servers
	served    int
}

// crashScenario describes a request that crashes servers, and its callers.
type crashScenario struct {
	vms   int
	path  string
	pause time.Duration // between requests, on average
	// runsWellFor is how long the request runs like any other before it begins to crash servers.
	runsWellFor time.Duration
	// failedRuns is the share of its runs that the server answers with status 500.
	failedRuns float64
	// changingQuery says that each repeat has another query, or none.
	changingQuery bool
	// callerLeavesAfter is how long callers wait for its answer; 0: as long as others.
	callerLeavesAfter time.Duration
	// runsFor is how long the request runs until its server ends.
	runsFor time.Duration
	// silent says that ended servers break no connection and refuse none.
	silent  bool
	popular string // path of a harmless page, one of five requests
	// exchangeFrom is when VMs begin to exchange what they saw, after the start.
	exchangeFrom time.Duration
}

func (c crashScenario) String() string {
	return fmt.Sprintf("%d VMs, %s each %v", c.vms, c.path, c.pause)
}

// target returns the target of the next request that crashes servers.
func (c crashScenario) target() string {
	if query := rand.IntN(40); c.changingQuery && query > 0 {
		return fmt.Sprintf("%s?page=%d&sort=new", c.path, query)
	}
	return c.path
}

// crash is the end of a server under the request that crashes servers.
type crash struct {
	at time.Time
	// settled says that the VM which sent the request had run for crashSettle. Operators
	// excuse one that has just started.
	settled bool
}

type crashServer struct {
	registry.Server
	lives     int
	downUntil time.Time
	crashed   chan struct{} // closed when this life ends
}

const (
	crashDowntime  = 4 * time.Second
	silentRemoval  = 2600 * time.Millisecond // of a registration after a server has ended
	registryDelay  = 300 * time.Millisecond  // until a VM hears of a registration, at most
	ownerMoveDelay = 1500 * time.Millisecond
)

func newCrashFleet(scenario crashScenario, servers int) *crashFleet {
	vms := scenario.vms
	f := &crashFleet{service: 60 * time.Millisecond, scenario: scenario, servers: map[string]*crashServer{}, running: map[*Core]int{}, posts: map[int]retry.Post{},
		crashFrom: time.Now().Add(crashLead + scenario.runsWellFor)}
	for i := range servers {
		for _, service := range []string{"plain", "keyed"} {
			address := fmt.Sprintf("%s%d", service, i)
			f.servers[address] = &crashServer{crashed: make(chan struct{}), Server: registry.Server{
				ID: address, Address: address, Service: service, Slots: 6, Incarnation: 1, FailureDomain: fmt.Sprint(i % fleetDomains)}}
		}
	}
	for vm := range vms {
		f.addVM(vm, vms)
	}
	f.moveKeys("keyed0")
	return f
}

// addVM adds a VM, or replaces one that has ended.
func (f *crashFleet) addVM(vm, vms int) {
	r, owners := registry.New(), keyspace.NewOwners()
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range f.servers {
		if time.Now().After(s.downUntil) {
			r.Put(s.Server)
		}
	}
	if f.record > 0 {
		owners.Apply(f.ownersRecord())
	}
	core := newFleetVM(vm, vms, f.service, r, owners, crashSender{f, time.Now()}, f.probe)
	core.Suspicions.Quarantine().TryEarly(func() bool { return vm == 0 })
	f.processes++
	go f.exchange(vm, core, retry.NewExchange(core.Suspicions.Quarantine()))
	if vm < len(f.vms) {
		f.vms[vm], f.registries[vm], f.owners[vm] = core, r, owners
		return
	}
	f.vms, f.registries, f.owners = append(f.vms, core), append(f.registries, r), append(f.owners, owners)
}

// exchange shares the quarantine of a VM through the first one, which coordinates, while it runs.
func (f *crashFleet) exchange(vm int, core *Core, exchange *retry.Exchange) {
	f.mu.Lock()
	f.running[core] = f.processes
	f.mu.Unlock()
	unanswered := NewUnansweredReports(core.Suspicions)
	exchangeFrom := f.crashFrom.Add(f.scenario.exchangeFrom - f.scenario.runsWellFor - crashLead)
	for {
		time.Sleep(exchangeInterval)
		f.mu.Lock()
		coordinator, process, running := f.vms[0], fmt.Sprint(f.running[f.vms[0]]), f.vms[vm] == core && !f.ended
		f.mu.Unlock()
		if !running {
			return
		}
		f.post(vm, exchange.Post(vm == 0))
		switch {
		case vm == 0:
		case time.Now().Before(exchangeFrom):
			exchange.Failed()
		default:
			lost, number := unanswered.Next()
			core.Suspicions.Learn(coordinator.Suspicions.Exchange(lost))
			unanswered.Delivered(process, number)
			report, change := exchange.Report()
			exchange.Delivered(change, retry.Answer(coordinator.Suspicions.Quarantine(), process, report))
		}
	}
}

// post writes what a VM posts to the store, from which all others read it.
func (f *crashFleet) post(vm int, post retry.Post) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if post.Change == f.posts[vm].Change {
		return
	}
	f.posts[vm] = post
	postedAt := time.Now()
	for other := range f.vms {
		time.AfterFunc(postDelay/3+time.Duration(rand.Int64N(int64(postDelay))), func() {
			f.mu.Lock()
			core := f.vms[other]
			f.mu.Unlock()
			list := slices.Clone(post.Suspects)
			for i := range list {
				list[i].TTL -= time.Since(postedAt)
			}
			core.Suspicions.Quarantine().Merge(list)
		})
	}
}

// postDelay is about how long a post takes to reach other VMs.
const postDelay = 600 * time.Millisecond

// exchangeInterval is the interval of the VMs' load reports.
const exchangeInterval = 400 * time.Millisecond

// moveKeys gives all keys to a server. The caller does not hold the lock.
func (f *crashFleet) moveKeys(address string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.record++
	f.keyOwner = address
	for _, o := range f.owners {
		o.Apply(f.ownersRecord())
	}
}

func (f *crashFleet) ownersRecord() []rows.Row {
	s := f.servers[f.keyOwner]
	return []rows.Row{{Key: "keyed", Version: f.record, Value: fmt.Appendf(nil,
		`{"ranges":[{"from":0,"to":100,"owner":{"server":%q,"incarnation":%d},"fence":1}]}`, s.ID, s.Incarnation)}}
}

// eachVM calls change for the registry of each VM, after a delay of its own.
func (f *crashFleet) eachVM(change func(*registry.Registry)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, r := range f.registries {
		time.AfterFunc(time.Duration(rand.Int64N(int64(registryDelay))), func() { change(r) })
	}
}

// crashIn ends a server in a while, unless it has ended by then. The caller holds the lock.
func (f *crashFleet) crashIn(in time.Duration, s *crashServer, settled bool) {
	if in == 0 {
		f.crash(s, settled)
		return
	}
	life := s.lives
	time.AfterFunc(in, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		if s.lives == life && time.Now().After(s.downUntil) {
			f.crash(s, settled)
		}
	})
}

// crash ends a server, which starts again under another ID. The caller holds the lock.
func (f *crashFleet) crash(s *crashServer, settled bool) {
	now := time.Now()
	f.crashes = append(f.crashes, crash{now, settled})
	s.downUntil = now.Add(crashDowntime)
	close(s.crashed)
	old := s.Server
	time.AfterFunc(silentRemoval, func() { f.eachVM(func(r *registry.Registry) { r.Remove(old.ID, "its entry is gone") }) })
	time.AfterFunc(crashDowntime, func() {
		f.mu.Lock()
		s.lives++
		s.ID, s.Incarnation, s.crashed = fmt.Sprintf("%s-%d", s.Address, s.lives), s.Incarnation+1, make(chan struct{})
		again := s.Server
		f.mu.Unlock()
		f.eachVM(func(r *registry.Registry) { r.Put(again) })
	})
	if s.Address == f.keyOwner {
		time.AfterFunc(ownerMoveDelay, func() {
			f.mu.Lock()
			next := f.keyOwner
			for address, other := range f.servers {
				if other.Service == "keyed" && !time.Now().Before(other.downUntil) {
					next = address
				}
			}
			f.mu.Unlock()
			f.moveKeys(next)
		})
	}
}

// crashSender sends the requests of a VM to the servers of a crashFleet.
type crashSender struct {
	fleet   *crashFleet
	started time.Time // the VM
}

const connectTime = time.Millisecond

var errConnectionRefused = &serverconn.Failure{Progress: serverconn.NotSent, Refused: true, Err: syscall.ECONNREFUSED}

func (c crashSender) Do(ctx context.Context, r *serverconn.Request) (*serverconn.Response, *serverconn.Failure) {
	f := c.fleet
	time.Sleep(connectTime)
	f.mu.Lock()
	s := f.servers[r.Server.Address]
	if time.Now().Before(s.downUntil) {
		f.mu.Unlock()
		if f.scenario.silent {
			time.Sleep(connectTimeout)
			return nil, &serverconn.Failure{Progress: serverconn.NotSent, Err: context.DeadlineExceeded}
		}
		return nil, errConnectionRefused
	}
	if s.ID != r.Server.ID {
		f.mu.Unlock()
		return &serverconn.Response{Status: http.StatusMisdirectedRequest, NotStarted: true, ServerID: s.ID, Header: http.Header{}}, nil
	}
	lost := s.crashed
	status := http.StatusOK
	if path, _, _ := strings.Cut(r.Target, "?"); path == f.scenario.path && !time.Now().Before(f.crashFrom) {
		status = http.StatusInternalServerError
		if rand.Float64() >= f.scenario.failedRuns {
			f.crashIn(f.scenario.runsFor, s, time.Since(c.started) >= crashSettle)
		}
	}
	f.mu.Unlock()
	if f.scenario.silent {
		lost = nil
	}
	took := time.Duration((0.3 + rand.ExpFloat64()*0.7) * float64(f.service))
	if status != http.StatusOK {
		took = max(took, f.scenario.runsFor+time.Millisecond)
	}
	select {
	case <-lost:
		return nil, &serverconn.Failure{Progress: serverconn.Sent, Reset: true, Err: io.EOF}
	case <-ctx.Done():
		return nil, &serverconn.Failure{Progress: serverconn.Sent, Unanswered: true, Err: ctx.Err()}
	case <-time.After(time.Until(r.Deadline)):
		return nil, &serverconn.Failure{Progress: serverconn.Sent, Unanswered: true, Err: os.ErrDeadlineExceeded}
	case <-time.After(took):
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if time.Now().Before(s.downUntil) { // the server ended silently
		f.mu.Unlock()
		time.Sleep(time.Until(r.Deadline))
		f.mu.Lock()
		return nil, &serverconn.Failure{Progress: serverconn.Sent, Unanswered: true, Err: os.ErrDeadlineExceeded}
	}
	return &serverconn.Response{Status: status, Header: http.Header{}}, nil
}

// connectTimeout is how long a VM waits for a connection.
const connectTimeout = 300 * time.Millisecond

// probe opens a connection to a server and reports whether it was refused.
func (f *crashFleet) probe(_ context.Context, server *registry.Server) bool {
	time.Sleep(connectTime)
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Now().Before(f.servers[server.Address].downUntil) && !f.scenario.silent
}

// request sends one request to a random VM.
func (f *crashFleet) request(ctx context.Context, target string) *Answer {
	f.mu.Lock()
	vm := f.vms[rand.IntN(len(f.vms))]
	f.mu.Unlock()
	return serveCrashRequest(ctx, vm, target)
}

func serveCrashRequest(ctx context.Context, vm *Core, target string) *Answer {
	path, _, _ := strings.Cut(target, "?")
	return vm.Serve(ctx, &Request{ID: "id", Method: "GET", Target: target, Path: path, Host: "h", Key: 7, HasKey: true, Arrived: time.Now(), Timeout: 800 * time.Millisecond})
}

// load sends harmless requests until a time: a part of them for the same popular page.
func (f *crashFleet) load(perSecond float64, until time.Time, requests *sync.WaitGroup) {
	for i := 0; time.Now().Before(until); i++ {
		time.Sleep(time.Duration(rand.ExpFloat64() / perSecond * float64(time.Second)))
		path := fmt.Sprint([]string{"/p/", "/k/", "/u/"}[i%3], "page", i)
		if i%5 == 0 {
			path = cmp.Or(f.scenario.popular, "/p/popular")
		}
		requests.Go(func() {
			answer := f.request(context.Background(), path)
			f.mu.Lock()
			defer f.mu.Unlock()
			switch {
			case answer.Status == http.StatusOK:
				f.served++
			case strings.Contains(answer.Message, "under fingerprint"):
				f.refusedOK++
			}
		})
	}
}

const (
	crashesBefore  = 3               // servers that may end before VMs have to know the request
	crashSettle    = 3 * time.Second // after the last of these
	crashesAllowed = 3               // sends that operators allow after that, over all VMs
)

// crashLead is when the first request that may crash servers is sent, after the start.
const crashLead = time.Second

// eachCrashScenario runs a test for fleets of several sizes, services and rates of the request,
// each with the given change.
func eachCrashScenario(t *testing.T, pauses []time.Duration, change func(*crashScenario)) {
	for _, vms := range []int{1, 12, 80} {
		for _, path := range []string{"/p/crash", "/u/crash", "/k/crash"} {
			for _, pause := range pauses {
				scenario := crashScenario{vms: vms, path: path, pause: pause}
				change(&scenario)
				t.Run(scenario.String(), func(t *testing.T) {
					t.Parallel()
					synctest.Test(t, func(t *testing.T) { testCrashingRequest(t, scenario) })
				})
			}
		}
	}
}

var crashPauses = []time.Duration{100 * time.Millisecond, 900 * time.Millisecond, 2 * time.Second}

// Guards against a request that crashes the servers which run it and that VMs send to ever more
// servers, because each of them counts the lost servers alone or does not notice their end.
func TestVMsTogetherStopRequestThatCrashesServers(t *testing.T) {
	eachCrashScenario(t, crashPauses[:2], func(*crashScenario) {})
}

// Guards against counting the servers that end under one request apart, because its repeats have
// other queries.
func TestVMsStopCrashingRequestWhoseQueryChanges(t *testing.T) {
	eachCrashScenario(t, crashPauses, func(c *crashScenario) { c.changingQuery = true })
}

// Guards against runs that excuse the servers lost after them: the request ran well until it began to
// crash servers.
func TestVMsStopRequestThatBeginsToCrashServers(t *testing.T) {
	for _, runsWellFor := range []time.Duration{3 * time.Second, 8 * time.Second} {
		eachCrashScenario(t, crashPauses, func(c *crashScenario) { c.runsWellFor = runsWellFor })
	}
}

// Guards against answers that say the server failed passing for good runs of a request that crashes
// other servers.
func TestVMsStopCrashingRequestThatFailsElsewhere(t *testing.T) {
	eachCrashScenario(t, crashPauses, func(c *crashScenario) { c.failedRuns = 0.3 })
}

// Guards against losses that nobody counts because the caller had left before the server ended.
func TestVMsStopCrashingRequestWhoseCallersLeave(t *testing.T) {
	eachCrashScenario(t, crashPauses, func(c *crashScenario) {
		c.callerLeavesAfter, c.runsFor = 30*time.Millisecond, 90*time.Millisecond
	})
}

// Guards against losses that nobody counts because servers end without breaking connections.
func TestVMsStopRequestUnderWhichServersFallSilent(t *testing.T) {
	eachCrashScenario(t, crashPauses, func(c *crashScenario) { c.silent = true })
}

// Guards against VMs that count alone while they can't reach the coordinator.
func TestVMsStopCrashingRequestWithoutCoordinator(t *testing.T) {
	eachCrashScenario(t, crashPauses, func(c *crashScenario) { c.exchangeFrom = 12 * time.Second })
}

// Guards against ways of losing count that show only together.
func TestVMsStopRequestsThatCrashServersInSeveralWays(t *testing.T) {
	for seed := range uint64(40) {
		r := rand.New(rand.NewPCG(seed, 0))
		upTo := func(limit time.Duration) time.Duration { return time.Duration(r.Int64N(int64(limit))) }
		c := crashScenario{
			vms: []int{1, 4, 12, 40, 80}[r.IntN(5)], path: []string{"/p/crash", "/u/crash", "/k/crash"}[r.IntN(3)],
			popular: []string{"/p/popular", "/u/popular", "/k/popular"}[r.IntN(3)],
			pause:   50*time.Millisecond + upTo(2500*time.Millisecond), runsFor: upTo(200 * time.Millisecond),
			changingQuery: r.IntN(2) == 0, silent: r.IntN(3) == 0,
		}
		if r.IntN(2) == 0 {
			c.runsWellFor = upTo(9 * time.Second)
		}
		if r.IntN(3) == 0 {
			c.failedRuns = r.Float64() * 0.7
		}
		if r.IntN(4) == 0 {
			c.callerLeavesAfter = 20*time.Millisecond + upTo(200*time.Millisecond)
		}
		if r.IntN(3) == 0 {
			c.exchangeFrom = upTo(16 * time.Second)
		}
		t.Run(fmt.Sprintf("seed %d, %v", seed, c), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) { testCrashingRequest(t, c) })
		})
	}
}

// Guards against a repeat that crashes another server although one is known to have ended under the
// same request elsewhere.
func TestSuspectedRequestIsNotRepeated(t *testing.T) {
	for _, ranSince := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			f := newCrashFleet(crashScenario{vms: 1, path: "/p/crash"}, 12)
			time.Sleep(crashLead)
			suspect := fingerprints(&Request{Method: "GET", Host: "h", Target: "/p/crash"})
			f.vms[0].Suspicions.Quarantine().ServerLost("plain", suspect, "elsewhere")
			want := 1
			if ranSince {
				time.Sleep(time.Millisecond)
				f.vms[0].Suspicions.Ran("plain", suspect)
				want = 2
			}
			answer := f.request(t.Context(), "/p/crash")
			f.finish(&sync.WaitGroup{})
			if len(f.crashes) != want || answer.Status != http.StatusBadGateway {
				t.Errorf("ran since the loss %v: got %d servers ended and status %d, want %d and 502", ranSince, len(f.crashes), answer.Status, want)
			}
		})
	}
}

// Guards against a second attempt, while the first one is overdue, that crashes another server
// although one is known to have ended under the same request.
func TestSuspectedRequestIsNotHedged(t *testing.T) {
	for _, lost := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			f := newCrashFleet(crashScenario{vms: 1, path: "/p/crash", silent: true}, 12)
			time.Sleep(crashLead)
			want := 2
			if lost {
				f.vms[0].Suspicions.Quarantine().ServerLost("plain", fingerprints(&Request{Method: "GET", Host: "h", Target: "/p/crash"}), "elsewhere")
				want = 1
			}
			f.request(t.Context(), "/p/crash")
			f.finish(&sync.WaitGroup{})
			if len(f.crashes) != want {
				t.Errorf("a server was lost elsewhere %v: got %d servers ended, want %d", lost, len(f.crashes), want)
			}
		})
	}
}

// Guards against forgetting the servers that ended under a request because the VM that sent it, or
// the coordinator (VM 0), ends before their registrations show it.
func TestLostServersAreKnownAfterTheirVMEnds(t *testing.T) {
	for sender := range 2 {
		t.Run(fmt.Sprint("VM ", sender), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newCrashFleet(crashScenario{vms: 3, path: "/p/crash", silent: true}, 12)
				time.Sleep(crashLead)
				serveCrashRequest(t.Context(), f.vms[sender], "/p/crash")
				time.Sleep(2 * exchangeInterval)
				f.addVM(sender, 3)
				time.Sleep(silentRemoval + 2*exchangeInterval)
				suspect := fingerprints(&Request{Method: "GET", Host: "h", Target: "/p/crash"})
				if known := f.vms[0].Suspicions.Quarantine().LostElsewhere("plain", suspect, nil); known != len(f.crashes) || known == 0 {
					t.Errorf("the coordinator knows of %d lost servers, %d ended", known, len(f.crashes))
				}
				f.finish(&sync.WaitGroup{})
			})
		})
	}
}

// Guards against refusing a harmless page because it was at work on servers that ended for other
// reasons, all at once or one after the other.
func TestHarmlessPageIsServedWhileServersEnd(t *testing.T) {
	for _, ends := range []struct {
		name    string
		servers int           // that end
		over    time.Duration // within
		each    time.Duration // repeated
		drain   time.Duration // how long they say before that they leave
	}{
		{"together", 4, 300 * time.Millisecond, 8 * time.Second, 0},
		{"in sequence", 8, 8 * time.Second, 10 * time.Second, 0},
		{"slowly in sequence", 3, 9 * time.Second, 10 * time.Second, 0},
		{"in a release", 8, 8 * time.Second, 10 * time.Second, 2 * time.Second},
	} {
		for _, vms := range []int{1, 12, 80} {
			for _, page := range []string{"/p/popular", "/u/popular", "/k/popular"} {
				t.Run(fmt.Sprintf("%d VMs, %s, servers end %s", vms, page, ends.name), func(t *testing.T) {
					t.Parallel()
					synctest.Test(t, func(t *testing.T) {
						f := newCrashFleet(crashScenario{vms: vms, popular: page, runsFor: time.Hour}, 12)
						until := time.Now().Add(crashTestDuration)
						var requests sync.WaitGroup
						requests.Go(func() { f.load(float64(30+vms*5), until, &requests) })
						for time.Now().Before(until) {
							start := time.Now()
							f.endServers(page, ends.servers, ends.over, ends.drain)
							time.Sleep(time.Until(start.Add(ends.each)))
						}
						f.finish(&requests)
						f.checkRefusals(t)
					})
				})
			}
		}
	}
}

// endServers ends servers of the service that serves a page, spread over a time, each after it has
// been draining.
func (f *crashFleet) endServers(page string, servers int, over, drain time.Duration) {
	service := "plain"
	if strings.HasPrefix(page, "/k/") {
		service = "keyed"
	}
	for i := range servers {
		f.mu.Lock()
		s := f.servers[f.keyOwner]
		if service == "plain" || i > 0 {
			s = f.servers[fmt.Sprint(service, rand.IntN(len(f.servers)/2))]
		}
		draining := s.Server
		f.mu.Unlock()
		if draining.Draining = drain > 0; draining.Draining {
			f.eachVM(func(r *registry.Registry) { r.Put(draining) })
		}
		time.AfterFunc(drain, func() {
			f.mu.Lock()
			defer f.mu.Unlock()
			if s.ID == draining.ID && time.Now().After(s.downUntil) {
				f.crash(s, true)
			}
		})
		time.Sleep(over / time.Duration(servers))
	}
}

const crashTestDuration = 30 * time.Second

func testCrashingRequest(t *testing.T, scenario crashScenario) {
	vms := scenario.vms
	f := newCrashFleet(scenario, 12)
	until := time.Now().Add(crashTestDuration)
	var requests sync.WaitGroup
	requests.Go(func() { f.load(float64(30+vms*5), until, &requests) })
	// VMs are replaced all the time: one that has just started knows nothing.
	requests.Go(func() {
		for time.Now().Before(until) && vms > 1 {
			time.Sleep(2 * time.Second)
			f.addVM(rand.IntN(vms), vms)
		}
	})
	time.Sleep(crashLead)
	for time.Now().Before(until) {
		requests.Go(func() {
			ctx, cancel := context.Background(), func() {}
			if scenario.callerLeavesAfter > 0 {
				ctx, cancel = context.WithTimeout(ctx, scenario.callerLeavesAfter)
			}
			defer cancel()
			f.request(ctx, scenario.target())
		})
		time.Sleep(scenario.pause/2 + time.Duration(rand.Int64N(int64(scenario.pause))))
	}
	f.finish(&requests)
	late := 0
	for _, c := range f.crashes {
		if len(f.crashes) >= crashesBefore && c.settled && c.at.After(f.crashes[crashesBefore-1].at.Add(crashSettle)) {
			late++
		}
	}
	t.Logf("%d servers ended, %d of them later than %v after the third", len(f.crashes), late, crashSettle)
	if late > crashesAllowed {
		t.Errorf("the request was sent %d times later than %v after it had crashed the third server, want at most %d", late, crashSettle, crashesAllowed)
	}
	f.checkRefusals(t)
}

// finish waits for the requests and ends the fleet.
func (f *crashFleet) finish(requests *sync.WaitGroup) {
	requests.Wait()
	time.Sleep(2 * crashDowntime)
	f.mu.Lock()
	f.ended = true
	f.mu.Unlock()
	time.Sleep(2 * exchangeInterval)
}

// checkRefusals fails the test if more harmless requests were refused than operators allow of
// requests that are proper.
func (f *crashFleet) checkRefusals(t *testing.T) {
	t.Logf("%d harmless requests served, %d refused as if they crashed servers", f.served, f.refusedOK)
	if f.refusedOK > 5+f.served/500 {
		t.Error("more harmless requests were refused than operators allow")
	}
}
