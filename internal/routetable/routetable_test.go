package routetable

import (
	"math"
	"testing"
)

func TestMatchFindsLongestPrefix(t *testing.T) {
	table := Compile(Config{Routes: []Route{
		{Name: "short", Host: "H.example", Prefix: "/a/"}, {Name: "long", Host: "h.example", Prefix: "/a/b/"},
		{Name: "root", Host: "other", Prefix: "/"},
	}})
	for _, c := range []struct{ host, path, want string }{
		{"h.example", "/a/x", "short"}, {"h.example:80", "/a/b/x", "long"}, {"H.EXAMPLE", "/a/b/", "long"},
		{"h.example", "/a/b", "short"}, {"h.example", "/a", ""}, {"h.example", "/", ""}, {"h.example", "/ab/x", ""},
		{"other", "/anything", "root"}, {"nobody", "/a/x", ""},
	} {
		got := ""
		if r := table.Match(c.host, c.path); r != nil {
			got = r.Name
		}
		if got != c.want {
			t.Errorf("host %s, path %s: got route %q, want %q", c.host, c.path, got, c.want)
		}
	}
}

// Each service of a traffic split has to get its share, even of only a few hundred
// requests that arrive through several VMs.
func TestTrafficSplitFollowsWeights(t *testing.T) {
	weights := map[string]float64{"a": 90, "b": 7, "c": 3}
	var targets []Target
	for _, name := range []string{"a", "b", "c"} {
		targets = append(targets, Target{name, weights[name]})
	}
	const vms, requests = 12, 25
	counts := map[string]float64{}
	for vm := range vms {
		table := Compile(Config{Routes: []Route{{Host: "h", Prefix: "/", Targets: targets}}})
		for range requests {
			counts[table.Match("h", "/").Pick(float64(vm)/vms)]++
		}
	}
	for name, weight := range weights {
		if share := counts[name] / (vms * requests); math.Abs(share-weight/100) > 0.03 {
			t.Errorf("service %s: got share %.3f, want %.3f", name, share, weight/100)
		}
	}
}
