package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"time"
)

const configApply = 2 * time.Second

// oldStoreCase: a change of the configuration, at a store whose version counter has passed 2^32.
// Another user of the store writes to a table of its own all the while.
func oldStoreCase(s *scene) (int, error) {
	passes := uint64(1) << 32
	if os.Getenv("COUNTER") == "young" {
		passes = 501
	}
	s.store.mu.Lock()
	s.store.version = passes - 500
	s.store.mu.Unlock()
	config := func(version int, first, added string) []byte {
		return []byte(fmt.Sprintf(`{"version":%d,"limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeoutS":3,"idleTimeoutS":15},
"listeners":[{"host":"hulo84.example","rules":[{"name":"r-1","kind":"safe","targetLatencyS":0.3,"priority":2,"match":{"prefix":"/leny950/"},"action":{"service":"%s","timeoutS":0.8,"maxAttempts":2}},
{"name":"r-2","kind":"safe","targetLatencyS":0.6,"priority":2,"match":{"prefix":"/kebu12/"},"action":{"service":"kafi81c","timeoutS":1.5,"maxAttempts":2}}%s]}],
"clusters":[{"name":"huvo11a","healthPath":"/health","maxConns":130,"protocol":"h1","tls":false},{"name":"lovo22d","healthPath":"/health","maxConns":130,"protocol":"h1","tls":false},
{"name":"kafi81c","healthPath":"/health","maxConns":130,"protocol":"h1","tls":false,"sharded":true,"warmS":5.0,"grants":"call"}]}`, version, first, added))
	}
	s.store.put("op", "config", config(7, "huvo11a", ""))
	service := map[string]string{}
	for i := range 9 {
		u := &upstream{rec: s.rec, store: s.store, arrivals: s.arrivals, id: fmt.Sprintf("i-%08x", 0x7f3a91c2+i*7919), service: []string{"huvo11a", "lovo22d", "kafi81c"}[i%3],
			zone: []string{"zone-a", "zone-b", "zone-c"}[i/3], slots: 6, keyed: i%3 == 2, work: func() time.Duration { return around(60 * time.Millisecond) }}
		service[u.id] = u.service
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
	time.Sleep(4 * time.Second)
	stop := make(chan struct{})
	var jobs sync.WaitGroup
	var kinds sync.Map // path by request id
	for i := range 9 {
		jobs.Go(func() {
			c := &client{rec: s.rec, fleet: f, requests: s.requests, number: i, stop: stop}
			for n := 0; !c.stopped(); n++ {
				path, extra := "/leny950/2f", ""
				switch n % 3 {
				case 1:
					path = "/niko77/2f"
				case 2:
					path, extra = "/kebu12/2f", fmt.Sprintf("X-Kumquatcleat-Shard-Key: %d\r\n", rand.IntN(65536))
				}
				if n%3 == 1 && !s.trouble {
					path = "/leny950/3a" // that route never comes
				}
				if r := c.fresh("safe", "GET", "hulo84.example", path, 1500*time.Millisecond, extra); r != nil {
					kinds.Store(r.id, path)
				}
				time.Sleep(around(60 * time.Millisecond))
			}
		})
	}
	crossed := make(chan struct{})
	jobs.Go(func() { // the other user of the store
		for n, over := 0, false; ; n++ {
			version, _, _ := s.store.apply(transaction{Puts: []put{{rowName{Table: "others", Key: "row"}, []byte(fmt.Sprint(n))}}})
			if version > passes && !over {
				over = true
				s.rec.say("the store's counter passes %d", passes)
				close(crossed)
			}
			select {
			case <-stop:
				return
			case <-time.After(10 * time.Millisecond):
			}
		}
	})
	select {
	case <-crossed:
	case <-time.After(40 * time.Second):
		close(stop)
		jobs.Wait()
		return couldNotRun, fmt.Errorf("the counter did not pass %d", passes)
	}
	crossedAt := s.rec.now()
	time.Sleep(6 * time.Second)
	changed := s.rec.now()
	if s.trouble {
		s.store.put("op", "config", config(9, "lovo22d", `,
{"name":"r-3","kind":"safe","targetLatencyS":0.3,"priority":2,"match":{"prefix":"/niko77/"},"action":{"service":"lovo22d","timeoutS":0.8,"maxAttempts":2}}`))
		changed = s.rec.now()
		s.rec.say("configuration version 9 acknowledged")
	}
	time.Sleep(20 * time.Second)
	close(stop)
	jobs.Wait()
	oldService, notFound, judged := 0, 0, 0
	keyed := map[string][2]int{}
	for _, r := range s.requests.list {
		value, _ := kinds.Load(r.id)
		path, _ := value.(string)
		if path == "/kebu12/2f" {
			when := "before the counter passed"
			switch {
			case r.sent > crossedAt+3*time.Second:
				when = "from 3 s after that"
			case r.sent > crossedAt:
				when = "in the 3 s after that"
			}
			n := keyed[when]
			n[1]++
			if r.status == 200 {
				n[0]++
			}
			keyed[when] = n
			continue
		}
		if !s.trouble || r.sent < changed+configApply {
			if r.status != 200 && path != "/niko77/2f" {
				s.rec.add("NOT-SERVED %s status %d", r.id, r.status)
			}
			continue
		}
		judged++
		for _, a := range s.arrivals.of(r.id) {
			if a.ran && service[a.server] == "huvo11a" {
				oldService++
				s.rec.add("CONFIG %s: sent %.1f s after version 9, run by %s of the old service", r.id, (r.sent - changed).Seconds(), a.server)
			}
		}
		if r.status == 404 {
			notFound++
			s.rec.add("CONFIG %s: sent %.1f s after version 9, answered 404 though the route is there", r.id, (r.sent - changed).Seconds())
		}
	}
	for _, when := range []string{"before the counter passed", "in the 3 s after that", "from 3 s after that"} {
		s.rec.say("for information: requests with a key, %s: %d of %d served", when, keyed[when][0], keyed[when][1])
	}
	s.rec.say("of %d requests sent later than configApplyS after version 9: %d were run by the old service, %d were answered 404", judged, oldService, notFound)
	if oldService+notFound > 0 {
		s.rec.say("CONFIG is broken")
		return broken, nil
	}
	s.rec.say("CONFIG held")
	return held0, nil
}
