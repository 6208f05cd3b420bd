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

// loadGenerator sends the calls of a schedule at their intended times, whether or
// not earlier calls were answered (open-loop load).
type loadGenerator struct {
	caller   *caller
	targets  []string
	prefix   string
	start    int64         // CLOCK_MONOTONIC ns
	inFlight chan struct{} // bounds the calls in flight

	mu      sync.Mutex
	calls   []Call
	resends int // calls added by ResendUnknown
	wait    sync.WaitGroup
}

func newLoadGenerator(s *Scenario, targets []string, prefix string) *loadGenerator {
	return &loadGenerator{
		caller:   newCaller(s.Timeout()),
		targets:  targets,
		prefix:   prefix,
		start:    standin.MonotonicNow(),
		inFlight: make(chan struct{}, s.MaxInFlight),
	}
}

// run sends all calls and waits for their answers.
func (l *loadGenerator) run(ctx context.Context, plan []plannedCall) []Call {
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
// distorts the figures, so it is recorded as skipped.
func (l *loadGenerator) begin(ctx context.Context, planned *plannedCall) {
	call := l.newCall(planned, l.callID(planned.number), l.targets[planned.target])
	if planned.resendOf >= 0 {
		call.ResendOf = l.callID(planned.resendOf)
	}
	select {
	case l.inFlight <- struct{}{}:
	default:
		call.Outcome = CallSkipped
		l.record(call)
		return
	}
	l.wait.Go(func() {
		defer func() { <-l.inFlight }()
		l.send(ctx, &call, planned)
		l.record(call)
		if planned.kind.ResendUnknown && planned.resendOf < 0 && mayHaveRun(call.Outcome) {
			l.resend(ctx, planned, call.ID)
		}
	})
}

func mayHaveRun(outcome CallOutcome) bool { return outcome == CallUnknown || outcome == CallLost }

// resend repeats a call through another VM, as a caller does after an unknown
// outcome.
func (l *loadGenerator) resend(ctx context.Context, planned *plannedCall, first string) {
	l.mu.Lock()
	l.resends++
	id := fmt.Sprintf("%s-r%d", l.prefix, l.resends)
	l.mu.Unlock()
	call := l.newCall(planned, id, l.targets[otherTarget(planned.target, len(l.targets))])
	call.IntendedNS = standin.MonotonicNow()
	call.ResendOf = first
	l.send(ctx, &call, planned)
	l.record(call)
}

// send makes a call. While no connection can be opened it tries the next VM, as
// the platform's load balancer does: such a call has reached no VM.
func (l *loadGenerator) send(ctx context.Context, call *Call, planned *plannedCall) {
	first := slices.Index(l.targets, call.Target)
	for i := range l.targets {
		call.Target = l.targets[(first+i)%len(l.targets)]
		call.Outcome, call.Detail = "", ""
		l.caller.do(ctx, call, planned)
		if call.Outcome != CallUnsent {
			return
		}
	}
}

func (l *loadGenerator) callID(number int) string { return fmt.Sprintf("%s-%d", l.prefix, number) }

func (l *loadGenerator) newCall(planned *plannedCall, id, target string) Call {
	return Call{
		ID:             id,
		Service:        planned.traffic.Service,
		Key:            planned.key,
		Kind:           planned.kind.Name,
		Class:          planned.kind.Class,
		Method:         planned.kind.Method,
		NonIdempotent:  planned.kind.NonIdempotent,
		IdempotencyKey: planned.idempotencyKey,
		Crash:          planned.crash,
		Target:         target,
		IntendedNS:     l.start + int64(planned.at),
	}
}

func (l *loadGenerator) record(call Call) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.calls = append(l.calls, call)
}

// sleepUntil sleeps until a CLOCK_MONOTONIC time and reports whether it did so
// before ctx was canceled.
func sleepUntil(ctx context.Context, at int64) bool {
	left := time.Duration(at - standin.MonotonicNow())
	if left <= 0 {
		return ctx.Err() == nil
	}
	return wait.For(ctx, left)
}

// settleTime gives servers time to record the runs that are still in progress.
const settleTime = 500 * time.Millisecond

// Run puts a scenario's load on the targets, injects its faults and returns what
// was recorded. cluster may be nil if the scenario has no faults; in that case the
// history has no run records.
func Run(ctx context.Context, s *Scenario, seed uint64, targets []string, cluster *Cluster) (*History, error) {
	if len(s.Faults) > 0 && cluster == nil {
		return nil, fmt.Errorf("bench: scenario %q has faults, which need the directory of a cluster", s.Name)
	}
	for _, target := range targets {
		if err := checkLoopback(target); err != nil {
			return nil, fmt.Errorf("bench: %w", err)
		}
	}
	prefix := fmt.Sprintf("b%x", standin.MonotonicNow())
	plan := schedule(s, seed, len(targets), prefix)
	slog.Info("bench: load started", "scenario", s.Name, "seed", seed, "calls", len(plan), "targets", len(targets))
	var before Usage
	if cluster != nil {
		before = cluster.vmUsage()
	}
	generator := newLoadGenerator(s, targets, prefix)
	injected := make(chan []FaultRecord, 1)
	go func() { injected <- inject(ctx, s.Faults, cluster, generator.start) }()
	history := &History{
		Info:  RunInfo{Scenario: *s, Seed: seed, Targets: targets, StartNS: generator.start},
		Calls: generator.run(ctx, plan),
	}
	history.Faults = <-injected
	history.Info.EndNS = standin.MonotonicNow()
	if cluster == nil {
		return history, ctx.Err()
	}
	if !cluster.affectsDaemons(s.Faults) {
		cost := costOf(before, cluster.vmUsage(), len(cluster.VMs), len(history.Calls))
		history.Info.Cost = &cost
	}
	time.Sleep(settleTime)
	history.Info.Servers = cluster.ServerInfos()
	var err error
	if history.Runs, err = cluster.Runs(); err != nil {
		return nil, err
	}
	return history, ctx.Err()
}
