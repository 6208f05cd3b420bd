package keyspace

import (
	"fmt"
	"reflect"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

// storeRowBytes is the largest value that a row of the users' store holds.
const storeRowBytes = 65536

// largeRecord returns a record with the given numbers of servers, ranges and moving
// ranges, with names of the length that the users' platform has.
func largeRecord(servers, ranges, moving int) Record {
	holder := func(i int) Holder {
		return Holder{Server: fmt.Sprintf("i-%08x", i*2654435761%(1<<32)), Incarnation: 1_796_400_000_000 + int64(i)*977, Address: fmt.Sprintf("10.%d.%d.%d:%d", i%7, i%200, i%250, 40000+i)}
	}
	record := Record{WriteID: "front-lk-west-a-100/0f8fad5b-d9cb-469f-a165-70867728950e/12345"}
	const keys = 65536
	for i := range ranges {
		r := Range{Span: Span{uint32(i * keys / ranges), uint32((i+1)*keys/ranges - 1)}, Owner: holder(i % servers), Token: uint64(2_000_000 + i*31)}
		if i < moving {
			r.Pending = true
			r.Former = []Former{{holder((i + 1) % servers), uint64(1_900_000 + i)}}
		}
		record.Ranges = append(record.Ranges, r)
	}
	return record
}

// A service of 361 servers, 600 ranges and 200 moves fits into half of a row. As JSON,
// 313 ranges of which 176 moved did not fit into a whole one.
func TestRecordOfLargeServiceFitsIntoRow(t *testing.T) {
	record := largeRecord(361, 600, 200)
	value, err := record.encode()
	if err != nil {
		t.Fatal(err)
	}
	if len(value) > storeRowBytes/2 {
		t.Errorf("got %d bytes, want at most %d", len(value), storeRowBytes/2)
	}
	got, err := DecodeRecord(value, 7)
	if err != nil || !reflect.DeepEqual(got, record) {
		t.Errorf("decoded record differs from the original, error %v", err)
	}
}

// A record that an earlier version stored as JSON is still readable.
func TestRecordStoredAsJSONIsReadable(t *testing.T) {
	got, err := DecodeRecord([]byte(`{"write_id":"w","ranges":[{"from":0,"to":9,"owner":{"server":"a","incarnation":5,"address":"h:1"},"fence":3,
		"pending":true,"former":[{"server":"b","incarnation":4,"address":"h:2","fence":2}]}]}`), 7)
	want := Record{WriteID: "w", Ranges: []Range{{Span: Span{0, 9}, Owner: Holder{"a", 5, "h:1"}, Token: 3, Pending: true, Former: []Former{{Holder{"b", 4, "h:2"}, 2}}}}}
	if err != nil || !reflect.DeepEqual(got, want) {
		t.Fatalf("got %+v, error %v; want %+v", got, err, want)
	}
}

// While a VM of an earlier version is listed, records stay in its format, unless they would
// not fit into a row.
func TestRecordsStayReadableForEarlierVersions(t *testing.T) {
	small, large := largeRecord(10, 20, 5), largeRecord(361, 600, 200)
	for name, c := range map[string]struct {
		record Record
		format RecordFormat
		json   bool
	}{
		"mixed versions":               {small, FormatJSON, true},
		"one version":                  {small, FormatColumns, false},
		"mixed versions, large record": {large, FormatJSON, false},
	} {
		value, err := c.record.encodeFor(c.format, storeRowBytes)
		if err != nil || len(value) > storeRowBytes {
			t.Fatalf("%s: got %d bytes, error %v", name, len(value), err)
		}
		if got := value[0] == '{'; got != c.json {
			t.Errorf("%s: got JSON %v, want %v", name, got, c.json)
		}
		if got, err := DecodeRecord(value, 7); err != nil || !reflect.DeepEqual(got, c.record) {
			t.Errorf("%s: decoded record differs from the original, error %v", name, err)
		}
	}
}

func TestRecordRoundTrip(t *testing.T) {
	properties := gopter.NewProperties(nil)
	properties.Property("decode returns what was encoded", prop.ForAll(
		func(servers, ranges, moving int) bool {
			record := largeRecord(servers, ranges, min(moving, ranges))
			value, err := record.encode()
			if err != nil {
				return false
			}
			got, err := DecodeRecord(value, 7)
			return err == nil && reflect.DeepEqual(got, record)
		},
		gen.IntRange(1, 50), gen.IntRange(1, 200), gen.IntRange(0, 200)))
	properties.TestingRun(t)
}

// Plans keep to the number of ranges that a record has room for, whatever servers are
// lost or busy, so that keys can always move.
func TestPlansKeepRecordWithinItsSize(t *testing.T) {
	members := planMembers(20)
	size := headBytes + 20*(len(members[0].Server)+1+holderBytes)*5/4 + 40*rangeBytes
	limit := maxRanges(size, members)
	p := newPlanner(testPlan, profileOf(map[uint32]float64{3: 90, 4: 90, 500: 90, 700: 90}), members)
	p.maxRanges = limit
	ranges := acknowledged(p.initialRanges())
	for round := range 200 {
		lost := members[round%len(members)].Holder
		p.computeLoads(ranges)
		ranges, _ = p.balance(ranges)
		p.computeLoads(ranges)
		ranges, _ = p.reassign(ranges, func(r *Range) bool { return r.Owner.Same(lost) }, func(Holder) bool { return false })
		requireFullCoverage(t, ranges)
		value, err := Record{WriteID: "w", Ranges: ranges}.encode()
		if err != nil || len(value) > size {
			t.Fatalf("round %d: got %d ranges in %d bytes, error %v; want at most %d bytes", round, len(ranges), len(value), err, size)
		}
		if round%3 == 0 {
			ranges, _ = mergeAdjacent(acknowledged(ranges), func(*Range) bool { return true })
		}
	}
}
