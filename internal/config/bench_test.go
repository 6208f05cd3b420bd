package config

import (
	"fmt"
	"testing"
)

func withServers(n int) *Service {
	s := record("swapbay", 1)
	s.Servers = nil
	for i := range n {
		s.Servers = append(s.Servers, Server{
			ID: fmt.Sprintf("swap-%d", i), FailureDomain: "a", Slots: 6, Connections: 130, Checks: true,
			Address: fmt.Sprintf("10.0.%d.%d:9000", i/250, 1+i%250),
		})
	}
	return s
}

func BenchmarkDecode(b *testing.B) {
	for _, servers := range []int{10, 100, 1000} {
		data := encoded(b, withServers(servers))
		b.Run(fmt.Sprintf("servers=%d", servers), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if _, err := Decode(data); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(data)), "bytes/record")
		})
	}
}

func BenchmarkEncode(b *testing.B) {
	for _, servers := range []int{10, 100, 1000} {
		s := withServers(servers)
		b.Run(fmt.Sprintf("servers=%d", servers), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if _, err := Encode(s); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkPut changes one record among many, which recomputes the digest.
func BenchmarkPut(b *testing.B) {
	for _, records := range []int{10, 100, 1000} {
		b.Run(fmt.Sprintf("records=%d", records), func(b *testing.B) {
			st := NewStore()
			for i := range records {
				st.Put(record(fmt.Sprintf("service-%d", i), 1))
			}
			version := uint64(1)
			b.ReportAllocs()
			for b.Loop() {
				version++
				st.Put(record("service-0", version))
			}
		})
	}
}

func BenchmarkService(b *testing.B) {
	st := NewStore()
	for i := range 1000 {
		st.Put(record(fmt.Sprintf("service-%d", i), 1))
	}
	b.ResetTimer()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			st.Service("service-500")
		}
	})
}

// BenchmarkSchedule measures schedule.next with the members of the previous round and
// after a change among them.
func BenchmarkSchedule(b *testing.B) {
	for _, each := range []int{4, 81, 811} {
		var members []Member
		for i := range each * 9 {
			members = append(members, Member{ID: fmt.Sprintf("vm-%d", i), FailureDomain: fmt.Sprintf("d%d", i%9)})
		}
		s := schedule{self: members[0], synced: true}
		b.Run(fmt.Sprintf("vms=%d/same", len(members)), func(b *testing.B) {
			for b.Loop() {
				s.next(members)
			}
		})
		b.Run(fmt.Sprintf("vms=%d/changed", len(members)), func(b *testing.B) {
			for b.Loop() {
				s.sources.members = nil
				s.next(members)
			}
		})
	}
}
