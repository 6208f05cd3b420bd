// Package settings holds the settings of one daemon: a JSON file, read once at
// start and checked whole.
package settings

import (
	"time"

	"kumquatcleat/internal/limits"
	"kumquatcleat/internal/ownership"
	"kumquatcleat/internal/placement"
	"kumquatcleat/internal/retry"
)

// Settings of one kumquatcleatd. Every address is IP:port, never a name.
type Settings struct {
	ID            string `json:"id"`             // of this VM, as in the platform's list
	Incarnation   string `json:"incarnation"`    // of this VM in the platform's list; empty: not told
	FailureDomain string `json:"failure_domain"` // that this VM stands in
	Listen        string `json:"listen"`         // for callers
	PeerListen    string `json:"peer_listen"`    // for other VMs and operators
	Platform      string `json:"platform"`       // the platform's service
	// Peers are other VMs' peer_listen addresses, asked for the VMs that run when
	// the platform's list can't be read at the start. None are needed.
	Peers    []string `json:"peers"`
	LogLevel string   `json:"log_level"` // debug, info, warn or error

	// ShutdownGraceMS bounds how long a planned stop waits for requests in flight.
	ShutdownGraceMS int64 `json:"shutdown_grace_ms"`
	// Embedded starts stand-ins of the platform and of servers in the process.
	Embedded bool `json:"embedded"`

	Timing    Timing             `json:"timing"`
	Limits    limits.Settings    `json:"limits"`
	Retry     Retry              `json:"retry"`
	Placement placement.Settings `json:"placement"`
}

// Retry holds the settings of the retry package.
type Retry struct {
	Budget     retry.BudgetSettings     `json:"budget"`
	Claims     retry.ClaimSettings      `json:"claims"`
	Quarantine retry.QuarantineSettings `json:"quarantine"`
	Deferred   retry.DeferredSettings   `json:"deferred"`
}

// Timing holds the durations of the ownership protocol, in milliseconds. All VMs
// of a system need the same values.
type Timing struct {
	LeaseMS       int64 `json:"lease_ms"`
	RowRightMS    int64 `json:"row_right_ms"`
	RowReadMS     int64 `json:"row_read_ms"`
	PromiseMS     int64 `json:"promise_ms"`
	OutageLeaseMS int64 `json:"outage_lease_ms"`
	// TableSettledMS is how long the table must answer in time before a keeper
	// gives its outage lease back.
	TableSettledMS int64 `json:"table_settled_ms"`
	RouteLeaseMS   int64 `json:"route_lease_ms"`
	// HeartbeatMS is the interval of a keeper's messages to its standby.
	HeartbeatMS int64 `json:"heartbeat_ms"`
	// KeeperSilenceMS is the silence after which a standby takes its keeper for lost.
	KeeperSilenceMS   int64 `json:"keeper_silence_ms"`
	HoldOverSilenceMS int64 `json:"hold_over_silence_ms"`
	StandbySilenceMS  int64 `json:"standby_silence_ms"`
	RetryMS           int64 `json:"retry_ms"`
	// RequestDeadlineMS bounds a request at a server that does not check grants.
	RequestDeadlineMS int64 `json:"request_deadline_ms"`
	DriftPerMill      int64 `json:"drift_per_mill"` // clock drift allowed for, in thousandths
}

// DefaultShutdownGrace lets the longest request of a service with default limits finish.
const DefaultShutdownGrace = 60 * time.Second

// Default returns complete settings for one VM on loopback addresses with
// embedded stand-ins.
func Default() *Settings {
	s := defaults()
	s.ID = "vm-1"
	s.FailureDomain = "a"
	s.Listen = "127.0.0.1:8080"
	s.PeerListen = "127.0.0.1:8081"
	s.Platform = "127.0.0.1:8082"
	s.Embedded = true
	return s
}

// defaults returns what a settings file may leave out.
func defaults() *Settings {
	return &Settings{
		Peers:           []string{}, // conf refuses nil
		LogLevel:        "info",
		ShutdownGraceMS: DefaultShutdownGrace.Milliseconds(),
		Timing:          fromOwnership(ownership.DefaultTiming),
		Limits:          limits.DefaultSettings(),
		Retry: Retry{
			Budget:     retry.DefaultBudgetSettings(),
			Claims:     retry.DefaultClaimSettings(),
			Quarantine: retry.DefaultQuarantineSettings(),
			Deferred:   retry.DefaultDeferredSettings(),
		},
		Placement: placement.DefaultSettings,
	}
}

// ShutdownGrace returns the bound on a planned stop.
func (s *Settings) ShutdownGrace() time.Duration { return milliseconds(s.ShutdownGraceMS) }

// OwnershipTiming returns the durations for the ownership protocol.
func (s *Settings) OwnershipTiming() ownership.Timing {
	t := s.Timing
	return ownership.Timing{
		Lease:           milliseconds(t.LeaseMS),
		RowLease:        milliseconds(t.RowRightMS),
		RowRead:         milliseconds(t.RowReadMS),
		Promise:         milliseconds(t.PromiseMS),
		OutageLease:     milliseconds(t.OutageLeaseMS),
		TableSettled:    milliseconds(t.TableSettledMS),
		RouteLease:      milliseconds(t.RouteLeaseMS),
		Heartbeat:       milliseconds(t.HeartbeatMS),
		KeeperSilence:   milliseconds(t.KeeperSilenceMS),
		HoldOverSilence: milliseconds(t.HoldOverSilenceMS),
		StandbySilence:  milliseconds(t.StandbySilenceMS),
		Retry:           milliseconds(t.RetryMS),
		RequestDeadline: milliseconds(t.RequestDeadlineMS),
		DriftPerMill:    t.DriftPerMill,
	}
}

func fromOwnership(t ownership.Timing) Timing {
	return Timing{
		LeaseMS:           t.Lease.Milliseconds(),
		RowRightMS:        t.RowLease.Milliseconds(),
		RowReadMS:         t.RowRead.Milliseconds(),
		PromiseMS:         t.Promise.Milliseconds(),
		OutageLeaseMS:     t.OutageLease.Milliseconds(),
		TableSettledMS:    t.TableSettled.Milliseconds(),
		RouteLeaseMS:      t.RouteLease.Milliseconds(),
		HeartbeatMS:       t.Heartbeat.Milliseconds(),
		KeeperSilenceMS:   t.KeeperSilence.Milliseconds(),
		HoldOverSilenceMS: t.HoldOverSilence.Milliseconds(),
		StandbySilenceMS:  t.StandbySilence.Milliseconds(),
		RetryMS:           t.Retry.Milliseconds(),
		RequestDeadlineMS: t.RequestDeadline.Milliseconds(),
		DriftPerMill:      t.DriftPerMill,
	}
}

func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }
