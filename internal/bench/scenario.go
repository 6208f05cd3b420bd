// Package bench generates load on entry VMs, records what every caller saw,
// computes the figures of a report, and checks the recorded histories against
// the invariants of the router. It is a test tool for one machine and loopback
// addresses.
package bench

import (
	"bytes"
	"encoding/json"
	"fmt"
	"time"
)

// ScenarioSchema is the version of the scenario schema that this release reads.
const ScenarioSchema = 1

// Limits on a scenario, so that a typo cannot overload the machine.
const (
	maxRate            = 20000            // calls per second
	maxDuration        = 10 * time.Minute // of the load
	maxCalls           = 2_000_000        // held in memory until the bench run ends
	maxInFlight        = 20000            // concurrent calls
	maxBodyBytes       = 1 << 20
	maxKeys            = 1_000_000
	defaultMaxInFlight = 4096
)

// Scenario describes the load and the faults of a bench run.
type Scenario struct {
	Schema      int       `json:"schema"`
	Name        string    `json:"name"`
	Seed        uint64    `json:"seed"`          // of all random draws; the flag --seed overrides it
	DurationMS  int64     `json:"duration_ms"`   // length of the load
	RatePerS    float64   `json:"rate_per_s"`    // arrival rate of all services together
	TimeoutMS   int64     `json:"timeout_ms"`    // callers' timeout; 0: 3000
	MaxInFlight int       `json:"max_in_flight"` // concurrent calls; 0: 4096
	Services    []Traffic `json:"services"`
	Faults      []Fault   `json:"faults,omitempty"`
}

// Traffic is the load of one service.
type Traffic struct {
	Service     string  `json:"service"`
	Weight      float64 `json:"weight"`        // share of arrivals, relative to the other services
	Keys        uint64  `json:"keys"`          // number of distinct keys
	ZipfS       float64 `json:"zipf_s"`        // skew of keys, above 1; 0: uniform
	HotChangeMS int64   `json:"hot_change_ms"` // interval after which other keys become hot; 0: never
	Probes      Probes  `json:"probes"`
	Kinds       []Kind  `json:"kinds"`
}

// Probes are calls of a few keys at a fixed interval. They measure how long a
// key goes without an answer at a finer resolution than random calls do.
type Probes struct {
	Keys    int   `json:"keys"`
	EveryMS int64 `json:"every_ms"`
}

// Kind is one kind of call of a service.
type Kind struct {
	Name                string  `json:"name"`
	Share               float64 `json:"share"` // of the service's calls, relative to the other kinds
	Method              string  `json:"method"`
	Path                string  `json:"path"`           // within the service; {key} is replaced by the key
	Class               string  `json:"class"`          // label in the report only; the record's rules decide the class
	NonIdempotent       bool    `json:"non_idempotent"` // must run at most once
	Keyless             bool    `json:"keyless"`        // names no key
	BodyBytes           int     `json:"body_bytes"`
	PadBytes            int     `json:"pad_bytes"`       // padding in the answer
	WorkMS              float64 `json:"work_ms"`         // time for which a run occupies an execution slot
	SendsIdempotencyKey bool    `json:"idempotency_key"` // sends an Idempotency-Key
	ResendShare         float64 `json:"resend_share"`    // share of calls resent through another VM whatever their outcome
	ResendAfterMS       int64   `json:"resend_after_ms"` // after the first send
	ResendUnknown       bool    `json:"resend_unknown"`  // resent through another VM after an unknown outcome
	CrashShare          float64 `json:"crash_share"`     // share of calls that carry the header that crashes servers
}

// Fault is one change at a given time of the load. It sets the faults of a stand-in,
// applies an action to a process or to an entry in the platform's VM list, or
// partitions the network.
type Fault struct {
	AtMS     int64           `json:"at_ms"`
	Standin  string          `json:"standin,omitempty"`  // "platform" or a server's id
	Switches json.RawMessage `json:"switches,omitempty"` // all faults of the stand-in: standin.PlatformFaults or standin.ServerFaults
	Process  string          `json:"process,omitempty"`  // name of a process; for unlist, leave and list the ID of a VM or server
	Do       Action          `json:"do,omitempty"`
	Cut      *Cut            `json:"cut,omitempty"` // partition from this time on; {} ends it
}

// Action is an action on a process of the cluster, or on the entry of a VM or server
// in the platform's list.
type Action string

// The actions on processes and list entries.
const (
	ActStop      Action = "stop"     // SIGSTOP
	ActContinue  Action = "continue" // SIGCONT
	ActKill      Action = "kill"     // SIGKILL
	ActTerminate Action = "end"      // SIGTERM
	ActStart     Action = "start"    // restarts a process that has exited
	ActUnlist    Action = "unlist"   // removes a VM or server from the platform's list
	ActLeave     Action = "leave"    // marks a VM or server as leaving in the list
	ActList      Action = "list"     // lists a VM or server as live again
)

// ParseScenario parses and validates a scenario. Unknown fields are errors.
func ParseScenario(data []byte) (*Scenario, error) {
	var s Scenario
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&s); err != nil {
		return nil, fmt.Errorf("scenario: %w", err)
	}
	if s.TimeoutMS == 0 {
		s.TimeoutMS = 3000
	}
	if s.MaxInFlight == 0 {
		s.MaxInFlight = defaultMaxInFlight
	}
	if err := s.check(); err != nil {
		return nil, fmt.Errorf("scenario %q: %w", s.Name, err)
	}
	return &s, nil
}

// Duration returns the length of the load.
func (s *Scenario) Duration() time.Duration { return time.Duration(s.DurationMS) * time.Millisecond }

// Timeout returns the callers' timeout.
func (s *Scenario) Timeout() time.Duration { return time.Duration(s.TimeoutMS) * time.Millisecond }

func (s *Scenario) check() error {
	switch {
	case s.Schema != ScenarioSchema:
		return fmt.Errorf("schema %d: this release reads %d", s.Schema, ScenarioSchema)
	case s.Name == "":
		return fmt.Errorf("name is missing")
	case s.DurationMS <= 0 || s.Duration() > maxDuration:
		return fmt.Errorf("duration_ms %d: want 1 to %d", s.DurationMS, maxDuration.Milliseconds())
	case !(s.RatePerS > 0 && s.RatePerS <= maxRate):
		return fmt.Errorf("rate_per_s %v: want above 0, up to %d", s.RatePerS, maxRate)
	case s.RatePerS*s.Duration().Seconds() > maxCalls:
		return fmt.Errorf("rate_per_s x duration: more than %d calls", maxCalls)
	case s.TimeoutMS < 0 || s.Timeout() > maxDuration:
		return fmt.Errorf("timeout_ms %d: want 0 to %d", s.TimeoutMS, maxDuration.Milliseconds())
	case s.MaxInFlight < 1 || s.MaxInFlight > maxInFlight:
		return fmt.Errorf("max_in_flight %d: want 1 to %d", s.MaxInFlight, maxInFlight)
	case len(s.Services) == 0:
		return fmt.Errorf("services is empty")
	}
	for i := range s.Services {
		if err := s.Services[i].check(); err != nil {
			return fmt.Errorf("services[%d]: %w", i, err)
		}
	}
	for i := range s.Faults {
		if err := s.Faults[i].check(); err != nil {
			return fmt.Errorf("faults[%d]: %w", i, err)
		}
	}
	return nil
}

func (t *Traffic) check() error {
	switch {
	case t.Service == "":
		return fmt.Errorf("service is missing")
	case !(t.Weight > 0):
		return fmt.Errorf("weight %v: want above 0", t.Weight)
	case t.Keys < 1 || t.Keys > maxKeys:
		return fmt.Errorf("keys %d: want 1 to %d", t.Keys, maxKeys)
	case t.ZipfS != 0 && !(t.ZipfS > 1 && t.ZipfS < 10):
		return fmt.Errorf("zipf_s %v: want 0 (uniform), or above 1 and below 10", t.ZipfS)
	case t.HotChangeMS < 0:
		return fmt.Errorf("hot_change_ms %d: want 0 (never) or more", t.HotChangeMS)
	case t.Probes.Keys < 0 || uint64(t.Probes.Keys) > t.Keys:
		return fmt.Errorf("probes.keys %d: want 0 to keys", t.Probes.Keys)
	case t.Probes.Keys > 0 && t.Probes.EveryMS < 10:
		return fmt.Errorf("probes.every_ms %d: want 10 or more", t.Probes.EveryMS)
	case len(t.Kinds) == 0:
		return fmt.Errorf("kinds is empty")
	}
	for i := range t.Kinds {
		if err := t.Kinds[i].check(); err != nil {
			return fmt.Errorf("kinds[%d]: %w", i, err)
		}
	}
	return nil
}

func (k *Kind) check() error {
	switch {
	case k.Name == "":
		return fmt.Errorf("name is missing")
	case !(k.Share > 0):
		return fmt.Errorf("share %v: want above 0", k.Share)
	case k.Method == "":
		return fmt.Errorf("method is missing")
	case k.Path == "" || k.Path[0] != '/':
		return fmt.Errorf("path %q: want a path that starts with /", k.Path)
	case k.BodyBytes < 0 || k.BodyBytes > maxBodyBytes:
		return fmt.Errorf("body_bytes %d: want 0 to %d", k.BodyBytes, maxBodyBytes)
	case k.PadBytes < 0 || k.PadBytes > maxBodyBytes:
		return fmt.Errorf("pad_bytes %d: want 0 to %d", k.PadBytes, maxBodyBytes)
	case !(k.WorkMS >= 0 && k.WorkMS <= 60000):
		return fmt.Errorf("work_ms %v: want 0 to 60000", k.WorkMS)
	case !(k.ResendShare >= 0 && k.ResendShare <= 1):
		return fmt.Errorf("resend_share %v: want 0 to 1", k.ResendShare)
	case !(k.CrashShare >= 0 && k.CrashShare <= 1):
		return fmt.Errorf("crash_share %v: want 0 to 1", k.CrashShare)
	case k.ResendAfterMS < 0:
		return fmt.Errorf("resend_after_ms %d: want 0 or more", k.ResendAfterMS)
	}
	return nil
}

// countTargets returns how many of standin, process and cut the fault sets.
func (f *Fault) countTargets() int {
	count := 0
	for _, named := range []bool{f.Standin != "", f.Process != "", f.Cut != nil} {
		if named {
			count++
		}
	}
	return count
}

func (f *Fault) check() error {
	switch {
	case f.AtMS < 0:
		return fmt.Errorf("at_ms %d: want 0 or more", f.AtMS)
	case f.countTargets() != 1:
		return fmt.Errorf("want exactly one of standin, process and cut")
	case f.Cut != nil:
		return f.Cut.check()
	case f.Standin != "" && len(f.Switches) == 0:
		return fmt.Errorf("switches is missing")
	case f.Process == "":
		return nil
	}
	switch f.Do {
	case ActStop, ActContinue, ActKill, ActTerminate, ActStart, ActUnlist, ActLeave, ActList:
		return nil
	}
	return fmt.Errorf("do %q: want stop, continue, kill, end, start, unlist, leave or list", f.Do)
}
