package ownership

import (
	"time"

	"kumquatcleat/internal/backend"
)

// Instant is a reading of this process's monotonic clock since some fixed
// start. Instants of two processes are never compared.
type Instant = time.Duration

// Event is something that a Replica is told. The types below are all there are.
type Event interface{ event() }

// Tick tells that time has passed.
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

// WriteResult is what is known of a write.
type WriteResult int

const (
	// WriteApplied was applied.
	WriteApplied WriteResult = iota
	// WriteConflicted was not applied and never will be.
	WriteConflicted
	// WriteUnknown may have been applied, or may still be.
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

// ServerCall names a control call to a server.
type ServerCall int

const (
	// CallGrant is a grant or a renewal.
	CallGrant ServerCall = iota
	// CallRevoke takes slots.
	CallRevoke
	// CallState asks what the server holds.
	CallState
)

// PeerReceived is an agreement message from another VM.
type PeerReceived struct {
	From    VMRef
	Message PeerMessage
}

// PeerMessage is a message of the agreement between keeper and standby.
type PeerMessage struct {
	Kind   PeerKind
	Number uint64 // orders asks, promises, confirms and returns
	Epoch  uint64
	Row    *GroupRow // with PeerMove and PeerCede
}

// PeerKind is the kind of an agreement message.
type PeerKind int

// The kinds of agreement messages, in the order of the exchange.
const (
	PeerAsk PeerKind = iota + 1
	PeerPromise
	PeerConfirm
	PeerConfirmed
	PeerReturn
	PeerReturned
	PeerMove
	PeerMoved
	PeerCede
	PeerCeded
	PeerRefuse
)

// MembersChanged tells what is known of the VMs that may keep the group.
type MembersChanged struct {
	// Candidates in order of preference, this VM among them.
	Candidates []VMRef
	// Gone are VMs that the platform's list says no longer exist.
	Gone []VMRef
}

// PlanChanged gives the wanted owner of each slot and the servers that may own.
type PlanChanged struct {
	// Servers that may own slots, by id; a draining server has Drain set.
	Servers map[string]ServerPlan
	// Owners is the wanted owner of each slot; empty: no change is wanted.
	Owners map[uint32]string
}

// ServerPlan is what the plan says of one server.
type ServerPlan struct {
	Drain  bool
	Checks bool // refuses requests without a valid grant
	Gone   bool // the platform's list says that its VM no longer exists
}

// ServerLost tells that a server is taken for lost, so that its slots move by lapse.
type ServerLost struct{ Server string }

// StopRequested asks the replica to hand its role over and end.
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

// Action is something that a Replica wants done. The types below are all there are.
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

// AskState asks a server what it holds of the group.
type AskState struct{ Server string }

// SendPeer sends an agreement message to a VM.
type SendPeer struct {
	To      VMRef
	Message PeerMessage
}

// LogDecision is a line for the decision log.
type LogDecision struct {
	What   string // short sentence
	Slot   int64  // -1: concerns no single slot
	Server string
	Token  backend.Token
}

// Stopped tells that the replica holds no role any more.
type Stopped struct{}

func (ReadRow) action()     {}
func (WriteRow) action()    {}
func (SendGrant) action()   {}
func (SendRevoke) action()  {}
func (AskState) action()    {}
func (SendPeer) action()    {}
func (LogDecision) action() {}
func (Stopped) action()     {}

// Routes is what a keeper tells other VMs of its group.
type Routes struct {
	Group   string
	Keeper  bool  // this replica may decide now
	Hint    VMRef // otherwise: the VM to ask, when known
	Version uint64
	Token   backend.Token
	Slots   []Route
	// Lease is how long a VM may send under these routes to servers that do not
	// check, counted from when it sent its question.
	Lease time.Duration
}

// Route is the owner of one slot.
type Route struct {
	Slot   uint32
	Server ServerRef
	Token  backend.Token
	Moving bool // nobody may run requests of the slot now
}
