package ownership

import (
	"encoding/binary"
	"maps"
	"slices"

	"kumquatcleat/internal/backend"
)

// clone returns a copy of r that shares no mutable state with it. Rows, sets and plans
// are immutable and are shared.
func (r *Replica) clone(newWriteID func() string) *Replica {
	c := *r
	c.newWriteID = newWriteID
	c.actions = nil
	if r.table.write != nil {
		c.table.write = new(*r.table.write)
	}
	if r.keeper != nil {
		c.keeper = r.keeper.clone()
	}
	if r.standby != nil {
		s := *r.standby
		s.holdOver = map[string]*holdOverRecord{}
		for id, record := range r.standby.holdOver {
			s.holdOver[id] = new(*record)
		}
		c.standby = &s
	}
	return &c
}

func (k *keeperState) clone() *keeperState {
	c := *k
	c.moveFirstSeen = maps.Clone(k.moveFirstSeen)
	c.serverIDs = slices.Clone(k.serverIDs)
	c.moveFirstSeen = maps.Clone(k.moveFirstSeen)
	c.servers = map[string]*serverRecord{}
	for id, s := range k.servers {
		c.servers[id] = new(*s)
	}
	return &c
}

// clone returns a copy of w that shares no mutable state with it.
func (w *world) clone() *world {
	c := *w
	c.inFlight = slices.Clone(w.inFlight)
	c.delayed = slices.Clone(w.delayed)
	c.violations = slices.Clone(w.violations)
	c.trace = nil
	c.accepted = maps.Clone(w.accepted)
	c.vms = nil
	for _, vm := range w.vms {
		v := *vm
		v.backlog = slices.Clone(vm.backlog)
		v.cut = maps.Clone(vm.cut)
		fresh := &v
		fresh.replica = vm.replica.clone(fresh.writeID)
		c.vms = append(c.vms, fresh)
	}
	c.servers = nil
	for _, s := range w.servers {
		server := *s
		server.running = maps.Clone(s.running)
		c.servers = append(c.servers, &server)
	}
	return &c
}

// encoder encodes the state that determines how a world behaves. Times are relative to
// now, tokens and versions to the table's, and numbers to the keeper's. Write ids are
// omitted. Worlds that differ only in these absolute values behave alike, and get the
// same encoding.
type encoder struct {
	out     []byte
	token   backend.Token // token of the table's row
	version uint64
	number  uint64
}

func (e *encoder) int(n int64) { e.out = binary.AppendVarint(e.out, n) }

func (e *encoder) bool(b bool) {
	if b {
		e.int(1)
	} else {
		e.int(0)
	}
}

func (e *encoder) text(s string) { e.out = append(append(e.out, s...), 0) }

// Times before now-farPast no longer have an effect, and times after now+farFuture have
// none soon. They are clamped.
const (
	farPast   = 20 * unit
	farFuture = 200 * unit
)

func (e *encoder) time(t, now Instant) {
	e.int(int64(min(max(t-now, -farPast), farFuture)))
}

func (e *encoder) tok(t backend.Token) {
	if t == (backend.Token{}) {
		e.int(-99)
		return
	}
	e.int(int64(t.Epoch) - int64(e.token.Epoch))
	e.int(int64(t.Seq) - int64(e.token.Seq))
}

func (e *encoder) row(r *GroupRow) {
	if r == nil {
		e.int(-1)
		return
	}
	e.tok(r.Token())
	e.text(r.Keeper.String())
	e.text(r.Standby.String())
	e.bool(r.Recovering)
	for _, so := range r.Slots {
		e.text(so.Owner.ID + so.Owner.Incarnation)
		e.tok(so.Token)
	}
	e.int(int64(len(r.Moves)))
	for _, m := range r.Moves {
		e.text(m.From.ID + m.From.Incarnation + m.To.ID + m.To.Incarnation + string(m.Kind))
		e.tok(m.Token)
	}
}

func (e *encoder) replica(v *fakeVM, now Instant) {
	r := v.replica
	local := v.clock(now)
	e.bool(v.paused)
	e.bool(v.gone)
	e.int(int64(len(v.backlog)))
	for _, id := range slices.Sorted(maps.Keys(v.cut)) {
		e.text(id)
	}
	e.row(r.table.row)
	e.int(int64(r.table.version) - int64(e.version))
	e.time(r.table.nextRead, local)
	e.time(r.table.answeredAt, local)
	if w := r.table.write; w != nil {
		e.row(w.row)
		e.int(int64(w.expect) - int64(e.version))
		e.time(w.nextSend, local)
		e.bool(w.conflicted)
	}
	if r.keeper != nil {
		e.keeper(r.keeper, local)
	}
	if r.standby != nil {
		e.standby(r.standby, local)
	}
}

func (e *encoder) keeper(k *keeperState, now Instant) {
	e.text("keeper")
	e.row(k.committed)
	e.row(k.pending)
	for _, t := range []Instant{
		k.activeFrom, k.priorLeasesEnd, k.tableLeaseEnd, k.standby.heardAt, k.standby.nextHeartbeat,
		k.outage.confirmSentAt, k.outage.nextSend, k.outage.outageLeaseEnd, k.outage.holdOverEnd, k.outage.pastRenewalsEnd, k.outage.nextRowSend,
	} {
		e.time(t, now)
	}
	o := &k.outage
	e.int(int64(o.step))
	for _, n := range []uint64{o.number, o.current, o.lastConfirmNumber, o.lastReturnNumber} {
		e.int(int64(n) - int64(e.number))
	}
	e.int(int64(o.ackedSeq) - int64(e.token.Seq))
	e.bool(o.holdOverPossible)
	e.bool(k.planDirty)
	for _, m := range k.committed.Moves {
		e.time(o.moveAcks[m.Token], now)
	}
	for _, id := range k.serverIDs {
		s := k.servers[id]
		e.text(id + s.incarnation)
		e.bool(s.lost)
		for _, t := range []Instant{s.heardAt, s.leaseEnd, s.earlierLeaseEnd, s.nextCall, s.nextRevoke} {
			e.time(t, now)
		}
		e.tok(s.setToken)
		e.tok(s.accepted)
		e.tok(s.revoked)
	}
}

func (e *encoder) standby(s *standbyState, now Instant) {
	e.text("standby")
	e.time(s.heardAt, now)
	e.row(s.newest)
	p := s.promise
	for _, n := range []uint64{p.floor, p.promised, p.confirmed} {
		e.int(int64(n) - int64(e.number))
	}
	e.time(p.promiseUntil, now)
	e.time(p.confirmedAt, now)
	for _, id := range slices.Sorted(maps.Keys(s.holdOver)) {
		e.time(s.holdOver[id].nextAsk, now)
	}
}

func (e *encoder) packet(p *packet, w *world) {
	e.int(int64(p.kind))
	e.text(p.ref.String() + p.server)
	e.time(p.sentAt, w.now)
	switch p.kind {
	case packetWrite:
		e.row(p.write.Row)
		e.int(int64(p.write.Expect) - int64(e.version))
	case packetCall:
		e.tok(p.grant.Token)
		e.tok(p.revoke.Token)
		e.bool(p.grant.Renew)
		e.int(p.grant.ExpiresAt - w.server(p.server).clock(w.now))
		e.int(int64(len(p.grant.Slots)))
	case packetPeer:
		e.int(int64(p.peer.Message.Kind))
		e.int(int64(p.peer.Message.Number) - int64(e.number))
		e.row(p.peer.Message.Row)
	}
}

// fingerprint returns the encoded state of the world.
func (w *world) fingerprint() string {
	e := &encoder{version: w.table.version}
	if w.table.row != nil {
		e.token = w.table.row.Token()
	}
	for _, v := range w.vms {
		if v.replica.keeper != nil {
			e.number = v.replica.keeper.outage.number
			break
		}
	}
	e.row(w.table.row)
	e.bool(w.table.down)
	for _, v := range w.vms {
		e.replica(v, w.now)
	}
	for _, s := range w.servers {
		e.bool(s.down)
		e.tok(s.highest)
		e.int(max(s.expiresAt-s.clock(w.now), -1))
		for _, h := range s.held {
			e.int(int64(h.Slot))
			e.tok(h.Token)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(w.delaying)) {
		e.text(id)
	}
	for _, list := range [][]*packet{w.inFlight, w.delayed} {
		e.int(int64(len(list)))
		for _, p := range list {
			e.packet(p, w)
		}
	}
	for _, slot := range slices.Sorted(maps.Keys(w.plan.Owners)) {
		e.text(w.plan.Owners[slot])
	}
	return string(e.out)
}
