package bench

import (
	"context"
	"fmt"
	"log/slog"
	"slices"
	"sync"
	"time"

	"kumquatcleat/internal/standin"
	"kumquatcleat/internal/wait"
)

// load sends a schedule's calls at their times, whether or not earlier ones were
// answered.
type load struct {
	caller  *caller
	targets []string
	prefix  string
	start   int64         // CLOCK_MONOTONIC ns
	places  chan struct{} // bounds the calls in flight

	mu    sync.Mutex
	calls []Call
	extra int // calls added by ResendUnknown
	wait  sync.WaitGroup
}

func newLoad(s *Scenario, targets []string, prefix string) *load {
	return &load{
		caller:  newCaller(s.Timeout()),
		targets: targets,
		prefix:  prefix,
		start:   standin.MonotonicNow(),
		places:  make(chan struct{}, s.MaxInFlight),
	}
}

// run sends all calls and waits for their answers.
func (l *load) run(ctx context.Context, plan []plannedCall) []Call {
	for i := range plan {
		if !sleepUntil(ctx, l.start+int64(plan[i].at)) {
			break
		}
		l.begin(ctx, &plan[i])
	}
	l.wait.Wait()
	return l.calls
}

// begin starts a call, or skips it when too many are in flight. A skipped call
// spoils the measure, so it is recorded as such.
func (l *load) begin(ctx context.Context, planned *plannedCall) {
	call := l.newCall(planned, l.callID(planned.number), l.targets[planned.target])
	if planned.resendOf >= 0 {
		call.ResendOf = l.callID(planned.resendOf)
	}
	select {
	case l.places <- struct{}{}:
	default:
		call.Outcome = CallSkipped
		l.keep(call)
		return
	}
	l.wait.Go(func() {
		defer func() { <-l.places }()
		l.send(ctx, &call, planned)
		l.keep(call)
		if planned.kind.ResendUnknown && planned.resendOf < 0 && mayHaveRun(call.Outcome) {
			l.resend(ctx, planned, call.ID)
		}
	})
}

func mayHaveRun(outcome CallOutcome) bool { return outcome == CallUnknown || outcome == CallLost }

// resend repeats a call through another VM, as its caller does who heard nothing.
func (l *load) resend(ctx context.Context, planned *plannedCall, first string) {
	l.mu.Lock()
	l.extra++
	id := fmt.Sprintf("%s-r%d", l.prefix, l.extra)
	l.mu.Unlock()
	call := l.newCall(planned, id, l.targets[otherTarget(planned.target, len(l.targets))])
	call.IntendedNS = standin.MonotonicNow()
	call.ResendOf = first
	l.send(ctx, &call, planned)
	l.keep(call)
}

// send makes a call, and goes on to the next VM while no connection can be
// opened, as the platform's balancer does. Such a call was sent nowhere.
func (l *load) send(ctx context.Context, call *Call, planned *plannedCall) {
	first := slices.Index(l.targets, call.Target)
	for i := range l.targets {
		call.Target = l.targets[(first+i)%len(l.targets)]
		call.Outcome, call.Detail = "", ""
		l.caller.make(ctx, call, planned)
		if call.Outcome != CallUnsent {
			return
		}
	}
}

func (l *load) callID(number int) string { return fmt.Sprintf("%s-%d", l.prefix, number) }

func (l *load) newCall(planned *plannedCall, id, target string) Call {
	return Call{
		ID:             id,
		Service:        planned.traffic.Service,
		Key:            planned.key,
		Kind:           planned.kind.Name,
		Class:          planned.kind.Class,
		Method:         planned.kind.Method,
		NonIdempotent:  planned.kind.NonIdempotent,
		IdempotencyKey: planned.identity,
		Crash:          planned.crash,
		Target:         target,
		IntendedNS:     l.start + int64(planned.at),
	}
}

func (l *load) keep(call Call) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.calls = append(l.calls, call)
}

// sleepUntil returns false when ctx ended first.
func sleepUntil(ctx context.Context, at int64) bool {
	left := time.Duration(at - standin.MonotonicNow())
	if left <= 0 {
		return ctx.Err() == nil
	}
	return wait.For(ctx, left)
}

// settleTime lets runs that servers still hold reach their records.
const settleTime = 500 * time.Millisecond

// Run puts a scenario's load on the targets, injects its faults and returns
// what was recorded. cluster may be nil when the scenario has no faults; then
// there are no server records either.
func Run(ctx context.Context, s *Scenario, seed uint64, targets []string, cluster *Cluster) (*History, error) {
	if len(s.Faults) > 0 && cluster == nil {
		return nil, fmt.Errorf("bench: scenario %q has faults: name the cluster's directory", s.Name)
	}
	for _, target := range targets {
		if err := checkLoopback(target); err != nil {
			return nil, fmt.Errorf("bench: %w", err)
		}
	}
	prefix := fmt.Sprintf("b%x", standin.MonotonicNow())
	plan := schedule(s, seed, len(targets), prefix)
	slog.Info("bench: load starts", "scenario", s.Name, "seed", seed, "calls", len(plan), "targets", len(targets))
	var before Usage
	if cluster != nil {
		before = cluster.vmUsage()
	}
	loader := newLoad(s, targets, prefix)
	injected := make(chan []FaultRecord, 1)
	go func() { injected <- inject(ctx, s.Faults, cluster, loader.start) }()
	history := &History{
		Info:  RunInfo{Scenario: *s, Seed: seed, Targets: targets, StartNS: loader.start},
		Calls: loader.run(ctx, plan),
	}
	history.Faults = <-injected
	history.Info.EndNS = standin.MonotonicNow()
	if cluster == nil {
		return history, ctx.Err()
	}
	if !cluster.restarts(s.Faults) {
		cost := costOf(before, cluster.vmUsage(), len(cluster.VMs), len(history.Calls))
		history.Info.Cost = &cost
	}
	time.Sleep(settleTime)
	history.Info.Servers = cluster.Capacities()
	var err error
	if history.Runs, err = cluster.Runs(); err != nil {
		return nil, err
	}
	return history, ctx.Err()
}
