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

// eventually waits up to 10 s for a condition.
func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); !condition(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("timed out after 10 s waiting for %s", what)
		}
	}
}

// An unreachable seed, for example one without power, must not keep a starting VM from
// a seed that runs: the VM tries its seeds in turn, with a short dial timeout.
func TestUnreachableSeedDoesNotBlockStartup(t *testing.T) {
	reader, config := newTestViewSync(t)
	config.Replace(rows.Page{Version: 3, Rows: []rows.Row{{Key: "c", Version: 3, Value: []byte("x")}}})
	server := httptest.NewServer(reader.mux())
	defer server.Close()
	// Documentation addresses (RFC 5737): connections to them get no response.
	const unreachable1, unreachable2 = "192.0.2.1:1", "192.0.2.2:1"
	running := strings.TrimPrefix(server.URL, "http://")
	for range 3 {
		s := testSettings("vm-0", "a")
		s.IP, s.Seeds = "", []string{unreachable1, running, unreachable2}
		p := newPeers(s, nil)
		asked := map[string]bool{}
		for range s.Seeds {
			first, _ := p.sources(time.Now())
			asked[first.address] = true
		}
		if len(asked) != len(s.Seeds) {
			t.Fatalf("got requests to seeds %v, want one to each of %v", asked, s.Seeds)
		}
	}
	if seedDialTimeout*2 >= firstSourceWait {
		t.Errorf("two unreachable seeds delay a starting VM for %v, want less than firstSourceWait", 2*seedDialTimeout)
	}
}

// The first reader of a domain copies the owners records from the coordinator. It must
// return to the store once that VM is no longer the coordinator: its records may be old.
func TestFirstReaderStopsFollowingFormerCoordinator(t *testing.T) {
	coordinator, _ := newTestViewSync(t)
	var coordinating atomic.Bool
	coordinating.Store(true)
	coordinator.isCoordinator = coordinating.Load
	keys := coordinator.set.Add("records", 10)
	keys.Replace(rows.Page{Version: 3, Rows: []rows.Row{{Key: "svc", Version: 3, Value: []byte("x")}}})
	server := httptest.NewServer(coordinator.mux())
	defer server.Close()

	reader, config := newTestViewSync(t)
	copied := reader.set.Add("records", 10)
	reader.coordinatorAddress = func() string { return strings.TrimPrefix(server.URL, "http://") }
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go reader.followCoordinator(ctx, "records")
	eventually(t, "the record to reach the reader", func() bool { return string(copied.Row("svc").Value) == "x" && reader.followsCoordinator.Load() })
	keys.Apply(rows.Page{Version: 4, Rows: []rows.Row{{Key: "svc", Version: 4, Value: []byte("y")}}})
	eventually(t, "the next record to reach the reader", func() bool { return string(copied.Row("svc").Value) == "y" })
	if config.Synced() {
		t.Error("got the config table from the coordinator, want only the owners records")
	}
	coordinating.Store(false)
	eventually(t, "the reader to return to the store", func() bool { return !reader.followsCoordinator.Load() })
}
