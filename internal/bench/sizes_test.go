package bench

import (
	"flag"
	"os"
	"path/filepath"
	"slices"
	"testing"

	"kumquatcleat/internal/config"
)

// update rewrites the example records: go test ./internal/bench -run Examples -update
var update = flag.Bool("update", false, "rewrite examples")

const examplesNet = 0

func TestExamplesMatchTheRecordsOfTheirSizes(t *testing.T) {
	for _, size := range sizes {
		if size.Name == "small" {
			continue
		}
		for _, record := range size.Records(examplesNet) {
			path := filepath.Join("..", "..", "examples", size.Name, record.Name+".json")
			if *update {
				if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
					t.Fatal(err)
				}
				if err := saveJSON(path, record); err != nil {
					t.Fatal(err)
				}
			}
			data, err := os.ReadFile(path)
			if err != nil {
				t.Fatal(err)
			}
			shipped, err := config.Decode(data)
			if err != nil {
				t.Fatal(err)
			}
			want, _ := config.Encode(record)
			got, _ := config.Encode(shipped)
			if string(got) != string(want) {
				t.Errorf("%s differs from the record of its size; run with -update", path)
			}
		}
	}
}

func TestShippedScenariosMatchTheirSizes(t *testing.T) {
	files, err := filepath.Glob("../../scenarios/*.json")
	if err != nil || len(files) == 0 {
		t.Fatalf("no scenario files found: %v", err)
	}
	for _, file := range files {
		data, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		s, err := ParseScenario(data)
		if err != nil {
			t.Fatalf("%s: %v", file, err)
		}
		if !fitsSomeSize(s) {
			t.Errorf("%s: no size has all services, servers and VMs of the scenario", file)
		}
	}
}

// fitsSomeSize reports whether some size has everything that a scenario names.
func fitsSomeSize(s *Scenario) bool {
	for _, size := range sizes {
		names := map[string]bool{namePlatform: true}
		for _, record := range size.Records(examplesNet) {
			names[record.Name] = true
			for _, server := range record.Servers {
				names[server.ID] = true
			}
		}
		for _, vm := range size.VMs(examplesNet) {
			names[vm.ID] = true
		}
		fits := true
		for _, traffic := range s.Services {
			fits = fits && names[traffic.Service]
		}
		for _, fault := range s.Faults {
			fits = fits && (names[fault.Process] || names[fault.Standin] || fault.Cut != nil && (fault.Cut.Domain == "" || slices.Contains(size.Domains, fault.Cut.Domain)))
		}
		if fits {
			return true
		}
	}
	return false
}
