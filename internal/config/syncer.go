package config

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"

	"kumquatcleat/internal/platform"
)

// Peers fetches configuration from other VMs. Calls return when ctx is done.
type Peers interface {
	// Digest returns Store.Digest of a VM. It is called every second.
	Digest(ctx context.Context, vm string) (uint64, error)
	// Configs returns Store.RawNewer(known) of a VM.
	Configs(ctx context.Context, vm string, known map[string]uint64) ([][]byte, error)
}

// maxReads bounds how many changed records are read one by one. Beyond it, all records are
// read in one call; otherwise a burst of changes would exceed the read capacity of the
// platform.
const maxReads = 4

// SyncerOptions holds the dependencies of a Syncer.
type SyncerOptions struct {
	Self        Member
	Incarnation string
	Store       *Store
	Table       platform.Table
	Peers       Peers
	// Members returns the live entry VMs, including this one. The order is stable
	// while the list does not change. The slice is shared and never modified; a change
	// returns a new one.
	Members func() []Member
	Log     *slog.Logger     // nil: slog.Default
	Metrics metrics.Registry // nil: metrics.DefaultRegistry
}

// Syncer keeps the records of a VM up to date from the platform and from other VMs.
type Syncer struct {
	opt    SyncerOptions
	synced atomic.Bool

	// Used only by the goroutine of Run.
	schedule               schedule
	schemaSupportPublished bool
	sequence               uint64 // ChangeLog.Sequence of the last change applied here
	listed                 bool   // all records have been read from the platform once

	mu         sync.Mutex        // guards unreadable
	unreadable map[string]uint64 // record name -> highest version that this release can't read

	polls, failures, unreadableCount metrics.Counter
}

// NewSyncer returns a syncer. Run starts it.
func NewSyncer(opt SyncerOptions) *Syncer {
	if opt.Log == nil {
		opt.Log = slog.Default()
	}
	if opt.Metrics == nil {
		opt.Metrics = metrics.DefaultRegistry
	}
	return &Syncer{
		opt:             opt,
		schedule:        schedule{self: opt.Self},
		unreadable:      make(map[string]uint64),
		polls:           metrics.GetOrRegisterCounter("config.polls", opt.Metrics),
		failures:        metrics.GetOrRegisterCounter("config.poll_failures", opt.Metrics),
		unreadableCount: metrics.GetOrRegisterCounter("config.unreadable_records", opt.Metrics),
	}
}

// Synced reports whether the VM has read its records from the platform or from enough
// other VMs. Those are pollers, the VMs that read the platform (see schedule.go):
// startupSampleSize of them, or all if there are fewer, or any one of them as of round
// startupSampleRounds. Until then the VM must not serve, as it might route by an outdated
// configuration.
func (sy *Syncer) Synced() bool { return sy.synced.Load() }

// Run polls until ctx is done. A random delay after the first round spreads VMs that
// start together over one interval.
func (sy *Syncer) Run(ctx context.Context) error {
	sy.Round(ctx)
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(rand.N(PollInterval)):
	}
	ticker := time.NewTicker(PollInterval)
	defer ticker.Stop()
	for {
		sy.Round(ctx)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

// Round runs one round of the schedule and puts newer records into force. Run calls
// it; tests call it on a virtual clock. It is not safe for concurrent use.
func (sy *Syncer) Round(ctx context.Context) {
	r := sy.schedule.next(sy.opt.Members())
	res := sy.runRound(ctx, r)
	sy.publishSchemaSupport(ctx)
	if sy.schedule.recordResult(r, res) {
		sy.synced.Store(true)
		sy.opt.Log.Info("config: ready to serve",
			"records", len(sy.opt.Store.Services()), "from_platform", res.PlatformRead, "peers", len(res.Answered))
	}
}

// runRound makes all calls of a round concurrently.
func (sy *Syncer) runRound(ctx context.Context, r round) result {
	var group sync.WaitGroup
	var platformErr error
	answered := make([]bool, len(r.Peers))
	if r.Platform {
		group.Go(func() { platformErr = sy.pollPlatform(ctx) })
	}
	for i, vm := range r.Peers {
		group.Go(func() { answered[i] = sy.pollPeer(ctx, vm) })
	}
	group.Wait()
	res := result{PlatformRead: r.Platform && platformErr == nil, PlatformFailed: platformErr != nil}
	for i, vm := range r.Peers {
		if answered[i] {
			res.Answered = append(res.Answered, vm)
		} else {
			res.Failed = append(res.Failed, vm)
		}
	}
	if platformErr != nil {
		sy.failures.Inc(1)
		sy.opt.Log.Debug("config: poll of the platform failed", "error", platformErr)
	}
	return res
}

// publishSchemaSupport publishes the schemas that this VM can read. Acceptor.Apply uses
// them to refuse a record that a live VM can't read. If publishing fails at the start of
// the VM, it is retried every fallbackPeriodRounds rounds, in a round that depends on the
// VM's id, so that the VMs do not all retry at once.
func (sy *Syncer) publishSchemaSupport(ctx context.Context) {
	first := sy.schedule.roundNumber == 1
	if sy.schemaSupportPublished || (!first && !sy.schedule.isStaggeredTurn()) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := PublishSchemaSupport(ctx, sy.opt.Table, sy.opt.Self.ID, sy.opt.Incarnation); err != nil {
		sy.opt.Log.Debug("config: publishing the readable schemas failed", "error", err)
		return
	}
	sy.schemaSupportPublished = true
}

// pollPlatform reads the change log and then the records that changed since the last
// round.
func (sy *Syncer) pollPlatform(ctx context.Context) error {
	sy.polls.Inc(1)
	short, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	changeLog, _, err := ReadChangeLog(short, sy.opt.Table)
	if err != nil {
		return err
	}
	if sy.listed && changeLog.Sequence <= sy.sequence {
		return nil
	}
	rows, err := sy.changedRows(ctx, changeLog)
	if err != nil {
		return err
	}
	sy.applyRows(rows)
	sy.sequence, sy.listed = changeLog.Sequence, true
	return nil
}

// changedRows reads the records that changed after sy.sequence. It reads all records
// if the change log is incomplete or lists too many changes.
func (sy *Syncer) changedRows(ctx context.Context, changeLog ChangeLog) ([]platform.Row, error) {
	names, complete := changeLog.After(sy.sequence)
	if !sy.listed || !complete || len(names) > maxReads {
		ctx, cancel := context.WithTimeout(ctx, listTimeout)
		defer cancel()
		return sy.opt.Table.List(ctx, RecordPrefix)
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var rows []platform.Row
	for _, name := range names {
		row, err := sy.opt.Table.Get(ctx, RecordKey(name))
		if err != nil {
			return nil, err
		}
		rows = append(rows, row)
	}
	return rows, nil
}

func (sy *Syncer) applyRows(rows []platform.Row) {
	var raw [][]byte
	for _, row := range rows {
		if stored, ok := sy.decodeRow(row); ok {
			raw = append(raw, stored.Record)
		}
	}
	sy.applyRecords(raw, "platform")
}

// pollPeer fetches newer records from another VM. It returns false if that VM did not
// answer or has no records.
func (sy *Syncer) pollPeer(ctx context.Context, vm string) bool {
	sy.polls.Inc(1)
	short, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	digest, err := sy.opt.Peers.Digest(short, vm)
	if err != nil {
		sy.peerFailed(vm, err)
		return false
	}
	if digest == emptyDigest {
		return false
	}
	if digest == sy.opt.Store.Digest() {
		return true
	}
	short, cancelConfigs := context.WithTimeout(ctx, callTimeout)
	defer cancelConfigs()
	raw, err := sy.opt.Peers.Configs(short, vm, sy.knownVersions())
	if err != nil {
		sy.peerFailed(vm, err)
		return false
	}
	sy.applyRecords(raw, vm)
	return true
}

func (sy *Syncer) peerFailed(vm string, err error) {
	sy.failures.Inc(1)
	sy.opt.Log.Debug("config: poll of peer failed", "vm", vm, "error", err)
}

// knownVersions returns the versions that peers need not send: those in force and
// those that this release can't read.
func (sy *Syncer) knownVersions() map[string]uint64 {
	known := sy.opt.Store.Versions()
	sy.mu.Lock()
	defer sy.mu.Unlock()
	for name, version := range sy.unreadable {
		known[name] = max(known[name], version)
	}
	return known
}

// applyRecords decodes records and puts the newer ones into force.
func (sy *Syncer) applyRecords(raw [][]byte, from string) {
	var services []*Service
	for _, data := range raw {
		s, err := Decode(data)
		if err != nil {
			sy.reportUnreadable(data, from, err)
			continue
		}
		services = append(services, s)
	}
	changed := sy.opt.Store.Put(services...)
	for _, name := range changed {
		s, _ := sy.opt.Store.Service(name)
		sy.opt.Log.Info("config: record in force", "record", name, "version", s.Version, "from", from)
	}
}
