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

// Peers asks other VMs for configuration. Calls end when ctx does.
type Peers interface {
	// Digest returns Store.Digest of a VM. It is asked each second.
	Digest(ctx context.Context, vm string) (uint64, error)
	// Configs returns Store.RawNewer(known) of a VM.
	Configs(ctx context.Context, vm string, known map[string]uint64) ([][]byte, error)
}

// maxReads is how many changed records are read one by one. More are read in one
// call: a burst of changes would exceed the platform's reads otherwise.
const maxReads = 4

// SyncerOptions is what a Syncer works with.
type SyncerOptions struct {
	Self        Member
	Incarnation string
	Store       *Store
	Table       platform.Table
	Peers       Peers
	// Members returns the live entry VMs, this one among them, in the same order
	// while they are the same. The slice is
	// shared: a change gives a new slice.
	Members func() []Member
	Log     *slog.Logger     // nil: slog.Default
	Metrics metrics.Registry // nil: metrics.DefaultRegistry
}

// Syncer keeps a VM's records up to date from the platform and from other VMs.
type Syncer struct {
	opt    SyncerOptions
	synced atomic.Bool

	// Used by the goroutine of Run alone.
	schedule  schedule
	published bool
	sequence  uint64 // of the last change in force here, as the platform counts
	listed    bool   // all records were read from the platform once

	mu         sync.Mutex        // guards unreadable
	unreadable map[string]uint64 // name -> version that this release can't read

	polls, failures, refused metrics.Counter
}

// NewSyncer returns a syncer that has asked nobody yet.
func NewSyncer(opt SyncerOptions) *Syncer {
	if opt.Log == nil {
		opt.Log = slog.Default()
	}
	if opt.Metrics == nil {
		opt.Metrics = metrics.DefaultRegistry
	}
	return &Syncer{
		opt:        opt,
		schedule:   schedule{self: opt.Self},
		unreadable: make(map[string]uint64),
		polls:      metrics.GetOrRegisterCounter("config.polls", opt.Metrics),
		failures:   metrics.GetOrRegisterCounter("config.poll_failures", opt.Metrics),
		refused:    metrics.GetOrRegisterCounter("config.unreadable_records", opt.Metrics),
	}
}

// Synced reports whether the VM has the records that were in force when it
// started: from the platform, or from several VMs while the platform is down.
// Before that it must not serve, or it might route by an older configuration.
func (sy *Syncer) Synced() bool { return sy.synced.Load() }

// Run asks until ctx ends. VMs that start together spread over one interval.
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

// Round asks once whom the schedule names and brings what is newer into force.
// Run calls it; tests call it on their own clock. Not for concurrent use.
func (sy *Syncer) Round(ctx context.Context) {
	r := sy.schedule.next(sy.opt.Members())
	res := sy.ask(ctx, r)
	sy.publish(ctx)
	if sy.schedule.finished(r, res) {
		sy.synced.Store(true)
		sy.opt.Log.Info("config: ready to serve",
			"records", len(sy.opt.Store.Services()), "from_platform", res.PlatformRead, "peers", len(res.Answered))
	}
}

// ask carries out a round, all questions at the same time.
func (sy *Syncer) ask(ctx context.Context, r round) result {
	var group sync.WaitGroup
	var platformErr error
	answered := make([]bool, len(r.Peers))
	if r.Platform {
		group.Go(func() { platformErr = sy.readPlatform(ctx) })
	}
	for i, vm := range r.Peers {
		group.Go(func() { answered[i] = sy.askPeer(ctx, vm) })
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
		sy.opt.Log.Debug("config: platform did not answer", "error", platformErr)
	}
	return res
}

// publish tells operators what this VM reads. A VM that could not tell at its
// start tries again at times that spread all VMs over fallbackRounds.
func (sy *Syncer) publish(ctx context.Context) {
	first := sy.schedule.number == 1
	if sy.published || (!first && !sy.schedule.turn()) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := PublishReadableSchemas(ctx, sy.opt.Table, sy.opt.Self.ID, sy.opt.Incarnation); err != nil {
		sy.opt.Log.Debug("config: readable schemas not published", "error", err)
		return
	}
	sy.published = true
}

// readPlatform reads the digest and then what changed since the last round.
func (sy *Syncer) readPlatform(ctx context.Context) error {
	sy.polls.Inc(1)
	short, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	digest, _, err := ReadDigest(short, sy.opt.Table)
	if err != nil {
		return err
	}
	if sy.listed && digest.Sequence <= sy.sequence {
		return nil
	}
	rows, err := sy.changedRows(ctx, digest)
	if err != nil {
		return err
	}
	sy.takeRows(rows)
	sy.sequence, sy.listed = digest.Sequence, true
	return nil
}

// changedRows reads the records that changed after sy.sequence, or all of them.
func (sy *Syncer) changedRows(ctx context.Context, digest Digest) ([]platform.Row, error) {
	names, complete := digest.After(sy.sequence)
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

func (sy *Syncer) takeRows(rows []platform.Row) {
	var raw [][]byte
	for _, row := range rows {
		if stored, ok := sy.stored(row); ok {
			raw = append(raw, stored.Record)
		}
	}
	sy.take(raw, "platform")
}

// askPeer learns from another VM. It returns false when that VM did not answer
// or has no records itself.
func (sy *Syncer) askPeer(ctx context.Context, vm string) bool {
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
	raw, err := sy.opt.Peers.Configs(short, vm, sy.known())
	if err != nil {
		sy.peerFailed(vm, err)
		return false
	}
	sy.take(raw, vm)
	return true
}

func (sy *Syncer) peerFailed(vm string, err error) {
	sy.failures.Inc(1)
	sy.opt.Log.Debug("config: peer did not answer", "vm", vm, "error", err)
}

// known returns the versions that need not be sent again: those in force and
// those that this release can't read.
func (sy *Syncer) known() map[string]uint64 {
	known := sy.opt.Store.Versions()
	sy.mu.Lock()
	defer sy.mu.Unlock()
	for name, version := range sy.unreadable {
		known[name] = max(known[name], version)
	}
	return known
}

// take decodes records and brings those that are newer into force.
func (sy *Syncer) take(raw [][]byte, from string) {
	var services []*Service
	for _, data := range raw {
		s, err := Decode(data)
		if err != nil {
			sy.cannotRead(data, from, err)
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
