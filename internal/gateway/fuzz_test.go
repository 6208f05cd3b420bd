package gateway

import (
	"encoding/json"
	"testing"
	"time"

	"kumquatcleat/internal/keyspace"
	"kumquatcleat/internal/retry"
)

// A response of another VM that is accepted can be applied to the views.
func FuzzPeerUpdates(f *testing.F) {
	value, err := compress([]byte("value"))
	if err != nil {
		f.Fatal(err)
	}
	packed, err := json.Marshal(value)
	if err != nil {
		f.Fatal(err)
	}
	f.Add([]byte(`{"updates":[{"table":"config","page":{"rows":[{"key":"c","version":3}],"version":3}}],"packed":[{"update":0,"row":0,"value":` + string(packed) + `}]}`))
	f.Add([]byte(`{"updates":[{"table":"other","whole":true,"page":{"rows":[{"key":"c","deleted":true}]}}],"packed":[{"update":1}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		var answer updatesAnswer
		if json.Unmarshal(data, &answer) != nil || answer.unpack() != nil {
			return
		}
		s, _ := newTestViewSync(t)
		s.set.Apply(answer.Updates)
	})
}

// A load report that is accepted can be planned with.
func FuzzLoadReport(f *testing.F) {
	f.Add([]byte(`{"requests":{"s":{"1":2,"65535":1e300,"4294967295":3,"7":-1}},"times":{"a":{"count":-1,"seconds":1e308}}}`))
	f.Add([]byte(`{"rate_limits":[{"server":"s","incarnation":1,"rate":1e308,"age_ms":-1},{"server":"s","lifted":true,"age_ms":9e18}]}`))
	f.Add([]byte(`{"suspects":{"suspects":[{"service":"s","fingerprint":18446744073709551615,"servers":["a","b"],"ttl_ns":9223372036854775807},{"ttl_ns":-1}],"known":{"process":"p","change":18446744073709551615}}}`))
	f.Add([]byte(`{"unanswered":[{"attempt":1,"service":"s","request":2,"path":2,"server":{"id":"i","incarnation":-1},"began_ago_ns":9223372036854775807,"lost_ago_ns":1},{"began_ago_ns":-1,"lost_ago_ns":-9223372036854775808}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		var report loadReport
		if json.Unmarshal(data, &report) != nil {
			return
		}
		suspicions := newTestSuspicions()
		suspicions.Exchange(report.Unanswered)
		for _, u := range suspicions.Exchange(nil) {
			if u.BeganAgo < u.LostAgo || u.LostAgo < 0 {
				t.Fatalf("got %+v, lost before it began", u)
			}
			suspicions.Ended(u.Server, "its entry is gone")
		}
		if found, _ := suspicions.Quarantine().Since(0, len(report.Unanswered)+1, true); len(report.Unanswered) < 2 && len(found) > 0 {
			t.Fatalf("got %d suspects of %d unanswered requests, want two servers lost under each", len(found), len(report.Unanswered))
		}
		q := retry.NewQuarantine(retry.DefaultQuarantineSettings(), time.Now)
		if answer := retry.Answer(q, "p", report.Suspects); len(answer.Suspects) > 0 && len(report.Suspects.Suspects) == 0 {
			t.Fatal("got suspects that nobody reported")
		}
		c := keyspace.NewCoordinator(keyspace.Options{
			Objective: func(string) time.Duration { return time.Second }, SlowTime: func(string) time.Duration { return 0 },
			Settings: keyspace.CoordinatorSettings{Keys: 100}, Clock: func() time.Duration { return time.Second },
		})
		c.Report(report.Report)
	})
}
