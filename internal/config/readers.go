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

// roleEntry marks an entry VM in the platform's list.
const roleEntry = "entry"

// PublishReadableSchemas writes which schemas a VM reads. Each VM does so at its start,
// before it serves: one row a VM lets an operator's machine check a change with
// one read, where asking 7,300 VMs would need a way to reach each of them.
func PublishReadableSchemas(ctx context.Context, table platform.Table, vm, incarnation string) error {
	value, err := json.Marshal(SchemaSupport{Incarnation: incarnation, Schemas: ReadableSchemas()})
	if err != nil {
		return fmt.Errorf("config: encode readable schemas: %w", err)
	}
	key := ReaderPrefix + vm
	row, err := getOrEmpty(ctx, table, key)
	if err != nil {
		return err
	}
	if string(row.Value) == string(value) {
		return nil
	}
	_, err = table.Commit(ctx, []platform.Write{{Key: key, Expect: row.Version, Value: value}})
	if errors.Is(err, platform.ErrConflict) {
		return fmt.Errorf("config: readable schemas of %s: written by another start of it: %w", vm, err)
	}
	return err
}

// UnreadableSchemaError is the refusal of a schema that live VMs can't read.
type UnreadableSchemaError struct {
	Schema int
	VMs    []string // VMs that said that they can't read it
	Unreported []string // VMs that have not said what they read
}

// Error implements error. It names the VMs.
func (u *UnreadableSchemaError) Error() string {
	var parts []string
	if len(u.VMs) > 0 {
		parts = append(parts, "these VMs can't read it: "+strings.Join(u.VMs, ", "))
	}
	if len(u.Unreported) > 0 {
		parts = append(parts, "these VMs have not said what they read: "+strings.Join(u.Unreported, ", "))
	}
	return fmt.Sprintf("schema %d: %s; replace them by the newer release, or leave out what needs schema %d",
		u.Schema, strings.Join(parts, "; "), u.Schema)
}

// checkReaders refuses a record that some live VM can't read. Every release reads
// schema 1, so the common case costs nothing.
func (a *Acceptor) checkReaders(ctx context.Context, next *Service) error {
	schema := next.LowestSchema()
	if schema == Schema1 || a.VMs == nil {
		return nil
	}
	vms, _, err := a.VMs.VMs(ctx)
	if err != nil {
		return fault.Wrap(fault.PlatformUnavailable, err, "read the VM list; nothing was written")
	}
	rows, err := a.Table.List(ctx, ReaderPrefix)
	if err != nil {
		return fault.Wrap(fault.PlatformUnavailable, err, "read what the VMs can read; nothing was written")
	}
	refusal := unreadable(schema, vms, rows)
	if refusal == nil {
		return nil
	}
	return fault.Wrap(fault.ConfigInvalid, refusal, "record %q", next.Name)
}

// unreadable returns nil when every live entry VM reads the schema.
func unreadable(schema int, vms []platform.VM, rows []platform.Row) *UnreadableSchemaError {
	schemas := make(map[string][]int, len(rows))
	for _, row := range rows {
		var r SchemaSupport
		if json.Unmarshal(row.Value, &r) == nil {
			schemas[strings.TrimPrefix(row.Key, ReaderPrefix)] = r.Schemas
		}
	}
	u := &UnreadableSchemaError{Schema: schema}
	for _, vm := range vms {
		if vm.Role != roleEntry {
			continue
		}
		read, said := schemas[vm.ID]
		switch {
		case !said:
			u.Unreported = append(u.Unreported, vm.ID)
		case !slices.Contains(read, schema):
			u.VMs = append(u.VMs, vm.ID)
		}
	}
	if len(u.VMs)+len(u.Unreported) == 0 {
		return nil
	}
	return u
}
