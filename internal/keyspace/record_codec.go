package keyspace

import (
	"bytes"
	"encoding/json"
	"fmt"

	"google.golang.org/protobuf/proto"

	"kumquatcleat/internal/keyspace/ownerspb"
)

// RecordFormat is the format of stored records that this version reads. VMs announce it, so
// that records stay readable for all VMs while versions are mixed.
type RecordFormat int

const (
	// FormatJSON is the format of versions that announce none.
	FormatJSON RecordFormat = iota
	// FormatColumns names each server once, however many ranges it owns.
	FormatColumns
)

// encodeFor returns the stored form of the record in a format that all VMs read, if it
// fits into a row of the store, and in columns otherwise.
func (r Record) encodeFor(format RecordFormat, rowBytes int) ([]byte, error) {
	if format == FormatJSON {
		if value, err := json.Marshal(r); err != nil || len(value) <= rowBytes {
			return value, err
		}
	}
	return r.encode()
}

// encode returns the record in columns.
func (r Record) encode() ([]byte, error) {
	stored := &ownerspb.Record{WriteId: r.WriteID, Era: r.Era}
	indexes := map[Holder]uint32{}
	index := func(h Holder) uint32 {
		i, known := indexes[h]
		if !known {
			i = uint32(len(stored.Holders))
			indexes[h] = i
			stored.Holders = append(stored.Holders, &ownerspb.Holder{Server: h.Server, Incarnation: h.Incarnation, Address: h.Address})
		}
		return i
	}
	if len(r.Ranges) > 0 {
		stored.FirstKey = r.Ranges[0].From
	}
	for i := range r.Ranges {
		span := &r.Ranges[i]
		stored.Keys = append(stored.Keys, uint32(span.Keys()))
		stored.Owner = append(stored.Owner, index(span.Owner))
		stored.Token = append(stored.Token, span.Token)
		if !span.Pending {
			continue
		}
		move := &ownerspb.Move{Range: uint32(i)}
		for _, f := range span.Former {
			move.Former = append(move.Former, &ownerspb.Former{Holder: index(f.Holder), Token: f.Token})
		}
		stored.Moves = append(stored.Moves, move)
	}
	return proto.Marshal(stored)
}

// DecodeRecord decodes a stored record. version is the version of its row.
func DecodeRecord(data []byte, version uint64) (Record, error) {
	decode := decodeColumns
	if bytes.HasPrefix(data, []byte("{")) {
		decode = decodeJSON
	}
	r, err := decode(data)
	if err != nil {
		return Record{}, fmt.Errorf("keyspace: decode owners record: %w", err)
	}
	for i := range r.Ranges {
		if r.Ranges[i].Token == 0 {
			r.Ranges[i].Token = r.writtenAt(version)
		}
	}
	return r, r.check()
}

// decodeJSON decodes FormatJSON.
func decodeJSON(data []byte) (Record, error) {
	var r Record
	err := json.Unmarshal(data, &r)
	return r, err
}

func decodeColumns(data []byte) (Record, error) {
	var stored ownerspb.Record
	if err := proto.Unmarshal(data, &stored); err != nil {
		return Record{}, err
	}
	count := len(stored.Keys)
	if len(stored.Owner) != count || len(stored.Token) != count {
		return Record{}, fmt.Errorf("%d ranges have %d owners and %d tokens", count, len(stored.Owner), len(stored.Token))
	}
	holders := make([]Holder, len(stored.Holders))
	for i, h := range stored.Holders {
		holders[i] = Holder{Server: h.Server, Incarnation: h.Incarnation, Address: h.Address}
	}
	holder := func(index uint32) (Holder, error) {
		if int(index) >= len(holders) {
			return Holder{}, fmt.Errorf("server %d of %d does not exist", index, len(holders))
		}
		return holders[index], nil
	}
	r := Record{WriteID: stored.WriteId, Era: stored.Era}
	if count > 0 {
		r.Ranges = make([]Range, count)
	}
	from := stored.FirstKey
	for i, keys := range stored.Keys {
		owner, err := holder(stored.Owner[i])
		if err != nil {
			return Record{}, fmt.Errorf("owner of range %d: %w", i, err)
		}
		if keys == 0 {
			return Record{}, fmt.Errorf("range %d is empty", i)
		}
		r.Ranges[i] = Range{Span: Span{from, from + keys - 1}, Owner: owner, Token: stored.Token[i]}
		from += keys
	}
	for _, move := range stored.Moves {
		if int(move.Range) >= count {
			return Record{}, fmt.Errorf("moving range %d of %d does not exist", move.Range, count)
		}
		moving := &r.Ranges[move.Range]
		moving.Pending = true
		for _, f := range move.Former {
			former, err := holder(f.Holder)
			if err != nil {
				return Record{}, fmt.Errorf("former holder of range %d: %w", move.Range, err)
			}
			moving.Former = append(moving.Former, Former{former, f.Token})
		}
	}
	return r, nil
}

const (
	// rangeBytes is the maximum size of a range that moves, in bytes: the columns with a
	// token of six bytes, and its move.
	rangeBytes = 32
	// holderBytes is the maximum size of a holder without its names.
	holderBytes = 20
	// headBytes is the maximum size of the rest of a record.
	headBytes = 200
	// formerHolders is how many servers a record may name in addition to its members, as
	// a share of them: those that left and whose keys are still moving.
	formerHolders = 0.25
)

// maxRanges returns how many ranges of members fit into a record of the given size, even
// if all of them move.
func maxRanges(size int, members []Member) int {
	names := 0
	for _, m := range members {
		names += len(m.Server) + len(m.Address) + holderBytes
	}
	return (size - headBytes - int(float64(names)*(1+formerHolders))) / rangeBytes
}
