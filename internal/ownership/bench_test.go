package ownership

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"kumquatcleat/internal/backend"
)

// benchKeeper runs a keeper in table mode, whose table and servers answer without
// delay.
type benchKeeper struct {
	replica     *Replica
	now         Instant
	writes      int
	messages    int
	bytes       int
	renewals    int
	held        map[string][]backend.SlotToken
	highest     map[string]backend.Token
	countsBytes bool // count the bytes of grants and answers
	listsSlots  bool // answers to grants list the slots held
}

func newBenchKeeper(servers, slots int) *benchKeeper {
	k := &benchKeeper{now: time.Second, held: map[string][]backend.SlotToken{}, highest: map[string]backend.Token{}}
	var all []uint32
	plan := PlanChanged{Servers: map[string]ServerPlan{}, Owners: map[uint32]string{}}
	for i := range servers {
		plan.Servers[serverName(i)] = ServerPlan{Checks: true}
	}
	for i := range slots {
		all = append(all, uint32(i))
		plan.Owners[uint32(i)] = serverName(i % servers)
	}
	self := VMRef{ID: "vm-1", Incarnation: "6f1ed002ab5595859014ebf0951522d9"}
	k.replica = NewReplica(self, "reefread/lk-west-1/0", all, DefaultTiming, func() string {
		k.writes++
		return fmt.Sprintf("%032d", k.writes)
	})
	k.step(MembersChanged{Candidates: []VMRef{self}})
	k.step(plan)
	k.advance(5 * time.Second)
	return k
}

func serverName(i int) string { return fmt.Sprintf("server-%04d", i) }

// advance advances the time by d in ticks of the driver's interval.
func (k *benchKeeper) advance(d Instant) {
	const tick = 50 * time.Millisecond
	for end := k.now + d; k.now < end; {
		k.now += tick
		k.step(Tick{})
	}
}

// step processes an event, performs the resulting actions and delivers the answers.
func (k *benchKeeper) step(ev Event) {
	for _, a := range k.replica.Step(k.now, ev) {
		switch a := a.(type) {
		case ReadRow:
			t := &k.replica.table
			k.step(RowRead{SentAt: k.now, Row: t.row, Version: t.version})
		case WriteRow:
			k.step(RowWritten{WriteID: a.Row.WriteID, SentAt: k.now, Version: a.Expect + 1})
		case AskState:
			k.answer(a.Server, CallState, backend.Token{}, nil)
		case SendGrant:
			k.renewals++
			k.highest[a.Server] = a.Request.Token
			if !a.Request.Renew {
				k.held[a.Server] = a.Request.Slots
			}
			k.answer(a.Server, CallGrant, a.Request.Token, a.Request)
		}
	}
}

// answer delivers a server's answer and counts the bytes of the request and answer
// bodies.
func (k *benchKeeper) answer(id string, call ServerCall, token backend.Token, request any) {
	state := backend.ServerState{
		Server: id, Incarnation: "6f1ed002ab5595859014ebf0951522d9", Clock: k.now.Milliseconds(),
		Accepted: true, Highest: k.highest[id], Slots: k.held[id], Checks: true,
	}
	k.messages += 2
	if !k.listsSlots {
		state.Held, state.Slots = len(state.Slots), nil
	}
	if k.countsBytes {
		k.bytes += size(request) + size(state)
	}
	k.step(ServerAnswered{Server: id, Call: call, Token: token, SentAt: k.now, State: state})
}

func size(v any) int {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return len(data)
}

// BenchmarkControl measures one second of a keeper in table mode: the time per
// renewal, and the messages and JSON bytes of the renewals and their answers. The
// answers contain the number of slots held (bytes/s) or list them (listing-bytes/s).
func BenchmarkControl(b *testing.B) {
	for _, servers := range []int{3, 30, 300} {
		for _, slots := range []int{100, 1000, 10000} {
			b.Run(fmt.Sprintf("servers=%d/slots=%d", servers, slots), func(b *testing.B) {
				benchmarkControl(b, servers, slots)
			})
		}
	}
}

func benchmarkControl(b *testing.B, servers, slots int) {
	counted := newBenchKeeper(servers, slots)
	counted.countsBytes = true
	counted.messages, counted.renewals = 0, 0
	counted.advance(time.Second)
	listed := newBenchKeeper(servers, slots)
	listed.countsBytes, listed.listsSlots = true, true
	listed.advance(time.Second)
	k := newBenchKeeper(servers, slots)
	k.renewals = 0
	b.ResetTimer()
	for range b.N {
		k.advance(time.Second)
	}
	b.StopTimer()
	perRenewal := float64(b.Elapsed().Nanoseconds()) / float64(max(1, k.renewals))
	b.ReportMetric(perRenewal, "ns/renewal")
	b.ReportMetric(float64(counted.messages), "messages/s")
	b.ReportMetric(float64(counted.bytes), "bytes/s")
	b.ReportMetric(float64(listed.bytes), "listing-bytes/s")
	row, err := EncodeRow(k.replica.keeper.committed)
	if err != nil {
		b.Fatal(err)
	}
	b.ReportMetric(float64(len(row)), "row-bytes")
	full := backend.GrantRequest{Group: k.replica.group, Slots: k.held[serverName(0)]}
	b.ReportMetric(float64(size(full)), "grant-bytes")
}
