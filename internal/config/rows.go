package config

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strconv"

	"kumquatcleat/internal/platform"
)

// Keys of the rows that hold configuration in the platform's table.
const (
	DigestKey     = "config/digest"   // Digest: what changed last
	RecordPrefix  = "config/service/" // + NAME: StoredRecord in force
	HistoryPrefix = "config/history/" // + NAME/VERSION: StoredRecord, written once
	ReaderPrefix  = "config/readers/" // + VM: Reader
)

// RecordKey returns the key of the record in force.
func RecordKey(name string) string { return RecordPrefix + name }

// HistoryKey returns the key of one accepted version. Versions have a fixed
// width, so that the table's order by key is their order.
func HistoryKey(name string, version uint64) string {
	return HistoryPrefix + name + "/" + fmt.Sprintf("%020d", version)
}

// StoredRecord is the value of a record's row and of its history row.
type StoredRecord struct {
	WriteID string          `json:"write_id"` // tells whose write it was when an answer is lost
	Record  json.RawMessage `json:"record"`   // as Encode wrote it
}

// Change is one accepted change.
type Change struct {
	Sequence uint64 `json:"sequence"`
	Name     string `json:"name"`
	Version  uint64 `json:"version"`
}

// Digest is the value of the one row that VMs poll. It names the last changes
// alone, so that its size does not grow with the number of records.
type Digest struct {
	Sequence uint64   `json:"sequence"` // number of changes ever accepted
	Recent   []Change `json:"recent"`   // the last changes, oldest first
}

// recentChanges bounds Digest.Recent. A VM that is further behind lists all
// records; more of them make each of the polls, one a second, larger.
const recentChanges = 32

// After returns the names changed after a sequence number, without doubles, and
// whether the digest still knows all of them.
func (d Digest) After(sequence uint64) (names []string, complete bool) {
	oldest := d.Sequence + 1
	if len(d.Recent) > 0 {
		oldest = d.Recent[0].Sequence
	}
	if d.Sequence > sequence && oldest > sequence+1 {
		return nil, false
	}
	seen := make(map[string]bool)
	for _, c := range d.Recent {
		if c.Sequence > sequence && !seen[c.Name] {
			seen[c.Name] = true
			names = append(names, c.Name)
		}
	}
	return names, true
}

// with returns the digest with one more change.
func (d Digest) with(name string, version uint64) Digest {
	next := Digest{Sequence: d.Sequence + 1}
	recent := d.Recent
	if len(recent) >= recentChanges {
		recent = recent[len(recent)-recentChanges+1:]
	}
	next.Recent = append(next.Recent, recent...)
	next.Recent = append(next.Recent, Change{Sequence: next.Sequence, Name: name, Version: version})
	return next
}

// SchemaSupport is the value of a VM's row that tells what it can read.
type SchemaSupport struct {
	Incarnation string `json:"incarnation"`
	Schemas     []int  `json:"schemas"`
}

// getOrEmpty reads a row; one that does not exist has version 0.
func getOrEmpty(ctx context.Context, table platform.Table, key string) (platform.Row, error) {
	row, err := table.Get(ctx, key)
	if errors.Is(err, platform.ErrNotFound) {
		return platform.Row{Key: key}, nil
	}
	return row, err
}

// ReadDigest reads the digest row. Without one it returns the zero Digest.
func ReadDigest(ctx context.Context, table platform.Table) (Digest, platform.Row, error) {
	row, err := getOrEmpty(ctx, table, DigestKey)
	if err != nil || row.Version == 0 {
		return Digest{}, row, err
	}
	var d Digest
	if err := json.Unmarshal(row.Value, &d); err != nil {
		return Digest{}, row, fmt.Errorf("row %s: %w", DigestKey, err)
	}
	return d, row, nil
}

// DecodeStored reads the value of a record's row or history row.
func DecodeStored(row platform.Row) (StoredRecord, *Service, error) {
	var stored StoredRecord
	if err := json.Unmarshal(row.Value, &stored); err != nil {
		return stored, nil, fmt.Errorf("row %s: %w", row.Key, err)
	}
	s, err := Decode(stored.Record)
	if err != nil {
		return stored, nil, fmt.Errorf("row %s: %w", row.Key, err)
	}
	return stored, s, nil
}

// VersionOfHistoryKey returns the version that a history key ends with.
func VersionOfHistoryKey(key string) (uint64, error) {
	const width = 20
	if len(key) <= len(HistoryPrefix)+width {
		return 0, fmt.Errorf("row %s: no history key", key)
	}
	return strconv.ParseUint(key[len(key)-width:], 10, 64)
}
