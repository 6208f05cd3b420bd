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
}

// NewBoard returns a board without statements.
func NewBoard() *Board { return &Board{newest: map[registry.Instance]*boardEntry{}} }

// Add adds statements that a VM reported.
func (b *Board) Add(now time.Duration, statements []Statement) {
	for _, s := range statements {
		if !s.valid() {
			continue
		}
		answeredAt := now - time.Duration(s.AgeMS)*time.Millisecond
		entry := b.newest[s.instance()]
		switch {
		case entry == nil:
			b.newest[s.instance()] = &boardEntry{Statement: s, answeredAt: answeredAt, changedAt: now}
			continue
		case answeredAt < entry.answeredAt, s.Lifted && !entry.Lifted && answeredAt < entry.answeredAt+orderMargin:
			continue
		}
		if s.Lifted != entry.Lifted || s.Rate > entry.Rate*logChange || s.Rate*logChange < entry.Rate {
			entry.changedAt = now
		}
		entry.Statement, entry.answeredAt = s, answeredAt
	}
	for instance, entry := range b.newest {
		if now-entry.answeredAt > entryLife {
			delete(b.newest, instance)
		}
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
