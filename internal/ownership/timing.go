package ownership

import "time"

// Timing holds the durations of the ownership protocol. A zero field means the
// value in DefaultTiming.
type Timing struct {
	Lease       time.Duration // a server's lease
	RowLease    time.Duration // keeper's decision lease after a read of the row
	RowRead     time.Duration // interval at which the keeper and the standby read the row
	Promise     time.Duration // a standby's unconfirmed promise not to take over
	OutageLease time.Duration // keeper's decision lease once the standby confirmed it
	// TableSettled is how long the table must answer in time before the keeper
	// returns an outage lease. After each return a move by lapse waits one more
	// lease. If a slow table made the keeper return the lease and request it again
	// over and over, such moves would be delayed for as long as the table is slow.
	TableSettled  time.Duration
	RouteLease    time.Duration // how long a VM may send to servers that do not check grants
	Heartbeat     time.Duration // interval of the keeper's messages to its standby
	KeeperSilence time.Duration // silence after which the standby considers the keeper lost
	// HoldOverSilence is the keeper's silence after which the standby renews grants
	// in its place (hold-over). Hold-over makes no decisions, so an unnecessary one
	// does no harm.
	HoldOverSilence time.Duration
	// StandbySilence is the silence after which the keeper names another standby.
	StandbySilence time.Duration
	Retry          time.Duration // interval between retries of an unanswered message or write
	// RequestDeadline is the longest deadline, including its margin, of a request to
	// a server that does not check grants. Such a server may still run a request this
	// long after the last route lease expired.
	RequestDeadline time.Duration
	DriftPerMill    int64 // tolerated clock drift, in thousandths
}

// DefaultTiming makes the keys available again within 3 s after the loss of a server or
// of the keeper's VM. Each step below takes 0.1 s for a tick and a round trip. A tick
// alone takes up to 0.05 s.
//
// A server is lost just after its answer at t = 0. Its last lease counts as valid
// until Lease x 1.01 = 1.515 s. Grants sent in the meantime are based on that same
// answer and extend nothing, so the expiry is also the detection. Then the move is
// written (0.1 s), its end is written (0.1 s), and the new owner is granted the
// slots (0.1 s) and found by the VMs (0.1 s): 1.92 s.
//
// The keeper's VM is lost just after a heartbeat at t = 0. The standby considers
// it lost at KeeperSilence = 1 s (1.1 s with a whole step), writes the takeover
// (1.2 s), waits RowLease x 1.01 = 1.212 s (2.42 s, 2.47 s with the tick), queries
// the servers during the wait, and renews what they hold (2.57 s). The leases of
// the servers expired between 1 s and 1.5 s.
//
// A server is lost in outage mode. Its move begins after 3/4 x Lease = 1.125 s of
// silence (1.175 s with the tick), the standby has it at 1.28 s, and one more lease
// expires at 2.79 s (2.84 s with the tick). Reporting the end of the move to the
// standby and granting the slots take 0.1 s together, since they need only messages
// between VMs and servers: 2.94 s.
//
// The keeper's VM is lost in outage mode. A renewal is based on the clock of the
// previous answer, so a lease has at least Lease/3 = 0.5 s left when the next
// renewal is due, and the keeper may be lost just then. Hold-over begins
// HoldOverSilence = 0.3 s after the keeper's last message (0.35 s with the tick),
// which leaves 0.15 s to query the servers and to renew.
//
// If both are lost together, the lost server's lease is counted from the end of the
// old keeper's decision lease: 2.47 + 1.515 + 0.4 = 4.4 s. That exceeds 3 s.
var DefaultTiming = Timing{
	Lease:           1500 * time.Millisecond,
	RowLease:        1200 * time.Millisecond,
	RowRead:         400 * time.Millisecond,
	Promise:         400 * time.Millisecond,
	OutageLease:     3 * time.Minute,
	TableSettled:    3 * time.Second,
	RouteLease:      500 * time.Millisecond,
	Heartbeat:       200 * time.Millisecond,
	KeeperSilence:   time.Second,
	HoldOverSilence: 300 * time.Millisecond,
	StandbySilence:  3 * time.Second,
	Retry:           100 * time.Millisecond,
	RequestDeadline: 5 * time.Second, // a moved key of a server that does not check grants is unavailable for this long
	DriftPerMill:    10,
}

// withDefaults returns t with each zero field taken from DefaultTiming.
func (t Timing) withDefaults() Timing {
	d := DefaultTiming
	for _, f := range []struct {
		value    *time.Duration
		fallback time.Duration
	}{
		{&t.Lease, d.Lease},
		{&t.RowLease, d.RowLease},
		{&t.RowRead, d.RowRead},
		{&t.Promise, d.Promise},
		{&t.OutageLease, d.OutageLease},
		{&t.TableSettled, d.TableSettled},
		{&t.RouteLease, d.RouteLease},
		{&t.Heartbeat, d.Heartbeat},
		{&t.KeeperSilence, d.KeeperSilence},
		{&t.HoldOverSilence, d.HoldOverSilence},
		{&t.StandbySilence, d.StandbySilence},
		{&t.Retry, d.Retry},
		{&t.RequestDeadline, d.RequestDeadline},
	} {
		if *f.value == 0 {
			*f.value = f.fallback
		}
	}
	if t.DriftPerMill == 0 {
		t.DriftPerMill = d.DriftPerMill
	}
	return t
}
