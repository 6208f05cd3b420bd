package membership

import (
	"fmt"
	"time"
)

// Settings are the durations and limits of a View.
type Settings struct {
	// PingInterval is the minimum time between two pings of one VM. Default
	// 500 ms.
	PingInterval time.Duration `json:"ping_interval"`
	// PingTimeout is the longest time that a ping answer may have been in
	// transit: its ping was sent at most this long before the call of
	// PingAnswered. The deadline of a ping must be shorter. Default 300 ms.
	PingTimeout time.Duration `json:"ping_timeout"`
	// SuspicionTime is how long a VM must be silent before it is suspected.
	// Default 1 s.
	SuspicionTime time.Duration `json:"suspicion_time"`
	// ListGrace is how long a VM may run before it appears in the VM list, in
	// addition to the age that the list states. Default 5 s.
	ListGrace time.Duration `json:"list_grace"`
	// CoKeepers is the number of first candidates of a group that ping each
	// other. Default 3.
	CoKeepers int `json:"co_keepers"`
	// RingSuccessors is the number of successors on the hash ring of its
	// failure domain that a VM pings. Default 2.
	RingSuccessors int `json:"ring_successors"`
	// MaxPingTargets is the maximum number of VMs that a VM pings. Default 12.
	MaxPingTargets int `json:"max_ping_targets"`
	// MaxPingsPerSecond is the maximum rate of pings that a VM sends. With many
	// targets, each is pinged less often than every PingInterval. Default 12.
	MaxPingsPerSecond int `json:"max_pings_per_second"`
	// MaxCandidates is the maximum number of candidates of a group. Default 16.
	MaxCandidates int `json:"max_candidates"`
}

// DefaultSettings are the settings that the daemon uses.
var DefaultSettings = Settings{
	PingInterval:      500 * time.Millisecond,
	PingTimeout:       300 * time.Millisecond,
	SuspicionTime:     time.Second, // a longer time delays the choice of a new standby
	ListGrace:         5 * time.Second,
	CoKeepers:         3, // with 2, no third VM could give a keeper and its standby indirect evidence
	RingSuccessors:    2,
	MaxPingTargets:    12, // with fewer, some fellow candidates in a fleet of 12 VMs do not ping each other
	MaxPingsPerSecond: 12, // a higher rate exceeds a VM's bandwidth limit for control traffic
	MaxCandidates:     16,
}

// Validate checks that every value is in range. The error names the field, its
// value and the allowed range.
func (s Settings) Validate() error {
	durations := []struct {
		field    string
		value    time.Duration
		min, max time.Duration
	}{
		{"ping_interval", s.PingInterval, 10 * time.Millisecond, time.Minute},
		{"ping_timeout", s.PingTimeout, 10 * time.Millisecond, time.Minute},
		{"suspicion_time", s.SuspicionTime, s.PingInterval + s.PingTimeout, time.Hour},
		{"list_grace", s.ListGrace, 0, time.Hour},
	}
	for _, d := range durations {
		if d.value < d.min || d.value > d.max {
			return fmt.Errorf("membership.%s: %v is not between %v and %v", d.field, d.value, d.min, d.max)
		}
	}
	counts := []struct {
		field    string
		value    int
		min, max int
	}{
		{"co_keepers", s.CoKeepers, 2, 16},
		{"ring_successors", s.RingSuccessors, 0, 16},
		{"max_ping_targets", s.MaxPingTargets, 1, 256},
		{"max_pings_per_second", s.MaxPingsPerSecond, 1, 1000},
		{"max_candidates", s.MaxCandidates, s.CoKeepers, 256},
	}
	for _, c := range counts {
		if c.value < c.min || c.value > c.max {
			return fmt.Errorf("membership.%s: %d is not between %d and %d", c.field, c.value, c.min, c.max)
		}
	}
	return nil
}

// pingInterval returns the time between two pings of the same target.
func (s Settings) pingInterval(targets int) time.Duration {
	return max(s.PingInterval, time.Duration(targets)*time.Second/time.Duration(s.MaxPingsPerSecond))
}
