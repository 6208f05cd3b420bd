package config

import (
	"encoding/json"

	"kumquatcleat/internal/platform"
)

// versionHeader is what can be read of a record of any schema.
type versionHeader struct {
	Schema  int    `json:"schema"`
	Name    string `json:"name"`
	Version uint64 `json:"version"`
}

// stored opens a record's row without reading the record itself.
func (sy *Syncer) stored(row platform.Row) (StoredRecord, bool) {
	var stored StoredRecord
	if err := json.Unmarshal(row.Value, &stored); err != nil {
		sy.refused.Inc(1)
		sy.opt.Log.Error("config: row can't be read", "row", row.Key, "error", err)
		return stored, false
	}
	return stored, true
}

// cannotRead reports, once for each version, a record that this release can't
// read. The version held before stays in force.
func (sy *Syncer) cannotRead(data []byte, from string, cause error) {
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
	sy.refused.Inc(1)
	sy.opt.Log.Error("config: record can't be read, the version before stays in force",
		"record", head.Name, "version", head.Version, "schema", head.Schema, "from", from, "error", cause)
}
