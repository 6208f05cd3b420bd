package ratelimit

import (
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
)

// Guards against a herd on a cold server: all VMs have requests for it all the time, some learn late
// that it is cold. Per second it may get 1.5 times its warm-up rate and 8 more.
func TestVMsTogetherKeepToWarmupRate(t *testing.T) {
	const rate, allowed, cold = 6.8, 6.8*1.5 + 8.0, 3 * time.Second
	const runs = 20
	for _, vms := range []int{12, 78} {
		total := 0
		for range runs {
			var list []*Limits
			for vm := range vms {
				local := vm%3 == 0
				list = append(list, New(func(string) float64 { return Share(local, vms/3, vms) }, metrics.NewRegistry()))
			}
			var arrivals []time.Time
			for at := start; at.Before(start.Add(cold)); at = at.Add(5 * time.Millisecond) {
				for vm, l := range list {
					if at.Equal(start.Add(time.Duration(vm%20) * 20 * time.Millisecond)) {
						l.WarmUp(at, server, rate, start.Add(cold))
					}
					if l.HasRoom(at, server) && l.Take(at, server) {
						arrivals = append(arrivals, at)
					}
				}
			}
			most, first := 0, 0
			for i, at := range arrivals {
				for at.Sub(arrivals[first]) >= time.Second {
					first++
				}
				most = max(most, i-first+1)
			}
			if float64(most) > allowed {
				t.Errorf("%d VMs: a cold server got %d requests in a second, want at most %.1f", vms, most, allowed)
			}
			total += len(arrivals)
		}
		if mean, want := float64(total)/runs, rate*cold.Seconds()/2; mean < want {
			t.Errorf("%d VMs: a cold server got %.1f requests in %v, want at least %.1f, half of its rate", vms, mean, cold, want)
		}
	}
}

// Guards against a warm-up that ends early because another statement is shorter, that never ends, or
// that a limit stated in an answer replaces; and against a VM without others that sends everything.
func TestWarmupEndsWithItsLatestStatement(t *testing.T) {
	l := newLimits(1)
	l.WarmUp(start, server, 5, start.Add(3*time.Second))
	l.WarmUp(start, server, 5, start.Add(time.Second))
	l.Stated(start, server, 100)
	l.Unstated(start, server)
	if got := l.WarmupRate(start.Add(2*time.Second), server); got != 5 {
		t.Errorf("2s into a warm-up of 3s: got rate %v, want 5", got)
	}
	for range 7 {
		l.Take(start.Add(2*time.Second), server)
	}
	if _, warmingUp := l.WaitReason(start.Add(2*time.Second), server); !warmingUp {
		t.Error("a cold server with its rate used up: got another reason to wait")
	}
	if wait := l.Wait(start.Add(3*time.Second), server); wait > 0 || l.Any() {
		t.Errorf("after the warm-up: got a wait of %v, any limit %v", wait, l.Any())
	}
	l.WarmUp(start, server, 0, start.Add(time.Hour))
	l.WarmUp(start, server, -1, start.Add(time.Hour))
	if l.Any() {
		t.Error("a warm-up without a rate limits requests")
	}
	alone := newLimits(0)
	alone.WarmUp(start, server, 1000, start.Add(time.Hour))
	if alone.Take(start.Add(time.Minute), server) {
		t.Error("a VM that knows no other VM sends to a cold server")
	}
}
