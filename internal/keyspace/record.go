// Package keyspace assigns one owner to each key of a service that is divided by key.
// One VM at a time, the coordinator, decides. It writes its decisions to an owners
// record in the store before it sends orders to any server. Servers hold keys under
// leases that the coordinator renews; the other VMs watch the record.
package keyspace

import (
	"fmt"
	"sort"

	"kumquatcleat/internal/rows"
)

// Holder is one incarnation of a server that may hold keys.
type Holder struct {
	Server      string `json:"server"`
	Incarnation int64  `json:"incarnation"`
	Address     string `json:"address"`
}

// Same reports whether two holders are the same incarnation of a server.
func (h Holder) Same(o Holder) bool { return h.Server == o.Server && h.Incarnation == o.Incarnation }

// Span is a range of adjacent keys, both ends included.
type Span struct {
	From uint32 `json:"from"`
	To   uint32 `json:"to"`
}

// Overlaps reports whether two spans share a key.
func (s Span) Overlaps(o Span) bool { return s.From <= o.To && o.From <= s.To }

// Keys returns the number of keys in the span.
func (s Span) Keys() int { return int(s.To-s.From) + 1 }

// Former is a holder whose keys are moved away, with its fencing token.
type Former struct {
	Holder
	Token uint64 `json:"fence"`
}

// Range is a span with its owner.
type Range struct {
	Span
	Owner Holder `json:"owner"`
	// Token is the fencing token of the owner. Zero stands for the version of the
	// row that holds the record: the version is known only once the row is written,
	// and versions only increase.
	Token uint64 `json:"fence"`
	// Pending reports that a former holder may still hold keys and that no
	// coordinator has granted any of them to the owner.
	Pending bool `json:"pending,omitempty"`
	// Former lists the holders that may still hold keys of a pending range. It has at
	// most one element, and none if that holder had already terminated.
	Former []Former `json:"former,omitempty"`
	// raiseToken requests a higher token when the record is written. Until then
	// Token is the one under which the owner has the keys.
	raiseToken bool
}

// releasedBy reports whether an order releases a former holder's current lease. A
// release under an older token may have preceded a later grant of the keys to the
// same holder.
func (r *Range) releasedBy(o Order) bool {
	for _, f := range r.Former {
		if f.Same(o.To) {
			return o.Token >= f.Token
		}
	}
	return false
}

// Record is the owners record of one service: the authoritative owner of each key.
type Record struct {
	// WriteID distinguishes two writes with equal content.
	WriteID string  `json:"write_id"`
	Ranges  []Range `json:"ranges"` // adjacent, in ascending order, covering all keys
	// Era is the era of the store in which the record was written. A row of a newer era with
	// this record comes from a copy: later records may be lost.
	Era uint64 `json:"era,omitempty"`
}

// restored reports whether the record was read from a copy of an earlier era. version is that
// of its row.
func (r *Record) restored(version uint64) bool { return r.Era < rows.Era(version) }

// writtenAt returns the version under which the record was written. version is that of the
// row in which it was read.
func (r *Record) writtenAt(version uint64) uint64 {
	return rows.VersionIn(r.Era, rows.Number(version))
}

// check verifies that the ranges are adjacent and in ascending order.
func (r *Record) check() error {
	for i := range r.Ranges {
		from, to := r.Ranges[i].From, r.Ranges[i].To
		if from > to {
			return fmt.Errorf("keyspace: owners record: range %d begins at key %d and ends at key %d", i, from, to)
		}
		if i > 0 && (from == 0 || from-1 != r.Ranges[i-1].To) {
			return fmt.Errorf("keyspace: owners record: range %d begins at key %d after a range that ends at key %d", i, from, r.Ranges[i-1].To)
		}
	}
	return nil
}

// covers reports whether the ranges cover all keys below a number.
func (r *Record) covers(keys uint32) bool {
	n := len(r.Ranges)
	return n > 0 && r.Ranges[0].From == 0 && r.Ranges[n-1].To == keys-1
}

// raiseTokens sets the token of ranges with raiseToken to zero, the version of the
// next write.
func (r *Record) raiseTokens() {
	for i := range r.Ranges {
		if r.Ranges[i].raiseToken {
			r.Ranges[i].Token, r.Ranges[i].raiseToken = 0, false
		}
	}
}

// rangeOf returns the range that contains a key, or nil.
func (r *Record) rangeOf(key uint32) *Range {
	i := sort.Search(len(r.Ranges), func(i int) bool { return r.Ranges[i].To >= key })
	if i == len(r.Ranges) || r.Ranges[i].From > key {
		return nil
	}
	return &r.Ranges[i]
}

// clone returns a copy that can be modified. The copy has no WriteID.
func (r Record) clone() Record {
	ranges := make([]Range, len(r.Ranges))
	copy(ranges, r.Ranges)
	for i := range ranges {
		ranges[i].Former = append([]Former(nil), ranges[i].Former...)
	}
	return Record{Ranges: ranges}
}

// hasPending reports whether any range is pending.
func (r *Record) hasPending() bool {
	for i := range r.Ranges {
		if r.Ranges[i].Pending {
			return true
		}
	}
	return false
}
