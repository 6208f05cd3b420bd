package config

import (
	"encoding/json"

	"kumquatcleat/internal/platform"
)

// versionHeader holds the fields that can be decoded from a record of any schema.
type versionHeader struct {
	Schema  int    `json:"schema"`
	Name    string `json:"name"`
	Version uint64 `json:"version"`
}

// decodeRow decodes a record's row but not the record itself.
func (sy *Syncer) decodeRow(row platform.Row) (StoredRecord, bool) {
	var stored StoredRecord
	if err := json.Unmarshal(row.Value, &stored); err != nil {
		sy.unreadableCount.Inc(1)
		sy.opt.Log.Error("config: can't decode row", "row", row.Key, "error", err)
		return stored, false
	}
	return stored, true
}

// reportUnreadable logs, once for each version, a record that this release can't
// read. The previous version stays in force.
func (sy *Syncer) reportUnreadable(data []byte, from string, cause error) {
	var head versionHeader
	_ = json.Unmarshal(data, &head) // a record without a name is reported each time
	sy.mu.Lock()
	seen := head.Name != "" && sy.unreadable[head.Name] >= head.Version
	if head.Name != "" {
		sy.unreadable[head.Name] = max(sy.unreadable[head.Name], head.Version)
	}
	sy.mu.Unlock()
	if seen {
		return
	}
	sy.unreadableCount.Inc(1)
	sy.opt.Log.Error("config: can't decode record, the previous version stays in force",
		"record", head.Name, "version", head.Version, "schema", head.Schema, "from", from, "error", cause)
}
