package config

import (
	"bytes"
	"reflect"
	"strings"
	"testing"

	"kumquatcleat/internal/fault"
)

const recordV1 = `{"schema":1,"version":3,"name":"swapbay","slot_count":64,"domains":["a","b"],
 "servers":[{"id":"s1","failure_domain":"a","address":"127.0.0.1:9001","slots":6,"connections":130,"checks":true}],
 "rules":[{"methods":["POST"],"path_prefix":"/listings","non_idempotent":true,"key_prefix":"/listings/"}]}`

const recordV2 = `{"schema":2,"version":4,"name":"swapbay","slot_count":64,"domains":["a","b"],
 "servers":[{"id":"s1","failure_domain":"a","address":"127.0.0.1:9001","slots":6,"connections":130,"checks":true}],
 "rules":[{"key_prefix":"/listings/","key_prefix_aliases":["/l/"],"timeout_ms":9000,"class":"deferred"}]}`

func mustDecode(t testing.TB, text string) *Service {
	t.Helper()
	s, err := Decode([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func TestBothSchemasDecodeToNewestForm(t *testing.T) {
	one, two := mustDecode(t, recordV1), mustDecode(t, recordV2)
	if one.Rules[0].KeyPrefix != "/listings/" || !one.Rules[0].NonIdempotent {
		t.Errorf("schema 1: got rule %+v, want key prefix /listings/, non-idempotent", one.Rules[0])
	}
	if two.Rules[0].KeyPrefixAliases[0] != "/l/" || two.Rules[0].Timeout != 9000 {
		t.Errorf("schema 2: got rule %+v, want alias /l/, timeout 9000", two.Rules[0])
	}
}

func TestEncodeWritesTheOldestSchemaThatHoldsTheRecord(t *testing.T) {
	two := mustDecode(t, recordV2)
	data, err := Encode(two)
	if err != nil || !bytes.Contains(data, []byte(`"schema":2`)) {
		t.Fatalf("encode: got %s, error %v, want schema 2", data, err)
	}
	if again := mustDecode(t, string(data)); !reflect.DeepEqual(again, two) {
		t.Errorf("decode again: got %+v, want %+v", again, two)
	}
	plain := *two
	plain.Rules = []Rule{{KeyPrefix: "/l/"}}
	data, err = Encode(&plain)
	if err != nil || !bytes.Contains(data, []byte(`"schema":1`)) {
		t.Fatalf("encode: got %s, error %v, want schema 1", data, err)
	}
}

// TestNoFieldLostBetweenSchemas encodes and decodes a record with every field of
// schema 1 set, and one with every field of schema 2.
func TestNoFieldLostBetweenSchemas(t *testing.T) {
	for _, schema := range ReadableSchemas() {
		want := &Service{}
		fill(reflect.ValueOf(want).Elem())
		want.Schema = schema
		if schema == Schema1 {
			want.Rules[0].KeyPrefixAliases, want.Rules[0].Timeout = nil, 0
		}
		data, err := Encode(want)
		if err != nil {
			t.Fatal(err)
		}
		got, problems := decodeSchema(schema, data)
		if len(problems) > 0 || !reflect.DeepEqual(got, want) {
			t.Errorf("schema %d: got %+v, want %+v; problems %v", schema, got, want, problems)
		}
	}
}

// fill sets every field to a non-zero value.
func fill(v reflect.Value) {
	switch v.Kind() {
	case reflect.Struct:
		for i := range v.NumField() {
			fill(v.Field(i))
		}
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 1, 1))
		fill(v.Index(0))
	case reflect.String:
		v.SetString("x")
	case reflect.Bool:
		v.SetBool(true)
	case reflect.Int, reflect.Int64:
		v.SetInt(7)
	default:
		v.SetUint(7)
	}
}

func TestInvalidRecordRefusedNamingField(t *testing.T) {
	cases := []struct{ name, text, want string }{
		{"schema 3", strings.Replace(recordV1, `"schema":1`, `"schema":3`, 1), "schema: 3: want a schema that this release reads: 1 or 2"},
		{"no schema", strings.Replace(recordV1, `"schema":1,`, ``, 1), "schema: 0: want"},
		{"schema 2 field in schema 1", strings.Replace(recordV2, `"schema":2`, `"schema":1`, 1), "rules[0].key_prefix_aliases: unknown field"},
		{"unknown field", strings.Replace(recordV1, `"slots"`, `"slotz"`, 1), "servers[0].slotz: unknown field: want one of address"},
		{"wrong type", strings.Replace(recordV1, `"slot_count":64`, `"slot_count":"64"`, 1), `slot_count: "64": want a whole number from 0`},
		{"name with capitals", strings.Replace(recordV1, `"swapbay"`, `"SwapBay"`, 1), `name: "SwapBay": want 1 to 64 lower case`},
		{"slot count 0", strings.Replace(recordV1, `:64`, `:0`, 1), "slot_count: 0: want 1 to 65536 slots"},
		{"slot count over", strings.Replace(recordV1, `:64`, `:65537`, 1), "slot_count: 65537"},
		{"no domain", strings.Replace(recordV1, `["a","b"]`, `[]`, 1), "domains: want at least one"},
		{"duplicate domain", strings.Replace(recordV1, `["a","b"]`, `["a","a"]`, 1), `domains[1]: "a": want each failure domain once`},
		{"unknown domain", strings.Replace(recordV1, `"failure_domain":"a"`, `"failure_domain":"c"`, 1), `servers[0].failure_domain: "c": want one of the record's domains: a, b`},
		{"host name", strings.Replace(recordV1, `127.0.0.1:9001`, `s1:9001`, 1), `servers[0].address: "s1:9001": want IP:port`},
		{"no slots", strings.Replace(recordV1, `"slots":6`, `"slots":0`, 1), "servers[0].slots: 0: want 1 to 65536 requests at once"},
		{"method", strings.Replace(recordV1, `["POST"]`, `["post"]`, 1), `rules[0].methods[0]: "post": want an HTTP method`},
		{"prefix", strings.Replace(recordV1, `"path_prefix":"/listings"`, `"path_prefix":"listings"`, 1), `rules[0].path_prefix: "listings"`},
		{"key prefix", strings.Replace(recordV1, `"key_prefix":"/listings/"`, `"key_prefix":"/listings"`, 1), `rules[0].key_prefix: "/listings"`},
		{"both idempotent and not", strings.Replace(recordV1, `"non_idempotent":true`, `"non_idempotent":true,"idempotent":true`, 1), "rules[0].idempotent: true: want it or non_idempotent"},
		{"class", strings.Replace(recordV2, `deferred`, `later`, 1), `rules[0].class: "later": want "interactive" or "deferred"`},
		{"negative timeout", strings.Replace(recordV2, `9000`, `-1`, 1), "rules[0].timeout_ms: -1: want 0 to 60000 milliseconds"},
		{"alias twice", strings.Replace(recordV2, `["/l/"]`, `["/l/","/l/"]`, 1), "rules[0].key_prefix_aliases[1]"},
		{"isolation", strings.Replace(recordV1, `"slot_count"`, `"isolation":"maybe","slot_count"`, 1), `isolation: "maybe": want "keep" or "move"`},
		{"limits", strings.Replace(recordV1, `"slot_count"`, `"limits":{"default_timeout_ms":9,"max_timeout_ms":8},"slot_count"`, 1), "limits.default_timeout_ms: 9: want at most"},
		{"not JSON", `{"schema":1,`, "well-formed JSON"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, err := Decode([]byte(c.text))
			if err == nil || !strings.Contains(err.Error(), c.want) {
				t.Fatalf("got %v, want it to say %q", err, c.want)
			}
			if fault.KindOf(err) != fault.ConfigInvalid {
				t.Errorf("got kind %s, want ConfigInvalid", fault.KindOf(err))
			}
		})
	}
}

func TestEveryProblemOfARecordIsReported(t *testing.T) {
	text := strings.NewReplacer(`"version":3`, `"version":0`, `:64`, `:0`, `:9001`, `:0`, `POST`, `p`).Replace(recordV1)
	_, err := Decode([]byte(text))
	if err == nil || !strings.Contains(err.Error(), "4 problems") {
		t.Fatal(err)
	}
}

func TestChangeMovingKeysToOtherSlotsRefused(t *testing.T) {
	before := mustDecode(t, recordV1)
	cases := []struct {
		name string
		edit func(*Service)
		want string
	}{
		{"same version", func(s *Service) { s.Version = 3 }, "version: 3: want 4"},
		{"version skipped", func(s *Service) { s.Version = 5 }, "version: 5: want 4"},
		{"slot count", func(s *Service) { s.SlotCount = 128 }, "slot_count: 128: want 64"},
		{"domain order", func(s *Service) { s.Domains = []string{"b", "a"} }, "domains: b, a: want a, b"},
		{"name", func(s *Service) { s.Name = "other" }, `name: "other"`},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			next := *before
			next.Version = 4
			c.edit(&next)
			err := ValidateChange(before, &next)
			if err == nil || !strings.Contains(err.Error(), c.want) {
				t.Fatalf("got %v, want it to say %q", err, c.want)
			}
		})
	}
	next := *before
	next.Version = 4
	if err := ValidateChange(before, &next); err != nil {
		t.Error(err)
	}
	if err := ValidateChange(nil, &next); err == nil {
		t.Error("got no error for a new record at version 4")
	}
}
