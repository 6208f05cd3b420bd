package config

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
)

// Difference is one field whose value differs between two records.
type Difference struct {
	Field  string `json:"field"`            // path; a server is identified by its id
	Before string `json:"before,omitempty"` // JSON; empty: the field is absent
	After  string `json:"after,omitempty"`
}

// String returns the difference as one line.
func (d Difference) String() string {
	return fmt.Sprintf("%s: %s -> %s", d.Field, valueOrAbsent(d.Before), valueOrAbsent(d.After))
}

func valueOrAbsent(value string) string {
	if value == "" {
		return "absent"
	}
	return value
}

// Diff returns the fields in which two records differ, ordered by path. Either
// may be nil. The order of servers is ignored; that of rules is not.
func Diff(before, after *Service) ([]Difference, error) {
	old, err := flatten(before)
	if err != nil {
		return nil, err
	}
	now, err := flatten(after)
	if err != nil {
		return nil, err
	}
	var out []Difference
	for path, value := range old {
		if now[path] != value {
			out = append(out, Difference{Field: path, Before: value, After: now[path]})
		}
	}
	for path, value := range now {
		if _, both := old[path]; !both {
			out = append(out, Difference{Field: path, After: value})
		}
	}
	slices.SortFunc(out, func(a, b Difference) int { return strings.Compare(a.Field, b.Field) })
	return out, nil
}

// leaves maps the path of each scalar in a record to its JSON.
type leaves map[string]string

func flatten(s *Service) (leaves, error) {
	out := make(leaves)
	if s == nil {
		return out, nil
	}
	// Use the newest schema on both sides: a change of schema alone is not a difference.
	newest := *s
	newest.Schema = NewestSchema
	data, err := json.Marshal(&newest)
	if err != nil {
		return nil, fmt.Errorf("record %q: %w", s.Name, err)
	}
	return out, out.add("", data)
}

// add records the scalars of a JSON value under a path.
func (l leaves) add(path string, data json.RawMessage) error {
	switch data = bytes.TrimSpace(data); {
	case bytes.HasPrefix(data, []byte("{")):
		return l.addObject(path, data)
	case bytes.HasPrefix(data, []byte("[")):
		return l.addList(path, data)
	default:
		l[path] = string(data)
		return nil
	}
}

func (l leaves) addObject(path string, data json.RawMessage) error {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(data, &fields); err != nil {
		return err
	}
	for name, value := range fields {
		at := name
		if path != "" {
			at = path + "." + name
		}
		if err := l.add(at, value); err != nil {
			return err
		}
	}
	return nil
}

func (l leaves) addList(path string, data json.RawMessage) error {
	var items []json.RawMessage
	if err := json.Unmarshal(data, &items); err != nil {
		return err
	}
	for i, item := range items {
		if err := l.add(fmt.Sprintf("%s[%s]", path, itemName(i, item)), item); err != nil {
			return err
		}
	}
	return nil
}

// itemName returns the id of a list item, or its index if it has none.
func itemName(index int, item json.RawMessage) string {
	var named struct {
		ID string `json:"id"`
	}
	if json.Unmarshal(item, &named) == nil && named.ID != "" {
		return named.ID
	}
	return fmt.Sprint(index)
}
