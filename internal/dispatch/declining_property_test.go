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

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"kumquatcleat/internal/registry"
	"kumquatcleat/internal/serverconn"
)

const (
	decliningRuns   = 40
	decliningSeed   = 27
	decliningLength = 8 * time.Second
	// drainTime is how long a server that leaves may still get requests.
	drainTime = 2 * time.Second
	// pauseGrace is how long after its answer a server that asked for a pause may still get
	// requests, and pauseExcess how many later.
	pauseGrace  = 500 * time.Millisecond
	pauseExcess = 2
)

// decliningModel is the sender of one VM before servers that restart, register again, leave and
// ask for pauses in any order. It runs in virtual time.
type decliningModel struct {
	servers *registry.Registry
	ignored statement // answers lack it, as an injected bug

	mu      sync.Mutex // guards the fields below
	state   map[string]*decliningServer
	arrived map[registry.Instance][]time.Time
	pauses  map[registry.Instance][]decline
	left    map[registry.Instance]time.Time // when the first answer said so
}

// statement is what a server may say in an answer.
type statement int

const (
	noStatement statement = iota
	pauseStatement
	leavingStatement
)

// decliningServer is the running process of a server.
type decliningServer struct {
	registration registry.Server
	busyUntil    time.Time // it turns requests away
	pause        time.Duration
	leaving      bool
}

// Do implements Sender.
func (m *decliningModel) Do(ctx context.Context, r *serverconn.Request) (*serverconn.Response, *serverconn.Failure) {
	time.Sleep(time.Duration(rand.IntN(3)) * time.Millisecond) // wait for a connection
	if err := r.Guard(); err != nil {
		return nil, &serverconn.Failure{Progress: serverconn.NotSent, Err: err}
	}
	instance, now := r.Server.Instance(), time.Now()
	m.mu.Lock()
	s := *m.state[r.Server.ID]
	if s.registration.Instance() != instance {
		m.mu.Unlock()
		return nil, &serverconn.Failure{Progress: serverconn.NotSent, Err: fmt.Errorf("server %s has ended", r.Server.ID)}
	}
	m.arrived[instance] = append(m.arrived[instance], now)
	m.mu.Unlock()
	response := &serverconn.Response{Status: http.StatusOK, Header: http.Header{}, Leaving: s.leaving}
	took := time.Duration((0.3 + rand.ExpFloat64()*0.7) * float64(60*time.Millisecond))
	if now.Before(s.busyUntil) {
		response.Status, response.NotStarted, response.Pause = http.StatusServiceUnavailable, true, s.pause
		took = 2 * time.Millisecond
	}
	select {
	case <-time.After(took):
	case <-ctx.Done():
		return nil, &serverconn.Failure{Progress: serverconn.Sent, Err: ctx.Err()}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if response.Pause > 0 {
		m.pauses[instance] = append(m.pauses[instance], decline{time.Now(), response.Pause})
	}
	if _, known := m.left[instance]; response.Leaving && !known {
		m.left[instance] = time.Now()
	}
	switch m.ignored {
	case pauseStatement:
		response.Pause = 0
	case leavingStatement:
		response.Leaving = false
	}
	return response, nil
}

// step makes a server do something, chosen by n.
func (m *decliningModel) step(ids []string, n int) {
	m.mu.Lock()
	s := m.state[ids[n%len(ids)]]
	n /= len(ids)
	choice, arg := n%7, n/7
	again := s.registration // what its entry says
	again.SeenAt = time.Now()
	switch choice {
	case 0, 1:
		s.busyUntil = time.Now().Add(time.Duration(arg%2500) * time.Millisecond)
		s.pause = time.Duration(1+arg%37*100) * time.Millisecond
	case 2:
		s.leaving = true
	case 3: // a new process under the ID
		again.Incarnation++
		*s = decliningServer{registration: again}
	case 4: // an old entry comes back
		again.Incarnation -= int64(arg % 2)
	case 5:
		again.Draining = arg%3 == 0
	}
	m.mu.Unlock()
	if choice == 6 && arg%2 == 0 {
		m.servers.Remove(again.ID, "test")
		time.Sleep(time.Duration(arg%300) * time.Millisecond)
	}
	m.servers.Put(again)
}

// violation returns a request that should not have been sent, or "".
func (m *decliningModel) violation() string {
	for instance, pauses := range m.pauses {
		for _, d := range pauses {
			late := 0
			for _, at := range m.arrived[instance] {
				if at.After(d.at.Add(pauseGrace)) && at.Before(d.at.Add(d.pause)) {
					late++
				}
			}
			if late > pauseExcess {
				return fmt.Sprintf("%v got %d requests in a pause of %v, want at most %d", instance, late, d.pause, pauseExcess)
			}
		}
	}
	for instance, since := range m.left {
		for _, at := range m.arrived[instance] {
			if at.After(since.Add(drainTime)) {
				return fmt.Sprintf("%v got a request %v after it said that it leaves, want none after %v", instance, at.Sub(since), drainTime)
			}
		}
	}
	return ""
}

// runDeclining plays steps, spread over the time, and returns a violation, or "".
func runDeclining(t *testing.T, steps []int, ignored statement) (violation string, pauses, leaves int) {
	synctest.Test(t, func(t *testing.T) {
		owners, servers := decliningFleet(6)
		m := &decliningModel{servers: servers, ignored: ignored, state: map[string]*decliningServer{}, arrived: map[registry.Instance][]time.Time{}, pauses: map[registry.Instance][]decline{}, left: map[registry.Instance]time.Time{}}
		var ids []string
		for _, s := range servers.All() {
			m.state[s.ID] = &decliningServer{registration: *s}
		}
		for i := range 6 {
			ids = append(ids, fmt.Sprint("plain", i), fmt.Sprint("keyed", i))
		}
		core := newFleetVM(0, 1, 60*time.Millisecond, servers, owners, m, nil)
		end := time.Now().Add(decliningLength)
		var running sync.WaitGroup
		running.Go(func() {
			for _, n := range steps {
				time.Sleep(decliningLength / time.Duration(len(steps)+1))
				m.step(ids, n)
			}
		})
		for n := 0; time.Now().Before(end); n++ {
			time.Sleep(time.Duration(rand.ExpFloat64() * 5 * float64(time.Millisecond)))
			path := fmt.Sprint([]string{"/p/", "/u/", "/k/"}[n%3], n)
			running.Go(func() {
				core.Serve(context.Background(), &Request{ID: "r", Method: "GET", Target: path, Path: path, Host: "h", Arrived: time.Now(), Timeout: 800 * time.Millisecond, Key: uint32(n % 600), HasKey: true})
			})
		}
		running.Wait()
		time.Sleep(time.Second) // attempts that were canceled return
		violation = m.violation()
		for _, list := range m.pauses {
			pauses += len(list)
		}
		leaves = len(m.left)
	})
	return violation, pauses, leaves
}

func decliningProperty(t *testing.T, pauses, leaves *int, ignored statement) gopter.Prop {
	steps := gen.SliceOfN(24, gen.IntRange(0, 1<<24))
	return prop.ForAllNoShrink(func(steps []int) string {
		violation, p, l := runDeclining(t, steps, ignored)
		*pauses, *leaves = *pauses+p, *leaves+l
		return violation
	}, steps)
}

// Guards against requests to servers that leave or want a pause, in any order of answers, new
// processes and registrations, those included that come back from a copy.
func TestNoOrderOfEventsSendsToServersThatDecline(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(decliningSeed)
	parameters.MinSuccessfulTests = decliningRuns
	var pauses, leaves int
	properties := gopter.NewProperties(parameters)
	properties.Property("servers that decline get nothing", decliningProperty(t, &pauses, &leaves, noStatement))
	properties.TestingRun(t)
	t.Logf("%d pauses and %d servers that left", pauses, leaves)
	if pauses < decliningRuns || leaves < decliningRuns {
		t.Errorf("got %d pauses and %d servers that left in %d runs: the test tries too little", pauses, leaves, decliningRuns)
	}
}

// Guards against a property that detects nothing: it must find each injected bug.
func TestPropertyOfServersThatDeclineFindsInjectedBugs(t *testing.T) {
	for name, ignored := range map[string]statement{"pauses are ignored": pauseStatement, "leaving is ignored": leavingStatement} {
		t.Run(name, func(t *testing.T) {
			parameters := gopter.DefaultTestParametersWithSeed(decliningSeed)
			parameters.MinSuccessfulTests = decliningRuns
			var pauses, leaves int
			if decliningProperty(t, &pauses, &leaves, ignored).Check(parameters).Status == gopter.TestPassed {
				t.Errorf("the property holds, want a violation")
			}
		})
	}
}
