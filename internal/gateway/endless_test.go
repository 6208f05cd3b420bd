package gateway

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"kumquatcleat/internal/endless"
	"kumquatcleat/internal/rows"
)

// A VM that sends a response without end costs a follower a bounded heap.
func TestEndlessResponseOfPeerIsCut(t *testing.T) {
	endless.CheckClient(t, "", func(t *testing.T, address string) error {
		follower, _ := newTestViewSync(t)
		_, err := follower.ask(context.Background(), &peer{name: "reader", address: address}, map[string]uint64{}, 3*time.Second, 0)
		return err
	})
}

// repeated is a reader that returns the same text without end.
type repeated string

// Read implements io.Reader.
func (r repeated) Read(p []byte) (int, error) {
	for n := 0; n < len(p); {
		n += copy(p[n:], r)
	}
	return len(p), nil
}

// Requests of other VMs without end are cut, at each path.
func TestEndlessRequestOfPeerIsCut(t *testing.T) {
	s, _ := newTestViewSync(t)
	for _, path := range []string{pathUpdates, pathLoads, pathStandby} {
		for name, body := range map[string]io.Reader{
			"string": io.MultiReader(strings.NewReader(`{"after":{"`), repeated("a")),
			"list":   io.MultiReader(strings.NewReader(`{"after":[`), repeated("{},")),
			"spaces": repeated(" "),
		} {
			t.Run(path+" "+name, func(t *testing.T) {
				w := httptest.NewRecorder()
				endless.Check(t, func() {
					s.mux().ServeHTTP(w, httptest.NewRequest(http.MethodPost, path, body))
				})
				if w.Code != http.StatusBadRequest {
					t.Errorf("got status %d, want 400", w.Code)
				}
			})
		}
	}
}

// Compressed values expand up to a thousandfold, and a response may hold many.
func TestValuesThatExpandWithoutEndAreRejected(t *testing.T) {
	value, err := compress(make([]byte, 4<<20))
	if err != nil {
		t.Fatal(err)
	}
	answer := updatesAnswer{Updates: []rows.Update{{Page: rows.Page{Rows: make([]rows.Row, 64)}}}}
	for i := range 64 {
		answer.Packed = append(answer.Packed, packedValue{Row: i, Value: bytes.Clone(value)})
	}
	unpacked := 0
	if err := answer.unpack(); err == nil {
		t.Error("got no error for 256 MB of values, want one")
	}
	for _, row := range answer.Updates[0].Page.Rows {
		unpacked += len(row.Value)
	}
	if unpacked > maxUnpackedBytes {
		t.Errorf("got %d bytes unpacked, want at most %d", unpacked, maxUnpackedBytes)
	}
}
