package dispatch

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rcrowley/go-metrics"

	"kumquatcleat/internal/dialect"
	"kumquatcleat/internal/keyspace"
	"kumquatcleat/internal/ratelimit"
	"kumquatcleat/internal/registry"
	"kumquatcleat/internal/rows"
	"kumquatcleat/internal/serverconn"
)

// limitedFleet is several VMs before the servers of a plain and of a keyed service, some of
// which state a rate limit for a while. It runs in the virtual time of a synctest bubble.
type limitedFleet struct {
	vms     []*Core
	stated  map[string]float64 // rate limit by server ID
	from    time.Time          // limits are stated from here
	until   time.Time          // up to here
	quiet   [2]time.Time       // but not from the first of these times to the second
	service time.Duration      // mean service time

	mu       sync.Mutex             // guards the fields below
	arrivals map[string][]arrival   // by server ID
	told     map[string][]time.Time // by server ID: when each VM first got an answer with the limit
	answers  map[int]int            // count by status
}

type arrival struct {
	at time.Time
	vm int
}

// limited reports whether limits are stated at a time.
func (f *limitedFleet) limited(at time.Time) bool {
	quiet := !at.Before(f.quiet[0]) && at.Before(f.quiet[1])
	return !at.Before(f.from) && at.Before(f.until) && !quiet
}

// limitedSender is the sender of one VM.
type limitedSender struct {
	fleet *limitedFleet
	vm    int
}

func (s limitedSender) Do(ctx context.Context, r *serverconn.Request) (*serverconn.Response, *serverconn.Failure) {
	f := s.fleet
	f.mu.Lock()
	f.arrivals[r.Server.ID] = append(f.arrivals[r.Server.ID], arrival{time.Now(), s.vm})
	f.mu.Unlock()
	select {
	case <-time.After(time.Duration((0.3 + rand.ExpFloat64()*0.7) * float64(f.service))):
	case <-ctx.Done():
		return nil, &serverconn.Failure{Progress: serverconn.Sent, Err: ctx.Err()}
	}
	response := &serverconn.Response{Status: http.StatusOK, Header: http.Header{}, HasLoad: true, Load: dialect.Load{Running: 1, Slots: 6}}
	now := time.Now()
	if rate, limited := f.stated[r.Server.ID]; limited && f.limited(now) {
		response.RateLimit, response.HasRateLimit = rate, true
		f.mu.Lock()
		defer f.mu.Unlock()
		if f.told[r.Server.ID] == nil {
			f.told[r.Server.ID] = make([]time.Time, len(f.vms))
		}
		if f.told[r.Server.ID][s.vm].IsZero() {
			f.told[r.Server.ID][s.vm] = now
		}
	}
	return response, nil
}

// vmsIn returns how many of some VMs are in a failure domain.
func vmsIn(vms int, domain string) int {
	n := 0
	for vm := range vms {
		if fmt.Sprint(vm%fleetDomains) == domain {
			n++
		}
	}
	return n
}

func newLimitedFleet(vms, servers int, stated map[string]float64) *limitedFleet {
	f := &limitedFleet{stated: stated, service: 60 * time.Millisecond, arrivals: map[string][]arrival{}, told: map[string][]time.Time{}, answers: map[int]int{}}
	for vm := range vms {
		r := registry.New()
		for i := range servers {
			for _, service := range []string{"plain", "keyed"} {
				r.Put(registry.Server{ID: fmt.Sprintf("%s%d", service, i), Service: service, Slots: 6, Incarnation: 1, FailureDomain: fmt.Sprint(i % fleetDomains)})
			}
		}
		owners := keyspace.NewOwners()
		ranges := ""
		for i := range servers {
			ranges += fmt.Sprintf(`,{"from":%d,"to":%d,"owner":{"server":"keyed%d","incarnation":1},"fence":1}`, i*100, i*100+99, i)
		}
		owners.Apply([]rows.Row{{Key: "keyed", Version: 1, Value: []byte(`{"ranges":[` + ranges[1:] + `]}`)}})
		f.vms = append(f.vms, newFleetVM(vm, vms, f.service, r, owners, limitedSender{f, vm}, nil))
	}
	return f
}

// load sends requests at a rate per second to random VMs, until a time.
func (f *limitedFleet) load(path string, keys int, rate func() float64, until time.Time, requests *sync.WaitGroup) {
	for time.Now().Before(until) {
		time.Sleep(time.Duration(rand.ExpFloat64() / rate() * float64(time.Second)))
		vm := f.vms[rand.IntN(len(f.vms))]
		r := &Request{ID: "id", Method: "GET", Target: path, Path: path, Host: "h", Arrived: time.Now(), Timeout: 800 * time.Millisecond}
		r.Key, r.HasKey = uint32(rand.IntN(keys)), true
		requests.Go(func() {
			answer := vm.Serve(context.Background(), r)
			f.mu.Lock()
			defer f.mu.Unlock()
			f.answers[answer.Status]++
		})
	}
}

const (
	limitWindow = 4 * time.Second
	limitSettle = 3 * time.Second // from the first answer that states a limit
	toldDelay   = 500 * time.Millisecond
)

// excess returns the largest number of requests that a server got in one window from VMs
// that knew its limit, and what it should get at most.
func (f *limitedFleet) excess(server string) (got int, allowed float64) {
	told := f.told[server]
	var counted []time.Time
	for _, a := range f.arrivals[server] {
		if !a.at.Before(f.from.Add(limitSettle)) && a.at.Before(f.until) && !told[a.vm].IsZero() && a.at.Sub(told[a.vm]) >= toldDelay {
			counted = append(counted, a.at)
		}
	}
	for i := range counted {
		end, _ := slices.BinarySearchFunc(counted, counted[i].Add(limitWindow), time.Time.Compare)
		got = max(got, end-i)
	}
	return got, 1.5*f.stated[server]*limitWindow.Seconds() + 5
}

// Guards against servers that state a rate limit for all VMs together and are sent a
// multiple of it.
func TestVMsTogetherKeepToRateLimitOfServer(t *testing.T) {
	for _, c := range []struct {
		name         string
		vms, servers int
		plain, keyed float64 // requests per second
		stated       map[string]float64
	}{
		{"few VMs", 12, 13, 430, 60, map[string]float64{"plain0": 20.8, "plain1": 1.3, "keyed2": 3, "keyed3": 0.4}},
		{"many VMs", 80, 40, 900, 300, map[string]float64{"plain0": 12.9, "plain1": 0.5, "keyed2": 5}},
		{"every server of a service", 12, 4, 200, 40, map[string]float64{"plain0": 8, "plain1": 8, "plain2": 8, "plain3": 8}},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				start := time.Now()
				f := newLimitedFleet(c.vms, c.servers, c.stated)
				f.from, f.until = start.Add(2*time.Second), start.Add(22*time.Second)
				var requests sync.WaitGroup
				requests.Go(func() { f.load("/p/", 1, func() float64 { return c.plain }, f.until, &requests) })
				// A burst after a quiet time must not spend what was saved up.
				keyed := func() float64 {
					if at := time.Since(start); at > 8*time.Second && at < 12*time.Second {
						return c.keyed / 10
					}
					return c.keyed
				}
				requests.Go(func() { f.load("/k/", c.servers*100, keyed, f.until, &requests) })
				requests.Wait()
				for server := range c.stated {
					got, allowed := f.excess(server)
					t.Logf("%s: at most %d requests in %v, %.0f allowed; %d in all", server, got, limitWindow, allowed, len(f.arrivals[server]))
					if float64(got) > allowed {
						t.Errorf("%s states a limit of %v/s: got %d requests in %v from VMs that knew it, want at most %.0f", server, c.stated[server], got, limitWindow, allowed)
					}
				}
				t.Logf("answers by status: %v", f.answers)
			})
		})
	}
}

// exchangeStatements passes on what VMs learn of limits, as their load reports do, until a time.
func (f *limitedFleet) exchangeStatements(until time.Time) {
	const reporting = 400 * time.Millisecond
	board, start := ratelimit.NewBoard(), time.Now()
	for time.Now().Before(until) {
		for _, vm := range f.vms {
			time.Sleep(reporting / time.Duration(len(f.vms)))
			now := time.Now()
			board.Add(now.Sub(start), vm.RateLimits.TakeStatements(now))
			vm.RateLimits.Learn(now, board.Changes(now.Sub(start)))
		}
	}
}

// stillLimited returns how many VMs hold a rate limit of some server.
func (f *limitedFleet) stillLimited() int {
	n := 0
	for _, vm := range f.vms {
		if metrics.GetOrRegisterGauge("servers_rate_limited", vm.Metrics).Value() > 0 {
			n++
		}
	}
	return n
}

// between returns how many requests a server got from one time to another.
func (f *limitedFleet) between(server string, from, to time.Time) int {
	n := 0
	for _, a := range f.arrivals[server] {
		if !a.at.Before(from) && a.at.Before(to) {
			n++
		}
	}
	return n
}

// Guards against limits that are kept only once, or whose end no VM notices because none sends
// the server a request: limits end and return, and a server gets most of what it takes.
func TestLimitsAreUsedEndAndReturn(t *testing.T) {
	const noticed = 8 * time.Second
	for _, vms := range []int{12, 80} {
		t.Run(fmt.Sprint(vms, " VMs"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				start := time.Now()
				f := newLimitedFleet(vms, 13, map[string]float64{"plain0": 12.9, "plain1": 1.3})
				f.from, f.until = start.Add(2*time.Second), start.Add(36*time.Second)
				f.quiet = [2]time.Time{start.Add(14 * time.Second), start.Add(24 * time.Second)}
				var requests sync.WaitGroup
				requests.Go(func() { f.exchangeStatements(f.until) })
				requests.Go(func() { f.load("/p/", 1, func() float64 { return 430 }, f.until, &requests) })
				time.Sleep(f.quiet[0].Add(noticed).Sub(start))
				if n := f.stillLimited(); n > 0 {
					t.Errorf("%d of %d VMs hold a limit %v after all limits ended", n, vms, noticed)
				}
				requests.Wait()
				settled := f.from.Add(limitSettle)
				for server, rate := range f.stated {
					got, most := f.between(server, settled, f.quiet[0]), rate*f.quiet[0].Sub(settled).Seconds()
					t.Logf("%s: %d requests while it takes %.0f", server, got, most)
					least := 1 // chance decides how many of a few requests come
					if most > 50 {
						least = int(most / 2)
					}
					if got < least {
						t.Errorf("%s: got %d requests while it takes %.0f, want at least %d", server, got, most, least)
					}
					arrivals := f.arrivals[server]
					for name, times := range map[string][2]time.Time{"first": {settled, f.quiet[0]}, "returned": {f.quiet[1].Add(limitSettle), f.until}} {
						f.arrivals[server] = slices.DeleteFunc(slices.Clone(arrivals), func(a arrival) bool {
							return a.at.Before(times[0]) || !a.at.Before(times[1])
						})
						if got, allowed := f.excess(server); float64(got) > allowed {
							t.Errorf("%s, %s limit of %v/s: got %d requests in %v, want at most %.0f", server, name, rate, got, limitWindow, allowed)
						}
					}
				}
			})
		})
	}
}

// Guards against repeats at the owner of a key that its rate limit leaves no room for.
func TestRepeatAtOwnerKeepsToItsRateLimit(t *testing.T) {
	k0, start := registry.Instance{ID: "k0", Incarnation: 1}, time.Now().Add(-time.Second)
	var f *fixture
	// A limit starts with a random credit below one request. With at most half of one, the VM
	// has credit for one request after a second, and not for two at the time of the repeat.
	for wait := time.Duration(0); wait < 500*time.Millisecond; wait = f.core.RateLimits.Wait(start, k0) {
		f = newFixture(true, sheds(http.StatusMisdirectedRequest), answers(http.StatusOK))
		f.setOwners(1, ownedByK0)
		f.core.RateLimits.Stated(start, k0, 1)
	}
	if answer := f.serve("/k/", 7); answer.Status != http.StatusTooManyRequests || len(f.sender.sent) != 1 {
		t.Errorf("got status %d after %d sends, want 429 after one", answer.Status, len(f.sender.sent))
	}
}
