package admission

import (
	"cmp"
	"math"
	"slices"
	"sync"
	"time"
)

const (
	// floorShare is the part of the admitted share that each rank gets before more urgent ranks
	// get all they ask for: the least urgent get no less than a quarter of what all get.
	floorShare = 0.25
	// mixDecay is the time constant with which the counts of a mix decay: VMs with a few requests
	// a second know the shares of the ranks, and a wave of many seconds is followed.
	mixDecay = 5 * time.Second
	// minCount is the decayed count from which on a rank counts as recently used: one
	// request within the last 3.5 s.
	minCount = 0.5
)

// Mix counts the recent requests of a service by rank. The zero value is an empty mix. It is
// safe for concurrent use.
type Mix struct {
	mu    sync.Mutex  // guards the fields below
	ranks []rankCount // sorted by rank
	at    time.Time
}

type rankCount struct {
	rank int
	all  float64
	// limited and late count the requests for limited servers, and those of them that can't be
	// answered within their objective any more. Few servers are limited, so their
	// requests are not typical of the service.
	limited, late float64
	objective     time.Duration // of the last request
}

// count counts a request. It returns the share of its kind that may be sent, and the shortest
// objective of more urgent ranks, 0 if there is none.
func (m *Mix) count(now time.Time, r Request, s State, late bool) (share float64, urgent time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	decay := math.Exp(-max(now.Sub(m.at), 0).Seconds() / mixDecay.Seconds())
	m.at = now
	for i := range m.ranks {
		c := &m.ranks[i]
		c.all, c.limited, c.late = c.all*decay, c.limited*decay, c.late*decay
		if c.rank < r.Rank && c.all >= minCount && c.objective > 0 && (urgent == 0 || c.objective < urgent) {
			urgent = c.objective
		}
	}
	i, found := slices.BinarySearchFunc(m.ranks, r.Rank, func(c rankCount, rank int) int { return cmp.Compare(c.rank, rank) })
	if !found {
		m.ranks = slices.Insert(m.ranks, i, rankCount{rank: r.Rank})
	}
	c := &m.ranks[i]
	c.all++
	c.objective = r.Objective
	if !s.Limited {
		return 1, urgent
	}
	if s.RateLimited {
		// A rate limit is not to be exceeded: the share of late requests at other servers would
		// let too many others pass.
		ranks := slices.Clone(m.ranks)
		for i := range ranks {
			ranks[i].late = 0
		}
		return shareOf(ranks, ranks[i], false, s.Share), urgent
	}
	c.limited++
	if late {
		c.late++
	}
	return shareOf(m.ranks, *c, late, s.Share), urgent
}

// shareOf returns the share of the late requests of a rank, or of those in time, that may be sent
// if admit is the share of all requests. Late requests go last and otherwise the more
// urgent ones first, apart from the floor of each rank.
func shareOf(ranks []rankCount, own rankCount, late bool, admit float64) float64 {
	room := 0.0 // beyond the floors
	for _, c := range ranks {
		room += (1 - floorShare) * admit * c.all
		if late || c.rank < own.rank {
			_, asked := c.floor(false, admit)
			room -= asked
		}
		if late && c.rank < own.rank {
			_, asked := c.floor(true, admit)
			room -= asked
		}
	}
	floor, asked := own.floor(late, admit)
	return min((floor+min(max(room, 0), asked))/own.number(late), 1)
}

// number returns how many requests are late, or in time. It supposes that share of all servers
// which was seen at the limited ones.
func (c rankCount) number(late bool) float64 {
	lateShare := 0.0
	if c.limited > 0 {
		lateShare = c.late / c.limited
	}
	if late {
		return c.all * lateShare
	}
	return c.all * (1 - lateShare)
}

// floor returns how many late requests, or requests in time, the rank's floor admits, and how many it does
// not. Those in time use it first.
func (c rankCount) floor(late bool, admit float64) (admitted, asked float64) {
	left, n := floorShare*admit*c.all, c.number(late)
	if late {
		left = max(left-c.number(false), 0)
	}
	return min(left, n), max(n-left, 0)
}
