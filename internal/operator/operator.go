// Package operator holds the messages between a daemon and the operators'
// program: what a daemon answers on its operator paths, as JSON.
package operator

// Paths of a daemon's operator interface, on its peer_listen address.
const (
	PathStatus  = "/_operator/status"  // GET : Status
	PathExplain = "/_operator/explain" // GET ?service=&key= : Explain, 404
)

// Mode is the source of a keeper's right to decide.
type Mode string

const (
	// ModeTable decides by reads of the group's row.
	ModeTable Mode = "table"
	// ModeOutage decides by the standby's promise, while the platform is down.
	ModeOutage Mode = "outage"
	// ModeNone has no right to decide now.
	ModeNone Mode = "none"
	// ModeElsewhere is a group that another VM keeps; that VM knows its mode.
	ModeElsewhere Mode = "elsewhere"
)

// Status is what one VM knows of the whole system.
type Status struct {
	VM             string         `json:"vm"` // the VM that answers
	PlatformUp     bool           `json:"platform_up"`
	VMs            []VM           `json:"vms"`
	Groups         []Group        `json:"groups"`
	Servers        []Server       `json:"servers"`
	ConfigVersions []ConfigRecord `json:"config_versions"`
}

// VM is one entry VM as the answering VM sees it.
type VM struct {
	ID            string `json:"id"`
	Incarnation   string `json:"incarnation"`
	FailureDomain string `json:"failure_domain"`
	Address       string `json:"address"`
	Alive         bool   `json:"alive"` // answers its peers
	Stopping      bool   `json:"stopping"`
	ConfigDigest  uint64 `json:"config_digest"` // of the records in force there; 0: not known, as this VM does not ping it
}

// Group is one group of slots and the VMs that decide about it.
type Group struct {
	Group   string `json:"group"`
	Keeper  string `json:"keeper"` // id@incarnation; empty: none known
	Standby string `json:"standby"`
	Epoch   uint64 `json:"epoch"`
	Mode    Mode   `json:"mode"`
	Slots   int    `json:"slots"`
	Unowned int    `json:"unowned"` // slots without an owner now
	Moving  int    `json:"moving"`  // slots with a move under way
}

// Server is one backend server as the answering VM sees it.
type Server struct {
	Service       string `json:"service"`
	ID            string `json:"id"`
	FailureDomain string `json:"failure_domain"`
	Healthy       bool   `json:"healthy"`
	Draining      bool   `json:"draining"`
	InFlight      int    `json:"in_flight"` // requests of the answering VM
	SlotsOwned    int    `json:"slots_owned"`
}

// ConfigRecord is the version of one record in force on the answering VM.
type ConfigRecord struct {
	Name    string `json:"name"`
	Version uint64 `json:"version"`
}

// Explain tells where a key goes and why.
type Explain struct {
	Service     string `json:"service"`
	Key         string `json:"key"`
	Slot        uint32 `json:"slot"`
	Group       string `json:"group"`
	Owner       string `json:"owner"` // server id; empty: nobody owns the slot
	Token       string `json:"token"` // epoch.seq of the assignment
	LeaseLeftMS int64  `json:"lease_left_ms"`
	Moving      bool   `json:"moving"`
	Why         string `json:"why"` // the decision that made the assignment, in a sentence
}
