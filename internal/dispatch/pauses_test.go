package dispatch

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rcrowley/go-metrics"

	"kumquatcleat/internal/dialect"
	"kumquatcleat/internal/fault"
	"kumquatcleat/internal/keyspace"
	"kumquatcleat/internal/registry"
	"kumquatcleat/internal/rows"
	"kumquatcleat/internal/serverconn"
)

// decliningSender is the sender of a VM before servers of which some, at times, turn requests away
// and ask for a pause, and some say that they leave. It runs in virtual time.
type decliningSender struct {
	declines func(server string, now time.Time) time.Duration // pause that the server asks for; 0: it serves
	leaves   func(server string, now time.Time) bool

	mu       sync.Mutex // guards the fields below
	arrivals map[string][]time.Time
	declined map[string][]decline
	left     map[string]time.Time // when the first answer said so
}

type decline struct {
	at    time.Time
	pause time.Duration
}

func (s *decliningSender) Do(ctx context.Context, r *serverconn.Request) (*serverconn.Response, *serverconn.Failure) {
	time.Sleep(time.Duration(rand.IntN(3)) * time.Millisecond) // wait for a connection
	if r.Guard != nil {
		if err := r.Guard(); err != nil {
			return nil, &serverconn.Failure{Progress: serverconn.NotSent, Err: err}
		}
	}
	now := time.Now()
	s.mu.Lock()
	s.arrivals[r.Server.ID] = append(s.arrivals[r.Server.ID], now)
	s.mu.Unlock()
	response := &serverconn.Response{Status: http.StatusOK, Header: http.Header{}, HasLoad: true, Load: dialect.Load{Running: 1, Slots: 6}, Leaving: s.leaves(r.Server.ID, now)}
	took := time.Duration((0.3 + rand.ExpFloat64()*0.7) * float64(60*time.Millisecond))
	if pause := s.declines(r.Server.ID, now); pause > 0 {
		response.Status, response.NotStarted, response.Pause = http.StatusServiceUnavailable, true, pause
		took = 2 * time.Millisecond
	}
	select {
	case <-time.After(took):
	case <-ctx.Done():
		return nil, &serverconn.Failure{Progress: serverconn.Sent, Err: ctx.Err()}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if response.Pause > 0 {
		s.declined[r.Server.ID] = append(s.declined[r.Server.ID], decline{time.Now(), response.Pause})
	}
	if _, known := s.left[r.Server.ID]; response.Leaving && !known {
		s.left[r.Server.ID] = time.Now()
	}
	return response, nil
}

// run sends requests to the plain and the keyed service for some seconds and returns the answers
// by status.
func (s *decliningSender) run(length time.Duration, owners *keyspace.Owners, servers *registry.Registry) map[int]int {
	s.arrivals, s.declined, s.left = map[string][]time.Time{}, map[string][]decline{}, map[string]time.Time{}
	core := newFleetVM(0, 1, 60*time.Millisecond, servers, owners, s, nil)
	answers := map[int]int{}
	var mu sync.Mutex
	var requests sync.WaitGroup
	for n, end := 0, time.Now().Add(length); time.Now().Before(end); n++ {
		time.Sleep(time.Duration(rand.ExpFloat64() * 4 * float64(time.Millisecond)))
		path := fmt.Sprint([]string{"/p/", "/u/", "/k/"}[n%3], n)
		requests.Go(func() {
			answer := core.Serve(context.Background(), &Request{ID: "r", Method: "GET", Target: path, Path: path, Host: "h", Arrived: time.Now(), Timeout: 800 * time.Millisecond, Key: uint32(n % 600), HasKey: true})
			mu.Lock()
			defer mu.Unlock()
			answers[answer.Status]++
		})
	}
	requests.Wait()
	time.Sleep(time.Second) // attempts that were canceled return
	return answers
}

func decliningFleet(servers int) (*keyspace.Owners, *registry.Registry) {
	owners, r, ranges := keyspace.NewOwners(), registry.New(), ""
	for i := range servers {
		for _, service := range []string{"plain", "keyed"} {
			r.Put(registry.Server{ID: fmt.Sprint(service, i), Service: service, Slots: 6, Incarnation: 1, FailureDomain: fmt.Sprint(i % fleetDomains), SeenAt: time.Now()})
		}
		ranges += fmt.Sprintf(`,{"from":%d,"to":%d,"owner":{"server":"keyed%d","incarnation":1},"fence":1}`, i*100, i*100+99, i)
	}
	owners.Apply([]rows.Row{{Key: "keyed", Version: 1, Value: []byte(`{"ranges":[` + ranges[1:] + `]}`)}})
	return owners, r
}

// Guards against requests to a server that turned one away and asked for a pause: two may arrive
// from half a second after the answer to the end of the pause.
func TestServerThatAsksForPauseGetsNothing(t *testing.T) {
	for name, declines := range map[string]func(server string, now time.Time) time.Duration{
		"some servers, long": func(server string, _ time.Time) time.Duration {
			if server == "plain1" || server == "keyed1" {
				return 3 * time.Second
			}
			return 0
		},
		"all servers at times": func(_ string, now time.Time) time.Duration {
			if now.UnixMilli()/1500%2 == 0 {
				return 900 * time.Millisecond
			}
			return 0
		},
		"shorter and shorter": func(server string, now time.Time) time.Duration {
			if server > "plain2" {
				return 0
			}
			return time.Duration(4000-now.UnixMilli()%4000+1) * time.Millisecond
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &decliningSender{declines: declines, leaves: func(string, time.Time) bool { return false }}
				owners, servers := decliningFleet(6)
				answers := s.run(15*time.Second, owners, servers)
				pauses := 0
				for server, list := range s.declined {
					for _, d := range list {
						pauses++
						late := 0
						for _, at := range s.arrivals[server] {
							if at.After(d.at.Add(500*time.Millisecond)) && at.Before(d.at.Add(d.pause)) {
								late++
							}
						}
						if late > 2 {
							t.Fatalf("%s got %d requests in a pause of %v, want at most 2", server, late, d.pause)
						}
					}
				}
				t.Logf("%d pauses, answers by status: %v", pauses, answers)
				if pauses == 0 || answers[http.StatusOK] == 0 {
					t.Error("no pause was asked for, or nothing was served")
				}
				if answers[http.StatusGatewayTimeout]+answers[http.StatusBadGateway] > 0 {
					t.Errorf("got answers by status %v, want requests served or refused truthfully", answers)
				}
			})
		})
	}
}

// Guards against requests to a server that said in an answer that it leaves, for as long as a
// drain takes and after it, by its registration still ready.
func TestServerThatSaysItLeavesGetsNothingLater(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const drain = 2 * time.Second
		begin := time.Now()
		s := &decliningSender{
			declines: func(string, time.Time) time.Duration { return 0 },
			leaves: func(server string, now time.Time) bool {
				return (server == "plain0" || server == "keyed1") && now.After(begin.Add(2*time.Second))
			},
		}
		owners, servers := decliningFleet(6)
		// The registration is written again and again.
		go func() {
			for range 40 {
				time.Sleep(200 * time.Millisecond)
				servers.Put(registry.Server{ID: "plain0", Service: "plain", Slots: 6, Incarnation: 1, FailureDomain: "0", SeenAt: time.Now()})
				servers.Put(registry.Server{ID: "keyed1", Service: "keyed", Slots: 6, Incarnation: 1, FailureDomain: "1", SeenAt: time.Now()})
			}
		}()
		answers := s.run(8*time.Second, owners, servers)
		if len(s.left) != 2 {
			t.Fatalf("got statements of %v, want two servers", s.left)
		}
		for server, since := range s.left {
			for _, at := range s.arrivals[server] {
				if at.After(since.Add(drain)) {
					t.Errorf("%s got a request %v after it said that it leaves, want none after %v", server, at.Sub(since), drain)
				}
			}
		}
		t.Logf("answers by status: %v", answers)
	})
}

// If all servers of a service want a pause, requests are refused at once, with a hint that callers
// honor, and hints differ.
func TestRequestIsRefusedAtOnceIfAllServersPause(t *testing.T) {
	b := newFixture(true)
	for _, s := range b.registry.All() {
		b.core.Pauses.Stated(time.Now(), s.Instance(), 700*time.Millisecond)
	}
	hints := map[time.Duration]bool{}
	for range 10 {
		began := time.Now()
		answer := b.serve("/p/x", 7)
		if answer.Refusal != fault.Overloaded || answer.RetryAfter <= 0 || answer.RetryAfter > 500*time.Millisecond || time.Since(began) > 100*time.Millisecond {
			t.Fatalf("got %+v after %v, want a refusal at once", answer, time.Since(began))
		}
		hints[answer.RetryAfter] = true
	}
	if len(hints) < 2 {
		t.Error("all hints are the same")
	}
}

// The pauses of a new incarnation start anew; those that are over, or huge, have an end.
func TestPausesEnd(t *testing.T) {
	p := NewPauses(metrics.NewRegistry())
	now := time.Now()
	server := registry.Instance{ID: "s", Incarnation: 1}
	p.Stated(now, server, time.Second)
	p.Stated(now, server, time.Millisecond)
	if wait := p.Wait(now, server); wait < time.Second || wait > 1250*time.Millisecond {
		t.Errorf("got %v to wait, want the longer pause and a little more", wait)
	}
	if wait := p.Wait(now, registry.Instance{ID: "s", Incarnation: 2}); wait != 0 {
		t.Errorf("a new incarnation: got %v to wait, want none", wait)
	}
	if wait := p.Wait(now.Add(1300*time.Millisecond), server); wait != 0 {
		t.Errorf("after the pause: got %v to wait, want none", wait)
	}
	p.Stated(now, server, 1<<62)
	if wait := p.Wait(now, server); wait > maxPause+maxPauseSpread {
		t.Errorf("got %v to wait, want at most %v", wait, maxPause)
	}
	p.Sweep(now, func(registry.Instance) bool { return false })
	if wait := p.Wait(now, server); wait != 0 {
		t.Errorf("a server that is gone: got %v to wait, want none", wait)
	}
}
