// Package standin provides stand-ins (test doubles) for the platform and for
// backend servers, with fault injection. They are for tests and demonstrations:
// they store nothing durably.
package standin

import (
	"net/http"
	"time"

	"kumquatcleat/internal/platform"
)

// Paths of the fault injection and inspection endpoints of the platform and of
// servers.
const (
	PathFaults = "/_standin/faults" // GET, POST: PlatformFaults or ServerFaults
	PathVMs    = "/_standin/vms"    // POST VMChange; PUT []platform.VM replaces the list
	PathRuns   = "/_standin/runs"   // GET: run records of a server as JSON lines
)

// PlatformSettings are the settings of a platform stand-in.
type PlatformSettings struct {
	Faults PlatformFaults `json:"faults"` // initial faults
	Seed   uint64         `json:"seed"`   // of the random choice of lost answers
}

// Platform is an http.Handler that implements the platform's HTTP interface. Safe
// for concurrent use; each part has its own lock.
type Platform struct {
	table     *table
	objects   *objects
	vms       *vmList
	faults    *platformFaultState
	partition Partition
	mux       *http.ServeMux
}

// NewPlatform returns a platform stand-in with an empty table.
func NewPlatform(s PlatformSettings) *Platform {
	p := &Platform{
		table:   newTable(),
		objects: newObjects(),
		vms:     newVMList(),
		faults:  newPlatformFaultState(s.Faults, s.Seed),
		mux:     http.NewServeMux(),
	}
	p.mux.HandleFunc("GET "+platform.PathRow, p.withFaults(p.getRow))
	p.mux.HandleFunc("GET "+platform.PathRows, p.withFaults(p.listRows))
	p.mux.HandleFunc("POST "+platform.PathCommit, p.withFaults(p.commit))
	p.mux.HandleFunc("GET "+platform.PathObject+"{name}", p.withFaults(p.getObject))
	p.mux.HandleFunc("PUT "+platform.PathObject+"{name}", p.withFaults(p.putObject))
	p.mux.HandleFunc("GET "+platform.PathVMs, p.withFaults(p.listVMs))
	p.mux.HandleFunc("POST "+PathVMs, p.changeVM)
	p.mux.HandleFunc("PUT "+PathVMs, p.replaceVMs)
	p.mux.HandleFunc("GET "+PathFaults, p.getFaults)
	p.mux.HandleFunc("POST "+PathFaults, p.setFaults)
	p.partition.registerHandlers(p.mux)
	return p
}

// ServeHTTP implements http.Handler.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) { p.mux.ServeHTTP(w, r) }

// withFaults applies the injected faults to a call of the platform's interface.
func (p *Platform) withFaults(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		faults := p.faults.get()
		if faults.Down || faults.blocksCaller(r) {
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

// discardResponse discards the answer to a write whose caller gets none.
type discardResponse struct{}

func (discardResponse) Header() http.Header            { return http.Header{} }
func (discardResponse) Write(data []byte) (int, error) { return len(data), nil }
func (discardResponse) WriteHeader(int)                {}
