package ownership

import "time"

// Timing holds the durations of the ownership protocol. A zero field stands for
// the value in DefaultTiming.
type Timing struct {
	Lease       time.Duration // a server's lease
	RowLease    time.Duration // how long a read of the row gives the keeper its right (L)
	RowRead     time.Duration // interval of the keeper's and the standby's reads
	Promise     time.Duration // a standby's short promise
	OutageLease time.Duration // a confirmed outage lease
	// TableSettled is how long the table must answer in time before an outage lease
	// is given back. After each return a move by lapse waits one lease more: with a
	// table that is merely slow, a lease given back at each answer in time and asked
	// for again at the next would hold such moves up for as long as that lasts.
	TableSettled  time.Duration
	RouteLease    time.Duration // right of a VM to send to servers that do not check
	Heartbeat     time.Duration // interval of the keeper's messages to its standby
	KeeperSilence time.Duration // silence after which the standby takes the keeper for lost
	// HoldOverSilence is the silence after which the standby holds over. Hold-over
	// decides nothing, so one that was not needed does no harm.
	HoldOverSilence time.Duration
	// StandbySilence is the silence after which the keeper names another standby.
	StandbySilence time.Duration
	Retry          time.Duration // interval between repeats of an unanswered message or write
	// RequestDeadline is the longest deadline of a request, with its margin. A
	// server that does not check may still run one this long after the last
	// route lease ended.
	RequestDeadline time.Duration
	DriftPerMill    int64 // clock drift allowed for, in thousandths
}

// DefaultTiming serves the keys of a lost server, and of a lost keeper, again
// within 3 s of the loss. With 0.1 s for a tick and a round trip at each step:
//
// Loss of a server just after its answer at t = 0. Its last lease counts as
// alive until Lease x 1.01 = 1.515 s; the grants sent meanwhile start from that
// same answer and lengthen nothing, so the lapse is also the detection. Then
// the move is written (0.1 s), its end is written (0.1 s), and the new owner is
// granted the slots (0.1 s) and found by the VMs (0.1 s): 1.92 s.
//
// Loss of the keeper's VM just after a heartbeat at t = 0. The standby takes it
// for lost at KeeperSilence = 1 s (1.1 s with the tick), writes the takeover
// (1.2 s), waits RowRight x 1.01 = 1.212 s (2.42 s, 2.47 s with the tick), asks
// the servers during the wait, and renews what they hold (2.57 s). The leases of
// the servers ran out between 1 s and 1.5 s.
//
// Loss of a server in outage mode. Its move begins after 3/4 x Lease = 1.125 s of
// silence (1.175 s with the tick), the standby has it at 1.28 s, and one lease more
// lapses at 2.79 s (2.84 s with the tick). The end of the move is shown and the
// slots are granted in 0.1 s together, being messages between VMs and servers
// alone: 2.94 s.
//
// Loss of the keeper's VM in outage mode. A renewal carries the clock of the
// answer before it, so that a lease has at least Lease/3 = 0.5 s left when the
// next renewal is due, and the keeper may be lost just then. Hold-over begins
// HoldOverSilence = 0.3 s after its last message (0.35 s with the tick), which
// leaves 0.15 s to ask the servers and to renew.
//
// Loss of both together: the lost server's lease is counted from the end of the
// old keeper's right: 2.47 + 1.515 + 0.4 = 4.4 s. That is past 3 s.
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
	RequestDeadline: 5 * time.Second, // a moved key of a server that does not check is dark for as long
	DriftPerMill:    10,
}

// withDefaults returns t with each zero field taken from DefaultTiming.
func (t Timing) withDefaults() Timing {
	d := DefaultTiming
	for _, f := range []struct {
		value *time.Duration
		std   time.Duration
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
			*f.value = f.std
		}
	}
	if t.DriftPerMill == 0 {
		t.DriftPerMill = d.DriftPerMill
	}
	return t
}
