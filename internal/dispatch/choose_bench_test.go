package dispatch

import (
	"fmt"
	"testing"
	"time"

	"kumquatcleat/internal/registry"
)

// BenchmarkChoiceAmongManyServers measures the choice of a server for a request, with 283 servers
// of a service in three failure domains, of which none or one has a limit or asked for a pause.
func BenchmarkChoiceAmongManyServers(b *testing.B) {
	const servers = 283
	for name, decline := range map[string]func(*Core, registry.Instance){
		"nothing limits": func(*Core, registry.Instance) {},
		"one rate limit": func(c *Core, s registry.Instance) { c.RateLimits.Stated(time.Now(), s, 1) },
		"one pause":      func(c *Core, s registry.Instance) { c.Pauses.Stated(time.Now(), s, time.Hour) },
	} {
		b.Run(name, func(b *testing.B) {
			f := newFixture(true, answers(200))
			for i := range servers {
				f.registry.Put(registry.Server{ID: fmt.Sprint("s", i), Service: "plain", Slots: 6, Incarnation: 1, FailureDomain: []string{"", "other", "third"}[i%3]})
			}
			decline(f.core, registry.Instance{ID: "s0", Incarnation: 1})
			r := &requestState{core: f.core, request: &Request{}, table: f.core.Tables.Current()}
			r.route = r.table.Match("h", "/p/")
			r.service, _ = r.table.Service("plain")
			b.ReportAllocs()
			for b.Loop() {
				if _, ok := r.untried(); !ok {
					b.Fatal("no server")
				}
			}
		})
	}
}
