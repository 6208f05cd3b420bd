package main

import (
	"fmt"
	"sync"
	"time"
)

// pipelineCase: a planned stop (SIGTERM, SIGKILL after graceS) of one machine whose clients send
// further safe requests before the first one has been answered.
func pipelineCase(s *scene) (int, error) {
	s.store.put("op", "config", []byte(`{"version":7,"limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeoutS":3,"idleTimeoutS":15},
"listeners":[{"host":"hulo84.example","rules":[{"name":"r-1","kind":"safe","targetLatencyS":0.6,"priority":2,"match":{"prefix":"/leny950/"},"action":{"service":"huvo11a","timeoutS":1.5,"maxAttempts":2}}]}],
"clusters":[{"name":"huvo11a","healthPath":"/health","maxConns":130,"protocol":"h1","tls":false}]}`))
	for i := range 12 {
		u := &upstream{rec: s.rec, store: s.store, arrivals: s.arrivals, id: fmt.Sprintf("i-%08x", 0x7f3a91c2+i*7919), service: "huvo11a",
			zone: []string{"zone-a", "zone-b", "zone-c"}[i%3], slots: 6, work: func() time.Duration { return around(220 * time.Millisecond) }}
		if err := u.start(s.ips[7] + ":0"); err != nil {
			return couldNotRun, err
		}
	}
	f, err := newFleet(s.rec, s.folder, s.address, s.ips[:3], nil)
	if err != nil {
		return couldNotRun, err
	}
	defer f.end()
	if !f.waitReady(15 * time.Second) {
		return couldNotRun, fmt.Errorf("the machines did not become ready")
	}
	time.Sleep(2 * time.Second)
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for i := range 9 {
		clients.Go(func() {
			(&client{rec: s.rec, fleet: f, requests: s.requests, number: i, stop: stop}).pipeline("hulo84.example", "/leny950/2f", 70*time.Millisecond, 1500*time.Millisecond)
		})
		clients.Go(func() {
			(&client{rec: s.rec, fleet: f, requests: s.requests, number: i, stop: stop}).kept("hulo84.example", "/leny950/3a", 100*time.Millisecond, 1500*time.Millisecond)
		})
	}
	time.Sleep(4 * time.Second)
	victim := f.gateways[0]
	stopAt := time.Duration(1<<62 - 1)
	if s.trouble {
		f.terminate(victim)
		stopAt = s.rec.now()
	}
	time.Sleep(grace + 3*time.Second)
	close(stop)
	clients.Wait()
	lost, excused, elsewhere := map[string]int{}, 0, 0
	answered := 0
	for _, r := range s.requests.list {
		if r.status != 0 {
			answered++
			continue
		}
		passed, atWorkLate := false, false
		for _, a := range s.arrivals.of(r.id) {
			passed = passed || a.ran
			atWorkLate = atWorkLate || a.ran && a.until > stopAt+grace*5/6
		}
		switch {
		case r.timeout || r.behind || !passed:
		case r.gateway != victim || r.sent > stopAt+grace+time.Second:
			elsewhere++
			s.rec.add("NOT-ANSWERED elsewhere %s", r.id)
		case r.sent <= stopAt+3*time.Second && atWorkLate:
			excused++
		default:
			lost[r.kind]++
			s.rec.add("LOST %s %s: sent %.3f s after the SIGTERM, passed on to an upstream, its connection ended %.3f s after the SIGTERM without an answer",
				r.id, r.kind, (r.sent - stopAt).Seconds(), (r.ended - stopAt).Seconds())
		}
	}
	s.rec.say("%d requests, %d answered; passed on and cut by the stopped machine: %d of pipelining clients, %d of others, %d excused; passed on and cut at other machines: %d",
		len(s.requests.list), answered, lost["pipelined"], lost["kept"], excused, elsewhere)
	if lost["pipelined"]+lost["kept"]+elsewhere > 0 {
		s.rec.say("LOST is broken")
		return broken, nil
	}
	s.rec.say("LOST held")
	return held0, nil
}
