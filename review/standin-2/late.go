package main

import (
	"context"
	"fmt"
	"os"
	"sync"
	"time"
)

// lateVariant is where and for how long an answer of the store is held up.
type lateVariant struct {
	zones  []string      // of the machines
	held   int           // the machine whose answer is held up
	length time.Duration // of the trouble
	leaves time.Duration // when the upstream leaves after the beginning of the trouble
	packet bool          // only the answers on one connection are held up, not the whole link
	what   string
}

var (
	// cutVariant: one machine, the only one of its zone, is partitioned from the store.
	cutVariant = lateVariant{zones: []string{"lk-west-a", "lk-west-b", "lk-west-c"}, held: 2, length: 1400 * time.Millisecond, leaves: 100 * time.Millisecond, what: "partitioned from the store"}
	// packetVariant: one packet to a machine is lost and sent again after 250 ms. The machine is the
	// second of its zone, which reads the store and follows the first one.
	packetVariant = lateVariant{zones: []string{"lk-west-c", "lk-west-c", "lk-west-b"}, held: 1, length: 250 * time.Millisecond, leaves: 10 * time.Millisecond, packet: true, what: "one packet lost"}
)

// late holds up one answer of the store that has a heartbeat of an upstream. The upstream leaves
// meanwhile, without reporting that it drains.
func late(s *scenario) (bool, error) {
	v := cutVariant
	if os.Getenv("VARIANT") == "packet" {
		v = packetVariant
	}
	db := newStore(1000)
	common := listen("127.0.3.1")
	defer db.serve(common, nil).Close()

	// The machine that is cut off reaches the store through a link of its own.
	own := listen("127.0.3.2")
	toStore := newLink("127.0.3.3", own.Addr().String())
	defer toStore.Close()
	const leavingID = "i-swap-1"
	var mu sync.Mutex
	armed := false
	began := make(chan time.Time, 1)
	held := ""
	defer db.serve(own, func(caller, table string, rows []wireRow) {
		mu.Lock()
		defer mu.Unlock()
		for _, row := range rows {
			if armed && table == "servers" && row.Key == leavingID {
				armed = false
				held = caller
				switch {
				case s.trouble && v.packet:
					toStore.hold(caller)
				case s.trouble:
					toStore.cut()
				}
				began <- time.Now()
			}
		}
	}).Close()

	leaving := startUpstream(db, s.recorder, leavingID, "swapbay", "lk-west-c", false, 300*time.Millisecond)
	ups := []*upstream{leaving}
	for i, zone := range []string{"lk-west-a", "lk-west-b", "lk-west-a", "lk-west-b"} {
		ups = append(ups, startUpstream(db, s.recorder, fmt.Sprintf("i-swap-%d", i+2), "swapbay", zone, false, 300*time.Millisecond))
	}
	defer func() {
		for _, u := range ups {
			u.exit()
		}
	}()
	db.put("op", "config", config(7, "modbench"))
	gateways, err := startGateways(s.temporary, v.zones, 284, func(i int) string {
		if i == v.held {
			return toStore.Addr().String()
		}
		return common.Addr().String()
	})
	s.gateways = gateways
	if err != nil {
		return false, err
	}
	if err := awaitReady(gateways, 10*time.Second); err != nil {
		return false, err
	}
	cutOff := gateways[v.held]
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	var done, loads sync.WaitGroup
	for i, g := range gateways {
		loads.Go(func() { s.recorder.load(ctx, g, swapPost, rate(i == v.held), &done) })
	}
	time.Sleep(5 * time.Second)
	mu.Lock()
	armed = true
	mu.Unlock()
	var cut time.Time
	select {
	case cut = <-began:
	case <-time.After(40 * time.Second):
		return false, fmt.Errorf("no answer with a heartbeat of %s was on its way", leavingID)
	}
	s.say("an answer with a heartbeat of %s is on its way to %s; %s: %v", leavingID, cutOff.name, v.what, s.trouble)
	time.Sleep(v.leaves)
	removed := leaving.removeEntry()
	s.say("%s leaves: its entry is removed, acknowledged", leavingID)
	time.Sleep(time.Until(cut.Add(v.length)))
	switch {
	case s.trouble && v.packet:
		toStore.letGo(held)
	case s.trouble:
		toStore.heal()
	}
	healed := time.Now()
	s.say("the trouble is over after %d ms", healed.Sub(cut).Milliseconds())
	time.Sleep(time.Until(removed.Add(10 * time.Second)))
	leaving.exit()
	s.say("%s exits, 10 s after its entry was removed", leavingID)
	time.Sleep(3 * time.Second)
	stop()
	loads.Wait()
	done.Wait()

	inTouch := healed.Add(stableWindow + margin)
	count, lost := s.lateRuns(leaving, removed.Add(drainS+margin), func(r *sending) bool { return r.gateway != cutOff.name || r.at.After(inTouch) })
	s.say("DRAIN: %d requests reached %s later than %v after the acknowledgement that it is gone, sent to machines in touch; %d of them got no answer or 502 or 504",
		count, leavingID, drainS+margin, lost)
	all, good, unclear := s.recorder.tally(swapPost.name, removed, time.Now())
	s.say("%s since then: %d sent, %d served, %d without an answer or 502 or 504", swapPost.name, all, good, unclear)
	return count > 0, nil
}

// rate returns the requests a second to a machine.
func rate(held bool) float64 {
	if held {
		return 15
	}
	return 5
}
