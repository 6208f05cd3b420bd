package ratelimit

import (
	"math"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"

	"kumquatcleat/internal/registry"
)

var (
	server = registry.Instance{ID: "s", Incarnation: 1}
	start  = time.Unix(1000, 0)
)

// newLimits returns the limits of one of a number of VMs in one failure domain.
func newLimits(vms int) *Limits { return newChangingLimits(&vms) }

func newChangingLimits(vms *int) *Limits {
	return New(func(string) float64 { return Share(true, *vms, *vms) }, metrics.NewRegistry())
}

// taken returns how many of the requests that are sent each millisecond a VM may send.
func taken(l *Limits, from time.Time, d time.Duration) int {
	n := 0
	for at := from; at.Before(from.Add(d)); at = at.Add(time.Millisecond) {
		if l.Take(at, server) {
			n++
		}
	}
	return n
}

// However VMs are spread over failure domains, their shares add up to the limit.
func TestSharesAddUp(t *testing.T) {
	for local := range 8 {
		for other := range 8 {
			all := local + other
			if all == 0 {
				continue
			}
			sum := float64(local)*Share(true, local, all) + float64(other)*Share(false, local, all)
			if math.Abs(sum-1) > 1e-9 {
				t.Errorf("%d VMs in the server's domain and %d in others: shares add up to %v, want 1", local, other, sum)
			}
		}
	}
	if got := Share(true, 0, 0); got != 0 {
		t.Errorf("no VM known: got share %v, want 0", got)
	}
}

func TestVMSendsItsShare(t *testing.T) {
	for _, c := range []struct {
		vms  int
		rate float64
		want int // in 100 s
	}{{1, 2, 200}, {10, 2, 20}, {100, 0.5, 0}, {4, 0, 6}, {0, 5, 0}} {
		l := newLimits(c.vms)
		l.Stated(start, server, c.rate)
		if got := taken(l, start, 100*time.Second); got < c.want || got > c.want+1 {
			t.Errorf("%d VMs, limit %v/s: one VM sent %d in 100s, want %d", c.vms, c.rate, got, c.want)
		}
	}
}

// VMs join and leave, and a server states another limit: the share follows at once.
func TestShareFollowsLimitAndNumberOfVMs(t *testing.T) {
	vms := 10
	l := newChangingLimits(&vms)
	at := start
	for _, c := range []struct {
		vms  int
		rate float64
		want int // in 100 s
	}{{10, 2, 20}, {40, 2, 5}, {5, 2, 40}, {5, 20, 400}, {5, 1, 20}} {
		vms = c.vms
		l.Stated(at, server, c.rate)
		if got := taken(l, at, 100*time.Second); got < c.want-1 || got > c.want+6 {
			t.Errorf("%d VMs, limit %v/s: one VM sent %d in 100s, want %d", c.vms, c.rate, got, c.want)
		}
		at = at.Add(100 * time.Second)
	}
}

// What a VM did not send in a quiet time must not come on top of its share in a busy one.
func TestQuietTimeSavesUpLittle(t *testing.T) {
	l := newLimits(4)
	l.Stated(start, server, 20)
	const share = 5
	if got, most := taken(l, start.Add(time.Hour), time.Second), share+share*int(creditLife.Seconds())+1; got > most {
		t.Errorf("got %d requests in the second after an hour without any, want at most %d", got, most)
	}
}

func TestAnswerWithoutLimitLiftsIt(t *testing.T) {
	l := newLimits(50)
	l.Stated(start, server, 1)
	for l.Take(start, server) {
	}
	if wait := l.Wait(start, server); wait <= 0 || wait > 50*time.Second {
		t.Errorf("got wait %v, want up to 50s", wait)
	}
	l.Unstated(start.Add(time.Second), server)
	if wait := l.Wait(start.Add(time.Second), server); wait != 0 {
		t.Errorf("got wait %v after an answer without a limit, want none", wait)
	}
}

// exchange reports the news of one VM to the board and returns the board's changes to all.
func exchange(now time.Time, b *Board, from *Limits, to ...*Limits) {
	b.Add(now.Sub(start), from.TakeStatements(now))
	for _, l := range to {
		l.Learn(now, b.Changes(now.Sub(start)))
	}
}

// A VM that gets no answers of a limited server learns from the others that the limit was
// stated and that it ended.
func TestVMsLearnFromEachOther(t *testing.T) {
	b, first, second := NewBoard(), newLimits(2), newLimits(2)
	first.Stated(start, server, 0.1)
	exchange(start.Add(100*time.Millisecond), b, first, first, second)
	if got := taken(second, start.Add(100*time.Millisecond), 5*time.Second); got > 1 {
		t.Errorf("got %d requests in 5s of a VM that was told of a limit of 0.1/s for two, want at most 1", got)
	}
	lifted := start.Add(6 * time.Second)
	first.Unstated(lifted, server)
	exchange(lifted, b, first, first, second)
	if wait := second.Wait(lifted, server); wait != 0 {
		t.Errorf("got wait %v after another VM got an answer without a limit, want none", wait)
	}
}

// An answer without a limit that one VM read late must not lift a limit that the server goes on
// to state. If it does not, the limit ends on all VMs.
func TestLateAnswerOfOtherVMLiftsLimitOnlyIfNoneFollows(t *testing.T) {
	for _, stated := range []bool{true, false} {
		b, slow, quick := NewBoard(), newLimits(2), newLimits(2)
		slow.Stated(start, server, 1)
		quick.Stated(start.Add(time.Second), server, 1)
		exchange(start.Add(1100*time.Millisecond), b, quick, slow, quick)
		slow.Unstated(start.Add(time.Second+orderMargin/2), server)
		exchange(start.Add(time.Second+orderMargin/2), b, slow, slow, quick)
		if rate, limited := b.Rate(server); !limited || rate != 1 {
			t.Errorf("right after the late answer: got rate limit %v, %v; want 1", rate, limited)
		}
		if stated {
			quick.Stated(start.Add(time.Second+orderMargin*3/4), server, 1)
		}
		now := start.Add(3 * time.Second)
		exchange(now, b, quick, slow, quick)
		if _, limited := b.Rate(server); limited != stated {
			t.Errorf("stated again %v: limited is %v", stated, limited)
		}
		for l := range map[*Limits]bool{slow: true, quick: true} {
			for range 10 {
				l.Take(now, server)
			}
			if limited := l.Wait(now, server) > 0; limited != stated {
				t.Errorf("stated again %v: limited on a VM is %v", stated, limited)
			}
		}
	}
}

// Guards against the end of a limit that no VM reports twice and that comes right after the
// last answer with it.
func TestEndRightAfterLastStatementReachesAllVMs(t *testing.T) {
	b, near, far := NewBoard(), newLimits(2), newLimits(2)
	near.Stated(start, server, 0.1)
	exchange(start.Add(10*time.Millisecond), b, near, near, far)
	near.Unstated(start.Add(20*time.Millisecond), server)
	for at := start.Add(100 * time.Millisecond); at.Before(start.Add(2 * time.Second)); at = at.Add(400 * time.Millisecond) {
		exchange(at, b, near, near, far)
	}
	far.Take(start.Add(2*time.Second), server)
	if far.Wait(start.Add(2*time.Second), server) > 0 {
		t.Error("a VM holds a limit 2s after its end")
	}
}

// Statements that make no sense, and those of a former run of the server, have no effect.
func TestUselessStatementsAreIgnored(t *testing.T) {
	l, b := newLimits(2), NewBoard()
	useless := []Statement{
		{Server: "s", Incarnation: 1, Rate: -1}, {Incarnation: 1, Rate: 1}, {Server: "s", Incarnation: 1, Rate: 1, AgeMS: -5},
		{Server: "s", Incarnation: 1, Rate: 1, AgeMS: 1 << 60}, {Server: "s", Rate: 1}, {Server: "s", Incarnation: 1, Lifted: true},
	}
	l.Learn(start, useless)
	b.Add(0, useless)
	if wait := l.Wait(start, server); wait != 0 {
		t.Errorf("got wait %v, want none", wait)
	}
	if rate, limited := b.Rate(server); limited {
		t.Errorf("got rate limit %v, want none", rate)
	}
}

func TestSweepForgetsLimits(t *testing.T) {
	l := newLimits(100)
	l.Stated(start, server, 0)
	l.Sweep(start, func(registry.Instance) bool { return false })
	if !l.Take(start, server) {
		t.Error("a server that is gone still has a limit")
	}
}
