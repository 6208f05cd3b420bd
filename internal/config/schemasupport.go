package config

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"

	"kumquatcleat/internal/fault"
	"kumquatcleat/internal/platform"
)

// roleEntry is the role of entry VMs in the platform's list.
const roleEntry = "entry"

// PublishSchemaSupport writes the schemas that a VM can read to the platform's table.
// Each VM calls it at its start, before it serves; if that fails, the VM serves anyway
// and retries. With one row per VM, an operator's machine checks a change with a single
// read instead of connecting to each VM.
func PublishSchemaSupport(ctx context.Context, table platform.Table, vm, incarnation string) error {
	value, err := json.Marshal(SchemaSupport{Incarnation: incarnation, Schemas: ReadableSchemas()})
	if err != nil {
		return fmt.Errorf("config: encode readable schemas: %w", err)
	}
	key := SchemaSupportPrefix + vm
	row, err := getOrEmpty(ctx, table, key)
	if err != nil {
		return err
	}
	if string(row.Value) == string(value) {
		return nil
	}
	_, err = table.Commit(ctx, []platform.Write{{Key: key, Expect: row.Version, Value: value}})
	if errors.Is(err, platform.ErrConflict) {
		return fmt.Errorf("config: readable schemas of VM %s: written concurrently by another incarnation: %w", vm, err)
	}
	return err
}

// UnreadableSchemaError reports that some live VMs can't read, or may not be able to
// read, a schema.
type UnreadableSchemaError struct {
	Schema     int
	VMs        []string // VMs whose published schemas lack it
	Unreported []string // VMs that have not published their schemas
}

// Error implements error. It names the VMs.
func (u *UnreadableSchemaError) Error() string {
	var parts []string
	if len(u.VMs) > 0 {
		parts = append(parts, "these VMs can't read it: "+strings.Join(u.VMs, ", "))
	}
	if len(u.Unreported) > 0 {
		parts = append(parts, "these VMs have not reported which schemas they can read: "+strings.Join(u.Unreported, ", "))
	}
	return fmt.Sprintf("schema %d: %s; replace them with VMs of a newer release, or remove the fields that need schema %d",
		u.Schema, strings.Join(parts, "; "), u.Schema)
}

// checkSchemaSupport refuses a record that some live VM can't read. Every release
// reads schema 1, so a record of schema 1 needs no call to the platform.
func (a *Acceptor) checkSchemaSupport(ctx context.Context, next *Service) error {
	schema := next.LowestSchema()
	if schema == Schema1 || a.VMs == nil {
		return nil
	}
	vms, _, err := a.VMs.VMs(ctx)
	if err != nil {
		return fault.Wrap(fault.PlatformUnavailable, err, "read the VM list; nothing was written")
	}
	rows, err := a.Table.List(ctx, SchemaSupportPrefix)
	if err != nil {
		return fault.Wrap(fault.PlatformUnavailable, err, "list the readable schemas of the VMs; nothing was written")
	}
	refusal := findUnsupported(schema, vms, rows)
	if refusal == nil {
		return nil
	}
	return fault.Wrap(fault.ConfigInvalid, refusal, "record %q", next.Name)
}

// findUnsupported returns the live entry VMs that can't read the schema or have not
// reported what they can read. It returns nil if there are none.
func findUnsupported(schema int, vms []platform.VM, rows []platform.Row) *UnreadableSchemaError {
	schemas := make(map[string][]int, len(rows))
	for _, row := range rows {
		var r SchemaSupport
		if json.Unmarshal(row.Value, &r) == nil {
			schemas[strings.TrimPrefix(row.Key, SchemaSupportPrefix)] = r.Schemas
		}
	}
	u := &UnreadableSchemaError{Schema: schema}
	for _, vm := range vms {
		if vm.Role != roleEntry {
			continue
		}
		readable, reported := schemas[vm.ID]
		switch {
		case !reported:
			u.Unreported = append(u.Unreported, vm.ID)
		case !slices.Contains(readable, schema):
			u.VMs = append(u.VMs, vm.ID)
		}
	}
	if len(u.VMs)+len(u.Unreported) == 0 {
		return nil
	}
	return u
}
