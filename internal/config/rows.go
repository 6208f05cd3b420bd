package config

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strconv"

	"kumquatcleat/internal/platform"
)

// Keys of the configuration rows in the platform's table. The comment names the
// type of the value.
const (
	ChangeLogKey        = "config/digest"   // ChangeLog: the latest changes
	RecordPrefix        = "config/service/" // + NAME: StoredRecord, the record in force
	HistoryPrefix       = "config/history/" // + NAME/VERSION: StoredRecord, written once
	SchemaSupportPrefix = "config/readers/" // + VM: SchemaSupport
)

// RecordKey returns the key of the record in force.
func RecordKey(name string) string { return RecordPrefix + name }

// HistoryKey returns the key of one accepted version. The version has a fixed
// width, so that the table's order by key is the order of versions.
func HistoryKey(name string, version uint64) string {
	return HistoryPrefix + name + "/" + fmt.Sprintf("%020d", version)
}

// StoredRecord is the value of a record's row and of its history rows.
type StoredRecord struct {
	WriteID string          `json:"write_id"` // identifies the writer when the answer to a commit is lost
	Record  json.RawMessage `json:"record"`   // the output of Encode
}

// Change identifies one accepted change.
type Change struct {
	Sequence uint64 `json:"sequence"`
	Name     string `json:"name"`
	Version  uint64 `json:"version"`
}

// ChangeLog is the value of the row that VMs poll. It lists only the latest changes,
// so that its size does not grow with the number of records.
type ChangeLog struct {
	Sequence uint64   `json:"sequence"` // number of changes accepted so far
	Recent   []Change `json:"recent"`   // the latest changes, oldest first
}

// recentChanges bounds ChangeLog.Recent. A VM that is further behind lists all records.
// A higher bound makes each poll larger, and VMs poll every second.
const recentChanges = 32

// After returns the distinct names of the records changed after a sequence number.
// complete is false if some of these changes have dropped out of the change log.
func (l ChangeLog) After(sequence uint64) (names []string, complete bool) {
	oldest := l.Sequence + 1
	if len(l.Recent) > 0 {
		oldest = l.Recent[0].Sequence
	}
	if l.Sequence > sequence && oldest > sequence+1 {
		return nil, false
	}
	seen := make(map[string]bool)
	for _, c := range l.Recent {
		if c.Sequence > sequence && !seen[c.Name] {
			seen[c.Name] = true
			names = append(names, c.Name)
		}
	}
	return names, true
}

// with returns a copy of the change log with one more change.
func (l ChangeLog) with(name string, version uint64) ChangeLog {
	next := ChangeLog{Sequence: l.Sequence + 1}
	recent := l.Recent
	if len(recent) >= recentChanges {
		recent = recent[len(recent)-recentChanges+1:]
	}
	next.Recent = append(next.Recent, recent...)
	next.Recent = append(next.Recent, Change{Sequence: next.Sequence, Name: name, Version: version})
	return next
}

// SchemaSupport is the value of the row in which a VM publishes the schemas that it
// can read.
type SchemaSupport struct {
	Incarnation string `json:"incarnation"`
	Schemas     []int  `json:"schemas"`
}

// getOrEmpty reads a row. For a row that does not exist it returns one of version 0.
func getOrEmpty(ctx context.Context, table platform.Table, key string) (platform.Row, error) {
	row, err := table.Get(ctx, key)
	if errors.Is(err, platform.ErrNotFound) {
		return platform.Row{Key: key}, nil
	}
	return row, err
}

// ReadChangeLog reads the change log's row. It returns the zero ChangeLog if there is none.
func ReadChangeLog(ctx context.Context, table platform.Table) (ChangeLog, platform.Row, error) {
	row, err := getOrEmpty(ctx, table, ChangeLogKey)
	if err != nil || row.Version == 0 {
		return ChangeLog{}, row, err
	}
	var l ChangeLog
	if err := json.Unmarshal(row.Value, &l); err != nil {
		return ChangeLog{}, row, fmt.Errorf("row %s: %w", ChangeLogKey, err)
	}
	return l, row, nil
}

// DecodeStored decodes the value of a record's row or history row.
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

// VersionOfHistoryKey returns the version at the end of a history key.
func VersionOfHistoryKey(key string) (uint64, error) {
	const width = 20
	if len(key) <= len(HistoryPrefix)+width {
		return 0, fmt.Errorf("row %s: not a history key", key)
	}
	return strconv.ParseUint(key[len(key)-width:], 10, 64)
}
