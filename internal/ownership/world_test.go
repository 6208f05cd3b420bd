package ownership

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"kumquatcleat/internal/backend"
)

// unit is the time step of the simulation.
const unit = 10 * time.Millisecond

// worldTiming scales DefaultTiming down to few units and keeps the relations between
// its durations, so that random walks reach every expiry. The drift is large enough
// to matter within one lease.
var worldTiming = Timing{
	Lease:           6 * unit,
	RowLease:        4 * unit,
	RowRead:         unit,
	Promise:         3 * unit,
	OutageLease:     14 * unit,
	TableSettled:    -1, // the keeper returns each outage lease as early as possible
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

// world is a deterministic simulation that runs real Replicas against a fake table,
// fake servers and a fake network. Every packet stays in flight until the test
// delivers, duplicates or drops it. After each event the world checks the invariants
// and records their violations.
type world struct {
	now      Instant
	vms      []*fakeVM
	servers  []*fakeServer
	table    fakeTable
	inFlight []*packet
	delayed  []*packet       // packets that the exploration delays
	delaying map[string]bool // kinds of packets that the exploration delays
	network  func(*packet)   // delivers, delays or drops a sent packet; nil: it is put in flight
	plan     PlanChanged

	accepted map[uint32]SlotOwner // newest accepted grant of each slot
	// assignmentsMayBeLost is set when more VMs were lost than the protocol tolerates.
	assignmentsMayBeLost bool
	goneRefs             []VMRef
	violations           []string
	trace                []string // nil: nothing was traced
	tracing              bool
}

// fakeVM is one incarnation of a VM with its replica.
type fakeVM struct {
	ref     VMRef
	replica *Replica
	rate    int64 // clock rate in thousandths
	paused  bool
	gone    bool
	writes  int
	backlog []Event         // events received during a pause
	cut     map[string]bool // ids of VMs, servers or the table that it can't reach
}

// clock returns the reading of the VM's own clock.
func (v *fakeVM) clock(now Instant) Instant { return now * Instant(v.rate) / 1000 }

// fakeServer is a server that implements the grant protocol.
type fakeServer struct {
	id            string
	starts        int
	rate          int64
	offset        Instant
	down          bool // accepts and answers nothing; its clock continues
	checks        bool
	highest       backend.Token
	held          []backend.SlotToken
	expiresAt     int64
	running       map[uint32]bool
	ignoresTokens bool // injected bug: accepts grants and revokes with a lower token
}

func (s *fakeServer) incarnation() string { return fmt.Sprint(s.starts) }

func (s *fakeServer) clock(now Instant) int64 {
	return ((now + s.offset) * Instant(s.rate) / 1000).Milliseconds()
}

func (s *fakeServer) leaseValid(now Instant) bool { return s.clock(now) < s.expiresAt }

func (s *fakeServer) holds(now Instant, slot uint32) bool {
	return s.leaseValid(now) && slices.ContainsFunc(s.held, func(h backend.SlotToken) bool { return h.Slot == slot })
}

// fakeTable holds the row of the group.
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

// packet is a message in flight. It is immutable once sent.
type packet struct {
	kind      packetKind
	vm        int   // index of the calling VM, or of the receiver of a peer message
	ref       VMRef // incarnation of that VM
	deliverAt Instant
	sentAt    Instant
	write     WriteRow
	read      RowRead
	written   RowWritten
	server    string
	call      ServerCall
	grant     backend.GrantRequest
	revoke    backend.RevokeRequest
	answer    ServerAnswered
	peer      PeerReceived
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

// newWorld returns a world whose VMs have the plan and the list of VMs but no row.
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
		w.deliverEvent(i, MembersChanged{Candidates: w.candidates()})
		w.deliverEvent(i, w.plan)
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

func (w *world) tracef(format string, args ...any) {
	if w.tracing {
		w.trace = append(w.trace, fmt.Sprintf("%v ", w.now)+fmt.Sprintf(format, args...))
	}
}

// deliverEvent delivers an event to a VM, or queues it while the VM is paused.
func (w *world) deliverEvent(i int, ev Event) {
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
		w.perform(i, local, a)
	}
	w.checkInvariants()
}

// perform sends the packet for an action of a VM.
func (w *world) perform(i int, local Instant, a Action) {
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
		p.vm = w.vmIndex(a.To)
		p.ref = a.To
		if p.vm < 0 {
			return
		}
	case LogDecision:
		w.tracef("vm%d: %s slot %d server %s token %v", i, a.What, a.Slot, a.Server, a.Token)
		return
	default:
		return
	}
	w.send(p)
}

func (w *world) vmIndex(ref VMRef) int {
	return slices.IndexFunc(w.vms, func(v *fakeVM) bool { return v.ref == ref })
}

// send passes a packet to the network.
func (w *world) send(p *packet) {
	p.deliverAt = w.now
	if w.network != nil {
		w.network(p)
		return
	}
	w.inFlight = append(w.inFlight, p)
}

// deliverDue delivers the packets that are due, including those that a delivery
// causes.
func (w *world) deliverDue() {
	for range 1000 {
		i := slices.IndexFunc(w.inFlight, func(p *packet) bool { return p.deliverAt <= w.now })
		if i < 0 {
			return
		}
		w.deliver(w.removePacket(i))
	}
	w.addViolation("more than 1000 deliveries at one instant")
}

// removePacket removes and returns a packet in flight.
func (w *world) removePacket(i int) *packet {
	p := w.inFlight[i]
	w.inFlight = slices.Delete(w.inFlight, i, i+1)
	return p
}

// deliver delivers a packet to its receiver.
func (w *world) deliver(p *packet) {
	w.tracef("deliver %v", p)
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

// deliverToVM delivers an answer or a peer message.
func (w *world) deliverToVM(p *packet) {
	switch p.kind {
	case packetReadAnswer:
		w.deliverEvent(p.vm, p.read)
	case packetWriteAnswer:
		w.deliverEvent(p.vm, p.written)
	case packetCallAnswer:
		w.deliverEvent(p.vm, p.answer)
	case packetPeer:
		from := w.vmIndex(p.peer.From)
		if from >= 0 && !w.isCut(from, w.vms[p.vm].ref.ID) {
			w.deliverEvent(p.vm, p.peer)
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
		w.tracef("row v%d: epoch %d seq %d keeper %s standby %s slots %v moves %v", w.table.version,
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
		w.recordAccepted(s)
	case CallRevoke:
		p.answer.Token = p.revoke.Token
		p.answer.State = s.revoke(w.now, p.revoke)
	case CallState:
		p.answer.State = s.state(w.now, true)
	}
	p.kind = packetCallAnswer
	w.send(p)
	w.checkInvariants()
}

func (s *fakeServer) grant(now Instant, g backend.GrantRequest) backend.ServerState {
	if g.Incarnation != s.incarnation() || !s.ignoresTokens && g.Token.Less(s.highest) {
		return s.state(now, false)
	}
	if g.Renew && !s.leaseValid(now) {
		return s.state(now, false) // the lease to renew has expired
	}
	if s.highest.Less(g.Token) {
		s.highest = g.Token
	}
	if !g.Renew {
		s.held = slices.Clone(g.Slots)
		s.expiresAt = g.ExpiresAt
	}
	s.expiresAt = max(s.expiresAt, g.ExpiresAt)
	return s.state(now, true)
}

func (s *fakeServer) revoke(now Instant, r backend.RevokeRequest) backend.ServerState {
	if !s.ignoresTokens && r.Token.Less(s.highest) {
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
	if s.leaseValid(now) {
		st.Slots = slices.Clone(s.held)
	}
	return st
}

// restart starts a new incarnation of a server. It holds nothing, and its clock starts
// at zero.
func (s *fakeServer) restart(now Instant) {
	s.starts++
	s.offset = -now
	s.highest = backend.Token{}
	s.held = nil
	s.expiresAt = 0
	s.running = map[uint32]bool{}
}

// recordAccepted records the assignments that a server has accepted. It reports a lost
// assignment: a slot granted under a lower token than one accepted before, or under
// the same token to another server.
func (w *world) recordAccepted(s *fakeServer) {
	if !s.leaseValid(w.now) {
		return
	}
	for _, h := range s.held {
		now := SlotOwner{Slot: h.Slot, Owner: ServerRef{ID: s.id, Incarnation: s.incarnation()}, Token: h.Token}
		last, ok := w.accepted[h.Slot]
		if ok && !w.assignmentsMayBeLost && (now.Token.Less(last.Token) || now.Token == last.Token && now.Owner != last.Owner) {
			w.addViolation("lost assignment: slot %d was granted as %v, is now granted as %v", h.Slot, last, now)
		}
		w.accepted[h.Slot] = now
	}
}

func (w *world) addViolation(format string, args ...any) {
	violation := fmt.Sprintf(format, args...)
	w.tracef("VIOLATION %s", violation)
	if !slices.Contains(w.violations, violation) {
		w.violations = append(w.violations, violation)
	}
}

// checkInvariants reports slots with two owners, and two VMs that may decide.
func (w *world) checkInvariants() {
	for slot := range w.plan.Owners {
		var owners []string
		for _, s := range w.servers {
			if s.holds(w.now, slot) || s.running[slot] {
				owners = append(owners, s.id)
			}
		}
		if len(owners) > 1 {
			w.addViolation("slot %d has several owners %v", slot, owners)
		}
	}
	var deciders []string
	for _, vm := range w.vms {
		if !vm.gone && vm.decides(w.now) {
			deciders = append(deciders, vm.ref.String())
		}
	}
	if len(deciders) > 1 {
		w.addViolation("several VMs %v may decide", deciders)
	}
}

// decides reports whether the VM could decide if it ran now.
func (v *fakeVM) decides(now Instant) bool {
	r := v.replica
	was := r.now
	r.now = max(r.now, v.clock(now))
	defer func() { r.now = was }()
	return r.mayDecide()
}

// advance advances the time by d: leases expire, and VMs that are not paused get a
// Tick. A server stops running requests when its lease expires.
func (w *world) advance(d Instant) {
	w.now += d
	for _, s := range w.servers {
		for slot := range s.running {
			if !s.leaseValid(w.now) {
				delete(s.running, slot)
			}
		}
	}
	w.checkInvariants()
	for i, vm := range w.vms {
		if !vm.paused {
			w.deliverEvent(i, Tick{})
		}
	}
}

// deliverAll delivers everything in flight.
func (w *world) deliverAll() {
	for range 1000 {
		if len(w.inFlight) == 0 {
			return
		}
		w.deliver(w.removePacket(0))
	}
	w.addViolation("more than 1000 deliveries at one instant")
}

// run advances the time by d in units, and delivers every packet without delay.
func (w *world) run(d Instant) {
	for end := w.now + d; w.now < end; {
		w.advance(unit)
		w.deliverAll()
	}
}

// resume ends the pause of a VM and delivers the events received meanwhile.
func (w *world) resume(i int) {
	vm := w.vms[i]
	vm.paused = false
	backlog := vm.backlog
	vm.backlog = nil
	for _, ev := range backlog {
		w.deliverEvent(i, ev)
	}
}

// keeper returns the index of the VM that acts as the keeper now, or -1.
func (w *world) keeper() int {
	return slices.IndexFunc(w.vms, func(v *fakeVM) bool {
		return !v.gone && !v.paused && v.decides(w.now) && v.replica.Role() == RoleKeeper
	})
}

// owner returns the id of the reachable server that holds a slot now, or "".
func (w *world) owner(slot uint32) string {
	for _, s := range w.servers {
		if !s.down && s.holds(w.now, slot) {
			return s.id
		}
	}
	return ""
}
