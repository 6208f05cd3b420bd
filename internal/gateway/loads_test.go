package gateway

import (
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"kumquatcleat/internal/keyspace"
)

// What the coordinator answers to a report bounds busy keys, for a few reports.
func TestSharesComeWithReports(t *testing.T) {
	shares := []keyspace.KeyShare{{Service: "svc", Key: 7, Share: 0.2}}
	coordinator := newLoads(testSettings("c", "a"), func(keyspace.Report) []keyspace.KeyShare { return shares }, nil)
	coordinating := true
	coordinator.coordinates = func() bool { return coordinating }
	server := httptest.NewServer((&exchange{loads: coordinator}).mux())
	defer server.Close()
	vm := newLoads(testSettings("vm", "a"), nil, nil)
	to := strings.TrimPrefix(server.URL, "http://")
	if !vm.send(t.Context(), to, keyspace.Report{}) || vm.share("svc", 7) != 0.2 || vm.share("svc", 8) != 1 {
		t.Fatalf("shares %v", vm.shares)
	}
	vm.sharesUntil = time.Now()
	if vm.share("svc", 7) != 1 {
		t.Fatal("old word of the coordinator still counts")
	}
	coordinating = false
	if vm.send(t.Context(), to, keyspace.Report{}) {
		t.Fatal("a VM that does not coordinate took the report")
	}
}
