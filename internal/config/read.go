package config

import (
	"context"
	"encoding/json"
	"strings"

	"kumquatcleat/internal/fault"
	"kumquatcleat/internal/platform"
)

// Read returns the record in force from the table. Its error is of kind NotFound
// if there is none.
func Read(ctx context.Context, table platform.Table, name string) (*Service, error) {
	return readKey(ctx, table, RecordKey(name), name)
}

// ReadVersion returns one accepted version of a record from its history.
func ReadVersion(ctx context.Context, table platform.Table, name string, version uint64) (*Service, error) {
	return readKey(ctx, table, HistoryKey(name, version), name)
}

func readKey(ctx context.Context, table platform.Table, key, name string) (*Service, error) {
	row, err := getOrEmpty(ctx, table, key)
	if err != nil {
		return nil, fault.Wrap(fault.PlatformUnavailable, err, "read record %q", name)
	}
	if row.Version == 0 {
		return nil, fault.New(fault.NotFound, "the table has no row %s", key)
	}
	_, s, err := DecodeStored(row)
	return s, err
}

// ListVersions returns the name and version of every record in the table, ordered
// by name.
func ListVersions(ctx context.Context, table platform.Table) ([]Change, error) {
	rows, err := table.List(ctx, RecordPrefix)
	if err != nil {
		return nil, fault.Wrap(fault.PlatformUnavailable, err, "list records")
	}
	changes := make([]Change, 0, len(rows))
	for _, row := range rows {
		var stored StoredRecord
		var head versionHeader
		if err := json.Unmarshal(row.Value, &stored); err != nil {
			return nil, fault.Wrap(fault.ConfigInvalid, err, "row %s", row.Key)
		}
		if err := json.Unmarshal(stored.Record, &head); err != nil {
			return nil, fault.Wrap(fault.ConfigInvalid, err, "row %s", row.Key)
		}
		changes = append(changes, Change{Name: strings.TrimPrefix(row.Key, RecordPrefix), Version: head.Version})
	}
	return changes, nil
}

// HistoryEntry describes one accepted version of a record and its changes.
type HistoryEntry struct {
	Version uint64       `json:"version"`
	WriteID string       `json:"write_id"`
	Changed []Difference `json:"changed"` // from the previous version
	Problem string       `json:"problem,omitempty"`
}

// ReadHistory returns the accepted versions of a record, oldest first.
func ReadHistory(ctx context.Context, table platform.Table, name string) ([]HistoryEntry, error) {
	rows, err := table.List(ctx, HistoryPrefix+name+"/")
	if err != nil {
		return nil, fault.Wrap(fault.PlatformUnavailable, err, "list the history of %q", name)
	}
	if len(rows) == 0 {
		return nil, fault.New(fault.NotFound, "the table has no history of %q", name)
	}
	entries := make([]HistoryEntry, 0, len(rows))
	var before *Service
	for _, row := range rows {
		var entry HistoryEntry
		entry, before = historyEntry(row, before)
		entries = append(entries, entry)
	}
	return entries, nil
}

// historyEntry decodes one history row and returns the record to compare the next
// row with. A version that this release can't read is listed with its problem, and
// the next version is compared with an empty record.
func historyEntry(row platform.Row, before *Service) (HistoryEntry, *Service) {
	version, err := VersionOfHistoryKey(row.Key)
	entry := HistoryEntry{Version: version}
	if err != nil {
		entry.Problem = err.Error()
		return entry, nil
	}
	stored, s, err := DecodeStored(row)
	entry.WriteID = stored.WriteID
	if err != nil {
		entry.Problem = err.Error()
		return entry, nil
	}
	if entry.Changed, err = Diff(before, s); err != nil {
		entry.Problem = err.Error()
	}
	return entry, s
}
