package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"
)

// holding is with which token which life of an upstream took a key last.
type holding struct {
	life  string
	fence uint64
}

// holdings watches the grants that upstreams take.
type holdings struct {
	rec *record

	mu     sync.Mutex
	last   [65536]holding
	known  map[string]bool // grants that were recorded: renewals are not
	broken int
}

// taken records a grant that a life of an upstream took.
func (h *holdings) taken(life string, g grantBody) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if what := fmt.Sprintf("%s keys %d-%d fence %d", life, g.From, g.To, g.Fence); !h.known[what] {
		h.known[what] = true
		h.rec.add("GRANT %s", what)
	}
	bad, badFrom, badTo, other := 0, uint32(0), uint32(0), holding{}
	for key := g.From; key <= g.To; key++ {
		l := &h.last[key]
		if l.life != "" && l.life != life && g.Fence <= l.fence {
			if bad == 0 {
				badFrom, other = key, *l
			}
			bad++
			badTo = key
		}
		if g.Fence >= l.fence {
			*l = holding{life, g.Fence}
		}
	}
	if bad > 0 {
		h.broken++
		h.rec.add("OWNER %s took keys %d-%d (in a grant of %d-%d) with fence %d, with which or above which %s had them with fence %d", life, badFrom, badTo, g.From, g.To, g.Fence, other.life, other.fence)
	}
}

const (
	hotPart   = 0.35 // of the requests
	busyKeys  = 200
	cutTime   = 5 * time.Second
	downTime  = 150 * time.Millisecond
	roundTime = 9 * time.Second
)

// chosen returns the indexes of two upstreams: the one that holds a key, and any other.
func chosen(list []*upstream, key uint32) map[int]bool {
	indexes := map[int]bool{rand.IntN(len(list)): true}
	for i, u := range list {
		u.mu.Lock()
		if u.holds(key) && len(indexes) < 2 {
			indexes[i] = true
		}
		u.mu.Unlock()
	}
	return indexes
}

// rebornCase: an upstream that is cut off from the store crashes and starts again under its id.
func rebornCase(s *scene) (int, error) {
	s.store.put("op", "config", []byte(`{"version":7,"limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeoutS":3,"idleTimeoutS":15},
"listeners":[{"host":"hulo84.example","rules":[{"name":"r-1","kind":"safe","targetLatencyS":0.6,"priority":2,"match":{"prefix":"/leny950/"},"action":{"service":"kafi81c","timeoutS":1.5,"maxAttempts":2}}]}],
"clusters":[{"name":"kafi81c","healthPath":"/health","maxConns":130,"protocol":"h1","tls":false,"sharded":true,"warmS":5.0,"grants":"call"}]}`))
	watch := &holdings{rec: s.rec, known: map[string]bool{}}
	var lives atomic.Int64
	begin := func(id, zone, address string, cut time.Time) (*upstream, error) {
		life := lives.Add(1)
		u := &upstream{rec: s.rec, store: s.store, arrivals: s.arrivals, id: id, service: "kafi81c", zone: zone, slots: 6, keyed: true,
			work: func() time.Duration { return around(100 * time.Millisecond) }}
		u.cut = cut
		name := fmt.Sprintf("%s life %d", id, life)
		u.onGrant = func(g grantBody) { watch.taken(name, g) }
		return u, u.start(address)
	}
	var running []*upstream
	const upstreams = 10
	for i := range upstreams {
		u, err := begin(fmt.Sprintf("i-%08x", uint32((i+1)*0x9E3779B1)), []string{"zone-a", "zone-b", "zone-c"}[i%3], s.ips[7]+":0", time.Time{})
		if err != nil {
			return couldNotRun, err
		}
		running = append(running, u)
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
	var clients sync.WaitGroup
	var busy atomic.Int64
	busy.Store(int64(rand.IntN(65536 - busyKeys)))
	for i := range 30 {
		clients.Go(func() {
			c := &client{rec: s.rec, fleet: f, requests: s.requests, number: i, stop: stop}
			for !c.stopped() {
				began := time.Now()
				key := rand.IntN(65536)
				if rand.Float64() < hotPart {
					key = int(busy.Load()) + rand.IntN(busyKeys)
				}
				c.fresh("safe", "GET", "hulo84.example", "/leny950/2f", 1500*time.Millisecond, fmt.Sprintf("X-Kumquatcleat-Shard-Key: %d\r\n", key))
				time.Sleep(around(110*time.Millisecond) - time.Since(began))
			}
		})
	}
	time.Sleep(4 * time.Second)
	failed := make([]error, upstreams)
	again := func(u *upstream) (*upstream, error) {
		s.rec.say("%s is cut off from the store for %v, crashes and starts again under its id", u.id, cutTime)
		address, heals := u.listener.Addr().String(), time.Now().Add(cutTime)
		u.crash()
		time.AfterFunc(3*heartbeat, func() { s.store.remove("servers", u.id) }) // of silence
		time.Sleep(downTime)
		return begin(u.id, u.zone, address, heals)
	}
	for range 9 {
		next := time.Now().Add(roundTime)
		busy.Store(int64(rand.IntN(65536 - busyKeys)))
		time.Sleep(time.Duration(200+rand.IntN(1000)) * time.Millisecond)
		if s.trouble {
			var begun sync.WaitGroup
			for i := range chosen(running, uint32(busy.Load())+busyKeys/2) {
				begun.Go(func() { running[i], failed[i] = again(running[i]) })
			}
			begun.Wait()
			for _, err := range failed {
				if err != nil {
					return couldNotRun, err
				}
			}
		}
		time.Sleep(time.Until(next))
	}
	close(stop)
	clients.Wait()
	answered := map[int]int{}
	for _, r := range s.requests.list {
		answered[r.status]++
	}
	watch.mu.Lock()
	defer watch.mu.Unlock()
	s.rec.say("%d requests, answers by status %v (0: none); grants taken with a token that is not above that of another life: %d", len(s.requests.list), answered, watch.broken)
	if watch.broken > 0 {
		s.rec.say("OWNER is broken")
		return broken, nil
	}
	s.rec.say("OWNER held")
	return held0, nil
}
