package gateway

import (
	"strings"
	"testing"
	"time"

	"kumquatcleat/internal/registry"
	"kumquatcleat/internal/rows"
)

// gatewayOfServers returns a gateway that decodes registrations of the form "ready" or
// "draining", with an optional "@2" for the second incarnation.
func gatewayOfServers() *Gateway {
	return &Gateway{registry: registry.New(), adapter: Adapter{DecodeServer: func(id string, value []byte) (registry.Server, error) {
		state, second := strings.CutSuffix(string(value), "@2")
		s := registry.Server{ID: id, Service: "svc", Slots: 1, Incarnation: 1, Draining: state == "draining"}
		if second {
			s.Incarnation = 2
		}
		return s, nil
	}}}
}

func usable(g *Gateway) bool { return len(g.registry.Usable("svc")) > 0 }

// Guards against servers that get requests again after they left, because the store came
// back from a copy in which they had not.
func TestServerThatLeftIsNotUsedAfterRestore(t *testing.T) {
	const before, after = 1 << 32, 2 << 32 // versions of two eras of the store
	ready := rows.Row{Key: "s", Version: before | 10, Value: []byte("ready")}
	restored := rows.Row{Key: "s", Version: after | 10, Value: []byte("ready")}
	for name, left := range map[string]rows.Row{
		"drained":       {Key: "s", Version: before | 20, Value: []byte("draining")},
		"removed":       {Key: "s", Version: before | 20, Deleted: true},
		"started again": {Key: "s", Version: before | 20, Value: []byte("draining@2")},
	} {
		t.Run(name, func(t *testing.T) {
			g := gatewayOfServers()
			g.applyServers([]rows.Row{ready})
			g.applyServers([]rows.Row{left})
			g.applyServers([]rows.Row{restored})
			g.registry.Sweep(time.Now())
			if usable(g) {
				t.Error("a server that left is used again by its restored registration")
			}
			g.applyServers([]rows.Row{{Key: "s", Version: after | 30, Deleted: true}})
			g.registry.Sweep(time.Now().Add(time.Hour))
			if usable(g) {
				t.Error("a server that left is used after its restored registration is gone")
			}
			g.applyServers([]rows.Row{{Key: "s", Version: after | 40, Value: []byte("ready@2")}})
			if !usable(g) {
				t.Error("a server that started again is not used")
			}
		})
	}
}

// A server that is alive writes its registration again after the store was restored, or
// keeps it: it must not stay unused.
func TestLiveServerIsUsedAfterRestore(t *testing.T) {
	const before, after = 1 << 32, 2 << 32
	for name, c := range map[string]struct {
		rows []rows.Row
		wait time.Duration
	}{
		"known all along":               {[]rows.Row{{Key: "s", Version: after | 10, Value: []byte("ready")}}, 0},
		"expired, then writes again":    {[]rows.Row{{Key: "s", Version: before | 20, Deleted: true}, {Key: "s", Version: after | 10, Value: []byte("ready")}, {Key: "s", Version: after | 30, Value: []byte("ready")}}, 0},
		"expired, then only keeps it":   {[]rows.Row{{Key: "s", Version: before | 20, Deleted: true}, {Key: "s", Version: after | 10, Value: []byte("ready")}}, 10 * time.Second},
		"registered after the restore":  {[]rows.Row{{Key: "s", Version: before | 20, Deleted: true}, {Key: "s", Version: after | 10, Deleted: true}, {Key: "s", Version: after | 30, Value: []byte("ready@2")}}, 0},
		"missing, not settled, is back": {[]rows.Row{{Key: "s", Version: after | 10, Deleted: true, Unsettled: true}, {Key: "s", Version: after | 30, Value: []byte("ready")}}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			g := gatewayOfServers()
			g.applyServers([]rows.Row{{Key: "s", Version: before | 10, Value: []byte("ready")}})
			for _, row := range c.rows {
				g.applyServers([]rows.Row{row})
			}
			g.registry.Sweep(time.Now().Add(c.wait))
			if !usable(g) {
				t.Error("a live server is not used")
			}
		})
	}
}
