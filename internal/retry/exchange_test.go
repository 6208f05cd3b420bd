package retry

import (
	"testing"
	"time"
)

// exchangeRig is a coordinator and some VMs that report to it.
type exchangeRig struct {
	clock       *clock
	coordinator *MemoryQuarantine
	process     string // of the coordinator
	vms         []*MemoryQuarantine
	exchanges   []*Exchange
}

func newExchangeRig(vms int) *exchangeRig {
	r := &exchangeRig{clock: newClock(), process: "p1"}
	r.coordinator = NewQuarantine(DefaultQuarantineSettings(), r.clock.now)
	for range vms {
		q := NewQuarantine(DefaultQuarantineSettings(), r.clock.now)
		r.vms, r.exchanges = append(r.vms, q), append(r.exchanges, NewExchange(q))
	}
	return r
}

// round lets each VM report once and returns how many suspects were sent. Messages take a
// while; answers to VMs in lost do not arrive.
func (r *exchangeRig) round(lost ...int) (sent int) {
	for i, e := range r.exchanges {
		report, change := e.Report()
		r.clock.advance(7 * time.Millisecond)
		answer := Answer(r.coordinator, r.process, report)
		r.clock.advance(7 * time.Millisecond)
		sent += len(report.Suspects) + len(answer.Suspects)
		if len(lost) == 0 || lost[0] != i {
			e.Delivered(change, answer)
		}
	}
	return sent
}

// Losses that different VMs saw add up at the coordinator, and all VMs refuse the request, also
// if an answer is lost on the way. Then nothing is sent any more.
func TestLossesAddUpThroughCoordinator(t *testing.T) {
	r := newExchangeRig(5)
	r.vms[1].ServerLost("swapbay", crashing, "s1")
	r.vms[3].ServerLost("swapbay", crashing, "s2")
	r.vms[4].ServerLost("swapbay", requestOf(8), "s2")
	r.round(3)
	r.round(2)
	r.round()
	r.round()
	for _, q := range append(r.vms, r.coordinator) {
		expectRefused(t, q, true)
	}
	if err := r.vms[0].Admit("swapbay", requestOf(8)); err != nil {
		t.Errorf("a request under which one server was lost: got %v, want no refusal", err)
	}
	if list := r.vms[0].Snapshot(); len(list) != 2 {
		t.Errorf("got suspects %v on a VM that lost no server, want only those that are refused", list)
	}
	for range 3 {
		if sent := r.round(); sent != 0 {
			t.Errorf("got %d suspects sent while nothing changes, want none", sent)
		}
	}
}

// A new coordinator knows nothing. It gets what the VMs know, and a VM that has just started
// gets it from there.
func TestNewCoordinatorLearnsSuspects(t *testing.T) {
	r := newExchangeRig(3)
	r.vms[1].ServerLost("swapbay", crashing, "s1")
	r.round()
	r.coordinator, r.process = NewQuarantine(DefaultQuarantineSettings(), r.clock.now), "p2"
	r.vms[2].ServerLost("swapbay", crashing, "s2")
	r.vms = append(r.vms, NewQuarantine(DefaultQuarantineSettings(), r.clock.now))
	r.exchanges = append(r.exchanges, NewExchange(r.vms[3]))
	for range 3 {
		r.round()
	}
	for _, q := range r.vms {
		expectRefused(t, q, true)
	}
}

// A successful run on one VM reaches all that refuse the request.
func TestRunReachesVMsThatRefuse(t *testing.T) {
	r := newExchangeRig(3)
	r.vms[0].ServerLost("swapbay", crashing, "s1")
	r.vms[0].ServerLost("swapbay", crashing, "s2")
	r.round()
	r.round()
	expectRefused(t, r.vms[2], true)
	r.vms[1].Ran("swapbay", crashing)
	r.round()
	r.round()
	for _, q := range append(r.vms, r.coordinator) {
		expectRefused(t, q, false)
	}
}

// A message with more suspects than it holds is continued in the next one.
func TestManySuspectsAreSentInParts(t *testing.T) {
	r := newExchangeRig(2)
	for i := range uint64(3 * maxSuspects) {
		r.vms[0].ServerLost("swapbay", requestOf(i), "s1")
		r.vms[0].ServerLost("swapbay", requestOf(i), "s2")
	}
	if report, _ := r.exchanges[0].Report(); len(report.Suspects) > 2*maxSuspects {
		t.Errorf("got %d suspects in one report, want at most %d of %d losses each", len(report.Suspects), maxSuspects, RefusalThreshold)
	}
	for range 5 {
		r.round()
	}
	for i := range uint64(3 * maxSuspects) {
		if r.vms[1].Admit("swapbay", requestOf(i)) == nil {
			t.Fatalf("suspect %d is admitted, want it refused", i)
		}
	}
}

// A VM posts what it could not report, and the coordinator what is refused; a VM whose reports
// arrive posts nothing.
func TestPostsHoldWhatReportsDoNotDeliver(t *testing.T) {
	r := newExchangeRig(2)
	r.vms[0].ServerLost("swapbay", requestOf(8), "s1")
	r.round()
	r.round()
	r.vms[0].ServerLost("swapbay", crashing, "s1")
	e := r.exchanges[0]
	if post := e.Post(false); len(post.Suspects) != 0 {
		t.Errorf("got %v before a report failed, want nothing", post)
	}
	e.Failed()
	post := e.Post(false)
	if len(post.Suspects) != 1 || post.Suspects[0].Fingerprint != crashing.Path {
		t.Errorf("got %v, want the loss that was not reported", post)
	}
	r.coordinator.Merge(post.Suspects)
	coordinator := NewExchange(r.coordinator)
	if post := coordinator.Post(true); len(post.Suspects) != 0 {
		t.Errorf("got %v, want nothing while no request is refused", post)
	}
	r.coordinator.ServerLost("swapbay", crashing, "s2")
	if post := coordinator.Post(true); len(post.Suspects) != 2 {
		t.Errorf("got %v, want both losses of the refused request", post)
	}
	r.round()
	if post := e.Post(false); len(post.Suspects) != 0 {
		t.Errorf("got %v after a report was delivered, want nothing", post)
	}
}
