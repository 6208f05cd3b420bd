package keyspace

import (
	"testing"
	"time"
)

// An owners record that is accepted has ranges in ascending order, and can be planned
// with and coordinated.
func FuzzOwnersRecord(f *testing.F) {
	f.Add([]byte(`{"write_id":"a/1","ranges":[{"from":0,"to":9,"owner":{"server":"a","incarnation":1,"address":"1.2.3.4:5"},"fence":3},
		{"from":10,"to":99,"owner":{"server":"b","incarnation":1},"pending":true,"former":[{"server":"a","incarnation":1,"fence":2}]}]}`), uint32(5))
	f.Add([]byte(`{"ranges":[{"from":9,"to":1,"owner":{"server":"a"}}]}`), uint32(4))
	f.Add([]byte(`{"ranges":[{"from":0,"to":4294967295},{"from":0,"to":3}]}`), uint32(1))
	f.Add([]byte(`{}`), uint32(0))
	f.Fuzz(func(t *testing.T, value []byte, key uint32) {
		record, err := DecodeRecord(value, 7)
		if err != nil {
			return
		}
		for i, r := range record.Ranges {
			if r.From > r.To || i > 0 && r.From <= record.Ranges[i-1].To {
				t.Fatalf("accepted range %d from %d to %d", i, r.From, r.To)
			}
		}
		if r := record.rangeOf(key); r != nil && (key < r.From || key > r.To) {
			t.Fatalf("key %d: found the range from %d to %d", key, r.From, r.To)
		}
		tracker := NewLeaseTracker(Timing{Lease: time.Second, CallTimeout: time.Second}, record, 7, 7, time.Second, time.Second)
		tracker.Orders(2*time.Second, func(Holder) ServerState { return Serving })
		next := record.clone()
		tracker.applyProgress(3*time.Second, &next)
		tracker.takeOverRanges(&next)
	})
}
