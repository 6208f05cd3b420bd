package gateway

import (
	"context"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"kumquatcleat/internal/rows"
)

func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); !holds(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%s did not come about", what)
		}
	}
}

// A VM that starts asks its seeds in turn and soon, so that one that has no power yet
// does not keep it from another that runs.
func TestSeedsAreAskedInTurn(t *testing.T) {
	reader, config := newTestExchange(t)
	config.Replace(rows.Page{Version: 3, Rows: []rows.Row{{Key: "c", Version: 3, Value: []byte("x")}}})
	server := httptest.NewServer(reader.mux())
	defer server.Close()
	// Addresses for documentation: nothing there answers a connection.
	const silent, alsoSilent = "192.0.2.1:1", "192.0.2.2:1"
	running := strings.TrimPrefix(server.URL, "http://")
	for range 3 {
		s := testSettings("vm-0", "a")
		s.IP, s.Seeds = "", []string{silent, running, alsoSilent}
		p := newPeers(s, nil)
		asked := map[string]bool{}
		for range s.Seeds {
			first, _ := p.sources(time.Now())
			asked[first.address] = true
		}
		if len(asked) != len(s.Seeds) {
			t.Fatalf("asked %v of %v", asked, s.Seeds)
		}
	}
	if seedDialTimeout*2 >= firstWait {
		t.Errorf("two seeds without power keep a VM for %v", 2*seedDialTimeout)
	}
}

// A domain's first reader takes records of owners from the VM that writes them, and
// reads the store again once that VM coordinates no more: it may know old ones.
func TestFirstReaderFollowsTheCoordinator(t *testing.T) {
	coordinator, _ := newTestExchange(t)
	var coordinating atomic.Bool
	coordinating.Store(true)
	coordinator.coordinates = coordinating.Load
	keys := coordinator.set.Add("records", 10)
	keys.Replace(rows.Page{Version: 3, Rows: []rows.Row{{Key: "svc", Version: 3, Value: []byte("x")}}})
	server := httptest.NewServer(coordinator.mux())
	defer server.Close()

	reader, config := newTestExchange(t)
	copied := reader.set.Add("records", 10)
	reader.coordinator = func() string { return strings.TrimPrefix(server.URL, "http://") }
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go reader.runKeys(ctx, "records")
	eventually(t, "the record at the reader", func() bool { return string(copied.Row("svc").Value) == "x" && reader.followsKeys.Load() })
	keys.Apply(rows.Page{Version: 4, Rows: []rows.Row{{Key: "svc", Version: 4, Value: []byte("y")}}})
	eventually(t, "the next record at the reader", func() bool { return string(copied.Row("svc").Value) == "y" })
	if config.Synced() {
		t.Error("other tables were taken from the coordinator")
	}
	coordinating.Store(false)
	eventually(t, "the return to the store", func() bool { return !reader.followsKeys.Load() })
}
