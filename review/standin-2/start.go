package main

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os/exec"
	"sync"
	"syscall"
	"time"
)

// stopAtStart plays two rolling restarts that overlap, one machine a second each: the first one stops a
// machine as planned, the second one tells it to stop while it starts again, until one does not stop. The platform kills a machine that still runs at the end of the
// grace. With TROUBLE=0 the second SIGTERM comes two seconds after the start, once at each machine.
func stopAtStart(s *scenario) (bool, error) {
	db := newStore(1000)
	l := listen("127.0.3.1")
	defer db.serve(l, nil).Close()
	var ups []*upstream
	zones := []string{"lk-west-a", "lk-west-b", "lk-west-c", "lk-west-a", "lk-west-b", "lk-west-c"}
	for i, zone := range zones {
		ups = append(ups, startUpstream(db, s.recorder, fmt.Sprintf("i-swap-%d", i+1), "swapbay", zone, false, 300*time.Millisecond))
	}
	defer func() {
		for _, u := range ups {
			u.exit()
		}
	}()
	db.put("op", "config", config(7, "modbench"))
	gateways, err := startGateways(s.temporary, zones, 284, func(int) string { return l.Addr().String() })
	s.gateways = gateways
	if err != nil {
		return false, err
	}
	if err := awaitReady(gateways, 10*time.Second); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	if !s.trouble {
		lost := 0
		for _, g := range gateways {
			n, err := s.stopOnce(g, 2*time.Second)
			if err != nil {
				return false, err
			}
			lost += n
		}
		return lost > 0, nil
	}
	delays := &startDelays{}
	var mu sync.Mutex
	total := 0
	var failure error
	var machines sync.WaitGroup
	for _, g := range gateways {
		machines.Go(func() {
			for time.Since(s.recorder.began) < 80*time.Second {
				mu.Lock()
				over := total > 0 || failure != nil
				mu.Unlock()
				if over {
					return
				}
				delay := delays.next()
				lost, err := s.stopOnce(g, delay)
				var ended *exec.ExitError
				early := errors.As(err, &ended) // by the signal, before any code of its own ran
				delays.record(delay, early)
				mu.Lock()
				total += lost
				if err != nil && !early {
					failure = err
				}
				mu.Unlock()
			}
		})
	}
	machines.Wait()
	return total > 0, failure
}

// startDelays chooses the delays from the start of a process to SIGTERM. How long a process takes until
// it handles the signal depends on the machine: half of the delays are random, the others are random
// between those that were too early and those that were too late.
type startDelays struct {
	mu                     sync.Mutex
	latestEarly, firstLate time.Duration
}

func (d *startDelays) next() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	low, high := 2*time.Millisecond, 24*time.Millisecond
	if d.latestEarly > 0 && d.firstLate > 0 && rand.IntN(2) == 0 {
		low, high = min(d.latestEarly, d.firstLate)*9/10, max(d.latestEarly, d.firstLate)*13/10
	}
	return low + time.Duration(rand.Int64N(int64(high-low)+1))
}

func (d *startDelays) record(delay time.Duration, early bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if early {
		d.latestEarly = max(d.latestEarly, delay)
	} else if d.firstLate == 0 || delay < d.firstLate {
		d.firstLate = delay
	}
}

// restartDelay is the short delay after which the platform starts a process again.
const restartDelay = 300 * time.Millisecond

// roll is planned work that stops one machine at a time, at least a second apart.
type roll struct {
	mu   sync.Mutex
	last time.Time
}

func (r *roll) await() {
	r.mu.Lock()
	defer r.mu.Unlock()
	time.Sleep(time.Until(r.last.Add(time.Second)))
	r.last = time.Now()
}

// stopOnce stops a machine as planned, starts it, sends SIGTERM after a delay and SIGKILL at the end of
// the grace, and returns how many requests were lost. Clients call it while it says that it is ready.
// The error is an exec.ExitError if the second SIGTERM ended the process at once.
func (s *scenario) stopOnce(g *gateway, delay time.Duration) (int, error) {
	s.rolls[0].await()
	_ = g.command.Process.Signal(syscall.SIGTERM)
	if err := g.endBy(time.Now().Add(graceS)); err != nil && g.command.ProcessState.ExitCode() != -1 {
		return 0, err
	}
	time.Sleep(restartDelay)
	s.rolls[1].await()
	if err := g.start(); err != nil {
		return 0, err
	}
	began := time.Now()
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	var done, loads sync.WaitGroup
	loads.Go(func() {
		for misses := 2; ctx.Err() == nil; {
			during, pause := context.WithTimeout(ctx, time.Second) // until the platform asks again
			if g.isReady() {
				misses = 0
			} else {
				misses++
			}
			if misses < 2 { // two misses take it out
				s.recorder.load(during, g, swapPost, 20, &done)
			}
			<-during.Done()
			pause()
		}
	})
	time.Sleep(time.Until(began.Add(delay)))
	told := time.Now()
	if err := g.command.Process.Signal(syscall.SIGTERM); err != nil {
		return 0, fmt.Errorf("SIGTERM to %s: %w", g.name, err)
	}
	s.say("SIGTERM to %s, %.1f ms after its start", g.name, float64(told.Sub(began).Microseconds())/1000)
	ended := make(chan error, 1)
	go func() { ended <- g.endBy(told.Add(graceS)) }()
	err := <-ended
	gone := time.Now()
	stop()
	loads.Wait()
	done.Wait()
	defer func() {
		// The platform starts it again, and it runs for the next time.
		time.Sleep(restartDelay)
		_ = g.start()
		time.Sleep(time.Second)
	}()
	all, good, lost := s.lost(g, began, told)
	s.say("%s ended %.2f s after the SIGTERM (%v); swap-post there: %d sent, %d served; LOST: %d",
		g.name, gone.Sub(told).Seconds(), err, all, good, lost)
	if gone.Sub(told) < time.Second {
		return lost, err
	}
	return lost, nil
}

// lost counts the requests to a machine since its start, those that were served, and those that had been
// passed on to an upstream and whose connection ended without an answer, apart from what the rule
// excuses or does not concern: the deadline or the route's timeout had come, or the request was sent no later than 3 s after
// the SIGTERM and its upstream was at work in the last sixth of the grace, or it ended before the SIGTERM
// or more than 1 s after the grace. The upstreams here break nothing off.
func (s *scenario) lost(g *gateway, began, told time.Time) (all, good, lost int) {
	s.recorder.mu.Lock()
	defer s.recorder.mu.Unlock()
	ran := map[string]bool{}
	for _, x := range s.recorder.runs {
		ran[x.id] = true
	}
	for _, r := range s.recorder.sent {
		if r.gateway != g.name || r.at.Before(began) {
			continue
		}
		all++
		inTime := r.answered.Sub(r.at) < swapPost.deadline-20*time.Millisecond
		excused := r.at.Sub(told) <= 3*time.Second && r.answered.Sub(told) >= graceS*5/6
		switch {
		case r.status/100 == 2:
			good++
		case r.status == 0 && ran[r.id] && inTime && !excused && r.answered.After(told) && r.answered.Before(told.Add(graceS+time.Second)):
			lost++
		}
	}
	return all, good, lost
}

// endBy waits for the end of the process, kills it at the given time, and returns how it ended.
func (g *gateway) endBy(end time.Time) error {
	ended := make(chan error, 1)
	go func() { ended <- g.command.Wait() }()
	select {
	case err := <-ended:
		return err
	case <-time.After(time.Until(end)):
		_ = g.command.Process.Kill()
		return <-ended
	}
}
