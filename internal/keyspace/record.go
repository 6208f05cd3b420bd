// Package keyspace keeps one owner for each key of a service that is divided by
// key. One VM at a time, the coordinator, decides; its decisions are a record in
// the store, written before any server is told. Servers hold keys under leases
// that the coordinator renews; the other VMs follow the record.
package keyspace

import (
	"encoding/json"
	"fmt"
	"sort"
)

// Holder is one start of a server that may hold keys.
type Holder struct {
	Server      string `json:"server"`
	Incarnation int64  `json:"incarnation"`
	Address     string `json:"address"`
}

// Same reports whether two holders are the same start of a server.
func (h Holder) Same(o Holder) bool { return h.Server == o.Server && h.Incarnation == o.Incarnation }

// Span is a set of adjacent keys, both ends included.
type Span struct {
	From uint32 `json:"from"`
	To   uint32 `json:"to"`
}

// Overlaps reports whether two spans share a key.
func (s Span) Overlaps(o Span) bool { return s.From <= o.To && o.From <= s.To }

// Keys returns how many keys the span has.
func (s Span) Keys() int { return int(s.To-s.From) + 1 }

// Former is a holder that keys are taken from, with its fencing token.
type Former struct {
	Holder
	Token uint64 `json:"fence"`
}

// Range is a span with its owner.
type Range struct {
	Span
	Owner Holder `json:"owner"`
	// Token is the fencing token of the owner. Zero stands for the version of the
	// row that holds the record: it is known only once the row is written, and
	// versions only rise.
	Token uint64 `json:"fence"`
	// Pending says that a former holder may still hold keys, and that the owner was
	// granted none of them by anybody.
	Pending bool `json:"pending,omitempty"`
	// Former lists who may still hold keys of a pending range: one holder at most.
	Former []Former `json:"former,omitempty"`
	// raiseToken asks for a higher token when the record is written. Until then Fence is
	// the one under which the owner has the keys.
	raiseToken bool
}

// releasedBy reports whether an order releases a former holder's present hold: one
// under an older token may have come before the holder got the keys again.
func (r *Range) releasedBy(o Order) bool {
	for _, f := range r.Former {
		if f.Same(o.To) {
			return o.Token >= f.Token
		}
	}
	return false
}

// Record is the truth about one service's keys.
type Record struct {
	// WriteID tells apart two writes with equal content.
	WriteID string  `json:"write_id"`
	Ranges  []Range `json:"ranges"` // adjacent, in ascending order, covering all keys
}

// encode returns the stored form.
func (r Record) encode() ([]byte, error) { return json.Marshal(r) }

// DecodeRecord reads the stored form. version is that of the row.
func DecodeRecord(data []byte, version uint64) (Record, error) {
	var r Record
	if err := json.Unmarshal(data, &r); err != nil {
		return Record{}, fmt.Errorf("keyspace: record: %w", err)
	}
	for i := range r.Ranges {
		if r.Ranges[i].Token == 0 {
			r.Ranges[i].Token = version
		}
		if i > 0 && r.Ranges[i].From != r.Ranges[i-1].To+1 {
			return Record{}, fmt.Errorf("keyspace: record: range %d begins at key %d, want %d", i, r.Ranges[i].From, r.Ranges[i-1].To+1)
		}
	}
	return r, nil
}

// raiseTokens gives the ranges that ask for it the token of the next write.
func (r *Record) raiseTokens() {
	for i := range r.Ranges {
		if r.Ranges[i].raiseToken {
			r.Ranges[i].Token, r.Ranges[i].raiseToken = 0, false
		}
	}
}

// rangeOf returns the range of a key, or nil.
func (r *Record) rangeOf(key uint32) *Range {
	i := sort.Search(len(r.Ranges), func(i int) bool { return r.Ranges[i].To >= key })
	if i == len(r.Ranges) || r.Ranges[i].From > key {
		return nil
	}
	return &r.Ranges[i]
}

// clone copies the record so that it can be changed.
func (r Record) clone() Record {
	ranges := make([]Range, len(r.Ranges))
	copy(ranges, r.Ranges)
	for i := range ranges {
		ranges[i].Former = append([]Former(nil), ranges[i].Former...)
	}
	return Record{Ranges: ranges}
}

// hasPending reports whether a range waits for its owner.
func (r *Record) hasPending() bool {
	for i := range r.Ranges {
		if r.Ranges[i].Pending {
			return true
		}
	}
	return false
}
