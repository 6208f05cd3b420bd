package ownership

import (
	"testing"
	"time"
)

// A server that does not check grants can't be made to refuse requests, so a move away
// from it waits for the route leases. The VMs that keep polling the group's routes must
// not extend that wait without end.
func TestMoveFromUncheckedServerEndsWhileVMsPollRoutes(t *testing.T) {
	w := settledWorld(t, 3, 2)
	for _, id := range []string{"x", "y"} {
		w.server(id).checks = false
		w.plan.Servers[id] = ServerPlan{}
	}
	w.plan.Servers["x"] = ServerPlan{Drain: true}
	for i := range w.vms {
		w.deliverEvent(i, w.plan)
	}
	timing := DefaultTiming
	earliest := timing.RouteLease + timing.RequestDeadline
	poller := VMRef{ID: "asker", Incarnation: "1"}
	began, withdrawn, moved := w.now, time.Duration(0), time.Duration(0)
	for moved == 0 && w.now < began+earliest+3*time.Second {
		w.run(unit)
		keeper := w.vms[0].replica
		for _, route := range keeper.Routes(w.vms[0].clock(w.now), poller).Slots {
			if route.Slot != 0 {
				continue
			}
			if withdrawn == 0 && route.Moving {
				withdrawn = w.now
			}
			if withdrawn > 0 && !route.Moving && route.Server.ID == "y" {
				moved = w.now
			}
		}
	}
	if moved == 0 {
		fail(t, w, "got no new owner in the routes, want y; the old one was withdrawn at %v", withdrawn)
	}
	if moved-withdrawn < earliest {
		fail(t, w, "moved %v after the routes were withdrawn, want at least %v, since a request may still run", moved-withdrawn, earliest)
	}
}
