// Package settings loads and validates the settings of a kumquatcleatd process from
// a JSON file. The file is read once, at start, and all its problems are reported.
package settings

import (
	"time"

	"kumquatcleat/internal/limits"
	"kumquatcleat/internal/ownership"
	"kumquatcleat/internal/placement"
	"kumquatcleat/internal/retry"
)

// Settings holds the settings of one kumquatcleatd process. Every address is IP:port,
// never a host name.
type Settings struct {
	ID            string `json:"id"`             // of this VM, as in the platform's list
	Incarnation   string `json:"incarnation"`    // of this VM in the platform's list; empty: unknown
	FailureDomain string `json:"failure_domain"` // of this VM
	Listen        string `json:"listen"`         // for callers
	PeerListen    string `json:"peer_listen"`    // for other VMs and operators
	Platform      string `json:"platform"`       // address of the platform's service
	// Peers holds the peer_listen addresses of other VMs. If the platform's list of VMs
	// can't be read at the start, this VM fetches the list from them. It may be empty.
	Peers    []string `json:"peers"`
	LogLevel string   `json:"log_level"` // debug, info, warn or error

	// ShutdownGraceMS bounds how long a graceful shutdown waits for requests in flight.
	ShutdownGraceMS int64 `json:"shutdown_grace_ms"`
	// Embedded starts stand-ins for the platform and the servers within the process.
	Embedded bool `json:"embedded"`

	Timing    Timing             `json:"timing"`
	Limits    limits.Settings    `json:"limits"`
	Retry     Retry              `json:"retry"`
	Placement placement.Settings `json:"placement"`
}

// Retry holds the settings of package retry.
type Retry struct {
	Budget     retry.BudgetSettings     `json:"budget"`
	Claims     retry.ClaimSettings      `json:"claims"`
	Quarantine retry.QuarantineSettings `json:"quarantine"`
	Deferred   retry.DeferredSettings   `json:"deferred"`
}

// Timing holds the durations of the ownership protocol, in milliseconds; see
// ownership.Timing. All VMs of a system need the same values.
type Timing struct {
	LeaseMS int64 `json:"lease_ms"` // a server's lease
	// RowRightMS is the keeper's lease, which each read of the group's row extends.
	RowRightMS    int64 `json:"row_right_ms"`
	RowReadMS     int64 `json:"row_read_ms"`     // interval of the keeper's and the standby's reads of the row
	PromiseMS     int64 `json:"promise_ms"`      // how long a standby's promise is valid
	OutageLeaseMS int64 `json:"outage_lease_ms"` // a confirmed outage lease
	// TableSettledMS is how long the table must answer in time before a keeper
	// returns its outage lease.
	TableSettledMS int64 `json:"table_settled_ms"`
	// RouteLeaseMS is the lease that allows a VM to send to servers that do not check
	// grants.
	RouteLeaseMS int64 `json:"route_lease_ms"`
	// HeartbeatMS is the interval of a keeper's messages to its standby.
	HeartbeatMS int64 `json:"heartbeat_ms"`
	// KeeperSilenceMS is the time without a message from the keeper after which a
	// standby considers it failed.
	KeeperSilenceMS int64 `json:"keeper_silence_ms"`
	// HoldOverSilenceMS is the time without a message from the keeper after which a
	// standby with a confirmed outage lease renews the existing grants.
	HoldOverSilenceMS int64 `json:"hold_over_silence_ms"`
	// StandbySilenceMS is the time without a message after which a keeper names another
	// standby.
	StandbySilenceMS int64 `json:"standby_silence_ms"`
	// RetryMS is the interval between retries of an unanswered message or write.
	RetryMS int64 `json:"retry_ms"`
	// RequestDeadlineMS is the longest deadline, with its margin, of a request at a
	// server that does not check grants.
	RequestDeadlineMS int64 `json:"request_deadline_ms"`
	DriftPerMill      int64 `json:"drift_per_mill"` // tolerated clock drift, in thousandths
}

// DefaultShutdownGrace lets the longest request of a service with default limits
// finish.
const DefaultShutdownGrace = 60 * time.Second

// Default returns complete settings for one VM with loopback addresses and embedded
// stand-ins.
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

// defaults returns the values of the settings that a file may omit.
func defaults() *Settings {
	return &Settings{
		Peers:           []string{}, // conf rejects a nil slice
		LogLevel:        "info",
		ShutdownGraceMS: DefaultShutdownGrace.Milliseconds(),
		Timing:          timingFromOwnership(ownership.DefaultTiming),
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

// ShutdownGrace returns the bound on a graceful shutdown.
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

func timingFromOwnership(t ownership.Timing) Timing {
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
