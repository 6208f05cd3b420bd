package main

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// upstream is a stand-in of one upstream: it registers in the store, runs requests, and holds keys
// if its service is divided by key.
type upstream struct {
	id, service, zone string
	sharded           bool
	work              time.Duration
	store             *store
	recorder          *recorder
	born              int64
	listener          net.Listener
	server            *http.Server
	stopBeats         chan struct{}
	beats             sync.WaitGroup

	mu      sync.Mutex // guards the fields below
	seq     int
	state   string
	running int
	waiting int
	holds   []hold
	fences  []hold // the highest fences seen
	slots   chan struct{}
	// keysAtWork counts the requests at work by key.
	keysAtWork map[uint32]int
}

// hold is a lease on a range of keys.
type hold struct {
	from, to uint32
	fence    uint64
	until    time.Time
}

const (
	slots     = 6
	queue     = 24
	heartbeat = 870 * time.Millisecond
)

func startUpstream(s *store, rec *recorder, id, service, zone string, sharded bool, work time.Duration) *upstream {
	u := &upstream{id: id, service: service, zone: zone, sharded: sharded, work: work, store: s, recorder: rec, born: time.Now().UnixMilli(),
		listener: listen("127.0.2.1"), stopBeats: make(chan struct{}), state: "ready", slots: make(chan struct{}, slots), keysAtWork: map[uint32]int{}}
	u.server = &http.Server{Handler: http.HandlerFunc(u.handle), IdleTimeout: 10 * time.Second}
	go func() { _ = u.server.Serve(u.listener) }()
	u.beat()
	u.beats.Go(func() {
		// The first pause differs between upstreams, so that they don't write together.
		pause := time.Duration(rand.Int64N(int64(heartbeat)))
		for {
			select {
			case <-u.stopBeats:
				return
			case <-time.After(pause):
				u.beat()
				pause = heartbeat*9/10 + time.Duration(rand.Int64N(int64(heartbeat/5)))
			}
		}
	})
	return u
}

// beat writes the entry of the upstream and returns the moment of the acknowledgement.
func (u *upstream) beat() time.Time {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.seq++
	return u.store.put("servers", u.id, map[string]any{
		"address": u.listener.Addr().String(), "born": u.born,
		"info":   map[string]any{"service": u.service, "version": "v1", "zone": u.zone, "slots": slots},
		"status": map[string]any{"state": u.state, "seq": u.seq, "warmupLeftS": 0},
	})
}

// drain reports that the upstream drains.
func (u *upstream) drain() time.Time {
	u.mu.Lock()
	u.state = "draining"
	u.mu.Unlock()
	return u.beat()
}

// removeEntry ends the heartbeats and removes the entry: an upstream that leaves without reporting
// that it drains.
func (u *upstream) removeEntry() time.Time {
	close(u.stopBeats)
	u.beats.Wait()
	return u.store.put("servers", u.id, nil)
}

// exit ends the upstream with all connections.
func (u *upstream) exit() { _ = u.server.Close() }

func (u *upstream) handle(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Kumquatcleat-Request-Id")
	if id != "" {
		w.Header().Set("X-Kumquatcleat-Request-Id", id)
	}
	if target := r.Header.Get("X-Kumquatcleat-Target-Instance"); target != "" && target != u.id {
		w.Header().Set("X-Kumquatcleat-Instance-Id", u.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.Header().Set("X-Kumquatcleat-Instance-Id", u.id)
	w.Header().Set("Keep-Alive", "timeout=10")
	switch {
	case r.Method == http.MethodPost && (r.URL.Path == "/grant" || r.URL.Path == "/release"):
		u.control(w, r)
	case r.URL.Path == "/health":
	default:
		u.run(w, r, id)
	}
}

func (u *upstream) control(w http.ResponseWriter, r *http.Request) {
	var order struct {
		From   uint32  `json:"from"`
		Target uint32  `json:"target"`
		Fence  uint64  `json:"fence"`
		HoldS  float64 `json:"holdS"`
	}
	arrived := time.Now()
	if json.NewDecoder(r.Body).Decode(&order) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	rest := u.holds[:0:0]
	for _, h := range u.holds { // what the order concerns is cut out of the holds
		if h.to < order.From || h.from > order.Target {
			rest = append(rest, h)
			continue
		}
		if h.from < order.From {
			rest = append(rest, hold{h.from, order.From - 1, h.fence, h.until})
		}
		if h.to > order.Target {
			rest = append(rest, hold{order.Target + 1, h.to, h.fence, h.until})
		}
	}
	if r.URL.Path == "/release" {
		u.holds = rest
		for u.worksOn(order.From, order.Target) { // the answer comes when the work on these keys has ended
			u.mu.Unlock()
			time.Sleep(2 * time.Millisecond)
			u.mu.Lock()
		}
		w.Header().Set("X-Kumquatcleat-Handover", "h-"+u.id)
		return
	}
	for _, seen := range u.fences {
		if seen.fence > order.Fence && seen.from <= order.Target && order.From <= seen.to {
			w.WriteHeader(http.StatusConflict)
			return
		}
	}
	u.recorder.granted(u, order.From, order.Target, order.Fence)
	u.fences = append(u.fences, hold{from: order.From, to: order.Target, fence: order.Fence})
	if len(u.fences) > 5000 {
		u.fences = u.fences[2500:]
	}
	u.holds = append(rest, hold{order.From, order.Target, order.Fence, arrived.Add(time.Duration(order.HoldS * float64(time.Second)))})
}

// worksOn reports whether a request on some of the keys is at work. The caller holds the lock.
func (u *upstream) worksOn(from, to uint32) bool {
	for key, n := range u.keysAtWork {
		if n > 0 && from <= key && key <= to {
			return true
		}
	}
	return false
}

// holdsKey reports whether the upstream holds a key now.
func (u *upstream) holdsKey(key uint32) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, h := range u.holds {
		if h.from <= key && key <= h.to && time.Now().Before(h.until) {
			return true
		}
	}
	return false
}

func (u *upstream) run(w http.ResponseWriter, r *http.Request, id string) {
	body, err := io.ReadAll(r.Body)
	if err != nil || id == "" {
		w.Header().Set("X-Kumquatcleat-Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	var key uint64
	if u.sharded {
		key, err = strconv.ParseUint(r.Header.Get("X-Kumquatcleat-Shard-Key"), 10, 16)
		if err != nil || !u.holdsKey(uint32(key)) {
			w.Header().Set("X-Kumquatcleat-Not-Executed", "1")
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
	}
	u.mu.Lock()
	full := u.waiting >= queue
	if !full {
		u.waiting++
	}
	u.mu.Unlock()
	if full {
		w.Header().Set("X-Kumquatcleat-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	u.slots <- struct{}{}
	defer func() { <-u.slots }()
	u.mu.Lock()
	u.waiting--
	u.running++
	u.keysAtWork[uint32(key)]++
	load := fmt.Sprintf("%d,%d,%d", u.running, u.waiting, slots)
	u.mu.Unlock()
	defer func() {
		u.mu.Lock()
		u.running--
		u.keysAtWork[uint32(key)]--
		u.mu.Unlock()
	}()
	u.recorder.ran(id, u, len(body))
	select {
	case <-time.After(u.work):
	case <-r.Context().Done():
		return
	}
	w.Header().Set("X-Kumquatcleat-Server-Load", load)
	w.Header().Set("X-Kumquatcleat-Server-Signature", "sig-"+u.id+"-"+id)
	_, _ = io.WriteString(w, "ran "+id+" at "+u.id+"\n")
}
