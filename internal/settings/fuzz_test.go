package settings

import (
	"encoding/json"
	"reflect"
	"testing"
)

// FuzzSettings checks that any input is refused with non-empty problems or survives a
// round trip through JSON.
func FuzzSettings(f *testing.F) {
	f.Add([]byte(`{` + minimal + `}`))
	f.Add([]byte(`{` + minimal + `,"timing":{"lease_ms":2000},"limits":{"backoff":0.5}}`))
	f.Add([]byte(`{` + minimal + `,"embedded":true,"log_level":"debug","placement":{"tolerance":1e-3}}`))
	f.Add([]byte(`{"id":1,"timing":[],"limits":null}`))
	f.Add([]byte(`{"listen":"[::1]:80"}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		s, problems := Parse(data)
		if len(problems) > 0 {
			for _, p := range problems {
				if p.Value == "" && p.Want == "" {
					t.Fatalf("parse %q: got empty problem %+v", data, p)
				}
			}
			return
		}
		again, err := json.Marshal(s)
		if err != nil {
			t.Fatal(err)
		}
		back, problems := Parse(again)
		if len(problems) > 0 || !reflect.DeepEqual(back, s) {
			t.Fatalf("parse %s: got %+v, problems %v, want the settings unchanged", again, back, problems)
		}
	})
}
