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
	claimTimeout  = 250 * time.Millisecond // of one message between VMs
	settleTimeout = 2 * time.Second        // of telling how a claimed request ended
)

// Claims holds the books of the groups that this VM keeps or stands by for, and
// makes claims at the keepers of others. It implements retry.Claimer. mu guards
// books and the fields of each.
type Claims struct {
	self      ownership.VMRef
	settings  retry.ClaimSettings
	directory *Directory
	mu        sync.Mutex
	books     map[string]*groupBook
}

// groupBook is one group's book with what this VM knows of the pair that holds it.
type groupBook struct {
	book    *retry.ClaimTable
	leads   bool
	keeper  ownership.VMRef
	standby ownership.VMRef
	epoch   uint64          // of the keeper's term; messages of another are refused
	copied  ownership.VMRef // the standby that got a copy of the book
}

// NewClaims returns the duty.
func NewClaims(self ownership.VMRef, settings retry.ClaimSettings, directory *Directory) *Claims {
	return &Claims{self: self, settings: settings, directory: directory, books: map[string]*groupBook{}}
}

// Follow tells who keeps a group now, and gives a new standby a copy.
func (c *Claims) Follow(ctx context.Context, group string, status ownership.Status) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if status.Keeper != c.self && status.Standby != c.self {
		// Outside the pair the book goes stale: back in it, this VM must not judge
		// by what it held before.
		delete(c.books, group)
		return
	}
	known, ok := c.books[group]
	if ok && known.epoch > status.Token.Epoch {
		return // an older look at the row
	}
	if !ok {
		known = &groupBook{book: retry.NewClaimTable(c.settings, originOf(status, c.self), time.Now())}
		c.books[group] = known
	}
	known.keeper, known.standby, known.epoch = status.Keeper, status.Standby, status.Token.Epoch
	c.changeRole(group, known, status.Keeper == c.self)
	if known.leads && !known.standby.IsZero() && known.copied != known.standby {
		known.copied = known.standby
		go c.copyTo(ctx, group, *known)
	}
}

// originOf tells a new group's first book from one whose predecessor is lost.
// Epoch 1 belongs to the VM that made the group's row.
func originOf(status ownership.Status, self ownership.VMRef) retry.Origin {
	if status.Token.Epoch == 1 && status.Keeper == self {
		return retry.OriginNewGroup
	}
	return retry.OriginLost
}

func (c *Claims) changeRole(group string, known *groupBook, leads bool) {
	if known.leads == leads {
		return
	}
	known.leads = leads
	if leads {
		known.book.Lead()
		slog.Info("claims: leads", "group", group, "blind_ms", known.book.IncompleteFor(time.Now()).Milliseconds())
		return
	}
	known.book.Follow()
	slog.Info("claims: follows", "group", group)
}

// copyTo gives a standby the whole book; until that is done the standby's book
// holds new claims but can't judge old ones.
func (c *Claims) copyTo(ctx context.Context, group string, state groupBook) {
	err := c.sendCopy(ctx, group, state)
	if err == nil {
		return
	}
	slog.Debug("claims: copy not taken", "group", group, "vm", state.standby.String(), "error", err.Error())
	c.mu.Lock()
	defer c.mu.Unlock()
	if known := c.books[group]; known != nil && known.copied == state.standby {
		known.copied = ownership.VMRef{} // Follow tries again
	}
}

func (c *Claims) sendCopy(ctx context.Context, group string, state groupBook) error {
	data, err := state.book.Snapshot(time.Now())
	if err != nil {
		return fmt.Errorf("claims: %w", err)
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

// TakeCopy joins a keeper's copy into this VM's book.
func (c *Claims) TakeCopy(in *peer.ClaimsCopy) error {
	known, err := c.bookFor(in)
	if err != nil {
		return err
	}
	return known.book.Restore(in.GetBook(), time.Now())
}

// keeperMessage is a message from a group's keeper to its standby.
type keeperMessage interface {
	GetFrom() *peer.VMRef
	GetTo() *peer.VMRef
	GetGroup() string
	GetEpoch() uint64
}

// bookFor returns a copy of the group's state for a message of its present
// keeper's present term. Anything else is late: joined into the book, it could
// make the standby judge claims of a term that it did not follow.
func (c *Claims) bookFor(in keeperMessage) (groupBook, error) {
	if to := decodeVM(in.GetTo()); to != c.self {
		return groupBook{}, fmt.Errorf("claims: meant for VM %s", to)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	known, ok := c.books[in.GetGroup()]
	if !ok {
		return groupBook{}, fmt.Errorf("claims: group %q has no book here", in.GetGroup())
	}
	if from := decodeVM(in.GetFrom()); from != known.keeper || in.GetEpoch() != known.epoch {
		return groupBook{}, fmt.Errorf("claims: group %q is not kept by %s under epoch %d", in.GetGroup(), from, in.GetEpoch())
	}
	return *known, nil
}

// pairOf returns the keeper's newest state of a group, if this VM still leads.
func (c *Claims) pairOf(group string, epoch uint64) (groupBook, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	known, ok := c.books[group]
	if !ok || !known.leads || known.epoch != epoch {
		return groupBook{}, false
	}
	return *known, true
}

// Answer answers a claim message of another VM, or of this one.
func (c *Claims) Answer(ctx context.Context, in *peer.ClaimRequest) (*peer.ClaimAnswer, error) {
	if in.GetReplica() {
		return c.answerReplica(in)
	}
	c.mu.Lock()
	known, ok := c.books[in.GetGroup()]
	if !ok || !known.leads {
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

func (c *Claims) answerAsKeeper(ctx context.Context, in *peer.ClaimRequest, state groupBook) *peer.ClaimAnswer {
	now := time.Now()
	answer := &peer.ClaimAnswer{Keeper: true}
	switch in.GetStep() {
	case peer.ClaimRequest_FINISHED:
		state.book.Finish(in.GetIdempotencyKey(), in.GetRequestId(), now)
	case peer.ClaimRequest_NOT_RUN:
		state.book.NotRun(in.GetIdempotencyKey(), in.GetRequestId(), now)
	default:
		begin := state.book.Begin(in.GetIdempotencyKey(), in.GetRequestId(), now)
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

// replicate passes a step to the standby. The standby is looked up after the step
// is in the book: one that is named later gets it with its copy of the book.
// Without a standby nothing is owed: a VM that takes over without a copy refuses
// claims until the window has passed.
func (c *Claims) replicate(ctx context.Context, in *peer.ClaimRequest, epoch uint64) error {
	state, ok := c.pairOf(in.GetGroup(), epoch)
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
	known, err := c.bookFor(in)
	if err != nil {
		return nil, err
	}
	now := time.Now()
	taken := true
	switch in.GetStep() {
	case peer.ClaimRequest_FINISHED:
		known.book.Finish(in.GetIdempotencyKey(), in.GetRequestId(), now)
	case peer.ClaimRequest_NOT_RUN:
		known.book.NotRun(in.GetIdempotencyKey(), in.GetRequestId(), now)
	default:
		taken = known.book.Replicate(in.GetIdempotencyKey(), in.GetRequestId(), now)
	}
	if !taken {
		return &peer.ClaimAnswer{Verdict: peer.ClaimAnswer_UNAVAILABLE, Reason: "the standby's book takes no claim now"}, nil
	}
	return &peer.ClaimAnswer{Verdict: peer.ClaimAnswer_FIRST}, nil
}

// Claim implements retry.Claimer.
func (c *Claims) Claim(ctx context.Context, group, idempotencyKey, requestID string) (retry.Claim, retry.Verdict, error) {
	claim := &claim{claims: c, group: group, key: idempotencyKey, requestID: requestID}
	answer, err := c.directory.askClaim(ctx, claim.request(peer.ClaimRequest_BEGIN))
	verdict := retry.ClaimRefused
	if err == nil {
		verdict = decodeVerdict(answer.GetVerdict())
		if answer.GetReason() != "" {
			err = fault.New(fault.ClaimUnavailable, "%s", answer.GetReason())
		}
	}
	if verdict == retry.ClaimRefused {
		// The book may hold the claim although its answer was lost.
		claim.NotRun(context.WithoutCancel(ctx))
	}
	return claim, verdict, err
}

// claim is one claim of this VM. It implements retry.Claim.
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
func (c *claim) Finished(ctx context.Context) { go c.settle(ctx, peer.ClaimRequest_FINISHED) }

// NotRun implements retry.Claim.
func (c *claim) NotRun(ctx context.Context) { go c.settle(ctx, peer.ClaimRequest_NOT_RUN) }

func (c *claim) settle(ctx context.Context, step peer.ClaimRequest_Step) {
	ctx, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	if _, err := c.claims.directory.askClaim(ctx, c.request(step)); err != nil {
		slog.Warn("claims: end not told", "group", c.group, "request", c.requestID, "step", step.String(), "error", err.Error())
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
