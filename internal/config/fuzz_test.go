package config

import (
	"reflect"
	"strings"
	"testing"

	"kumquatcleat/internal/fault"
)

// FuzzDecode checks that any input is refused with ConfigInvalid or survives a round
// trip through Encode, and that its group ids can be parsed.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(recordV1))
	f.Add([]byte(recordV2))
	f.Add([]byte(strings.Replace(recordV1, `"rules"`, `"limits":{"max_body_bytes":1},"rules"`, 1)))
	f.Add([]byte(`{"schema":1,"name":"a","name":"b"}`))
	f.Add([]byte(`{"schema":1e0}`))
	f.Add([]byte("{\"schema\":2,\"domains\":[[[{}]]],\"x\":null}"))
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := Decode(data)
		if err != nil {
			if fault.KindOf(err) != fault.ConfigInvalid || err.Error() == "" {
				t.Fatalf("got kind %s (error %v), want ConfigInvalid with a text", fault.KindOf(err), err)
			}
			return
		}
		again, err := Encode(s)
		if err != nil {
			t.Fatal(err)
		}
		back, err := Decode(again)
		if err != nil {
			t.Fatalf("decode %s: got error %v, want none", again, err)
		}
		if differences, err := Diff(s, back); err != nil || len(differences) > 0 {
			t.Fatalf("got differences %v, error %v after a round trip, want none", differences, err)
		}
		for _, group := range s.Groups() {
			if parsed, err := ParseGroupID(group.String()); err != nil || parsed != group {
				t.Fatalf("parse group %v: got %v, error %v", group, parsed, err)
			}
		}
	})
}

// FuzzParseGroupID checks that String returns exactly the text that ParseGroupID
// accepted, so that no two texts identify one group.
func FuzzParseGroupID(f *testing.F) {
	for _, seed := range []string{"swapbay/a/0", "a/b/-1", "a/b/00", "a/b/+1", "//", "a/b/c/d", "a/b/9223372036854775808"} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, text string) {
		g, err := ParseGroupID(text)
		if err != nil {
			return
		}
		if g.String() != text {
			t.Fatalf("parse %q: got %+v, whose String is %q", text, g, g.String())
		}
		back, err := ParseGroupID(g.String())
		if err != nil || !reflect.DeepEqual(back, g) {
			t.Fatalf("parse again: got %+v, error %v", back, err)
		}
	})
}
