package settings

import (
	"encoding/json"
	"reflect"
	"testing"
)

// FuzzSettings holds for any input: it is refused with problems that say
// something, or it is valid and reads back equal.
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
					t.Fatalf("%q has a problem that says nothing: %+v", data, p)
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
			t.Fatalf("%s reads back as %+v, %v", again, back, problems)
		}
	})
}
