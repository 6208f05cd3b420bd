package ratelimit

import (
	"time"

	"kumquatcleat/internal/registry"
)

// Board holds the newest statement about each server, from the reports of all VMs. It is
// not safe for concurrent use.
type Board struct {
	newest map[registry.Instance]*boardEntry
}

type boardEntry struct {
	Statement
	answeredAt time.Duration
	changedAt  time.Duration // when the limit was first stated, changed or lifted
	// liftAt is when an answer without a limit arrived that is not much newer than the last
	// one with it, 0 if there is none. It counts unless a newer one with a limit follows.
	liftAt time.Duration
}

// NewBoard returns a board without statements.
func NewBoard() *Board { return &Board{newest: map[registry.Instance]*boardEntry{}} }

// Add adds statements that a VM reported.
func (b *Board) Add(now time.Duration, statements []Statement) {
	for _, s := range statements {
		if s.valid() {
			b.add(now, s)
		}
	}
	for instance, entry := range b.newest {
		if now-entry.answeredAt > entryLife {
			delete(b.newest, instance)
		}
	}
}

func (b *Board) add(now time.Duration, s Statement) {
	answeredAt := now - time.Duration(s.AgeMS)*time.Millisecond
	entry := b.newest[s.instance()]
	switch {
	case entry == nil:
		b.newest[s.instance()] = &boardEntry{Statement: s, answeredAt: answeredAt, changedAt: now}
	case answeredAt < entry.answeredAt:
	case s.Lifted && !entry.Lifted && answeredAt < entry.answeredAt+orderMargin:
		entry.liftAt = max(entry.liftAt, answeredAt)
	default:
		entry.replace(now, s, answeredAt)
	}
}

func (e *boardEntry) replace(now time.Duration, s Statement, answeredAt time.Duration) {
	if s.Lifted != e.Lifted || s.Rate > e.Rate*logChange || s.Rate*logChange < e.Rate {
		e.changedAt = now
	}
	e.Statement, e.answeredAt = s, answeredAt
	if answeredAt > e.liftAt {
		e.liftAt = 0
	}
}

const (
	// changeLife is how long a change is passed on: a few reporting intervals, as a
	// response may be lost.
	changeLife = 1500 * time.Millisecond
	// entryLife is how long the last statement about a server counts. A server of which
	// no VM got an answer for longer than that is left to what each VM knows.
	entryLife = maxAge
)

// Changes returns the statements of servers whose limit was stated first, changed or lifted
// recently.
func (b *Board) Changes(now time.Duration) []Statement {
	var list []Statement
	for _, entry := range b.newest {
		if entry.liftAt != 0 && now-entry.liftAt >= orderMargin {
			entry.replace(now, Statement{Server: entry.Server, Incarnation: entry.Incarnation, Lifted: true}, entry.liftAt)
			entry.liftAt = 0
		}
		if now-entry.changedAt <= changeLife {
			s := entry.Statement
			s.AgeMS = (now - entry.answeredAt).Milliseconds()
			list = append(list, s)
		}
	}
	return list
}

// Rate returns the rate limit of a server, and false if it has none.
func (b *Board) Rate(server registry.Instance) (float64, bool) {
	entry := b.newest[server]
	if entry == nil || entry.Lifted {
		return 0, false
	}
	return max(entry.Rate, minRate), true
}
