package main

import (
	"context"
	"fmt"
	"sync"
	"time"
)

// wrap lets the store's counter of transactions pass 2^32 while the gateways run. Then an upstream
// drains and a route moves to another service.
func wrap(s *scenario) (bool, error) {
	const before = 260 // transactions before the counter passes 2^32
	first := uint64(1000)
	if s.trouble {
		first = 1<<32 - before
	}
	db := newStore(first)
	l := listen("127.0.3.1")
	defer db.serve(l, nil).Close()
	var ups []*upstream
	start := func(id, service, zone string, sharded bool, work time.Duration) *upstream {
		u := startUpstream(db, s.recorder, id, service, zone, sharded, work)
		ups = append(ups, u)
		return u
	}
	leaving := start("i-swap-1", "swapbay", "lk-west-a", false, 300*time.Millisecond)
	start("i-swap-2", "swapbay", "lk-west-b", false, 300*time.Millisecond)
	start("i-swap-3", "swapbay", "lk-west-c", false, 300*time.Millisecond)
	start("i-mod-1", "modbench", "lk-west-a", false, 70*time.Millisecond)
	start("i-mod-2", "modbench", "lk-west-b", false, 70*time.Millisecond)
	start("i-desk-1", "newdesk", "lk-west-a", false, 70*time.Millisecond)
	start("i-desk-2", "newdesk", "lk-west-b", false, 70*time.Millisecond)
	for i, zone := range []string{"lk-west-a", "lk-west-b", "lk-west-c"} {
		start(fmt.Sprintf("i-log-%d", i+1), "logdeep", zone, true, 100*time.Millisecond)
	}
	defer func() {
		for _, u := range ups {
			u.exit()
		}
	}()
	db.put("op", "config", config(7, "modbench"))
	gateways, err := startGateways(s.temporary, []string{"lk-west-a", "lk-west-b", "lk-west-c"}, 284, func(int) string { return l.Addr().String() })
	s.gateways = gateways
	if err != nil {
		return false, err
	}
	if err := awaitReady(gateways, 10*time.Second); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second) // keys are divided
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	var done, loads sync.WaitGroup
	for _, g := range gateways {
		loads.Go(func() { s.recorder.load(ctx, g, swapPost, 10, &done) })
		loads.Go(func() { s.recorder.load(ctx, g, modWarn, 5, &done) })
		loads.Go(func() { s.recorder.load(ctx, g, archiveSearch, 10, &done) })
	}
	began := time.Now()
	for db.version() < first+before+20 {
		if time.Since(began) > 60*time.Second {
			return false, fmt.Errorf("the counter did not get there: %d", db.version())
		}
		time.Sleep(20 * time.Millisecond)
	}
	crossed := time.Now()
	s.say("the store's counter is at %d, 2^32 is %d", db.version(), uint64(1)<<32)
	time.Sleep(3 * time.Second)
	drained := leaving.drain()
	s.say("%s reports draining, acknowledged", leaving.id)
	moved := db.put("op", "config", config(9, "newdesk"))
	s.say("configuration 9 moves the route of mod-warn from modbench to newdesk, acknowledged")
	time.Sleep(time.Until(drained.Add(8 * time.Second)))
	exited := time.Now()
	leaving.exit()
	s.say("%s exits, 8 s after it reported that it drains", leaving.id)
	time.Sleep(3 * time.Second)
	stop()
	loads.Wait()
	done.Wait()
	end := time.Now()

	drain := drainS + margin
	late, lost := s.lateRuns(leaving, drained.Add(drain), func(*sending) bool { return true })
	old := 0
	for _, x := range s.recorder.runs {
		if sent := s.recorder.sent[x.id]; sent != nil && x.upstream.service == "modbench" && sent.at.After(moved.Add(configApplyS+margin)) {
			old++
		}
	}
	s.say("DRAIN: %d requests reached %s later than %v after the acknowledgement; %d of them got no answer or 502 or 504", late, leaving.id, drain, lost)
	s.say("CONFIG: %d requests that were sent later than %v after the acknowledgement were run by modbench", old, configApplyS+margin)
	for _, c := range []class{swapPost, modWarn, archiveSearch} {
		all, good, unclear := s.recorder.tally(c.name, began, crossed.Add(-2*time.Second))
		s.say("%-14s before the counter passed: %4d sent, %4d served, %d without an answer or 502 or 504", c.name, all, good, unclear)
		all, good, unclear = s.recorder.tally(c.name, drained, end)
		s.say("%-14s after the upstream drained: %4d sent, %4d served, %d without an answer or 502 or 504", c.name, all, good, unclear)
	}
	s.say("OWNER: %d grants were taken with a fence not above that of another upstream", s.recorder.lowFence)
	s.say("%s: exit at %.3f", leaving.id, exited.Sub(s.recorder.began).Seconds())
	return late > 0, nil
}

// Bounds of a small deployment, and what a stand-in adds for its own delays.
const (
	drainS       = 2 * time.Second
	configApplyS = 2 * time.Second
	stableWindow = 3 * time.Second
	margin       = 250 * time.Millisecond
)

var (
	swapPost      = class{name: "swap-post", method: "POST", host: "swap.example", path: "/swap/", deadline: time.Second, body: 300}
	modWarn       = class{name: "mod-warn", method: "DELETE", host: "mod.example", path: "/mod/", deadline: 600 * time.Millisecond}
	archiveSearch = class{name: "archive-search", method: "GET", host: "arch.example", path: "/arch/", deadline: 1500 * time.Millisecond, keyed: true}
)

// config returns a configuration. moderation is the service of the route of mod-warn.
func config(version int, moderation string) any {
	rule := func(name, kind, prefix, service string, timeout, target float64) any {
		return map[string]any{"name": name, "kind": kind, "targetLatencyS": target, "priority": 1, "match": map[string]any{"prefix": prefix},
			"action": map[string]any{"service": service, "timeoutS": timeout, "maxAttempts": 2}}
	}
	cluster := func(name string, sharded bool) any {
		c := map[string]any{"name": name, "healthPath": "/health", "maxConns": 130, "protocol": "h1", "tls": false}
		if sharded {
			c["sharded"], c["warmS"], c["grants"] = true, 5.0, "call"
		}
		return c
	}
	return map[string]any{
		"version": version,
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeoutS": 3, "idleTimeoutS": 15},
		"listeners": []any{
			map[string]any{"host": swapPost.host, "rules": []any{rule("r-swap", "unsafe", swapPost.path, "swapbay", 1, 0.4)}},
			map[string]any{"host": modWarn.host, "rules": []any{rule("r-mod", "unsafe", modWarn.path, moderation, 0.6, 0.25)}},
			map[string]any{"host": archiveSearch.host, "rules": []any{rule("r-arch", "safe", archiveSearch.path, "logdeep", 1.5, 0.6)}},
		},
		"clusters": []any{cluster("swapbay", false), cluster("modbench", false), cluster("newdesk", false), cluster("logdeep", true)},
	}
}

// lateRuns counts the requests that an upstream began later than a moment and that count, and those
// of them that got no answer, 502 or 504.
func (s *scenario) lateRuns(u *upstream, after time.Time, counts func(*sending) bool) (late, lost int) {
	s.recorder.mu.Lock()
	defer s.recorder.mu.Unlock()
	for _, x := range s.recorder.runs {
		sent := s.recorder.sent[x.id]
		if x.upstream != u || sent == nil || !x.at.After(after) || !counts(sent) {
			continue
		}
		late++
		if sent.status == 0 || sent.status == 502 || sent.status == 504 {
			lost++
		}
	}
	return late, lost
}
