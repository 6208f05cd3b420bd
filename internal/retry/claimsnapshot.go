package retry

import (
	"encoding/json"
	"fmt"
	"time"
)

// claimSnapshot is a book's content as it travels to a new standby. Times are
// durations from the moment of the snapshot, since no two clocks need agree.
type claimSnapshot struct {
	BlindFor time.Duration `json:"blind_for"` // nanoseconds
	Keys     []keySnapshot `json:"keys"`
}

type keySnapshot struct {
	Key       string             `json:"key"`
	ExpiresIn time.Duration      `json:"expires_in"` // nanoseconds
	Claimants []claimantSnapshot `json:"claimants"`
}

type claimantSnapshot struct {
	RequestID string     `json:"request_id"`
	State     claimState `json:"state"`
}

// Snapshot returns the book for a new standby. The keeper sends it after the new
// standby takes its claims: then each claim is in the snapshot or is replicated.
func (b *ClaimTable) Snapshot(now time.Time) ([]byte, error) {
	b.lock.Lock()
	defer b.lock.Unlock()
	b.advance(now)
	s := claimSnapshot{BlindFor: max(b.blind.Sub(now), 0)}
	for e := b.expiries.order.Front(); e != nil; e = e.Next() {
		queued := e.Value.(queuedKey)
		s.Keys = append(s.Keys, snapshotOf(queued.key, queued.known, now))
	}
	data, err := json.Marshal(s)
	if err != nil {
		return nil, fmt.Errorf("snapshot of claims: %w", err)
	}
	return data, nil
}

func snapshotOf(key string, known *claimedKey, now time.Time) keySnapshot {
	k := keySnapshot{Key: key, ExpiresIn: known.expires.Sub(now)}
	for _, c := range known.claimants {
		k.Claimants = append(k.Claimants, claimantSnapshot{RequestID: c.requestID, State: c.state})
	}
	return k
}

// Restore joins a snapshot into the book. From then on the book can judge what
// the snapshot's book could. An error leaves the book blind as it was. The caller
// makes sure that the snapshot is of the present keeper's term: one that was delayed
// since an earlier term lacks the claims between, which the book would not wait for.
func (b *ClaimTable) Restore(data []byte, now time.Time) error {
	var s claimSnapshot
	if err := json.Unmarshal(data, &s); err != nil {
		return fmt.Errorf("snapshot of claims: %w", err)
	}
	b.lock.Lock()
	defer b.lock.Unlock()
	b.advance(now)
	for _, k := range s.Keys {
		if err := b.restoreKey(k, now); err != nil {
			return err
		}
	}
	if until := now.Add(s.BlindFor); until.Before(b.blind) {
		b.blind = until
	}
	return nil
}

func (b *ClaimTable) restoreKey(k keySnapshot, now time.Time) error {
	left := min(k.ExpiresIn, b.settings.Window.Duration())
	for _, c := range k.Claimants {
		if c.State < stateOpen || c.State > stateFinished {
			return fmt.Errorf("snapshot of claims: key %q: state %d is unknown", k.Key, c.State)
		}
		known := b.join(k.Key, c.RequestID, c.State)
		if known == nil {
			return fmt.Errorf("snapshot of claims: no room for key %q", k.Key)
		}
		b.keep(k.Key, known, now.Add(left))
	}
	return nil
}
