package daemon

import (
	"context"
	"log/slog"
	"time"

	"kumquatcleat/internal/config"
	"kumquatcleat/internal/platform"
)

const configPoll = time.Second // a change is in force well within 5 s

// pollConfigs reads all records whenever the digest row changes, until ctx ends.
func pollConfigs(ctx context.Context, table platform.Table, store *config.Store) {
	var sequence uint64
	known := false
	for {
		digest, _, err := config.ReadDigest(ctx, table)
		if err == nil && (!known || digest.Sequence != sequence) {
			if readAll(ctx, table, store) {
				sequence, known = digest.Sequence, true
			}
		}
		if !sleep(ctx, configPoll) {
			return
		}
	}
}

func readAll(ctx context.Context, table platform.Table, store *config.Store) bool {
	rows, err := table.List(ctx, config.RecordPrefix)
	if err != nil {
		return false
	}
	for _, row := range rows {
		_, service, err := config.DecodeStored(row)
		if err != nil {
			slog.Error("config: record not readable", "row", row.Key, "error", err.Error())
			continue
		}
		for _, name := range store.Put(service) {
			slog.Info("config: record in force", "service", name, "version", service.Version)
		}
	}
	return true
}
