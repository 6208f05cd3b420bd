package gateway

import (
	"context"
	"encoding/json"
	"log/slog"
	"time"

	"kumquatcleat/internal/keyspace"
	"kumquatcleat/internal/retry"
	"kumquatcleat/internal/rows"
	"kumquatcleat/internal/wait"
)

// The row of a VM in the store: this VM keeps its own there, and expects those of the others
// back if a restored store lacks them.

// announceRetry is the interval between attempts to write this VM's row, and between checks
// that it is still there. postPause is the least time between writes of what it posts.
const (
	announceRetry = time.Second
	postPause     = 200 * time.Millisecond
)

// post changes what this VM's row tells of suspects.
func (p *peers) post(post retry.Post) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.row != nil && post.Change == p.posted.Change && len(post.Suspects) == len(p.posted.Suspects) {
		return
	}
	row := vmRow{PeerAddress: p.settings.PeerListen, FailureDomain: p.settings.FailureDomain, Strength: strength(p.settings), RecordFormat: keyspace.FormatColumns}
	if len(post.Suspects) > 0 {
		row.Suspects = &postedSuspects{AtMS: time.Now().UnixMilli(), List: post.Suspects}
	}
	value, err := json.Marshal(row)
	if err != nil {
		slog.Error("peers: encode row of this VM failed", "error", err.Error())
		return
	}
	p.posted, p.row = post, value
	select {
	case p.changed <- struct{}{}:
	default:
	}
}

// ownRow returns the row that this VM keeps in the store.
func (p *peers) ownRow() []byte {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.row
}

// announce keeps this VM's row in the store until the VM stops. A restored store may lack it.
func (p *peers) announce(ctx context.Context, vms *rows.View) {
	p.post(retry.Post{})
	for !vms.Synced() {
		if !wait.For(ctx, announceRetry/10) {
			return
		}
	}
	written := uint64(0)
	for {
		row, value := vms.Row(p.settings.VM), p.ownRow()
		if string(row.Value) != string(value) && vms.Version() >= written && !p.withdrawn.Load() {
			written = max(p.writeRow(ctx, row, value), written)
		}
		if ok, changed := wait.ForSignal(ctx, announceRetry, p.changed); !ok || changed && !wait.For(ctx, postPause) {
			return
		}
	}
}

// writeRow writes this VM's row, or finds that it is there, and returns its version. It
// returns 0 if it failed. row is the one that is expected in the store.
func (p *peers) writeRow(ctx context.Context, row rows.Row, value []byte) uint64 {
	const attempts = 2 // the second one expects what the store has
	for range attempts {
		if row.Version != 0 && string(row.Value) == string(value) {
			return row.Version
		}
		version, err := p.store.Commit(ctx, []rows.Write{{Table: vmsTable, Key: p.settings.VM, Expect: row.Version, Value: value}})
		if err == nil {
			slog.Info("peers: row of this VM is in the store", "vm", p.settings.VM, "version", version)
			return version
		}
		slog.Info("peers: row of this VM not written", "vm", p.settings.VM, "expected", row.Version, "error", err.Error())
		if row, err = p.store.Get(ctx, vmsTable, p.settings.VM); err != nil {
			return 0
		}
	}
	return 0
}

// withdraw removes this VM's row from the store.
func (p *peers) withdraw(ctx context.Context) {
	p.withdrawn.Store(true)
	row, err := p.store.Get(ctx, vmsTable, p.settings.VM)
	if err == nil && row.Version != 0 {
		_, err = p.store.Commit(ctx, []rows.Write{{Table: vmsTable, Key: row.Key, Expect: row.Version, Delete: true}})
	}
	if err != nil {
		slog.Warn("peers: remove row of this VM failed", "error", err.Error())
	}
}

// rowReturnTime is how long a VM stays known whose row disappeared during or shortly after a
// store outage: VMs whose rows a restored store lacks write them again.
const rowReturnTime = 5 * time.Second

// expectBack forgets a VM whose row is missing, unless it is back within rowReturnTime. The
// caller holds the lock.
func (p *peers) expectBack(vm string) {
	since := time.Now()
	p.missing[vm] = since
	time.AfterFunc(rowReturnTime, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		if p.missing[vm] == since {
			delete(p.missing, vm)
			p.forget(vm)
			p.ordered = nil
		}
	})
}
