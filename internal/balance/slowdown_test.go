package balance

import (
	"testing"
	"time"

	"kumquatcleat/internal/dialect"
)

// observeSlowdown records an answer of a server that states how long work takes at the moment.
func observeSlowdown(b *Balancer, now time.Time, took time.Duration, slowdown float64) {
	s := servers("a")[0]
	b.Started(s)
	b.Finished(now, s, Outcome{Took: took, Answered: true, HasLoad: true, Load: dialect.Load{Running: 1, Slots: 6, Slowdown: slowdown}})
}

// Guards against a server that is avoided for seconds because it was slow for a moment, and against
// one that gets requests as usual while it says that it is slow.
func TestSlowdownCountsForAMoment(t *testing.T) {
	b, s := newTest(), servers("a")[0]
	for i := range 20 {
		observeSlowdown(b, start.Add(time.Duration(i)*50*time.Millisecond), 100*time.Millisecond, 1)
	}
	slowAt := start.Add(time.Second)
	observeSlowdown(b, slowAt, 300*time.Millisecond, 3)
	if got := b.Estimate(slowAt, s).Expected; got < 250*time.Millisecond {
		t.Errorf("right after a report of 300%%: expected latency %v, want about 300ms", got)
	}
	later := slowAt.Add(1200 * time.Millisecond)
	if got := b.Estimate(later, s).Expected; got > 150*time.Millisecond {
		t.Errorf("1.2s after a report of 300%%: expected latency %v, want close to 100ms", got)
	}
}

// Guards against late answers of servers that share their machines with others: a third of the
// speeds lies below the mean, and a server takes three times as long a fifth of the time.
func TestSlowdownReportsReduceLateAnswers(t *testing.T) {
	const maxRatio = 0.9 // of the late answers without these reports
	late := map[bool]float64{}
	for seed := range uint64(2) {
		for _, stated := range []bool{false, true} {
			m := newModel(seed, 1, shortRequests)
			m.addSlowMoments(stated)
			m.play()
			late[stated] += float64(m.late) / float64(m.requests) / 2
		}
	}
	t.Logf("late answers: %.4f without slowdown in the reports, %.4f with it", late[false], late[true])
	if late[true] > maxRatio*late[false] {
		t.Errorf("share %.4f of the answers is late, want at most %.2f of the %.4f without slowdown in the reports", late[true], maxRatio, late[false])
	}
}

// shortRequests have an objective of a few service times, at servers that are slow for moments.
var shortRequests = workload{vms: 26, servers: 35, slots: 4, serviceTime: 120 * time.Millisecond, spread: 0.7, objective: 400 * time.Millisecond, load: 0.47}

const (
	slowMoment = 400 * time.Millisecond
	slowShare  = 0.2
	slowFactor = 3
)

// addSlowMoments lets each server be slow for moments. stated says whether its load reports say so.
func (m *domainModel) addSlowMoments(stated bool) {
	m.slowdowns, m.statesSlowdown = make([]float64, len(m.servers)), stated
	for i := range m.servers {
		var draw func()
		draw = func() {
			m.slowdowns[i] = 1
			if m.Rand.Float64() < slowShare {
				m.slowdowns[i] = slowFactor
			}
			m.After(slowMoment, draw)
		}
		m.slowdowns[i] = 1
		m.After(time.Duration(m.Rand.Float64()*float64(slowMoment)), draw)
	}
}

// slowdown returns how long work takes at a server now.
func (m *domainModel) slowdown(server int) float64 {
	if m.slowdowns == nil {
		return 1
	}
	return m.slowdowns[server]
}

// load returns the load that a server reports.
func (m *domainModel) load(i int) dialect.Load {
	load := dialect.Load{Running: m.servers[i].Running, Waiting: m.servers[i].Waiting(), Slots: m.workload.slots}
	if m.statesSlowdown {
		load.Slowdown = m.slowdown(i)
	}
	return load
}
