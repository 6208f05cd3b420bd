package gateway

import (
	"net/http/httptest"
	"strings"
	"testing"

	"kumquatcleat/internal/keyspace"
)

// A VM that coordinates no more refuses reports, and the second one in a row that is
// not taken makes the reporting VM look for a coordinator.
func TestRefusedReportsAreSuspicious(t *testing.T) {
	taken := 0
	coordinator := newLoads(testSettings("c", "a"), func(keyspace.Report) { taken++ }, nil)
	coordinating := true
	coordinator.coordinates = func() bool { return coordinating }
	server := httptest.NewServer((&exchange{loads: coordinator}).mux())
	defer server.Close()
	to := strings.TrimPrefix(server.URL, "http://")
	suspicions := 0
	vm := newLoads(testSettings("vm", "a"), nil, nil)
	vm.lost = func() { suspicions++ }
	for _, step := range []struct {
		coordinating bool
		suspicions   int
	}{{true, 0}, {false, 0}, {true, 0}, {false, 0}, {false, 1}} {
		coordinating = step.coordinating
		vm.note(vm.send(t.Context(), to, keyspace.Report{}))
		if suspicions != step.suspicions {
			t.Fatalf("%+v: %d suspicions", step, suspicions)
		}
	}
	if taken != 2 {
		t.Fatalf("%d reports taken, want 2", taken)
	}
}
