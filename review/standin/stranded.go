package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"slices"
	"sync"
	"time"
)

// path is the way from the machines of a zone to one upstream: a proxy that can be cut.
type path struct {
	to string // address of the upstream

	mu       sync.Mutex
	address  string
	listener net.Listener
	conns    []net.Conn
}

func newPath(ip, to string) (*path, error) {
	p := &path{to: to}
	return p, p.open(ip + ":0")
}

func (p *path) open(address string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	p.mu.Lock()
	p.address, p.listener = listener.Addr().String(), listener
	p.mu.Unlock()
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go p.forward(c)
		}
	}()
	return nil
}

func (p *path) forward(c net.Conn) {
	up, err := net.Dial("tcp", p.to)
	if err != nil {
		_ = c.Close()
		return
	}
	p.mu.Lock()
	p.conns = append(p.conns, c, up)
	p.mu.Unlock()
	for _, way := range [][2]net.Conn{{c, up}, {up, c}} {
		go func() {
			_, _ = io.Copy(way[0], way[1])
			_ = c.Close()
			_ = up.Close()
		}()
	}
}

// cut refuses new connections and resets the open ones.
func (p *path) cut() {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = p.listener.Close()
	for _, c := range p.conns {
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}
	p.conns = nil
}

// heal accepts connections again.
func (p *path) heal() error {
	p.mu.Lock()
	address := p.address
	p.mu.Unlock()
	return p.open(address)
}

const (
	strandedTime = 8 * time.Second
	redirectPath = "/puka111/listings/7"
)

// strandedCase: the machines of a zone are partitioned from all upstreams. Upstreams answer a listing that was
// submitted with 303 and the place of the listing.
func strandedCase(s *scene) (int, error) {
	s.store.put("op", "config", []byte(`{"version":7,"limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeoutS":3,"idleTimeoutS":15},
"listeners":[{"host":"jepu9.example","rules":[{"name":"r-1","kind":"unsafe","targetLatencyS":0.4,"priority":1,"match":{"prefix":"/puka111/"},"action":{"service":"wuno96b","timeoutS":1,"maxAttempts":2}}]}],
"clusters":[{"name":"wuno96b","healthPath":"/health","maxConns":130,"protocol":"h1","tls":false}]}`))
	const upstreams = 6
	machines := siteMachines()
	// The machines of each zone reach each upstream by a path of their own, so that a zone can be
	// cut off: they find the addresses of their paths in the entries of the upstreams.
	zones := []string{"lk-west-a", "lk-west-b", "lk-west-c"}
	const cutZone = 1
	paths := make([]map[string]*path, len(zones))
	for i := range paths {
		paths[i] = map[string]*path{}
	}
	for i := range upstreams {
		u := &upstream{rec: s.rec, store: s.store, arrivals: s.arrivals, id: fmt.Sprintf("i-%08x", 0x7f3a91c2+i*7919), service: "wuno96b",
			zone: zones[i%3], slots: 6, work: func() time.Duration { return around(100 * time.Millisecond) }, redirect: redirectPath}
		var err error
		u.beforeBeat = func() {
			for zone := range paths {
				var p *path
				if p, err = newPath(s.ips[15], u.listener.Addr().String()); err != nil {
					return
				}
				paths[zone][p.to] = p
			}
		}
		if e := u.start(s.ips[14] + ":0"); e != nil || err != nil {
			return couldNotRun, fmt.Errorf("start upstream: %v %v", e, err)
		}
	}
	var stores []string
	for _, m := range machines {
		zone := slices.Index(zones, m.zone)
		address, err := s.store.listenFor(s.ips[13], func(value []byte) []byte {
			var entry map[string]any
			if json.Unmarshal(value, &entry) != nil {
				return value
			}
			real, _ := entry["address"].(string)
			if p := paths[zone][real]; p != nil {
				entry["address"] = p.address
			}
			seen, _ := json.Marshal(entry)
			return seen
		})
		if err != nil {
			return couldNotRun, err
		}
		stores = append(stores, address)
	}
	staleSeeds = true
	f, err := newFleetOn(s.rec, s.folder, stores, s.ips[:len(machines)], machines)
	if err != nil {
		return couldNotRun, err
	}
	defer f.end()
	if !f.waitReady(15 * time.Second) {
		return couldNotRun, fmt.Errorf("the machines did not become ready")
	}
	time.Sleep(3 * time.Second)
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for i := range 3 * len(machines) {
		clients.Go(func() {
			c := &client{rec: s.rec, fleet: f, requests: s.requests, number: i, stop: stop}
			for !c.stopped() {
				c.fresh("unsafe", "POST", "jepu9.example", "/puka111/listings", time.Second, "")
				time.Sleep(around(300 * time.Millisecond))
			}
		})
	}
	time.Sleep(4 * time.Second)
	cutAt := time.Duration(1<<62 - 1)
	if s.trouble {
		s.rec.say("the machines of %s are partitioned from all upstreams for %v", zones[cutZone], strandedTime)
		cutAt = s.rec.now()
		for _, p := range paths[cutZone] {
			p.cut()
		}
	}
	time.Sleep(strandedTime)
	if s.trouble {
		for _, p := range paths[cutZone] {
			if err := p.heal(); err != nil {
				return couldNotRun, err
			}
		}
		s.rec.say("the partition has healed")
	}
	time.Sleep(4 * time.Second)
	close(stop)
	clients.Wait()
	twice, refused, most, answered, there := 0, 0, 0, map[int]int{}, map[int]int{}
	for _, r := range s.requests.list {
		answered[r.status]++
		if r.gateway.zone == zones[cutZone] && r.sent > cutAt && r.sent < cutAt+strandedTime {
			there[r.status]++
		}
		runs := 0
		for _, a := range s.arrivals.of(r.id) {
			if a.ran {
				runs++
			}
		}
		most = max(most, runs)
		if runs > 1 {
			twice++
			s.rec.add("TWICE %s ran %d times and was answered %d", r.id, runs, r.status)
		}
		if runs > 0 && (r.status == 503 || r.status == 429 || r.status == 421 || r.status == 408) {
			refused++
			s.rec.add("REFUSED %s was answered %d and has run", r.id, r.status)
		}
	}
	s.rec.say("%d requests, answers by status %v (0: none), at the partitioned machines meanwhile %v; ran more than once: %d (most: %d times); refused though they ran: %d",
		len(s.requests.list), answered, there, twice, most, refused)
	if twice > 0 {
		s.rec.say("TWICE is broken")
		return broken, nil
	}
	s.rec.say("TWICE held")
	return held0, nil
}
