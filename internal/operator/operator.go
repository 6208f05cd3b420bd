// Package operator defines the JSON messages that a daemon returns to the operator's
// command-line program on its operator paths.
package operator

// Paths of a daemon's operator interface, on its peer_listen address.
const (
	PathStatus  = "/_operator/status"  // GET; answers with a Status
	PathExplain = "/_operator/explain" // GET with the parameters service and key, or path and optionally key; answers with an Explain, or 404 if the service is unknown
)

// Mode is the source of the lease that allows a keeper to decide about its group.
type Mode string

const (
	// ModeTable means that reads of the group's row renew the lease.
	ModeTable Mode = "table"
	// ModeOutage means that the standby's promise serves as the lease while the
	// platform is down.
	ModeOutage Mode = "outage"
	// ModeNone means that the keeper holds no lease now and must not decide, or that
	// the answering VM found no keeper.
	ModeNone Mode = "none"
	// ModeElsewhere means that another VM keeps the group. That VM knows the mode.
	ModeElsewhere Mode = "elsewhere"
)

// Status is one VM's view of the whole system.
type Status struct {
	VM             string         `json:"vm"` // the VM that answers
	PlatformUp     bool           `json:"platform_up"`
	VMs            []VM           `json:"vms"`
	Groups         []Group        `json:"groups"`
	Servers        []Server       `json:"servers"`
	ConfigVersions []ConfigRecord `json:"config_versions"`
}

// VM is one entry VM as seen by the answering VM.
type VM struct {
	ID            string `json:"id"`
	Incarnation   string `json:"incarnation"`
	FailureDomain string `json:"failure_domain"`
	Address       string `json:"address"`
	Alive         bool   `json:"alive"`         // considered running by the answering VM
	Stopping      bool   `json:"stopping"`      // never set by the daemon
	ConfigDigest  uint64 `json:"config_digest"` // of the records in force there; 0 if unknown, because the answering VM does not ping it
}

// Group is the state of one group of slots and the VMs that manage it.
type Group struct {
	Group   string `json:"group"`
	Keeper  string `json:"keeper"` // id@incarnation, or only the id if the answering VM does not run the group; empty if unknown
	Standby string `json:"standby"`
	Epoch   uint64 `json:"epoch"`
	Mode    Mode   `json:"mode"`
	Slots   int    `json:"slots"`
	Unowned int    `json:"unowned"` // slots that currently have no owner
	Moving  int    `json:"moving"`  // slots with a move in progress
}

// Server is one backend server as seen by the answering VM.
type Server struct {
	Service       string `json:"service"`
	ID            string `json:"id"`
	FailureDomain string `json:"failure_domain"`
	Healthy       bool   `json:"healthy"`
	Draining      bool   `json:"draining"`
	InFlight      int    `json:"in_flight"` // requests in flight from the answering VM
	SlotsOwned    int    `json:"slots_owned"`
}

// ConfigRecord is the version of one record that is in force on the answering VM.
type ConfigRecord struct {
	Name    string `json:"name"`
	Version uint64 `json:"version"`
}

// Explain states which server owns a key and why.
type Explain struct {
	Service     string `json:"service"`
	Key         string `json:"key"`
	Slot        uint32 `json:"slot"`
	Group       string `json:"group"`
	Owner       string `json:"owner"`         // server id; empty if the slot has no owner
	Token       string `json:"token"`         // epoch.seq of the assignment
	LeaseLeftMS int64  `json:"lease_left_ms"` // of the owner; 0 if the answering VM does not know it
	Moving      bool   `json:"moving"`
	Why         string `json:"why"` // one sentence on the decision that made the assignment
	// Request is set if a path was asked for. Slot, group and lease are those of its key, if it has
	// one.
	Request *DaemonRequest `json:"request,omitempty"`
}
