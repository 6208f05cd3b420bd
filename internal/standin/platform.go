// Package standin holds test doubles of the platform and of backend servers,
// with switches for each fault. They are for tests and demonstrations: nothing
// in them is durable.
package standin

import (
	"net/http"
	"time"

	"kumquatcleat/internal/platform"
)

// Paths of the switches, on the platform and on servers.
const (
	PathFaults = "/_standin/faults" // GET, POST: all switches as one JSON object
	PathVMs    = "/_standin/vms"    // POST VMChange; PUT []platform.VM replaces the list
	PathRuns   = "/_standin/runs"   // GET: run records of a server as JSON lines
)

// PlatformSettings are the settings of a platform stand-in.
type PlatformSettings struct {
	Faults PlatformFaults `json:"faults"` // switches at the start
	Seed   uint64         `json:"seed"`   // of the draws for lost answers
}

// Platform is an http.Handler that meets the platform's HTTP interface. Safe
// for concurrent use; each part has its own lock.
type Platform struct {
	table   *table
	objects *objects
	vms     *vmList
	faults  *platformSwitches
	cuts    Cuts
	mux     *http.ServeMux
}

// NewPlatform returns a platform stand-in with an empty table.
func NewPlatform(s PlatformSettings) *Platform {
	p := &Platform{
		table:   newTable(),
		objects: newObjects(),
		vms:     newVMList(),
		faults:  newPlatformSwitches(s.Faults, s.Seed),
		mux:     http.NewServeMux(),
	}
	p.mux.HandleFunc("GET "+platform.PathRow, p.guard(p.getRow))
	p.mux.HandleFunc("GET "+platform.PathRows, p.guard(p.listRows))
	p.mux.HandleFunc("POST "+platform.PathCommit, p.guard(p.commit))
	p.mux.HandleFunc("GET "+platform.PathObject+"{name}", p.guard(p.getObject))
	p.mux.HandleFunc("PUT "+platform.PathObject+"{name}", p.guard(p.putObject))
	p.mux.HandleFunc("GET "+platform.PathVMs, p.guard(p.listVMs))
	p.mux.HandleFunc("POST "+PathVMs, p.changeVM)
	p.mux.HandleFunc("PUT "+PathVMs, p.replaceVMs)
	p.mux.HandleFunc("GET "+PathFaults, p.getFaults)
	p.mux.HandleFunc("POST "+PathFaults, p.setFaults)
	p.cuts.handle(p.mux)
	return p
}

// ServeHTTP implements http.Handler.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) { p.mux.ServeHTTP(w, r) }

// guard applies the switches around a call of the platform's interface.
func (p *Platform) guard(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		faults := p.faults.get()
		if faults.Down || faults.cuts(r) {
			abort()
		}
		if faults.SlowMS > 0 {
			time.Sleep(time.Duration(faults.SlowMS) * time.Millisecond)
		}
		if r.Method != http.MethodGet && p.faults.losesAnswer() {
			next(discardResponse{}, r)
			abort()
		}
		next(w, r)
	}
}

// discardResponse takes the answer of a write that its caller never sees.
type discardResponse struct{}

func (discardResponse) Header() http.Header            { return http.Header{} }
func (discardResponse) Write(data []byte) (int, error) { return len(data), nil }
func (discardResponse) WriteHeader(int)                {}
