package main

import "time"

// Bounds of a small deployment, and what a stand-in adds for its own delays.
const (
	drainS       = 2 * time.Second
	graceS       = 6 * time.Second
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
