package ownership

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"kumquatcleat/internal/backend"
	"kumquatcleat/internal/logging"
	"kumquatcleat/internal/platform"
	"kumquatcleat/internal/ring"
)

const (
	inboxEvents  = 1024                  // events queued for the decider; when full, I/O goroutines wait
	tickInterval = 50 * time.Millisecond // delay until an expiry is noticed; short compared to a lease
	rowTimeout   = time.Second           // a row read slower than this gives no useful decision lease
	callTimeout  = 400 * time.Millisecond
	peerTimeout  = 300 * time.Millisecond
)

// Decider is the state machine that a Driver runs. Replica implements it.
type Decider interface {
	// Step processes one event and returns the actions to perform.
	Step(now Instant, ev Event) []Action
	// Routes returns the routes for a VM that asks, and records the route lease
	// that the answer gives to it. Replica keeps one end time for the leases of all
	// VMs and ignores leaseTo.
	Routes(now Instant, leaseTo VMRef) Routes
	// Status returns the state shown to operators.
	Status(now Instant) Status
}

// PeerSender sends agreement messages to other VMs. After an error the message may
// still have arrived.
type PeerSender interface {
	SendAgreement(ctx context.Context, to VMRef, group string, message PeerMessage) error
}

// ControllerFinder returns the control interface of a server by its id.
type ControllerFinder interface {
	Controller(server string) (backend.Controller, bool)
}

// Environment holds the dependencies with which a Driver performs actions.
type Environment struct {
	Table     platform.Table
	Servers   ControllerFinder
	Peers     PeerSender
	Decisions *logging.Decisions
	Clock     func() Instant // monotonic
}

// Driver runs one group's Decider on a single goroutine and performs its actions.
// Answers come back as events through a bounded queue.
type Driver struct {
	group   string
	env     Environment
	decider Decider
	inbox   *ring.Ring[message]
	stopped chan struct{} // closed when the decider has stopped
}

// message is an event, or a query that runs on the decider's goroutine.
type message struct {
	event Event
	ask   func(d Decider, now Instant)
}

// NewDriver returns a Driver. Run starts it.
func NewDriver(group string, decider Decider, env Environment) *Driver {
	return &Driver{
		group:   group,
		env:     env,
		decider: decider,
		inbox:   ring.New[message](inboxEvents),
		stopped: make(chan struct{}),
	}
}

// Run steps the decider until ctx is done.
func (d *Driver) Run(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			d.step(ctx, Tick{})
		case m := <-d.inbox.Items():
			if m.ask != nil {
				m.ask(d.decider, d.env.Clock())
				continue
			}
			d.step(ctx, m.event)
		}
	}
}

// Deliver queues an event for the decider. It waits while the queue is full and
// returns false if ctx is done first.
func (d *Driver) Deliver(ctx context.Context, ev Event) bool {
	return d.inbox.Put(ctx, message{event: ev})
}

// Stopped returns a channel that is closed once the decider has stopped.
func (d *Driver) Stopped() <-chan struct{} { return d.stopped }

// Routes returns the decider's routes for the VM leaseTo.
func (d *Driver) Routes(ctx context.Context, leaseTo VMRef) (Routes, error) {
	return ask(ctx, d, func(decider Decider, now Instant) Routes { return decider.Routes(now, leaseTo) })
}

// Status returns the decider's status.
func (d *Driver) Status(ctx context.Context) (Status, error) {
	return ask(ctx, d, func(decider Decider, now Instant) Status { return decider.Status(now) })
}

func ask[T any](ctx context.Context, d *Driver, query func(Decider, Instant) T) (T, error) {
	answers := make(chan T, 1)
	var none T
	put := d.inbox.Put(ctx, message{ask: func(decider Decider, now Instant) { answers <- query(decider, now) }})
	if !put {
		return none, ctx.Err()
	}
	select {
	case answer := <-answers:
		return answer, nil
	case <-ctx.Done():
		return none, ctx.Err()
	}
}

func (d *Driver) step(ctx context.Context, ev Event) {
	for _, action := range d.decider.Step(d.env.Clock(), ev) {
		d.perform(ctx, action)
	}
}

// perform starts an action. Each action that blocks runs on its own goroutine, so
// there are as many of them as calls in flight.
func (d *Driver) perform(ctx context.Context, action Action) {
	switch a := action.(type) {
	case ReadRow:
		go d.readRow(ctx)
	case WriteRow:
		go d.writeRow(ctx, a)
	case SendGrant:
		go d.grant(ctx, a)
	case SendRevoke:
		go d.revoke(ctx, a)
	case AskState:
		go d.askState(ctx, a)
	case SendPeer:
		go d.sendPeer(ctx, a)
	case LogDecision:
		d.log(a)
	case Stopped:
		d.markStopped()
	}
}

func (d *Driver) markStopped() {
	select {
	case <-d.stopped:
	default:
		close(d.stopped)
	}
}

func (d *Driver) readRow(ctx context.Context) {
	event := RowRead{SentAt: d.env.Clock()}
	callCtx, cancel := context.WithTimeout(ctx, rowTimeout)
	defer cancel()
	row, err := d.env.Table.Get(callCtx, RowKey(d.group))
	switch {
	case errors.Is(err, platform.ErrNotFound):
	case err != nil:
		event.Err = err
	default:
		event.Version = row.Version
		event.Row, event.Err = DecodeRow(row.Value)
	}
	d.Deliver(ctx, event)
}

func (d *Driver) writeRow(ctx context.Context, a WriteRow) {
	event := RowWritten{WriteID: a.Row.WriteID, SentAt: d.env.Clock(), Result: WriteUnknown}
	value, err := EncodeRow(a.Row)
	if err != nil {
		slog.Error("ownership: encode group row failed", "group", d.group, "error", err.Error())
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, rowTimeout)
	defer cancel()
	write := platform.Write{Key: RowKey(d.group), Expect: a.Expect, Value: value}
	versions, err := d.env.Table.Commit(callCtx, []platform.Write{write})
	switch {
	case err == nil && len(versions) == 1:
		event.Result = WriteApplied
		event.Version = versions[0]
	case errors.Is(err, platform.ErrConflict):
		event.Result = WriteConflicted
	}
	d.Deliver(ctx, event)
}

func (d *Driver) grant(ctx context.Context, a SendGrant) {
	event := ServerAnswered{Server: a.Server, Call: CallGrant, Token: a.Request.Token}
	d.callServer(ctx, event, func(ctx context.Context, c backend.Controller) (backend.ServerState, error) {
		return c.Grant(ctx, a.Request)
	})
}

func (d *Driver) revoke(ctx context.Context, a SendRevoke) {
	event := ServerAnswered{Server: a.Server, Call: CallRevoke, Token: a.Request.Token}
	d.callServer(ctx, event, func(ctx context.Context, c backend.Controller) (backend.ServerState, error) {
		return c.Revoke(ctx, a.Request)
	})
}

func (d *Driver) askState(ctx context.Context, a AskState) {
	event := ServerAnswered{Server: a.Server, Call: CallState}
	d.callServer(ctx, event, func(ctx context.Context, c backend.Controller) (backend.ServerState, error) {
		return c.State(ctx, d.group)
	})
}

var errUnknownServer = errors.New("ownership: server is not in the configuration")

func (d *Driver) callServer(ctx context.Context, event ServerAnswered,
	call func(context.Context, backend.Controller) (backend.ServerState, error)) {
	event.SentAt = d.env.Clock()
	controller, ok := d.env.Servers.Controller(event.Server)
	if !ok {
		event.Err = errUnknownServer
		d.Deliver(ctx, event)
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	event.State, event.Err = call(callCtx, controller)
	d.Deliver(ctx, event)
}

func (d *Driver) sendPeer(ctx context.Context, a SendPeer) {
	callCtx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	if err := d.env.Peers.SendAgreement(callCtx, a.To, d.group, a.Message); err != nil {
		slog.Debug("ownership: send agreement message to VM failed", "group", d.group, "vm", a.To.String(), "error", err.Error())
	}
}

func (d *Driver) log(a LogDecision) {
	attrs := []slog.Attr{slog.String("group", d.group), slog.String("token", a.Token.String())}
	if a.Slot >= 0 {
		attrs = append(attrs, slog.Int64("slot", a.Slot))
	}
	if a.Server != "" {
		attrs = append(attrs, slog.String("server", a.Server))
	}
	d.env.Decisions.Log("ownership: "+a.What, attrs...)
}
