package config

import (
	"reflect"
	"strings"
	"testing"

	"kumquatcleat/internal/fault"
)

// FuzzDecode holds for any input: it is refused as invalid, or it reads back
// equal after Encode, and its slots and groups can be worked out.
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
				t.Fatalf("kind %s: %v", fault.KindOf(err), err)
			}
			return
		}
		again, err := Encode(s)
		if err != nil {
			t.Fatal(err)
		}
		back, err := Decode(again)
		if err != nil {
			t.Fatalf("%s does not read back: %v", again, err)
		}
		if differences, err := Diff(s, back); err != nil || len(differences) > 0 {
			t.Fatalf("read back with differences %v, %v", differences, err)
		}
		for _, group := range s.Groups() {
			if parsed, err := ParseGroupID(group.String()); err != nil || parsed != group {
				t.Fatalf("group %v: %v, %v", group, parsed, err)
			}
		}
	})
}

// FuzzParseGroupID holds for any input: a group that is accepted is written as
// it was read, so that two texts never name one group.
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
			t.Fatalf("%q reads as %+v, which is written %q", text, g, g.String())
		}
		back, err := ParseGroupID(g.String())
		if err != nil || !reflect.DeepEqual(back, g) {
			t.Fatalf("%+v, %v", back, err)
		}
	})
}
