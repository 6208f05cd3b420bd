package daemon

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"time"

	"kumquatcleat/internal/fault"
	"kumquatcleat/internal/ownership"
	"kumquatcleat/internal/peer"
	"kumquatcleat/internal/retry"
)

const (
	claimTimeout   = 250 * time.Millisecond // per message between VMs
	outcomeTimeout = 2 * time.Second        // for reporting the outcome of a claimed request
)

// Claims holds the claim tables of the groups of which this VM is keeper or standby,
// and sends this VM's own claims to the keepers. It implements retry.Claimer.
type Claims struct {
	self      ownership.VMRef
	settings  retry.ClaimSettings
	directory *Directory
	mu        sync.Mutex // guards tables and the fields of each entry
	tables    map[string]*groupClaims
}

// groupClaims is the claim table of one group and the keeper and standby that hold it,
// as far as this VM knows.
type groupClaims struct {
	table    *retry.ClaimTable
	isKeeper bool
	keeper   ownership.VMRef
	standby  ownership.VMRef
	epoch    uint64          // of the keeper's term; messages of other terms are refused
	copiedTo ownership.VMRef // the standby to which the table was or is being copied
}

// NewClaims returns a Claims without tables. ApplyStatus creates them.
func NewClaims(self ownership.VMRef, settings retry.ClaimSettings, directory *Directory) *Claims {
	return &Claims{self: self, settings: settings, directory: directory, tables: map[string]*groupClaims{}}
}

// ApplyStatus updates the keeper and standby of a group. If this VM is the keeper, a new
// standby gets a copy of the claim table.
func (c *Claims) ApplyStatus(ctx context.Context, group string, status ownership.Status) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if status.Keeper != c.self && status.Standby != c.self {
		// A VM that is neither keeper nor standby gets no updates, so its table is
		// stale. It must not decide claims by that table if it gets a role again.
		delete(c.tables, group)
		return
	}
	known, ok := c.tables[group]
	if ok && known.epoch > status.Token.Epoch {
		return // this status is of an earlier term than the one applied last
	}
	if !ok {
		known = &groupClaims{table: retry.NewClaimTable(c.settings, originOf(status, c.self), time.Now())}
		c.tables[group] = known
	}
	known.keeper, known.standby, known.epoch = status.Keeper, status.Standby, status.Token.Epoch
	c.setRole(group, known, status.Keeper == c.self)
	if known.isKeeper && !known.standby.IsZero() && known.copiedTo != known.standby {
		known.copiedTo = known.standby
		go c.copyToStandby(ctx, group, *known)
	}
}

// originOf distinguishes the first table of a new group from one whose predecessor is
// lost. Epoch 1 belongs to the VM that created the group's row.
func originOf(status ownership.Status, self ownership.VMRef) retry.Origin {
	if status.Token.Epoch == 1 && status.Keeper == self {
		return retry.OriginNewGroup
	}
	return retry.OriginLost
}

func (c *Claims) setRole(group string, known *groupClaims, isKeeper bool) {
	if known.isKeeper == isKeeper {
		return
	}
	known.isKeeper = isKeeper
	if isKeeper {
		known.table.BecomeKeeper()
		slog.Info("claims: became keeper", "group", group, "blind_ms", known.table.IncompleteFor(time.Now()).Milliseconds())
		return
	}
	known.table.BecomeStandby()
	slog.Info("claims: became standby", "group", group)
}

// copyToStandby sends the whole table to a standby. Until then, the standby's table
// holds new claims but is incomplete: it cannot decide about older ones.
func (c *Claims) copyToStandby(ctx context.Context, group string, state groupClaims) {
	err := c.sendCopy(ctx, group, state)
	if err == nil {
		return
	}
	slog.Debug("claims: copy of the claim table to the standby failed", "group", group, "vm", state.standby.String(), "error", err.Error())
	c.mu.Lock()
	defer c.mu.Unlock()
	if known := c.tables[group]; known != nil && known.copiedTo == state.standby {
		known.copiedTo = ownership.VMRef{} // the next ApplyStatus retries
	}
}

func (c *Claims) sendCopy(ctx context.Context, group string, state groupClaims) error {
	data, err := state.table.Snapshot(time.Now())
	if err != nil {
		return fmt.Errorf("claims: encode claim table: %w", err)
	}
	client, err := c.directory.client(state.standby.ID)
	if err != nil {
		return err
	}
	_, err = client.CopyClaims(ctx, &peer.ClaimsCopy{
		From: encodeVM(c.self), To: encodeVM(state.standby), Group: group, Epoch: state.epoch, Book: data,
	})
	return err
}

// RestoreCopy merges a keeper's copy into this VM's claim table.
func (c *Claims) RestoreCopy(in *peer.ClaimsCopy) error {
	known, err := c.standbyState(in)
	if err != nil {
		return err
	}
	return known.table.Restore(in.GetBook(), time.Now())
}

// keeperMessage is a message from a group's keeper to its standby.
type keeperMessage interface {
	GetFrom() *peer.VMRef
	GetTo() *peer.VMRef
	GetGroup() string
	GetEpoch() uint64
}

// standbyState returns a copy of the group's state if a message comes from the current
// keeper and its current term. It rejects any other message as late: merged into the
// table, it could make the standby decide claims of a term that it did not replicate.
func (c *Claims) standbyState(in keeperMessage) (groupClaims, error) {
	if to := decodeVM(in.GetTo()); to != c.self {
		return groupClaims{}, fmt.Errorf("claims: meant for VM %s", to)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	known, ok := c.tables[in.GetGroup()]
	if !ok {
		return groupClaims{}, fmt.Errorf("claims: group %q has no book here", in.GetGroup())
	}
	if from := decodeVM(in.GetFrom()); from != known.keeper || in.GetEpoch() != known.epoch {
		return groupClaims{}, fmt.Errorf("claims: group %q is not kept by %s under epoch %d", in.GetGroup(), from, in.GetEpoch())
	}
	return *known, nil
}

// keeperState returns the latest state of a group if this VM is still its keeper, in
// the term of the given epoch.
func (c *Claims) keeperState(group string, epoch uint64) (groupClaims, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	known, ok := c.tables[group]
	if !ok || !known.isKeeper || known.epoch != epoch {
		return groupClaims{}, false
	}
	return *known, true
}

// Answer handles a claim request from another VM or from this one.
func (c *Claims) Answer(ctx context.Context, in *peer.ClaimRequest) (*peer.ClaimAnswer, error) {
	if in.GetReplica() {
		return c.answerReplica(in)
	}
	c.mu.Lock()
	known, ok := c.tables[in.GetGroup()]
	if !ok || !known.isKeeper {
		hint := ownership.VMRef{}
		if ok {
			hint = known.keeper
		}
		c.mu.Unlock()
		return &peer.ClaimAnswer{KeeperHint: encodeVM(hint), Reason: "not the keeper"}, nil
	}
	state := *known
	c.mu.Unlock()
	return c.answerAsKeeper(ctx, in, state), nil
}

func (c *Claims) answerAsKeeper(ctx context.Context, in *peer.ClaimRequest, state groupClaims) *peer.ClaimAnswer {
	now := time.Now()
	answer := &peer.ClaimAnswer{Keeper: true}
	switch in.GetStep() {
	case peer.ClaimRequest_FINISHED:
		state.table.Finish(in.GetIdempotencyKey(), in.GetRequestId(), now)
	case peer.ClaimRequest_NOT_RUN:
		state.table.NotRun(in.GetIdempotencyKey(), in.GetRequestId(), now)
	default:
		begin := state.table.Begin(in.GetIdempotencyKey(), in.GetRequestId(), now)
		answer.Verdict = encodeVerdict(begin.Verdict)
		answer.FirstRequestId, answer.FirstFinished = begin.FirstRequestID, begin.FirstFinished
		answer.Reason = begin.Reason
		if begin.Verdict != retry.ClaimFirst {
			return answer
		}
	}
	err := c.replicate(ctx, in, state.epoch)
	if err != nil && in.GetStep() == peer.ClaimRequest_BEGIN {
		answer.Verdict = peer.ClaimAnswer_UNAVAILABLE
		answer.Reason = err.Error()
	}
	return answer
}

// replicate sends a step to the standby. It looks up the standby after the step is in
// the table: a standby named later gets the step with its copy of the table. Without
// a standby there is nothing to do: a VM that takes over without a copy refuses claims
// until the claim window has passed.
func (c *Claims) replicate(ctx context.Context, in *peer.ClaimRequest, epoch uint64) error {
	state, ok := c.keeperState(in.GetGroup(), epoch)
	if !ok {
		return fmt.Errorf("claims: group %q changed its keeper", in.GetGroup())
	}
	if state.standby.IsZero() {
		return nil
	}
	client, err := c.directory.client(state.standby.ID)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	answer, err := client.Claim(ctx, &peer.ClaimRequest{
		From: encodeVM(c.self), To: encodeVM(state.standby), Group: in.GetGroup(), Epoch: epoch, Replica: true,
		IdempotencyKey: in.GetIdempotencyKey(), RequestId: in.GetRequestId(), Step: in.GetStep(),
	})
	if err != nil {
		return fmt.Errorf("claims: standby %s: %w", state.standby, err)
	}
	if answer.GetVerdict() != peer.ClaimAnswer_FIRST {
		return fmt.Errorf("claims: standby %s refused: %s", state.standby, answer.GetReason())
	}
	return nil
}

func (c *Claims) answerReplica(in *peer.ClaimRequest) (*peer.ClaimAnswer, error) {
	known, err := c.standbyState(in)
	if err != nil {
		return nil, err
	}
	now := time.Now()
	accepted := true
	switch in.GetStep() {
	case peer.ClaimRequest_FINISHED:
		known.table.Finish(in.GetIdempotencyKey(), in.GetRequestId(), now)
	case peer.ClaimRequest_NOT_RUN:
		known.table.NotRun(in.GetIdempotencyKey(), in.GetRequestId(), now)
	default:
		accepted = known.table.Replicate(in.GetIdempotencyKey(), in.GetRequestId(), now)
	}
	if !accepted {
		return &peer.ClaimAnswer{Verdict: peer.ClaimAnswer_UNAVAILABLE, Reason: "the standby's book takes no claim now"}, nil
	}
	return &peer.ClaimAnswer{Verdict: peer.ClaimAnswer_FIRST}, nil
}

// Claim implements retry.Claimer.
func (c *Claims) Claim(ctx context.Context, group, idempotencyKey, requestID string) (retry.Claim, retry.Verdict, error) {
	claim := &claim{claims: c, group: group, key: idempotencyKey, requestID: requestID}
	answer, err := c.directory.sendClaim(ctx, claim.request(peer.ClaimRequest_BEGIN))
	verdict := retry.ClaimRefused
	if err == nil {
		verdict = decodeVerdict(answer.GetVerdict())
		if answer.GetReason() != "" {
			err = fault.New(fault.ClaimUnavailable, "%s", answer.GetReason())
		}
	}
	if verdict == retry.ClaimRefused {
		// The keeper's table may hold the claim even if its answer was lost.
		claim.NotRun(context.WithoutCancel(ctx))
	}
	return claim, verdict, err
}

// claim is a claim made by this VM. It implements retry.Claim.
type claim struct {
	claims    *Claims
	group     string
	key       string
	requestID string
}

func (c *claim) request(step peer.ClaimRequest_Step) *peer.ClaimRequest {
	return &peer.ClaimRequest{
		From: encodeVM(c.claims.self), Group: c.group,
		IdempotencyKey: c.key, RequestId: c.requestID, Step: step,
	}
}

// Finished implements retry.Claim.
func (c *claim) Finished(ctx context.Context) { go c.reportOutcome(ctx, peer.ClaimRequest_FINISHED) }

// NotRun implements retry.Claim.
func (c *claim) NotRun(ctx context.Context) { go c.reportOutcome(ctx, peer.ClaimRequest_NOT_RUN) }

func (c *claim) reportOutcome(ctx context.Context, step peer.ClaimRequest_Step) {
	ctx, cancel := context.WithTimeout(ctx, outcomeTimeout)
	defer cancel()
	if _, err := c.claims.directory.sendClaim(ctx, c.request(step)); err != nil {
		slog.Warn("claims: report of the claim outcome to the keeper failed", "group", c.group, "request", c.requestID, "step", step.String(), "error", err.Error())
	}
}

func encodeVerdict(v retry.Verdict) peer.ClaimAnswer_Verdict {
	switch v {
	case retry.ClaimFirst:
		return peer.ClaimAnswer_FIRST
	case retry.ClaimDuplicate:
		return peer.ClaimAnswer_DUPLICATE
	default:
		return peer.ClaimAnswer_UNAVAILABLE
	}
}

func decodeVerdict(v peer.ClaimAnswer_Verdict) retry.Verdict {
	switch v {
	case peer.ClaimAnswer_FIRST:
		return retry.ClaimFirst
	case peer.ClaimAnswer_DUPLICATE:
		return retry.ClaimDuplicate
	default:
		return retry.ClaimRefused
	}
}
