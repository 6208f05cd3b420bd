package ownership

import (
	"time"

	"kumquatcleat/internal/backend"
)

// Instant is a reading of this process's monotonic clock, counted from a fixed
// start. Instants of two processes are never compared. A duration that is added to an
// Instant may also have this type.
type Instant = time.Duration

// Event is an input to a Replica. The types below are the only implementations.
type Event interface{ event() }

// Tick reports that time has passed.
type Tick struct{}

// RowRead is the answer to ReadRow.
type RowRead struct {
	SentAt  Instant
	Row     *GroupRow // nil: the row does not exist
	Version uint64    // table version; 0: the row does not exist
	Err     error     // not nil: the read failed and Row says nothing
}

// RowWritten is the answer to WriteRow.
type RowWritten struct {
	WriteID string
	SentAt  Instant
	Result  WriteResult
	Version uint64 // table version after a write that was applied
}

// WriteResult is the known outcome of a write.
type WriteResult int

const (
	// WriteApplied means that the write was applied.
	WriteApplied WriteResult = iota
	// WriteConflicted means that this call was not applied and never will be. An earlier
	// try of the same write may have been applied.
	WriteConflicted
	// WriteUnknown means that the write may have been applied or may still be.
	WriteUnknown
)

// ServerAnswered is the answer to SendGrant, SendRevoke or AskState.
type ServerAnswered struct {
	Server string
	Call   ServerCall
	Token  backend.Token // token of the grant or revoke
	SentAt Instant
	State  backend.ServerState
	Err    error // not nil: no answer; the call may have taken effect or may yet
}

// ServerCall is the kind of a control call to a server.
type ServerCall int

const (
	// CallGrant is a grant or a renewal.
	CallGrant ServerCall = iota
	// CallRevoke takes slots away.
	CallRevoke
	// CallState queries what the server holds.
	CallState
)

// PeerReceived delivers an agreement message from another VM.
type PeerReceived struct {
	From    VMRef
	Message PeerMessage
}

// PeerMessage is a message of the agreement protocol between keeper and standby.
type PeerMessage struct {
	Kind   PeerKind
	Number uint64 // orders asks, promises, confirms and returns; the row's Seq in moves and cedes
	Epoch  uint64
	// Row is set in a PeerMove, in the PeerCede of a keeper that is stopping, and in a
	// PeerReturn until the standby has answered.
	Row *GroupRow
}

// PeerKind is the kind of an agreement message.
type PeerKind int

// The kinds of agreement messages, in the order of the exchange.
const (
	PeerAsk       PeerKind = iota + 1 // the keeper asks the standby not to take over for a short time
	PeerPromise                       // the standby promises it
	PeerConfirm                       // the keeper asks for an outage lease while that promise is valid
	PeerConfirmed                     // the standby gives the outage lease
	PeerReturn                        // the keeper returns earlier promises and outage leases; also its heartbeat
	PeerReturned                      // the standby acknowledges the return
	PeerMove                          // the keeper sends its newest row
	PeerMoved                         // the standby has that row
	PeerCede                          // the keeper no longer decides under its epoch
	PeerCeded                         // the standby acknowledges the cede
	PeerRefuse                        // the standby can't promise; to the keeper only a sign of life
)

// MembersChanged gives the VMs that may become keeper of the group.
type MembersChanged struct {
	// Candidates are in order of preference and include this VM.
	Candidates []VMRef
	// Gone are the VMs that no longer exist according to the platform's list.
	Gone []VMRef
}

// PlanChanged gives the wanted owner of each slot and the servers that may own slots.
type PlanChanged struct {
	// Servers that may own slots, by id; a draining server has Drain set.
	Servers map[string]ServerPlan
	// Owners is the wanted owner of each slot; empty: no change is wanted.
	Owners map[uint32]string
}

// ServerPlan is the plan for one server.
type ServerPlan struct {
	Drain  bool
	Checks bool // refuses requests without a valid grant
	Gone   bool // its VM no longer exists according to the platform's list
}

// ServerLost reports that a server is considered lost, so that its slots move by lapse.
type ServerLost struct{ Server string }

// StopRequested asks the replica to hand its role over and stop.
type StopRequested struct{}

// TakeoverForced is an operator's order to take the group over.
type TakeoverForced struct{ By string }

func (Tick) event()           {}
func (RowRead) event()        {}
func (RowWritten) event()     {}
func (ServerAnswered) event() {}
func (PeerReceived) event()   {}
func (MembersChanged) event() {}
func (PlanChanged) event()    {}
func (ServerLost) event()     {}
func (StopRequested) event()  {}
func (TakeoverForced) event() {}

// Action is an output of a Replica. The types below are the only implementations.
type Action interface{ action() }

// ReadRow reads the group's row.
type ReadRow struct{}

// WriteRow replaces the group's row if its table version is Expect.
type WriteRow struct {
	Expect uint64
	Row    *GroupRow
}

// SendGrant grants or renews slots at a server.
type SendGrant struct {
	Server  string
	Request backend.GrantRequest
}

// SendRevoke takes slots from a server.
type SendRevoke struct {
	Server  string
	Request backend.RevokeRequest
}

// AskState queries which slots of the group a server holds.
type AskState struct{ Server string }

// SendPeer sends an agreement message to a VM.
type SendPeer struct {
	To      VMRef
	Message PeerMessage
}

// LogDecision writes a line to the decision log.
type LogDecision struct {
	What   string // message text
	Slot   int64  // -1: not about a single slot
	Server string
	Token  backend.Token
}

// Stopped reports that the replica has stopped and holds no role.
type Stopped struct{}

func (ReadRow) action()     {}
func (WriteRow) action()    {}
func (SendGrant) action()   {}
func (SendRevoke) action()  {}
func (AskState) action()    {}
func (SendPeer) action()    {}
func (LogDecision) action() {}
func (Stopped) action()     {}

// Routes is a keeper's answer to a VM that asks who owns the slots of a group.
type Routes struct {
	Group   string
	Keeper  bool  // this replica answers for the group, as the keeper or in hold-over
	Hint    VMRef // otherwise: the VM to ask, when known
	Version uint64
	Token   backend.Token
	Slots   []Route
	// Lease is how long a VM may use these routes for servers that do not check
	// grants, counted from when it sent its query.
	Lease time.Duration
}

// Route is the owner of one slot.
type Route struct {
	Slot   uint32
	Server ServerRef
	Token  backend.Token
	Moving bool // no server may run requests for the slot now
}
