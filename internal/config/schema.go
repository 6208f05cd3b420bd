package config

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"

	"kumquatcleat/internal/fault"
	"kumquatcleat/internal/strictjson"
)

// Schemas of a service's record.
//
// Schema 2 adds rule fields that a VM must not ignore, so a VM that reads only
// schema 1 refuses the record. Without key_prefix_aliases it would treat a request
// with a key as one without and send it to a server that does not own the key.
// Without timeout_ms it would time out requests that may run longer.
const (
	Schema1 = 1
	Schema2 = 2
	// NewestSchema is the schema of records in memory.
	NewestSchema = Schema2
)

// ReadableSchemas returns the schemas that this release can read, in ascending order.
func ReadableSchemas() []int { return []int{Schema1, Schema2} }

// Invalid is the error for a record that fails validation. It lists every problem.
// Its fault kind is ConfigInvalid.
type Invalid struct {
	Record   string // name of the record; empty if it could not be decoded
	Problems []strictjson.Problem
}

// Error implements error.
func (e *Invalid) Error() string {
	lines := make([]string, 0, len(e.Problems))
	for _, p := range e.Problems {
		lines = append(lines, p.String())
	}
	return fmt.Sprintf("record %q: %s", e.Record, strings.Join(lines, "; "))
}

func invalid(record string, problems []strictjson.Problem) error {
	err := &Invalid{Record: record, Problems: problems}
	return fault.Wrap(fault.ConfigInvalid, err, "%d problems", len(problems))
}

// header holds the fields that all schemas share.
type header struct {
	Schema int    `json:"schema"`
	Name   string `json:"name"`
}

// ruleV1 is a Rule in schema 1.
type ruleV1 struct {
	Methods       []string `json:"methods,omitempty"`
	PathPrefix    string   `json:"path_prefix,omitempty"`
	NonIdempotent bool     `json:"non_idempotent,omitempty"`
	Idempotent    bool     `json:"idempotent,omitempty"`
	Class         Class    `json:"class,omitempty"`
	DeferOK       bool     `json:"defer_ok,omitempty"`
	KeyPrefix     string   `json:"key_prefix,omitempty"`
}

// serviceV1 is a Service in schema 1.
type serviceV1 struct {
	Schema       int       `json:"schema"`
	Version      uint64    `json:"version"`
	Name         string    `json:"name"`
	DividedByKey bool      `json:"divided_by_key,omitempty"`
	SlotCount    uint32    `json:"slot_count"`
	Domains      []string  `json:"domains"`
	Isolation    Isolation `json:"isolation,omitempty"`
	Servers      []Server  `json:"servers"`
	Rules        []ruleV1  `json:"rules,omitempty"`
	Limits       Limits    `json:"limits,omitempty"`
}

// Decode decodes and validates a record of any readable schema and converts it to
// the newest one. Its error is of kind ConfigInvalid and lists every problem.
func Decode(data []byte) (*Service, error) {
	var head header
	if err := json.Unmarshal(data, &head); err != nil {
		return nil, invalid("", strictjson.Decode(data, &serviceV1{}))
	}
	s, problems := decodeSchema(head.Schema, data)
	if len(problems) == 0 {
		problems = s.Validate()
	}
	if len(problems) > 0 {
		return nil, invalid(head.Name, problems)
	}
	return s, nil
}

func decodeSchema(schema int, data []byte) (*Service, []strictjson.Problem) {
	switch schema {
	case Schema1:
		var old serviceV1
		problems := strictjson.Decode(data, &old)
		return old.toNewest(), problems
	case Schema2:
		var s Service
		problems := strictjson.Decode(data, &s)
		return &s, problems
	default:
		return nil, []strictjson.Problem{{
			Field: "schema", Value: strconv.Itoa(schema), Want: "a schema that this release reads: 1 or 2",
		}}
	}
}

// toNewest converts the record to the newest schema.
func (o *serviceV1) toNewest() *Service {
	s := &Service{
		Schema: o.Schema, Version: o.Version, Name: o.Name, DividedByKey: o.DividedByKey,
		SlotCount: o.SlotCount, Domains: o.Domains, Isolation: o.Isolation,
		Servers: o.Servers, Limits: o.Limits,
	}
	for _, r := range o.Rules {
		s.Rules = append(s.Rules, Rule{
			Methods: r.Methods, PathPrefix: r.PathPrefix,
			NonIdempotent: r.NonIdempotent, Idempotent: r.Idempotent,
			Class: r.Class, DeferOK: r.DeferOK, KeyPrefix: r.KeyPrefix,
		})
	}
	return s
}

// toSchema1 converts the record to schema 1. The caller ensures that the record uses
// no schema 2 field.
func (s *Service) toSchema1() *serviceV1 {
	o := &serviceV1{
		Schema: Schema1, Version: s.Version, Name: s.Name, DividedByKey: s.DividedByKey,
		SlotCount: s.SlotCount, Domains: s.Domains, Isolation: s.Isolation,
		Servers: s.Servers, Limits: s.Limits,
	}
	for _, r := range s.Rules {
		o.Rules = append(o.Rules, ruleV1{
			Methods: r.Methods, PathPrefix: r.PathPrefix,
			NonIdempotent: r.NonIdempotent, Idempotent: r.Idempotent,
			Class: r.Class, DeferOK: r.DeferOK, KeyPrefix: r.KeyPrefix,
		})
	}
	return o
}

// LowestSchema returns the oldest schema that can represent the record.
func (s *Service) LowestSchema() int {
	for _, r := range s.Rules {
		if len(r.KeyPrefixAliases) > 0 || r.Timeout != 0 {
			return Schema2
		}
	}
	return Schema1
}

// Encode encodes a record in the oldest schema that can represent it, so that VMs
// of the previous release can read it for as long as possible.
func Encode(s *Service) ([]byte, error) {
	if s.LowestSchema() == Schema1 {
		return json.Marshal(s.toSchema1())
	}
	newest := *s
	newest.Schema = Schema2
	return json.Marshal(&newest)
}
