package dispatch

import (
	"encoding/json"
	"fmt"
	"maps"
	"math"
	"reflect"
	"testing"
	"testing/synctest"
	"time"

	"kumquatcleat/internal/operator"
	"kumquatcleat/internal/overload"
	"kumquatcleat/internal/registry"
	"kumquatcleat/internal/routetable"
)

func (b *fixture) explain(path string, key int) operator.RequestExplanation {
	r := &Request{Method: "GET", Target: path, Path: path, Host: "h", Arrived: time.Now(), Timeout: time.Second}
	if key >= 0 {
		r.Key, r.HasKey = uint32(key), true
	}
	return b.core.Explain(r, "")
}

// Guards against explanations that take a credit of a rate limit, count as requests, or change what
// is estimated: later decisions would differ from those without them.
func TestExplainingChangesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(true, answers(200))
		f.setOwners(1, ownedByK0+`,{"from":100,"to":199,"owner":{"server":"k1","incarnation":1},"fence":1}`)
		split := routetable.Route{Name: "split", Host: "h", Prefix: "/s/", Targets: []routetable.Target{{Service: "plain", Weight: 1}, {Service: "keyed", Weight: 3}}}
		keyed := routetable.Route{Name: "keyed", Host: "h", Prefix: "/k/", Targets: split.Targets[1:]}
		f.core.Tables = table{routetable.Compile(routetable.Config{Routes: []routetable.Route{split, keyed}, Services: []routetable.Service{{Name: "plain"}, {Name: "keyed", DividedByKey: true}}})}
		counted := 0
		f.core.CountKey = func(string, uint32) { counted++ }
		f.serve("/k/", 7)
		now := time.Now()
		for _, id := range []string{"s1", "k0"} {
			f.core.RateLimits.Stated(now, registry.Instance{ID: id, Incarnation: 1}, 0.5)
			f.core.RateLimits.WarmUp(now, registry.Instance{ID: id, Incarnation: 1}, 3, now.Add(50*time.Millisecond))
		}
		f.core.Pauses.Stated(now, registry.Instance{ID: "k1", Incarnation: 1}, time.Second)
		f.core.Overload.Update(now, map[string]overload.Signal{"k0": {Load: 30, Admit: 0.5}})
		time.Sleep(100 * time.Millisecond)
		state := func() []string {
			data, err := json.Marshal(f.core.Metrics)
			if err != nil {
				t.Fatal(err)
			}
			return []string{fmt.Sprint(counted), string(data), deep(f.core.Balancer), deep(f.core.RateLimits), deep(f.core.admissions),
				deep(f.core.Budget), deep(f.core.Pauses), deep(f.core.Suspicions), deep(f.core.Tables.Current())}
		}
		before := state()
		for range 1000 {
			f.explain("/k/", 7)
			f.explain("/k/", 150) // its owner is paused
			f.explain("/k/", -1)
			f.explain("/s/", -1)
			f.explain("/none/", -1)
		}
		for i, after := range state() {
			if after != before[i] {
				t.Errorf("state %d changed:\n%s\nto\n%s", i, before[i], after)
			}
		}
		if len(f.sender.sent) != 1 {
			t.Errorf("got %d requests sent, want the one that was served", len(f.sender.sent))
		}
	})
}

// deep formats a value with its unexported fields, following pointers and maps.
func deep(v any) string {
	seen := map[uintptr]bool{}
	var format func(reflect.Value) any
	format = func(v reflect.Value) any {
		switch v.Kind() {
		case reflect.Pointer:
			if v.Type() == reflect.TypeFor[*time.Location]() {
				return nil
			}
			if v.IsNil() || seen[v.Pointer()] {
				return "pointer"
			}
			seen[v.Pointer()] = true
			return format(v.Elem())
		case reflect.Interface:
			return format(v.Elem())
		case reflect.Struct:
			fields := map[string]any{}
			for i := range v.NumField() {
				fields[v.Type().Field(i).Name] = format(v.Field(i))
			}
			return fields
		case reflect.Map:
			entries := map[string]any{}
			for key, value := range v.Seq2() {
				entries[fmt.Sprint(key)] = format(value)
			}
			return entries
		case reflect.Slice, reflect.Array:
			list := []any{}
			for i := range v.Len() {
				list = append(list, format(v.Index(i)))
			}
			return list
		case reflect.Func, reflect.Chan, reflect.Invalid, reflect.UnsafePointer:
			return nil
		default:
			return fmt.Sprint(v)
		}
	}
	return fmt.Sprint(format(reflect.ValueOf(v)))
}

// Guards against explanations that name another outcome than the request gets.
func TestExplanationAgreesWithOutcome(t *testing.T) {
	server := func(id string) registry.Instance { return registry.Instance{ID: id, Incarnation: 1} }
	limit := func(f *fixture, id string) {
		f.core.RateLimits.Stated(time.Now(), server(id), 0.25)
		for f.core.RateLimits.Take(time.Now(), server(id)) {
		}
	}
	for name, c := range map[string]struct {
		path     string
		key      int
		prepare  func(*fixture)
		action   operator.Action
		server   string
		status   int
		withheld map[string]string // by server
	}{
		"keyless": {path: "/p/", key: -1, action: operator.ActionSend, server: "s2", status: 200, prepare: func(f *fixture) { f.evacuate("s0"); f.registry.MarkLeaving(server("s1")) }, withheld: map[string]string{"s1": "leaving"}},
		"paused":  {path: "/p/", key: -1, action: operator.ActionSend, server: "s0", status: 200, prepare: func(f *fixture) { limit(f, "s1"); f.core.Pauses.Stated(time.Now(), server("s2"), time.Hour) }, withheld: map[string]string{"s1": "rate limited", "s2": "paused"}},
		"none":    {path: "/p/", key: -1, action: operator.ActionRefuse, status: 503, prepare: func(f *fixture) { f.evacuate("s0", "s1", "s2") }, withheld: map[string]string{"s0": "evacuated", "s1": "evacuated", "s2": "evacuated"}},
		"busy": {path: "/p/", key: -1, action: operator.ActionRefuse, status: 429, prepare: func(f *fixture) {
			for _, s := range f.registry.Usable("plain") {
				for range 5 * s.Slots {
					f.core.Balancer.Started(s)
				}
			}
		}},
		"owner":       {path: "/k/", key: 7, action: operator.ActionSend, server: "k0", status: 200},
		"overloaded":  {path: "/k/", key: 7, action: operator.ActionRefuse, status: 429, prepare: func(f *fixture) { f.core.Overload.Update(time.Now(), map[string]overload.Signal{"k0": {Load: 9}}) }},
		"owner limit": {path: "/k/", key: 7, action: operator.ActionRefuse, status: 429, prepare: func(f *fixture) { limit(f, "k0") }},
		"owner pause": {path: "/k/", key: 7, action: operator.ActionRefuse, status: 429, prepare: func(f *fixture) { f.core.Pauses.Stated(time.Now(), server("k0"), time.Hour) }, withheld: map[string]string{"k0": "paused"}},
		"no owner":    {path: "/k/", key: 100, action: operator.ActionWait, status: 503},
		"no key":      {path: "/k/", key: -1, action: operator.ActionRefuse, status: 400},
		"stopping":    {path: "/p/", key: -1, action: operator.ActionRefuse, status: 503, prepare: func(f *fixture) { f.core.StopBy(time.Now()) }},
	} {
		f := newFixture(true, answers(200))
		f.setOwners(1, ownedByK0)
		if c.prepare != nil {
			c.prepare(f)
		}
		e := f.explain(c.path, c.key)
		if len(e.Services) != 1 {
			t.Fatalf("%s: got explanation %+v, want one of one service", name, e)
		}
		got := e.Services[0].Outcome
		if got.Action != c.action || got.Server != c.server || c.action != operator.ActionSend && got.Status != c.status || got.Reason == "" {
			t.Errorf("%s: got outcome %+v, want %s %s %d", name, got, c.action, c.server, c.status)
		}
		withheld := map[string]string{}
		for _, candidate := range e.Services[0].Candidates {
			if candidate.Withheld != "" {
				withheld[candidate.Server] = candidate.Withheld
			}
		}
		if !maps.Equal(withheld, c.withheld) {
			t.Errorf("%s: got withheld servers %v, want %v", name, withheld, c.withheld)
		}
		if a := f.serve(c.path, c.key); a.Status != c.status {
			t.Errorf("%s: the request got status %d: %s; want %d", name, a.Status, a.Message, c.status)
		}
	}
}

// Guards against explanations that outgrow an operator's screen and the VM's memory, and that name
// servers other than the best ones.
func TestExplanationNamesBestCandidates(t *testing.T) {
	f := newFixture(true, answers(200))
	for i := range 400 {
		f.registry.Put(registry.Server{ID: fmt.Sprintf("x%03d", i), Service: "plain", Slots: 1 + i%7, Incarnation: 1, FailureDomain: []string{"", "far"}[i%2]})
	}
	s := f.explain("/p/", -1).Services[0]
	if len(s.Candidates) != maxExplainedCandidates || s.Omitted != 203-maxExplainedCandidates || len(s.Domains) != 2 || s.Domains[1].Usable != 200 {
		t.Fatalf("got %d candidates, %d omitted, domains %+v", len(s.Candidates), s.Omitted, s.Domains)
	}
	last := math.Inf(-1)
	for _, c := range s.Candidates {
		if c.Loss < last || c.Domain != "" {
			t.Errorf("got candidate %+v after one with loss %v", c, last)
		}
		last = c.Loss
	}
}

// notReaching is a VM that can't open connections to servers.
type notReaching struct{ live bool }

func (notReaching) Isolated() bool          { return true }
func (n notReaching) ConnectionsLive() bool { return n.live }
func (notReaching) Answered()               {}

// Guards against explanations that name a server which the VM can't reach.
func TestExplanationNamesRelay(t *testing.T) {
	for _, c := range []struct {
		live, connected bool
		want            operator.Action
	}{{false, true, operator.ActionRelay}, {true, false, operator.ActionRelay}, {true, true, operator.ActionSend}} {
		f := newFixture(true, answers(200))
		f.core.Reach = notReaching{c.live}
		f.core.HasIdleConnection = func(*registry.Server) bool { return c.connected }
		e := f.explain("/p/", -1)
		if got := e.Services[0].Outcome.Action; got != c.want || !e.Isolated {
			t.Errorf("%+v: got action %s, isolated %t", c, got, e.Isolated)
		}
	}
}
