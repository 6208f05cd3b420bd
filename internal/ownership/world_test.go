package ownership

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"kumquatcleat/internal/backend"
)

// unit is the step of time of the world.
const unit = 10 * time.Millisecond

// worldTiming keeps the relations of DefaultTiming in few units, so that walks
// reach every expiry. The drift is large enough to matter within one lease.
var worldTiming = Timing{
	Lease:           6 * unit,
	RowLease:        4 * unit,
	RowRead:         unit,
	Promise:         3 * unit,
	OutageLease:     14 * unit,
	TableSettled:    -1, // every return comes as early as it can
	RouteLease:      2 * unit,
	Heartbeat:       unit,
	KeeperSilence:   4 * unit,
	HoldOverSilence: 2 * unit,
	StandbySilence:  12 * unit,
	Retry:           unit,
	RequestDeadline: 3 * unit,
	DriftPerMill:    250,
}

var errNoAnswer = errors.New("no answer")

// world runs real Replicas against fakes of the table, the servers and the
// network. Every packet waits in flight until the world is told to deliver,
// double or drop it.
type world struct {
	now     Instant
	vms     []*fakeVM
	servers []*fakeServer
	table   fakeTable
	flight  []*packet
	held    []*packet       // kept back by the explorer
	holding map[string]bool // kinds of packets that the explorer keeps back
	network func(*packet)   // decides what becomes of a packet; nil: it is in flight
	plan    PlanChanged

	accepted map[uint32]SlotOwner // youngest accepted grant of each slot
	// assignmentsMayBeLost is set when more was lost than is tolerated.
	assignmentsMayBeLost bool
	goneRefs             []VMRef
	faults               []string
	trace                []string // nil: not kept
	tracing              bool
}

type fakeVM struct {
	ref     VMRef
	replica *Replica
	rate    int64 // clock rate in thousandths
	paused  bool
	gone    bool
	writes  int
	backlog []Event // arrived during a pause
	cut     map[string]bool
}

// clock is the VM's own clock.
func (v *fakeVM) clock(now Instant) Instant { return now * Instant(v.rate) / 1000 }

type fakeServer struct {
	id      string
	starts  int
	rate    int64
	offset  Instant
	down    bool // neither takes nor answers anything; its clock goes on
	checks  bool
	highest backend.Token
	held    []backend.SlotToken
	expires int64
	running map[uint32]bool
	deaf    bool // flaw of the server: it compares no tokens
}

func (s *fakeServer) incarnation() string { return fmt.Sprint(s.starts) }

func (s *fakeServer) clock(now Instant) int64 {
	return ((now + s.offset) * Instant(s.rate) / 1000).Milliseconds()
}

func (s *fakeServer) valid(now Instant) bool { return s.clock(now) < s.expires }

func (s *fakeServer) holds(now Instant, slot uint32) bool {
	return s.valid(now) && slices.ContainsFunc(s.held, func(h backend.SlotToken) bool { return h.Slot == slot })
}

type fakeTable struct {
	row     *GroupRow
	version uint64
	down    bool
}

type packetKind int

const (
	packetRead packetKind = iota
	packetReadAnswer
	packetWrite
	packetWriteAnswer
	packetCall
	packetCallAnswer
	packetPeer
)

// packet is a message in flight. It is not changed any more.
type packet struct {
	kind    packetKind
	vm      int   // VM that called, or that a peer message is for
	ref     VMRef // start of that VM
	due     Instant
	sentAt  Instant
	write   WriteRow
	read    RowRead
	written RowWritten
	server  string
	call    ServerCall
	grant   backend.GrantRequest
	revoke  backend.RevokeRequest
	answer  ServerAnswered
	peer    PeerReceived
}

func (p *packet) String() string {
	switch p.kind {
	case packetRead:
		return fmt.Sprintf("read by %d", p.vm)
	case packetReadAnswer:
		return fmt.Sprintf("read answer v%d to %d", p.read.Version, p.vm)
	case packetWrite:
		return fmt.Sprintf("write %s over v%d by %d", p.write.Row.WriteID, p.write.Expect, p.vm)
	case packetWriteAnswer:
		return fmt.Sprintf("write answer %s %d to %d", p.written.WriteID, p.written.Result, p.vm)
	case packetCall:
		return fmt.Sprintf("call %d of %d to %s: %v %v", p.call, p.vm, p.server, p.grant, p.revoke)
	case packetCallAnswer:
		return fmt.Sprintf("answer %d of %s to %d: %v", p.call, p.server, p.vm, p.answer.State)
	default:
		return fmt.Sprintf("peer %s to %d: kind %d number %d", p.peer.From, p.vm, p.peer.Message.Kind, p.peer.Message.Number)
	}
}

// newWorld returns a world with VMs, servers and slots that knows nothing yet.
func newWorld(vms, servers int, slots []uint32, timing Timing) *world {
	w := &world{now: time.Second, accepted: map[uint32]SlotOwner{}}
	w.plan = PlanChanged{Servers: map[string]ServerPlan{}, Owners: map[uint32]string{}}
	for i := range servers {
		id := string(rune('x' + i))
		w.servers = append(w.servers, &fakeServer{id: id, starts: 1, rate: 1000, checks: true, running: map[uint32]bool{}})
		w.plan.Servers[id] = ServerPlan{Checks: true}
	}
	for i, slot := range slots {
		w.plan.Owners[slot] = w.servers[i%servers].id
	}
	for i := range vms {
		vm := &fakeVM{ref: VMRef{ID: fmt.Sprintf("vm%d", i), Incarnation: "1"}, rate: 1000, cut: map[string]bool{}}
		vm.replica = NewReplica(vm.ref, "g", slots, timing, vm.writeID)
		w.vms = append(w.vms, vm)
	}
	for i := range w.vms {
		w.event(i, MembersChanged{Candidates: w.candidates()})
		w.event(i, w.plan)
	}
	return w
}

func (v *fakeVM) writeID() string {
	v.writes++
	return fmt.Sprintf("%s/%d", v.ref, v.writes)
}

func (w *world) candidates() []VMRef {
	var refs []VMRef
	for _, vm := range w.vms {
		refs = append(refs, vm.ref)
	}
	return refs
}

func (w *world) server(id string) *fakeServer {
	for _, s := range w.servers {
		if s.id == id {
			return s
		}
	}
	return nil
}

func (w *world) note(format string, args ...any) {
	if w.tracing {
		w.trace = append(w.trace, fmt.Sprintf("%v ", w.now)+fmt.Sprintf(format, args...))
	}
}

// event hands an event to a VM, or keeps it while the VM is paused.
func (w *world) event(i int, ev Event) {
	vm := w.vms[i]
	if vm.gone {
		return
	}
	if vm.paused {
		vm.backlog = append(vm.backlog, ev)
		return
	}
	local := vm.clock(w.now)
	for _, a := range vm.replica.Step(local, ev) {
		w.act(i, local, a)
	}
	w.check()
}

// act puts what a VM wants done in flight.
func (w *world) act(i int, local Instant, a Action) {
	p := &packet{vm: i, ref: w.vms[i].ref, sentAt: local}
	switch a := a.(type) {
	case ReadRow:
		p.kind = packetRead
	case WriteRow:
		p.kind = packetWrite
		p.write = a
	case SendGrant:
		p.kind, p.call, p.server, p.grant = packetCall, CallGrant, a.Server, a.Request
	case SendRevoke:
		p.kind, p.call, p.server, p.revoke = packetCall, CallRevoke, a.Server, a.Request
	case AskState:
		p.kind, p.call, p.server = packetCall, CallState, a.Server
	case SendPeer:
		p.kind = packetPeer
		p.peer = PeerReceived{From: w.vms[i].ref, Message: a.Message}
		p.vm = w.index(a.To)
		p.ref = a.To
		if p.vm < 0 {
			return
		}
	case LogDecision:
		w.note("vm%d: %s slot %d server %s token %v", i, a.What, a.Slot, a.Server, a.Token)
		return
	default:
		return
	}
	w.send(p)
}

func (w *world) index(ref VMRef) int {
	return slices.IndexFunc(w.vms, func(v *fakeVM) bool { return v.ref == ref })
}

// send puts a packet in flight.
func (w *world) send(p *packet) {
	p.due = w.now
	if w.network != nil {
		w.network(p)
		return
	}
	w.flight = append(w.flight, p)
}

// deliverDue delivers what is due, and what that causes at once.
func (w *world) deliverDue() {
	for range 1000 {
		i := slices.IndexFunc(w.flight, func(p *packet) bool { return p.due <= w.now })
		if i < 0 {
			return
		}
		w.deliver(w.take(i))
	}
	w.fault("packets without end")
}

// take removes a packet from the flight.
func (w *world) take(i int) *packet {
	p := w.flight[i]
	w.flight = slices.Delete(w.flight, i, i+1)
	return p
}

// deliver lets a packet arrive.
func (w *world) deliver(p *packet) {
	w.note("deliver %v", p)
	switch p.kind {
	case packetRead:
		w.readTable(p)
	case packetWrite:
		w.writeTable(p)
	case packetCall:
		w.callServer(p)
	default:
		if w.vms[p.vm].ref == p.ref {
			w.deliverToVM(p)
		}
	}
}

// deliverToVM lets an answer or a peer message arrive.
func (w *world) deliverToVM(p *packet) {
	switch p.kind {
	case packetReadAnswer:
		w.event(p.vm, p.read)
	case packetWriteAnswer:
		w.event(p.vm, p.written)
	case packetCallAnswer:
		w.event(p.vm, p.answer)
	case packetPeer:
		from := w.index(p.peer.From)
		if from >= 0 && !w.isCut(from, w.vms[p.vm].ref.ID) {
			w.event(p.vm, p.peer)
		}
	}
}

// isCut reports whether a VM can't reach a VM, a server or the table by id.
func (w *world) isCut(vm int, id string) bool { return w.vms[vm].cut[id] }

func (w *world) readTable(call *packet) {
	p := new(*call)
	if w.table.down || w.isCut(p.vm, "table") {
		p.kind = packetReadAnswer
		p.read = RowRead{SentAt: p.sentAt, Err: errNoAnswer}
		w.send(p)
		return
	}
	p.kind = packetReadAnswer
	p.read = RowRead{SentAt: p.sentAt, Row: w.table.row, Version: w.table.version}
	w.send(p)
}

func (w *world) writeTable(call *packet) {
	p := new(*call)
	p.written = RowWritten{WriteID: p.write.Row.WriteID, SentAt: p.sentAt}
	switch {
	case w.table.down || w.isCut(p.vm, "table"):
		p.written.Result = WriteUnknown
	case w.table.version != p.write.Expect:
		p.written.Result = WriteConflicted
	default:
		w.table.version++
		w.table.row = p.write.Row
		p.written.Version = w.table.version
		w.note("row v%d: epoch %d seq %d keeper %s standby %s slots %v moves %v", w.table.version,
			w.table.row.Epoch, w.table.row.Seq, w.table.row.Keeper, w.table.row.Standby, w.table.row.Slots, w.table.row.Moves)
	}
	p.kind = packetWriteAnswer
	w.send(p)
}

func (w *world) callServer(call *packet) {
	p := new(*call)
	s := w.server(p.server)
	if s.down || w.isCut(p.vm, p.server) {
		p.kind = packetCallAnswer
		p.answer = ServerAnswered{Server: p.server, Call: p.call, SentAt: p.sentAt, Err: errNoAnswer}
		w.send(p)
		return
	}
	p.answer = ServerAnswered{Server: p.server, Call: p.call, SentAt: p.sentAt}
	switch p.call {
	case CallGrant:
		p.answer.Token = p.grant.Token
		p.answer.State = s.grant(w.now, p.grant)
		w.noteAccepted(s)
	case CallRevoke:
		p.answer.Token = p.revoke.Token
		p.answer.State = s.revoke(w.now, p.revoke)
	case CallState:
		p.answer.State = s.state(w.now, true)
	}
	p.kind = packetCallAnswer
	w.send(p)
	w.check()
}

func (s *fakeServer) grant(now Instant, g backend.GrantRequest) backend.ServerState {
	if g.Incarnation != s.incarnation() || !s.deaf && g.Token.Less(s.highest) {
		return s.state(now, false)
	}
	if g.Renew && !s.valid(now) {
		return s.state(now, false) // what it held has lapsed
	}
	if s.highest.Less(g.Token) {
		s.highest = g.Token
	}
	if !g.Renew {
		s.held = slices.Clone(g.Slots)
		s.expires = g.ExpiresAt
	}
	s.expires = max(s.expires, g.ExpiresAt)
	return s.state(now, true)
}

func (s *fakeServer) revoke(now Instant, r backend.RevokeRequest) backend.ServerState {
	if !s.deaf && r.Token.Less(s.highest) {
		return s.state(now, false)
	}
	if s.highest.Less(r.Token) {
		s.highest = r.Token
	}
	s.held = slices.DeleteFunc(slices.Clone(s.held), func(h backend.SlotToken) bool { return slices.Contains(r.Slots, h.Slot) })
	st := s.state(now, true)
	for _, slot := range r.Slots {
		if s.running[slot] {
			st.Running++
		}
	}
	return st
}

func (s *fakeServer) state(now Instant, accepted bool) backend.ServerState {
	st := backend.ServerState{
		Server: s.id, Incarnation: s.incarnation(), Clock: s.clock(now),
		Accepted: accepted, Highest: s.highest, Checks: true,
	}
	if s.valid(now) {
		st.Slots = slices.Clone(s.held)
	}
	return st
}

// restart starts a server anew: it knows nothing, and its clock begins again.
func (s *fakeServer) restart(now Instant) {
	s.starts++
	s.offset = -now
	s.highest = backend.Token{}
	s.held = nil
	s.expires = 0
	s.running = map[uint32]bool{}
}

// noteAccepted records the assignments that a server has accepted, and finds one
// that was lost: a slot granted under a lower token than accepted before, or
// under the same token to another server.
func (w *world) noteAccepted(s *fakeServer) {
	if !s.valid(w.now) {
		return
	}
	for _, h := range s.held {
		now := SlotOwner{Slot: h.Slot, Owner: ServerRef{ID: s.id, Incarnation: s.incarnation()}, Token: h.Token}
		last, ok := w.accepted[h.Slot]
		if ok && !w.assignmentsMayBeLost && (now.Token.Less(last.Token) || now.Token == last.Token && now.Owner != last.Owner) {
			w.fault("lost assignment: slot %d was %v, is granted as %v", h.Slot, last, now)
		}
		w.accepted[h.Slot] = now
	}
}

func (w *world) fault(format string, args ...any) {
	f := fmt.Sprintf(format, args...)
	w.note("FAULT %s", f)
	if !slices.Contains(w.faults, f) {
		w.faults = append(w.faults, f)
	}
}

// check looks for two owners of a slot, and for two VMs that may decide.
func (w *world) check() {
	for slot := range w.plan.Owners {
		var owners []string
		for _, s := range w.servers {
			if s.holds(w.now, slot) || s.running[slot] {
				owners = append(owners, s.id)
			}
		}
		if len(owners) > 1 {
			w.fault("slot %d has owners %v", slot, owners)
		}
	}
	var deciders []string
	for _, vm := range w.vms {
		if !vm.gone && vm.decides(w.now) {
			deciders = append(deciders, vm.ref.String())
		}
	}
	if len(deciders) > 1 {
		w.fault("VMs %v may decide", deciders)
	}
}

// decides reports whether the VM would decide if it ran now.
func (v *fakeVM) decides(now Instant) bool {
	r := v.replica
	was := r.now
	r.now = max(r.now, v.clock(now))
	defer func() { r.now = was }()
	return r.mayDecide()
}

// advance lets time pass: leases lapse, and VMs that run get a tick. A server
// ends the running work of slots whose lease has lapsed.
func (w *world) advance(d Instant) {
	w.now += d
	for _, s := range w.servers {
		for slot := range s.running {
			if !s.valid(w.now) {
				delete(s.running, slot)
			}
		}
	}
	w.check()
	for i, vm := range w.vms {
		if !vm.paused {
			w.event(i, Tick{})
		}
	}
}

// settle delivers everything in flight.
func (w *world) settle() {
	for range 1000 {
		if len(w.flight) == 0 {
			return
		}
		w.deliver(w.take(0))
	}
	w.fault("packets without end")
}

// run lets time pass with every packet delivered at once.
func (w *world) run(d Instant) {
	for end := w.now + d; w.now < end; {
		w.advance(unit)
		w.settle()
	}
}

// wake ends a pause: what arrived meanwhile is taken now.
func (w *world) wake(i int) {
	vm := w.vms[i]
	vm.paused = false
	backlog := vm.backlog
	vm.backlog = nil
	for _, ev := range backlog {
		w.event(i, ev)
	}
}

// keeper returns the VM that keeps the group now, or -1.
func (w *world) keeper() int {
	return slices.IndexFunc(w.vms, func(v *fakeVM) bool {
		return !v.gone && !v.paused && v.decides(w.now) && v.replica.Role() == RoleKeeper
	})
}

// owner returns the server that holds a slot now, or "".
func (w *world) owner(slot uint32) string {
	for _, s := range w.servers {
		if !s.down && s.holds(w.now, slot) {
			return s.id
		}
	}
	return ""
}
