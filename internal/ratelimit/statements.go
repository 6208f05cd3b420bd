package ratelimit

import (
	"maps"
	"math"
	"slices"
	"time"

	"kumquatcleat/internal/registry"
	"kumquatcleat/internal/wait"
)

// Statement is what an answer of a server said about its rate limit, as VMs tell each other.
type Statement struct {
	Server      string  `json:"server"`
	Incarnation int64   `json:"incarnation"`
	Rate        float64 `json:"rate,omitempty"`   // requests per second from all VMs together
	Lifted      bool    `json:"lifted,omitempty"` // the server stated no limit any more
	// AgeMS is the age of the answer in milliseconds when the statement was sent. VMs have
	// no common clock.
	AgeMS int64 `json:"age_ms"`

	at time.Time // when the answer arrived, by this VM's clock
}

func (s *Statement) instance() registry.Instance {
	return registry.Instance{ID: s.Server, Incarnation: s.Incarnation}
}

// valid reports whether a statement of another VM makes sense.
func (s *Statement) valid() bool {
	return s.Server != "" && s.Rate >= 0 && !math.IsInf(s.Rate, 0) && s.AgeMS >= 0 && s.AgeMS <= maxAge.Milliseconds()
}

const (
	// maxAge is the age from which on a statement is ignored.
	maxAge = 10 * time.Second
	// orderMargin is how long an answer without a limit that follows one with it waits for
	// another one with it, if different VMs got them: answers written in one order may be
	// read in another by VMs that are slow to read.
	orderMargin = 400 * time.Millisecond
)

// TakeStatements returns what answers said since the last call, the last of each server.
func (l *Limits) TakeStatements(now time.Time) []Statement {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.news) == 0 {
		return nil
	}
	list := slices.Collect(maps.Values(l.news))
	clear(l.news)
	for i := range list {
		list[i].AgeMS = now.Sub(list[i].at).Milliseconds()
	}
	return list
}

// Learn applies what answers to other VMs said, as far as this VM knows of no newer one.
func (l *Limits) Learn(now time.Time, statements []Statement) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, s := range statements {
		if !s.valid() {
			continue
		}
		server, at := s.instance(), now.Add(-time.Duration(s.AgeMS)*time.Millisecond)
		known := l.limits[server]
		switch {
		case known != nil && known.rate > 0 && !at.After(known.stated):
		case s.Lifted:
			l.unlimited[server] = wait.Later(at, l.unlimited[server])
			if known != nil {
				l.lift(server)
			}
		case at.After(l.unlimited[server].Add(-orderMargin)):
			l.set(now, server, s.Rate, at)
		}
	}
}
