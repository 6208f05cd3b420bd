// Package ratelimit keeps the requests that all VMs together send to a server within the
// rate limit that the server states in its answers, and within the rate that a cold server takes
// while it warms up; the lower one counts. A stated limit holds until the server answers
// without it. Each VM sends its share of the limit, whatever the others do; what one VM
// learns from an answer reaches the others as a Statement.
package ratelimit

import (
	"log/slog"
	"maps"
	"math"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"

	"kumquatcleat/internal/registry"
	"kumquatcleat/internal/wait"
)

// limit is the rate limit of one server and this VM's share of it.
type limit struct {
	rate   float64   // requests per second from all VMs together; 0: the server states none
	stated time.Time // when the server last stated it, to this or another VM
	// warmupRate is the rate in requests per second that the server takes until warmUntil, while it
	// is cold; 0: it is not.
	warmupRate float64
	warmUntil  time.Time
	// credit grows with this VM's share of the rate. A request takes one.
	credit   float64
	creditAt time.Time

	// loggedAt and loggedRate bound the log lines of a server whose limit changes with
	// each answer.
	loggedAt   time.Time
	loggedRate float64
}

// Limits holds the rate limits of servers on one VM. It is safe for concurrent use.
type Limits struct {
	// share returns this VM's share of the limit of a server, 0 while it is unknown.
	share func(server string) float64
	gauge metrics.Gauge
	// warmingGauge is the number of cold servers, whether they also state a limit or not.
	warmingGauge metrics.Gauge
	count        atomic.Int64 // of limits; without any, requests take no lock

	mu     sync.Mutex // guards the fields below
	limits map[registry.Instance]*limit
	// unlimited holds when servers last answered without a limit, this or another VM. An
	// older statement that arrives later does not count.
	unlimited map[registry.Instance]time.Time
	news      map[registry.Instance]Statement // from answers since the last TakeStatements
}

// New returns limits of no server. The metric servers_warming_up is the number of cold servers,
// servers_rate_limited that of other servers with a limit.
func New(share func(server string) float64, m metrics.Registry) *Limits {
	return &Limits{
		share: share, gauge: metrics.GetOrRegisterGauge("servers_rate_limited", m), warmingGauge: metrics.GetOrRegisterGauge("servers_warming_up", m),
		limits: map[registry.Instance]*limit{}, unlimited: map[registry.Instance]time.Time{}, news: map[registry.Instance]Statement{},
	}
}

// localShare is the share of a server's limit that goes to the VMs of its own failure domain:
// they prefer it, the others use it when theirs are busy.
const localShare = 0.75

// Share returns one VM's share of the limit of a server, so that those of all VMs add up to 1.
// local says whether the server is in the VM's own failure domain, in which there are localVMs
// of all VMs.
func Share(local bool, localVMs, allVMs int) float64 {
	switch {
	case allVMs == 0:
		return 0
	case localVMs == 0, localVMs == allVMs:
		return 1 / float64(allVMs)
	case local:
		return localShare / float64(localVMs)
	default:
		return (1 - localShare) / float64(allVMs-localVMs)
	}
}

// Stated records that a server stated a rate limit in an answer.
func (l *Limits) Stated(now time.Time, server registry.Instance, rate float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.set(now, server, rate, now)
	l.news[server] = Statement{Server: server.ID, Incarnation: server.Incarnation, Rate: rate, at: now}
}

// Unstated records that a server answered without a rate limit.
func (l *Limits) Unstated(now time.Time, server registry.Instance) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.unlimited[server] = now
	if known := l.limits[server]; known == nil || known.rate == 0 {
		return
	}
	l.lift(server)
	l.news[server] = Statement{Server: server.ID, Incarnation: server.Incarnation, Lifted: true, at: now}
}

// minRate is the rate in requests per second that is sent even to a server that takes
// fewer: only its answers show when the limit ends.
const minRate = 0.25

const (
	// logInterval and logChange bound the lines about one server.
	logInterval = time.Second
	logChange   = 1.1 // factor
)

func (l *Limits) set(now time.Time, server registry.Instance, rate float64, stated time.Time) {
	known := l.entry(now, server)
	known.rate, known.stated = max(rate, minRate), stated
	changed := rate > known.loggedRate*logChange || rate*logChange < known.loggedRate
	if known.loggedAt.IsZero() || changed && now.Sub(known.loggedAt) >= logInterval {
		slog.Info("ratelimit: server states a limit", "server", server.ID, "incarnation", server.Incarnation, "rate_per_s", rate, "logged_before", known.loggedRate, "share", l.share(server.ID), "age", now.Sub(stated))
		known.loggedAt, known.loggedRate = now, rate
	}
}

// entry returns the limit of a server, as of now, and creates it if there is none.
func (l *Limits) entry(now time.Time, server registry.Instance) *limit {
	known := l.limits[server]
	if known == nil {
		// VMs learn of a limit at about the same time. A random start keeps them from
		// sending together.
		known = &limit{credit: rand.Float64(), creditAt: now}
		l.limits[server] = known
		l.updateCount()
	}
	l.accrue(now, server, known)
	return known
}

// WarmUp records that a server is cold and takes rate requests per second from all VMs together
// until then. Of several such statements the latest end counts.
func (l *Limits) WarmUp(now time.Time, server registry.Instance, rate float64, until time.Time) {
	if !until.After(now) || !(rate > 0) {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	known := l.entry(now, server)
	if known.warmupRate == 0 {
		slog.Info("ratelimit: server is cold", "server", server.ID, "incarnation", server.Incarnation, "rate_per_s", rate, "for_ms", until.Sub(now).Milliseconds())
	}
	known.warmupRate, known.warmUntil = rate, wait.Later(known.warmUntil, until)
	l.updateCount()
}

// WarmupRate returns the requests per second that a cold server takes from all VMs together, 0 if it
// is warm.
func (l *Limits) WarmupRate(now time.Time, server registry.Instance) float64 {
	if l.count.Load() == 0 {
		return 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	known := l.limits[server]
	if known == nil || !now.Before(known.warmUntil) {
		return 0
	}
	return known.warmupRate
}

// endWarmup ends a warm-up whose time has passed.
func (l *Limits) endWarmup(now time.Time, server registry.Instance, known *limit) {
	if known.warmupRate == 0 || now.Before(known.warmUntil) {
		return
	}
	slog.Info("ratelimit: server is warm", "server", server.ID, "incarnation", server.Incarnation)
	known.warmupRate = 0
	if known.rate == 0 {
		l.forget(server)
		return
	}
	l.updateCount()
}

func (l *Limits) lift(server registry.Instance) {
	known := l.limits[server]
	if known.rate == 0 {
		return
	}
	slog.Info("ratelimit: server states no limit any more", "server", server.ID, "incarnation", server.Incarnation, "rate_per_s", known.rate)
	known.rate = 0
	if known.warmupRate == 0 {
		l.forget(server)
	}
}

func (l *Limits) forget(server registry.Instance) {
	delete(l.limits, server)
	l.updateCount()
}

func (l *Limits) updateCount() {
	warming := 0
	for _, known := range l.limits {
		if known.warmupRate > 0 {
			warming++
		}
	}
	l.count.Store(int64(len(l.limits)))
	l.gauge.Update(int64(len(l.limits) - warming))
	l.warmingGauge.Update(int64(warming))
}

// creditLife is how long a VM may save up the right to send a request. A longer one lets
// more requests arrive together after a quiet time, a shorter one leaves a share unused
// while requests are rare.
const creditLife = time.Second

// accrue adds the credit since the last call and returns the rate at which it grows. What was
// saved up for longer than creditLife is lost, one request at a time, so that VMs stay out of
// step.
func (l *Limits) accrue(now time.Time, server registry.Instance, known *limit) float64 {
	rate := known.total() * l.share(server.ID)
	if now.After(known.creditAt) {
		known.credit += rate * now.Sub(known.creditAt).Seconds()
		known.creditAt = now
	}
	if excess := known.credit - 1 - rate*creditLife.Seconds(); rate > 0 && excess > 0 {
		known.credit -= math.Ceil(excess)
	}
	return rate
}

// total returns the rate that all VMs together may send.
func (k *limit) total() float64 {
	switch {
	case k.warmupRate == 0:
		return k.rate
	case k.rate == 0:
		return k.warmupRate
	default:
		return min(k.rate, k.warmupRate)
	}
}

// Any reports whether any server has a rate limit.
func (l *Limits) Any() bool { return l.count.Load() > 0 }

// HasRoom reports whether a server has a rate limit and this VM may send it a request now.
func (l *Limits) HasRoom(now time.Time, server registry.Instance) bool {
	if l.count.Load() == 0 {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	known := l.limits[server]
	if known == nil {
		return false
	}
	l.accrue(now, server, known)
	return known.credit >= 1
}

// Take takes the right to send a request to a server, and reports whether there was one.
func (l *Limits) Take(now time.Time, server registry.Instance) bool {
	wait, _ := l.wait(now, server, true)
	return wait == 0
}

// Wait returns the time until this VM may send a request to a server, 0 if it may now.
func (l *Limits) Wait(now time.Time, server registry.Instance) time.Duration {
	wait, _ := l.wait(now, server, false)
	return wait
}

// WaitReason returns what Wait does, and whether the limit is that of the server's warm-up.
func (l *Limits) WaitReason(now time.Time, server registry.Instance) (wait time.Duration, warmingUp bool) {
	return l.wait(now, server, false)
}

// maxWait is the longest time that Wait returns.
const maxWait = time.Minute

func (l *Limits) wait(now time.Time, server registry.Instance, take bool) (wait time.Duration, warmingUp bool) {
	if l.count.Load() == 0 {
		return 0, false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	known := l.limits[server]
	if known == nil {
		return 0, false
	}
	l.endWarmup(now, server, known)
	if known.total() == 0 {
		return 0, false
	}
	rate := l.accrue(now, server, known)
	if known.credit >= 1 {
		if take {
			known.credit--
		}
		return 0, false
	}
	return known.untilCredit(rate)
}

// untilCredit returns the time until there is credit for a request, and whether the limit is that of
// the server's warm-up.
func (k *limit) untilCredit(rate float64) (wait time.Duration, warmingUp bool) {
	seconds := (1 - k.credit) / rate // infinite while the share is unknown
	return time.Duration(min(seconds, maxWait.Seconds()) * float64(time.Second)), k.rate == 0 || k.warmupRate > 0 && k.warmupRate <= k.rate
}

// unlimitedMemory is how long an answer without a limit is remembered: older statements may
// arrive until then.
const unlimitedMemory = 2 * maxAge

// Sweep forgets the limits of servers for which keep returns false, and answers without a limit that
// no statement can be older than.
func (l *Limits) Sweep(now time.Time, keep func(registry.Instance) bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	maps.DeleteFunc(l.unlimited, func(_ registry.Instance, at time.Time) bool { return now.Sub(at) > unlimitedMemory })
	for server, known := range l.limits {
		if !keep(server) {
			l.forget(server)
			continue
		}
		l.endWarmup(now, server, known)
	}
}
