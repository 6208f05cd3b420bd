package retry

import (
	"encoding/json"
	"fmt"
	"time"
)

// claimSnapshot is the content of a table as sent to a new standby. Times are
// relative to the moment of the snapshot, because clocks are not synchronized
// between VMs.
type claimSnapshot struct {
	IncompleteFor time.Duration `json:"blind_for"` // nanoseconds
	Keys          []keySnapshot `json:"keys"`
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

// Snapshot encodes the table for a new standby. The keeper takes it after it has
// started to replicate claims to that standby, so that each claim is in the snapshot
// or is replicated.
func (t *ClaimTable) Snapshot(now time.Time) ([]byte, error) {
	t.lock.Lock()
	defer t.lock.Unlock()
	t.advanceTo(now)
	s := claimSnapshot{IncompleteFor: max(t.incompleteUntil.Sub(now), 0)}
	for e := t.expiries.order.Front(); e != nil; e = e.Next() {
		queued := e.Value.(queuedKey)
		s.Keys = append(s.Keys, snapshotOf(queued.key, queued.entry, now))
	}
	data, err := json.Marshal(s)
	if err != nil {
		return nil, fmt.Errorf("encode claim snapshot: %w", err)
	}
	return data, nil
}

func snapshotOf(key string, entry *claimedKey, now time.Time) keySnapshot {
	k := keySnapshot{Key: key, ExpiresIn: entry.expires.Sub(now)}
	for _, c := range entry.claimants {
		k.Claimants = append(k.Claimants, claimantSnapshot{RequestID: c.requestID, State: c.state})
	}
	return k
}

// Restore merges a snapshot into the table, which is from then on as complete as the
// table in the snapshot. After an error the table stays as incomplete as it was. The
// caller must make sure that the snapshot belongs to the current epoch: one delayed
// from an earlier epoch lacks the claims made since, and the table would no longer wait
// for those to expire.
func (t *ClaimTable) Restore(data []byte, now time.Time) error {
	var s claimSnapshot
	if err := json.Unmarshal(data, &s); err != nil {
		return fmt.Errorf("snapshot of claims: %w", err)
	}
	t.lock.Lock()
	defer t.lock.Unlock()
	t.advanceTo(now)
	for _, k := range s.Keys {
		if err := t.restoreKey(k, now); err != nil {
			return err
		}
	}
	if until := now.Add(s.IncompleteFor); until.Before(t.incompleteUntil) {
		t.incompleteUntil = until
	}
	return nil
}

func (t *ClaimTable) restoreKey(k keySnapshot, now time.Time) error {
	left := min(k.ExpiresIn, t.settings.Window.Duration())
	for _, c := range k.Claimants {
		if c.State < stateOpen || c.State > stateFinished {
			return fmt.Errorf("snapshot of claims: key %q: state %d is unknown", k.Key, c.State)
		}
		entry := t.merge(k.Key, c.RequestID, c.State)
		if entry == nil {
			return fmt.Errorf("snapshot of claims: no room for key %q", k.Key)
		}
		t.extendExpiry(k.Key, entry, now.Add(left))
	}
	return nil
}
