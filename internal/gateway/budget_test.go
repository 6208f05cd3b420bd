package gateway

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"kumquatcleat/internal/dispatch"
	"kumquatcleat/internal/rows"
)

// budgetFleet is a fleet of VMs that repeat requests to one service as often as their budgets
// allow, in the virtual time of a synctest bubble.
type budgetFleet struct {
	vms      []*budgetVM
	row      map[string]uint64 // version of the row in the store, by VM
	version  uint64
	requests []time.Time
	retries  []time.Time
}

// budgetVM is one VM: a process, or none while it starts again.
type budgetVM struct {
	name      string
	peers     *peers
	budget    *dispatch.Budget
	startedAt time.Time
	synced    bool
	stopAt    time.Time // when it was told to stop; zero: it was not
}

const (
	budgetFleetSync = 300 * time.Millisecond // until a process that starts knows the other VMs
	budgetFleetStop = 3 * time.Second        // for which a process goes on after it was told to stop
	budgetFleetStep = 20 * time.Millisecond
)

var fleetBudget = dispatch.BudgetSettings{Ratio: 0.2, Slack: 64, Window: 10 * time.Second, Share: retryBudgetShare}

func newBudgetFleet(vms int) *budgetFleet {
	f := &budgetFleet{row: map[string]uint64{}}
	for i := range vms {
		f.vms = append(f.vms, &budgetVM{name: fmt.Sprint("vm-", i)})
		f.start(f.vms[i])
	}
	return f
}

func (f *budgetFleet) start(v *budgetVM) {
	settings := testSettings(v.name, "a")
	settings.GraceS = 6
	p := newPeers(settings, nil)
	*v = budgetVM{name: v.name, peers: p, startedAt: time.Now(), budget: newRetryBudget(fleetBudget, p)}
}

// publish tells all processes that read rows of a change of one.
func (f *budgetFleet) publish(vm string, deleted bool) {
	f.version++
	row := rows.Row{Key: vm, Version: f.version, Deleted: deleted, Value: []byte(`{"failure_domain":"a"}`)}
	delete(f.row, vm)
	if !deleted {
		f.row[vm] = f.version
	}
	for _, v := range f.vms {
		if v.synced {
			v.peers.apply([]rows.Row{row})
		}
	}
}

// step lets each process go on for a step. Requests come at perSecond for each VM.
func (f *budgetFleet) step(perSecond float64, number int) {
	for _, v := range f.vms {
		if !v.stopAt.IsZero() && time.Since(v.stopAt) >= budgetFleetStop {
			f.start(v)
		}
		if !v.synced && v.stopAt.IsZero() && time.Since(v.startedAt) >= budgetFleetSync {
			v.synced = true
			for name, version := range f.row {
				v.peers.apply([]rows.Row{{Key: name, Version: version, Value: []byte(`{"failure_domain":"a"}`)}})
			}
			f.publish(v.name, false)
		}
		if every := int(1 / perSecond / budgetFleetStep.Seconds()); number%every == 0 {
			v.budget.Request("svc")
			f.requests = append(f.requests, time.Now())
		}
		for v.budget.TakeRetry("svc") {
			f.retries = append(f.retries, time.Now())
		}
	}
}

func (f *budgetFleet) stop(v *budgetVM) {
	if v.stopAt.IsZero() {
		v.stopAt = time.Now()
		f.publish(v.name, true)
	}
}

// excess returns by how many retries the worst window exceeds what operators allow: the ratio of the
// requests in it, the window before it or the one half a window before, and the slack.
func (f *budgetFleet) excess() (worst float64) {
	in := func(times []time.Time, from time.Time) (n float64) {
		for _, at := range times {
			if !at.Before(from) && at.Before(from.Add(fleetBudget.Window)) {
				n++
			}
		}
		return n
	}
	worst = -fleetBudget.Slack
	for i, from := range f.retries {
		if i > 0 && from.Equal(f.retries[i-1]) {
			continue
		}
		requests := max(in(f.requests, from), in(f.requests, from.Add(-fleetBudget.Window)), in(f.requests, from.Add(-fleetBudget.Window/2)))
		worst = max(worst, in(f.retries, from)-fleetBudget.Ratio*requests-fleetBudget.Slack)
	}
	return worst
}

// Guards against retries beyond the budget of the fleet while VMs are stopped and started: each
// counts only the VMs with a row, which those that stop have not, and one that starts does not
// know what its predecessor used.
func TestRetryBudgetHoldsWhileVMsRestart(t *testing.T) {
	for _, c := range []struct {
		name string
		gap  time.Duration // between the stops of two VMs
		// each is the time between the beginnings of two rolling restarts, which may overlap.
		each time.Duration
	}{
		{"none", time.Hour, time.Hour},
		{"one after the other", time.Second, 30 * time.Second},
		{"all at once", 0, 15 * time.Second},
		{"overlapping", 900 * time.Millisecond, 2300 * time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newBudgetFleet(12)
				for number := range int(60 * time.Second / budgetFleetStep) {
					now := time.Duration(number) * budgetFleetStep
					for roll := 15 * time.Second; roll <= now; roll += c.each {
						if i := int((now - roll) / max(c.gap, 1)); now-roll < c.gap*time.Duration(len(f.vms)) && (now-roll)%max(c.gap, 1) < budgetFleetStep {
							f.stop(f.vms[i])
						} else if c.gap == 0 && now == roll {
							for _, v := range f.vms {
								f.stop(v)
							}
						}
					}
					f.step(10, number)
					time.Sleep(budgetFleetStep)
				}
				t.Logf("%d requests, %d retries, at most %.0f beyond the budget", len(f.requests), len(f.retries), f.excess())
				if f.excess() > 0 {
					t.Errorf("got %.0f retries beyond the budget in some window", f.excess())
				}
			})
		})
	}
}
