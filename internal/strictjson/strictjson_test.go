package strictjson

import (
	"encoding/json"
	"fmt"
	"reflect"
	"strings"
	"testing"
)

type inner struct {
	Count uint32  `json:"count"`
	Share float64 `json:"share"`
}

type outer struct {
	Name   string            `json:"name"`
	On     bool              `json:"on"`
	Delta  int64             `json:"delta"`
	Items  []inner           `json:"items"`
	ByName map[string]uint64 `json:"by_name"`
	Raw    json.RawMessage   `json:"raw"`
}

func TestEveryProblemReportedWithItsPath(t *testing.T) {
	text := `{"nam":1,"on":"yes","delta":1.5,"items":[{"count":-1},{"count":1,"count":2},7],
	 "by_name":{"x":"y"},"raw":{"any":[1]},"name":{"a":[1,{"b":2}]}}`
	got := fmt.Sprint(Check([]byte(text), reflect.TypeFor[outer]()))
	want := `[nam: unknown field: want one of by_name, delta, items, name, on, raw` +
		` on: "yes": want true or false delta: 1.5: want a whole number of 64 bits` +
		` items[0].count: -1: want a whole number from 0, of 32 bits items[1].count: given twice: want each field once` +
		` items[2]: 7: want an object by_name.x: "y": want a whole number from 0 name: an object: want a string]`
	if got != want {
		t.Errorf("got  %s\nwant %s", got, want)
	}
}

func TestSyntaxErrorReportsLine(t *testing.T) {
	for text, want := range map[string]string{
		"{\n\"on\": tru\n}":    "line 2",
		"{\"name\": \"x\"} {}": "more text after the document",
		"":                     "want well-formed JSON",
	} {
		if got := fmt.Sprint(Check([]byte(text), reflect.TypeFor[outer]())); !strings.Contains(got, want) {
			t.Errorf("%q: got %s, want %q", text, got, want)
		}
	}
}

// FuzzCheck checks that encoding/json decodes any input that Check accepts.
func FuzzCheck(f *testing.F) {
	f.Add([]byte(`{"name":"x","on":true,"delta":-3,"items":[{"count":4294967295,"share":1e-9}],"by_name":{"":1},"raw":null}`))
	f.Add([]byte(`{"delta":1e3,"items":[[]]}`))
	f.Add([]byte(`{"name":"\ud800","by_name":{"a":1,"a":2}}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		if problems := Check(data, reflect.TypeFor[outer]()); len(problems) > 0 {
			return
		}
		var into outer
		if err := json.Unmarshal(data, &into); err != nil {
			t.Fatalf("decode %q, which Check accepts: got error %v", data, err)
		}
	})
}
