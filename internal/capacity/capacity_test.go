package capacity

import (
	"encoding/json"
	"fmt"
	"runtime"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"kumquatcleat/internal/backend"
	"kumquatcleat/internal/config"
	"kumquatcleat/internal/membership"
	"kumquatcleat/internal/ownership"
	"kumquatcleat/internal/peer"
	"kumquatcleat/internal/placement"
	"kumquatcleat/internal/platform"
	"kumquatcleat/internal/routing"
)

// Sizes at which the benchmarks measure growth.
var (
	vmCounts     = []int{12, 73, 730, 7300}
	slotCounts   = []int{16, 160, 1600, 16000}
	serverCounts = []int{4, 16, 64, 256}
)

// domains is the number of failure domains that the VMs are spread over.
const domains = 9

func vmName(i int) string        { return fmt.Sprintf("lk-west-%d-entry-%04d", i%domains, i) }
func incarnationOf(i int) string { return fmt.Sprintf("i-%08x.%08x", i, i) }
func domainOf(i int) string      { return fmt.Sprintf("lk-west-%d", i%domains) }
func serverOf(i int) string      { return fmt.Sprintf("reefread-%d-%04d", i%domains, i) }
func addressOf(i int) string     { return fmt.Sprintf("10.%d.%d.%d:7000", i%domains, i>>8, i&255) }

func vms(n int) []platform.VM {
	list := make([]platform.VM, n)
	for i := range list {
		list[i] = platform.VM{
			ID: vmName(i), Incarnation: incarnationOf(i), Role: "entry", FailureDomain: domainOf(i),
			Address: addressOf(i), State: platform.VMLive,
		}
	}
	return list
}

// readView returns the membership view of the first of n VMs after one read of the VM
// list.
func readView(n int) *membership.View {
	list := vms(n)
	self := membership.Self{ID: list[0].ID, Incarnation: list[0].Incarnation, FailureDomain: list[0].FailureDomain, Address: list[0].Address}
	v := membership.NewView(self, membership.DefaultSettings)
	v.ListRead(time.Second, list, 0)
	return v
}

func heapBytes() float64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}

func BenchmarkViewState(b *testing.B) {
	for _, n := range vmCounts {
		b.Run(fmt.Sprintf("vms=%d", n), func(b *testing.B) {
			before := heapBytes()
			var view *membership.View
			for b.Loop() {
				view = readView(n)
				view.Live(time.Second)
			}
			b.ReportMetric(heapBytes()-before, "state-bytes")
			list, _ := json.Marshal(vms(n))
			b.ReportMetric(float64(len(list)), "list-bytes")
			runtime.KeepAlive(view)
		})
	}
}

func BenchmarkViewListRead(b *testing.B) {
	for _, n := range vmCounts {
		b.Run(fmt.Sprintf("vms=%d", n), func(b *testing.B) {
			view, list, now := readView(n), vms(n), time.Second
			for b.Loop() {
				now += time.Second
				view.ListRead(now, list, 0)
			}
		})
	}
}

// BenchmarkViewTick measures the periodic work of a view when nothing has changed.
func BenchmarkViewTick(b *testing.B) {
	for _, n := range vmCounts {
		b.Run(fmt.Sprintf("vms=%d", n), func(b *testing.B) {
			view, now := readView(n), time.Second
			view.Candidates(now, domainOf(0), config.IsolationKeep, "g")
			for b.Loop() {
				now += 50 * time.Millisecond
				view.Tick(now)
				view.PingTargets(now)
			}
		})
	}
}

// BenchmarkViewCandidatesChanged measures the cost for a group whose candidates are not
// cached, as after a change of the view.
func BenchmarkViewCandidatesChanged(b *testing.B) {
	for _, n := range vmCounts {
		b.Run(fmt.Sprintf("vms=%d", n), func(b *testing.B) {
			view, now := readView(n), time.Second
			for i := 0; b.Loop(); i++ {
				view.Candidates(now, domainOf(0), config.IsolationKeep, fmt.Sprint(i%100_000))
			}
		})
	}
}

func BenchmarkViewCandidatesUnchanged(b *testing.B) {
	for _, n := range vmCounts {
		b.Run(fmt.Sprintf("vms=%d", n), func(b *testing.B) {
			view, now := readView(n), time.Second
			for b.Loop() {
				view.Candidates(now, domainOf(0), config.IsolationKeep, "g")
			}
		})
	}
}

func BenchmarkViewLive(b *testing.B) {
	for _, n := range vmCounts {
		b.Run(fmt.Sprintf("vms=%d", n), func(b *testing.B) {
			view, now := readView(n), time.Second
			for b.Loop() {
				view.Live(now)
			}
		})
	}
}

func planInput(slots, servers int) placement.Input {
	in := placement.Input{Current: map[uint32]string{}}
	for i := range servers {
		in.Servers = append(in.Servers, placement.Server{ID: serverOf(i), Capacity: 6, Home: true})
	}
	for slot := range uint32(slots) {
		in.Slots = append(in.Slots, placement.SlotLoad{Slot: slot, Load: float64(1 + slot*7919%97)})
	}
	in.Current = placement.Plan(in, placement.DefaultSettings)
	return in
}

func BenchmarkPlanBalanced(b *testing.B) {
	for _, servers := range serverCounts {
		for _, slots := range slotCounts {
			b.Run(fmt.Sprintf("servers=%d/slots=%d", servers, slots), func(b *testing.B) {
				in := planInput(slots, servers)
				b.ReportAllocs()
				for b.Loop() {
					placement.Plan(in, placement.DefaultSettings)
				}
			})
		}
	}
}

// BenchmarkPlanAfterLoss measures a plan after one server failed.
func BenchmarkPlanAfterLoss(b *testing.B) {
	for _, servers := range serverCounts {
		b.Run(fmt.Sprintf("servers=%d/slots=1600", servers), func(b *testing.B) {
			in := planInput(1600, servers)
			in.Servers[0].Unreachable = true
			for b.Loop() {
				placement.Plan(in, placement.DefaultSettings)
			}
		})
	}
}

func groupRow(slots, servers int) *ownership.GroupRow {
	row := &ownership.GroupRow{
		Schema: ownership.RowSchema, Group: "reefread/lk-west-1/0", Epoch: 120, Seq: 43210,
		WriteID: "6f1c0f9e-8a53-4f0e-9d7e-3c1d2a4b5e6f",
		Keeper:  ownership.VMRef{ID: vmName(1), Incarnation: incarnationOf(1)},
		Standby: ownership.VMRef{ID: vmName(10), Incarnation: incarnationOf(10)},
	}
	for slot := range slots {
		row.Slots = append(row.Slots, ownership.SlotOwner{
			Slot:  uint32(slot * domains),
			Owner: ownership.ServerRef{ID: serverOf(slot % servers), Incarnation: incarnationOf(slot % servers)},
			Token: backend.Token{Epoch: 120, Seq: uint64(40000 + slot)},
		})
	}
	return row
}

func BenchmarkGroupRow(b *testing.B) {
	for _, slots := range slotCounts {
		row := groupRow(slots, 16)
		data, err := ownership.EncodeRow(row)
		if err != nil {
			b.Fatal(err)
		}
		b.Run(fmt.Sprintf("encode/slots=%d", slots), func(b *testing.B) {
			for b.Loop() {
				_, _ = ownership.EncodeRow(row)
			}
			b.ReportMetric(float64(len(data)), "row-bytes")
		})
		b.Run(fmt.Sprintf("decode/slots=%d", slots), func(b *testing.B) {
			for b.Loop() {
				_, _ = ownership.DecodeRow(data)
			}
		})
	}
}

func routesAnswer(slots int) *peer.RoutesAnswer {
	answer := &peer.RoutesAnswer{Keeper: true, Version: 43210, Token: &peer.Token{Epoch: 120, Seq: 43210}, RouteLeaseMs: 500}
	for slot := range slots {
		answer.Routes = append(answer.Routes, &peer.Route{
			Slot: uint32(slot * domains), Server: serverOf(slot % 16), ServerIncarnation: incarnationOf(slot % 16),
			Token: &peer.Token{Epoch: 120, Seq: uint64(40000 + slot)},
		})
	}
	return answer
}

func BenchmarkRoutesAnswer(b *testing.B) {
	for _, slots := range slotCounts {
		answer := routesAnswer(slots)
		b.Run(fmt.Sprintf("slots=%d", slots), func(b *testing.B) {
			for b.Loop() {
				data, _ := proto.Marshal(answer)
				_ = proto.Unmarshal(data, &peer.RoutesAnswer{})
			}
			b.ReportMetric(float64(proto.Size(answer)), "answer-bytes")
		})
	}
}

func BenchmarkRoutesRequest(b *testing.B) {
	for _, slots := range []int{0, 16, 160, 1600} {
		request := &peer.RoutesRequest{
			From: &peer.VMRef{Id: vmName(1), Incarnation: incarnationOf(1)}, Group: "reefread/lk-west-1/0", KnownVersion: 43210,
		}
		for slot := range slots {
			request.Loads = append(request.Loads, &peer.SlotLoad{Slot: uint32(slot * domains), PerSecond: 3.7})
		}
		b.Run(fmt.Sprintf("loads=%d", slots), func(b *testing.B) {
			for b.Loop() {
				_, _ = proto.Marshal(request)
			}
			b.ReportMetric(float64(proto.Size(request)), "request-bytes")
		})
	}
}

// BenchmarkRouteState measures the memory that a router uses for the routes of a group.
func BenchmarkRouteState(b *testing.B) {
	for _, slots := range slotCounts {
		answer := routesAnswer(slots)
		data, _ := proto.Marshal(answer)
		b.Run(fmt.Sprintf("slots=%d", slots), func(b *testing.B) {
			before := heapBytes()
			var routes map[uint32]routing.SlotRoute
			for b.Loop() {
				var read peer.RoutesAnswer
				_ = proto.Unmarshal(data, &read)
				routes = make(map[uint32]routing.SlotRoute, len(read.Routes))
				for _, r := range read.Routes {
					token := backend.Token{Epoch: r.GetToken().GetEpoch(), Seq: r.GetToken().GetSeq()}
					routes[r.GetSlot()] = routing.SlotRoute{Server: r.GetServer(), ServerIncarnation: r.GetServerIncarnation(), Token: token}
				}
			}
			b.ReportMetric(heapBytes()-before, "state-bytes")
			runtime.KeepAlive(routes)
		})
	}
}

// BenchmarkHotKeys measures the cost of counting the key of one request.
func BenchmarkHotKeys(b *testing.B) {
	for _, capacity := range []int{64, 640, 6400} {
		b.Run(fmt.Sprintf("capacity=%d", capacity), func(b *testing.B) {
			keys := make([]string, 100_000)
			for i := range keys {
				keys[i] = fmt.Sprintf("thread-%08d", i*i%99_991)
			}
			before := heapBytes()
			sketch := placement.NewHotKeys(capacity)
			for i := 0; b.Loop(); i++ {
				sketch.Add(keys[i%len(keys)], 1)
			}
			b.ReportMetric(heapBytes()-before, "state-bytes")
			runtime.KeepAlive(sketch)
			runtime.KeepAlive(keys)
		})
	}
}

func BenchmarkServiceRecord(b *testing.B) {
	for _, servers := range append(serverCounts, 4096) {
		service := config.Service{Schema: 1, Version: 77, Name: "reefread", SlotCount: 240, Domains: []string{"lk-west-0", "lk-west-1", "lk-west-2"}}
		for i := range servers {
			service.Servers = append(service.Servers, config.Server{
				ID: serverOf(i), FailureDomain: domainOf(i), Address: addressOf(i), Slots: 6, Connections: 130, Checks: true, HonoursID: true,
			})
		}
		data, _ := json.Marshal(service)
		b.Run(fmt.Sprintf("servers=%d", servers), func(b *testing.B) {
			for b.Loop() {
				var read config.Service
				_ = json.Unmarshal(data, &read)
			}
			b.ReportMetric(float64(len(data)), "record-bytes")
		})
	}
}

// renewal returns a request to renew a grant and the response of a server that owns
// the given number of slots.
func renewal(slots int) (backend.GrantRequest, backend.ServerState) {
	grant := backend.GrantRequest{Group: "reefread/lk-west-1/0", Token: backend.Token{Epoch: 120, Seq: 43210}, Renew: true, ExpiresAt: 1765432109876}
	state := backend.ServerState{Server: serverOf(1), Incarnation: incarnationOf(1), Clock: 1765432109876, Accepted: true, Highest: grant.Token, Checks: true}
	for slot := range slots {
		state.Slots = append(state.Slots, backend.SlotToken{Slot: uint32(slot * domains), Token: grant.Token})
	}
	return grant, state
}

func BenchmarkGrantRenewal(b *testing.B) {
	for _, slots := range []int{16, 160, 1600} {
		grant, state := renewal(slots)
		request, _ := json.Marshal(grant)
		answer, _ := json.Marshal(state)
		b.Run(fmt.Sprintf("slots=%d", slots), func(b *testing.B) {
			for b.Loop() {
				var read backend.ServerState
				_ = json.Unmarshal(answer, &read)
			}
			b.ReportMetric(float64(len(request)), "grant-bytes")
			b.ReportMetric(float64(len(answer)), "state-bytes")
		})
	}
}
