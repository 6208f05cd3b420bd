package main

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"
)

const recovery = 15 * time.Second // recoveryS

// siteMachines returns the machines of the small site, with their names.
func siteMachines() []machine {
	var machines []machine
	for _, zone := range []struct {
		name  string
		count int
	}{{"lk-west-a", 5}, {"lk-west-b", 3}, {"lk-west-c", 4}} {
		for i := range zone.count {
			machines = append(machines, machine{fmt.Sprintf("front-%s-%d", zone.name, i+1), zone.name})
		}
	}
	return machines
}

// comesBack reports whether a machine comes back after the final fault: those of lk-west-b and one
// of lk-west-c. So one zone and three more machines are lost for good.
func comesBack(name string) bool {
	return strings.Contains(name, "lk-west-b") || name == "front-lk-west-c-2"
}

// noLeaderCase: all machines lose power at once; some of them are gone for good.
func noLeaderCase(s *scene) (int, error) {
	s.store.put("op", "config", []byte(`{"version":7,"limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeoutS":3,"idleTimeoutS":15},
"listeners":[{"host":"hulo84.example","rules":[{"name":"r-1","kind":"safe","targetLatencyS":0.6,"priority":2,"match":{"prefix":"/leny950/"},"action":{"service":"kafi81c","timeoutS":1.5,"maxAttempts":2}}]}],
"clusters":[{"name":"kafi81c","healthPath":"/health","maxConns":130,"protocol":"h1","tls":false,"sharded":true,"warmS":5.0,"grants":"call"}]}`))
	for i := range 9 {
		u := &upstream{rec: s.rec, store: s.store, arrivals: s.arrivals, id: fmt.Sprintf("i-%08x", 0x7f3a91c2+i*7919), service: "kafi81c",
			zone: "lk-west-" + []string{"a", "b", "c"}[i%3], slots: 6, keyed: true, work: func() time.Duration { return around(100 * time.Millisecond) }}
		if err := u.start(s.ips[1] + ":0"); err != nil {
			return couldNotRun, err
		}
	}
	machines := siteMachines()
	f, err := newFleet(s.rec, s.folder, s.address, s.ips[2:2+len(machines)], machines)
	if err != nil {
		return couldNotRun, err
	}
	defer f.end()
	if !f.waitReady(15 * time.Second) {
		return couldNotRun, fmt.Errorf("the machines did not become ready")
	}
	time.Sleep(4 * time.Second)
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for i := range 24 {
		clients.Go(func() {
			c := &client{rec: s.rec, fleet: f, requests: s.requests, number: i, stop: stop}
			for !c.stopped() {
				if c.fresh("safe", "GET", "hulo84.example", "/leny950/2f", 1500*time.Millisecond, fmt.Sprintf("X-Kumquatcleat-Shard-Key: %d\r\n", rand.IntN(65536))) == nil {
					time.Sleep(100 * time.Millisecond)
				}
				time.Sleep(around(150 * time.Millisecond))
			}
		})
	}
	time.Sleep(8 * time.Second)
	faultAt := s.rec.now()
	if s.trouble {
		s.rec.say("all machines lose power; those of lk-west-a and three of lk-west-c never come back")
		for _, g := range f.gateways {
			_ = g.command.Process.Kill()
		}
		time.Sleep(1100 * time.Millisecond)
		for _, g := range f.gateways {
			if comesBack(g.name) {
				<-g.exited
				if err := f.start(g); err != nil {
					return couldNotRun, err
				}
			}
		}
	}
	backAt := s.rec.now()
	time.Sleep(recovery + 55*time.Second)
	close(stop)
	clients.Wait()
	before, servedBefore, after, servedAfter, first := 0, 0, 0, 0, time.Duration(0)
	for _, r := range s.requests.list {
		switch {
		case r.sent < faultAt-2*time.Second:
			before++
			if r.status == 200 {
				servedBefore++
			}
		case r.sent > backAt+recovery && r.sent < backAt+recovery+30*time.Second:
			after++
			if r.status == 200 {
				servedAfter++
			}
		}
		if r.sent > backAt && r.status == 200 && (first == 0 || r.sent < first) {
			first = r.sent
		}
	}
	s.rec.say("before the fault %d of %d requests were served; of those sent from 15 s to 45 s after the machines were back, %d of %d", servedBefore, before, servedAfter, after)
	if first > 0 {
		s.rec.say("the first request that was served after that was sent %.1f s after the machines were back", (first - backAt).Seconds())
	}
	if before == 0 || after == 0 || servedBefore*4 < before {
		return couldNotRun, fmt.Errorf("too few requests")
	}
	if servedAfter*4 < after {
		s.rec.say("RECOVER is broken")
		return broken, nil
	}
	s.rec.say("RECOVER held")
	return held0, nil
}
