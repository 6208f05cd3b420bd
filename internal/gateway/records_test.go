package gateway

import (
	"encoding/json"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"kumquatcleat/internal/keyspace"
	"kumquatcleat/internal/rows"
)

// vmWithRecord returns a VM that knows an owners record of a version, and serves other VMs.
func vmWithRecord(t *testing.T, name string, version uint64) (*viewSync, string) {
	t.Helper()
	s, _ := newTestViewSync(t)
	s.peers.settings = testSettings(name, "a")
	s.owners = keyspace.NewOwners()
	if version > 0 {
		s.owners.Apply([]rows.Row{{Key: "keyed", Version: version, Value: []byte(`{"ranges":[{"from":0,"to":9,"owner":{"server":"s","incarnation":1},"fence":0}]}`)}})
	}
	server := httptest.NewServer(s.mux())
	t.Cleanup(server.Close)
	return s, strings.TrimPrefix(server.URL, "http://")
}

// Guards against a coordinator that takes an old owners record for the last one: the VM that
// wrote the last one does not answer, or started again and has forgotten it.
func TestNewestRecordCountsOnlyIfAllVMsTellIt(t *testing.T) {
	const minUptime = 3 * time.Second
	for name, c := range map[string]struct {
		silent, young bool
		complete      bool
	}{
		"all answer":           {complete: true},
		"one does not answer":  {silent: true},
		"one has just started": {young: true},
	} {
		t.Run(name, func(t *testing.T) {
			asking, _ := vmWithRecord(t, "vm-0", 7)
			other, address := vmWithRecord(t, "vm-1", 9)
			asking.peers.startedAt, other.peers.startedAt = time.Now().Add(-time.Hour), time.Now().Add(-time.Hour)
			if c.young {
				other.peers.startedAt = time.Now().Add(-minUptime / 2)
			}
			if c.silent {
				address = "127.0.0.1:1"
			}
			row, err := json.Marshal(vmRow{PeerAddress: address, FailureDomain: "a"})
			if err != nil {
				t.Fatal(err)
			}
			asking.peers.apply([]rows.Row{{Key: "vm-1", Version: 1, Value: row}})
			if got := asking.askRecords(t.Context(), minUptime); got != c.complete {
				t.Errorf("got complete %v, want %v", got, c.complete)
			}
			want := uint64(9)
			if c.silent {
				want = 7
			}
			if got := asking.owners.Versions()["keyed"]; got != want {
				t.Errorf("got record version %d, want %d", got, want)
			}
		})
	}
}

// A coordinator that has just started may have forgotten the last record itself.
func TestYoungCoordinatorDoesNotKnowTheLastRecord(t *testing.T) {
	asking, _ := vmWithRecord(t, "vm-0", 7)
	asking.peers.startedAt = time.Now()
	if asking.askRecords(t.Context(), time.Second) {
		t.Error("a VM that has just started counts as one that knows all records")
	}
}
