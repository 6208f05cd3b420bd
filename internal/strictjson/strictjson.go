// Package strictjson checks a JSON document against a Go type before it is decoded.
// It reports all unknown and duplicate fields, wrong types and numbers out of range,
// each with its path. In contrast, encoding/json reports only the first error,
// matches names case-insensitively and uses the last of duplicate fields, and
// go-zero's conf ignores unknown fields.
package strictjson

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"reflect"
	"sort"
	"strconv"
	"strings"
	"sync"
)

// Problem is one error in a document.
type Problem struct {
	Field string `json:"field,omitempty"` // path such as servers[2].address; empty: the document as a whole
	Value string `json:"value,omitempty"` // as in the document, possibly truncated
	Want  string `json:"want,omitempty"`  // what is allowed; empty: Value describes the problem
}

// String returns the field, the value and what is allowed.
func (p Problem) String() string {
	field := p.Field
	if field == "" {
		field = "document"
	}
	if p.Want == "" {
		return fmt.Sprintf("%s: %s", field, p.Value)
	}
	if p.Value == "" {
		return fmt.Sprintf("%s: want %s", field, p.Want)
	}
	return fmt.Sprintf("%s: %s: want %s", field, p.Value, p.Want)
}

// Decode checks data against the type that into points to and, if there are no
// problems, decodes data into it.
func Decode(data []byte, into any) []Problem {
	problems := Check(data, reflect.TypeOf(into).Elem())
	if len(problems) > 0 {
		return problems
	}
	if err := json.Unmarshal(data, into); err != nil {
		return []Problem{{Want: "JSON of the documented form (" + err.Error() + ")"}}
	}
	return nil
}

// Check returns every problem of data with respect to a type. It stops at the first
// syntax error, as nothing after it can be parsed.
func Check(data []byte, t reflect.Type) []Problem {
	c := &checker{data: data, dec: json.NewDecoder(bytes.NewReader(data))}
	c.dec.UseNumber()
	if err := c.value("", t); err != nil {
		c.syntax(err)
		return c.problems
	}
	if _, err := c.dec.Token(); err != io.EOF {
		c.add("", "more text after the document", "one JSON document")
	}
	return c.problems
}

// maxShown bounds how much of a value Quote includes, in bytes.
const maxShown = 60

// Quote returns a value quoted, and truncated if long, for a message.
func Quote(value string) string {
	if len(value) > maxShown {
		return strconv.Quote(value[:maxShown]) + "..."
	}
	return strconv.Quote(value)
}

type checker struct {
	data     []byte
	dec      *json.Decoder
	problems []Problem
}

func (c *checker) add(field, value, want string) {
	c.problems = append(c.problems, Problem{Field: field, Value: value, Want: want})
}

func (c *checker) syntax(err error) {
	offset := int(c.dec.InputOffset())
	if s, ok := err.(*json.SyntaxError); ok {
		offset = int(s.Offset)
	}
	line := 1 + bytes.Count(c.data[:min(offset, len(c.data))], []byte("\n"))
	c.add("", fmt.Sprintf("line %d: %v", line, err), "well-formed JSON")
}

var rawMessage = reflect.TypeFor[json.RawMessage]()

// value checks the next value against t. It returns an error only if it can't
// continue, such as a syntax error.
func (c *checker) value(path string, t reflect.Type) error {
	if t == rawMessage {
		var raw json.RawMessage
		return c.dec.Decode(&raw)
	}
	token, err := c.dec.Token()
	if err != nil {
		return err
	}
	switch t.Kind() {
	case reflect.Struct:
		return c.object(path, t, token)
	case reflect.Map:
		return c.mapValue(path, t, token)
	case reflect.Slice:
		return c.list(path, t, token)
	default:
		return c.scalar(path, t, token)
	}
}

func (c *checker) object(path string, t reflect.Type, token json.Token) error {
	if token != json.Delim('{') {
		return c.mismatch(path, token, "an object")
	}
	fields := fieldsOf(t)
	seen := make(map[string]bool)
	for c.dec.More() {
		name, err := c.name()
		if err != nil {
			return err
		}
		at := join(path, name)
		if seen[name] {
			c.add(at, "given twice", "each field once")
		}
		seen[name] = true
		ft, known := fields[name]
		if !known {
			c.add(at, "unknown field", "one of "+strings.Join(names(fields), ", "))
			ft = rawMessage
		}
		if err := c.value(at, ft); err != nil {
			return err
		}
	}
	return c.end()
}

func (c *checker) mapValue(path string, t reflect.Type, token json.Token) error {
	if token != json.Delim('{') {
		return c.mismatch(path, token, "an object")
	}
	for c.dec.More() {
		name, err := c.name()
		if err != nil {
			return err
		}
		if err := c.value(join(path, name), t.Elem()); err != nil {
			return err
		}
	}
	return c.end()
}

func (c *checker) list(path string, t reflect.Type, token json.Token) error {
	if token != json.Delim('[') {
		return c.mismatch(path, token, "a list")
	}
	for i := 0; c.dec.More(); i++ {
		if err := c.value(fmt.Sprintf("%s[%d]", path, i), t.Elem()); err != nil {
			return err
		}
	}
	return c.end()
}

func (c *checker) scalar(path string, t reflect.Type, token json.Token) error {
	number, isNumber := token.(json.Number)
	switch t.Kind() {
	case reflect.String:
		if _, ok := token.(string); !ok {
			return c.mismatch(path, token, "a string")
		}
	case reflect.Bool:
		if _, ok := token.(bool); !ok {
			return c.mismatch(path, token, "true or false")
		}
	case reflect.Int, reflect.Int32, reflect.Int64:
		if !isNumber {
			return c.mismatch(path, token, "a whole number")
		}
		if _, err := strconv.ParseInt(number.String(), 10, t.Bits()); err != nil {
			c.add(path, number.String(), "a whole number of "+strconv.Itoa(t.Bits())+" bits")
		}
	case reflect.Uint32, reflect.Uint64:
		if !isNumber {
			return c.mismatch(path, token, "a whole number from 0")
		}
		if _, err := strconv.ParseUint(number.String(), 10, t.Bits()); err != nil {
			c.add(path, number.String(), "a whole number from 0, of "+strconv.Itoa(t.Bits())+" bits")
		}
	case reflect.Float64:
		if !isNumber {
			return c.mismatch(path, token, "a number")
		}
		if _, err := number.Float64(); err != nil {
			c.add(path, number.String(), "a number of 64 bits")
		}
	default:
		return fmt.Errorf("type %s is not supported", t)
	}
	return nil
}

// mismatch reports a value of the wrong type and skips it.
func (c *checker) mismatch(path string, token json.Token, want string) error {
	c.add(path, describe(token), want)
	if _, opens := token.(json.Delim); !opens {
		return nil
	}
	for depth := 1; depth > 0; {
		next, err := c.dec.Token()
		if err != nil {
			return err
		}
		switch next {
		case json.Delim('{'), json.Delim('['):
			depth++
		case json.Delim('}'), json.Delim(']'):
			depth--
		}
	}
	return nil
}

func (c *checker) name() (string, error) {
	token, err := c.dec.Token()
	if err != nil {
		return "", err
	}
	name, ok := token.(string)
	if !ok {
		return "", fmt.Errorf("field name %v is not a string", token)
	}
	return name, nil
}

func (c *checker) end() error {
	_, err := c.dec.Token()
	return err
}

func describe(token json.Token) string {
	switch v := token.(type) {
	case nil:
		return "null"
	case string:
		return Quote(v)
	case json.Delim:
		if v == '{' {
			return "an object"
		}
		return "a list"
	default:
		return fmt.Sprint(v)
	}
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

// fieldsByType caches the result of readFields.
var fieldsByType sync.Map // reflect.Type -> map[string]reflect.Type

// fieldsOf returns the fields of a struct type by JSON name, including those of
// embedded structs.
func fieldsOf(t reflect.Type) map[string]reflect.Type {
	if fields, ok := fieldsByType.Load(t); ok {
		return fields.(map[string]reflect.Type)
	}
	fields := readFields(t)
	fieldsByType.Store(t, fields)
	return fields
}

func readFields(t reflect.Type) map[string]reflect.Type {
	fields := make(map[string]reflect.Type, t.NumField())
	for i := range t.NumField() {
		if t.Field(i).Anonymous {
			maps.Copy(fields, fieldsOf(t.Field(i).Type))
			continue
		}
		name, _, _ := strings.Cut(t.Field(i).Tag.Get("json"), ",")
		if name != "" && name != "-" {
			fields[name] = t.Field(i).Type
		}
	}
	return fields
}

func names(fields map[string]reflect.Type) []string {
	list := make([]string, 0, len(fields))
	for name := range fields {
		list = append(list, name)
	}
	sort.Strings(list)
	return list
}
