package ratelimit

import (
	"testing"
	"time"

	"kumquatcleat/internal/registry"
)

func keepAll(registry.Instance) bool { return true }

// statedAt returns a statement of a low rate limit in an answer of the given time.
func statedAt(at, now time.Time) []Statement {
	return []Statement{{Server: server.ID, Incarnation: server.Incarnation, Rate: 0.1, AgeMS: now.Sub(at).Milliseconds()}}
}

// Guards against a rate limit that the server has lifted and that an older statement, which arrives
// late or twice, brings back: callers are refused until the server answers this VM again.
func TestOlderStatementDoesNotBringBackLiftedLimit(t *testing.T) {
	lifted := start.Add(time.Second)
	for name, lift := range map[string]func(*Limits){
		"answer to this VM": func(l *Limits) {
			l.Stated(start, server, 0.1)
			l.Unstated(lifted, server)
		},
		"answer to another VM": func(l *Limits) {
			l.Stated(start, server, 0.1)
			l.Learn(lifted, []Statement{{Server: server.ID, Incarnation: server.Incarnation, Lifted: true}})
		},
		"answer to another VM, told before the limit": func(l *Limits) {
			l.Learn(lifted, []Statement{{Server: server.ID, Incarnation: server.Incarnation, Lifted: true}})
		},
		"answer to a VM that knew no limit": func(l *Limits) { l.Unstated(lifted, server) },
	} {
		for _, late := range []time.Duration{time.Millisecond, 200 * time.Millisecond, 2 * time.Second, 8 * time.Second, 9 * time.Second} {
			l := newLimits(2)
			lift(l)
			now := lifted.Add(late)
			l.Sweep(now, keepAll)
			for range 2 {
				l.Learn(now, statedAt(start, now))
			}
			if l.Any() {
				t.Errorf("%s, statement 1s older arrives %v after it: the limit is back", name, late)
			}
			now = now.Add(time.Second)
			l.Learn(now, statedAt(lifted.Add(late/2), now))
			if !l.Any() {
				t.Errorf("%s: a statement after the lift does not count", name)
			}
		}
	}
}

// Guards against a limit that the coordinator passes on again after it was lifted, because the report
// of another VM with an older statement arrives late.
func TestOlderStatementDoesNotBringBackLimitAtCoordinator(t *testing.T) {
	for _, late := range []time.Duration{0, 2 * time.Second, 8 * time.Second, maxAge - time.Second} {
		b := NewBoard()
		b.Add(0, []Statement{{Server: server.ID, Incarnation: server.Incarnation, Rate: 0.1}})
		lifted := time.Second
		b.Add(lifted, []Statement{{Server: server.ID, Incarnation: server.Incarnation, Lifted: true}})
		now := lifted + late
		b.Add(now, statedAt(start, start.Add(now)))
		if rate, limited := b.Rate(server); limited {
			t.Errorf("statement 1s older arrives %v after the lift: got rate limit %v, want none", late, rate)
		}
		for _, s := range b.Changes(now) {
			if !s.Lifted {
				t.Errorf("statement 1s older arrives %v after the lift: it is passed on", late)
			}
		}
	}
}

// What is remembered of servers without a limit is bounded by the time for which it can matter.
func TestAnswersWithoutLimitAreForgotten(t *testing.T) {
	l := newLimits(1)
	l.Unstated(start, server)
	l.Sweep(start.Add(unlimitedMemory), keepAll)
	if len(l.unlimited) != 1 {
		t.Error("an answer without a limit is forgotten while older statements may arrive")
	}
	l.Sweep(start.Add(unlimitedMemory+time.Second), keepAll)
	if len(l.unlimited) != 0 {
		t.Error("an answer without a limit is kept for ever")
	}
}

// Guards against a VM that saves up the right to send for the same time twice, because what it learns
// is as of the time of its report, before its last request.
func TestLearningDoesNotAddCredit(t *testing.T) {
	const rate, every = 10, 100 * time.Millisecond
	l := newLimits(1)
	l.Stated(start, server, rate)
	sent := 0
	for at := start; at.Before(start.Add(100 * time.Second)); at = at.Add(every) {
		l.Learn(at.Add(-2*every), []Statement{{Server: server.ID, Incarnation: server.Incarnation, Rate: rate}})
		for l.Take(at, server) {
			sent++
		}
	}
	if sent > 100*rate+1+rate {
		t.Errorf("sent %d requests in 100s, want at most about %d", sent, 100*rate)
	}
}
