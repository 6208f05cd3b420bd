package keyspace

import (
	"context"
	"testing"
	"time"

	"kumquatcleat/internal/rows"
)

// recordStore is a restored store that has one row, the owners record of the service "keyed".
type recordStore struct {
	rows.Store
	row rows.Row
}

// Get implements rows.Store.
func (s *recordStore) Get(context.Context, string, string) (rows.Row, error) { return s.row, nil }

// Era implements rows.Store.
func (*recordStore) Era() uint64 { return 1 }

// Guards against a coordinator that grants keys by the owners record of a restored store while
// servers hold them by a later one.
func TestCoordinatorRecoversRecordThatStoreLost(t *testing.T) {
	ranges := func(owner string) Record {
		return Record{Ranges: []Range{{Span: Span{0, planKeys - 1}, Owner: Holder{Server: owner, Incarnation: 1}, Token: 5}}}
	}
	old, err := ranges("old").encode()
	if err != nil {
		t.Fatal(err)
	}
	for name, row := range map[string]rows.Row{
		"older record": {Key: "keyed", Version: rows.VersionIn(1, 6), Value: old},
		"no record":    {Key: "keyed"},
	} {
		t.Run(name, func(t *testing.T) {
			now, complete := time.Minute, false
			owners := NewOwners()
			c := NewCoordinator(Options{
				Objective: func(string) time.Duration { return time.Second }, SlowTime: func(string) time.Duration { return 0 },
				Settings: CoordinatorSettings{Timing: walkTiming, Keys: planKeys, Plan: testPlan}, Store: &recordStore{row: row}, Owners: owners,
				CoordinatorLease: &CoordinatorLease{clock: func() time.Duration { return now }},
				AskRecords:       func(context.Context, time.Duration) bool { return complete }, Clock: func() time.Duration { return now },
			})
			owners.update("keyed", ranges("last"), 9)
			owners.Apply([]rows.Row{row})
			if svc := c.serviceState(t.Context(), "keyed"); svc != nil {
				t.Fatal("the coordinator works although a VM did not tell its newest record")
			}
			now, complete = now+time.Second, true
			svc := c.serviceState(t.Context(), "keyed")
			if svc == nil {
				t.Fatal("the coordinator does not work although all VMs told their newest record")
			}
			if got := svc.leases.record.Ranges[0].Owner.Server; got != "last" {
				t.Errorf("got owner %q, want the one of the last record", got)
			}
			if r := svc.leases.record.Ranges[0]; svc.leases.version != row.Version || svc.leases.mayGrant(&r) || svc.leases.inheritedToken < rows.VersionIn(1, 0) {
				t.Errorf("got version %d, inherited token %d: want a write over the restored row that raises all tokens", svc.leases.version, svc.leases.inheritedToken)
			}
		})
	}
}

// A VM that never answers delays the coordinator until all leases that it may have granted
// have expired.
func TestCoordinatorWaitsForLeasesOfSilentVM(t *testing.T) {
	now := time.Minute
	c := NewCoordinator(Options{
		Objective: func(string) time.Duration { return time.Second }, SlowTime: func(string) time.Duration { return 0 },
		Settings: CoordinatorSettings{Timing: walkTiming, Keys: planKeys, Plan: testPlan}, Store: &recordStore{}, Owners: NewOwners(),
		CoordinatorLease: &CoordinatorLease{clock: func() time.Duration { return now }},
		AskRecords:       func(context.Context, time.Duration) bool { return false }, Clock: func() time.Duration { return now },
	})
	const step = 100 * time.Millisecond
	for c.serviceState(t.Context(), "keyed") == nil {
		if now += step; now > 2*time.Minute {
			t.Fatal("the coordinator does not work after a minute")
		}
	}
	if waited := now - time.Minute; waited < walkTiming.Lease || waited > walkTiming.Lease+3*time.Second {
		t.Errorf("the coordinator waited %v, want a little more than the lease of %v", waited, walkTiming.Lease)
	}
}

// Guards against a coordinator that takes a copy of its own write for the last record: others
// may have written later ones that are lost.
func TestWriteFoundInCopyIsNotCommitted(t *testing.T) {
	for era, committed := range map[uint64]bool{0: false, 1: true} {
		written := Record{WriteID: "a/1", Era: era}
		value, err := written.encode()
		if err != nil {
			t.Fatal(err)
		}
		row := rows.Row{Key: "keyed", Version: rows.VersionIn(1, 6), Value: value}
		c := NewCoordinator(Options{Store: &recordStore{row: row}})
		version, err := c.writeOutcome(t.Context(), "keyed", "a/1", rows.VersionIn(era, 5), rows.ErrConflict)
		if (err == nil && version == row.Version) != committed {
			t.Errorf("write of era %d found in era 1: got version %d, error %v; committed should be %v", era, version, err, committed)
		}
	}
}
