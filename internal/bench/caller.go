package bench

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"syscall"
	"time"

	"kumquatcleat/internal/backend"
	"kumquatcleat/internal/fault"
	"kumquatcleat/internal/routing"
	"kumquatcleat/internal/standin"
)

// HeaderCrash is the header of calls that crash each server that runs them. It has
// an effect only at servers whose fault crash_header names this header.
const HeaderCrash = "X-Standin-Crash"

const (
	maxAnswerBytes = 4 << 20
	// timeoutMargin is how much longer a caller waits than the timeout that it
	// sends, so that the VM's own refusal arrives first.
	timeoutMargin     = 500 * time.Millisecond
	maxIdleConnsPerVM = 2048 // a smaller pool would open new connections under load
)

// caller sends calls over HTTP. Safe for concurrent use.
type caller struct {
	client  *http.Client
	timeout time.Duration
}

func newCaller(timeout time.Duration) *caller {
	transport := &http.Transport{
		MaxIdleConnsPerHost: maxIdleConnsPerVM,
		DisableCompression:  true,
	}
	return &caller{client: &http.Client{Transport: transport}, timeout: timeout}
}

// do sends one call to its target and records what the caller saw.
func (c *caller) do(ctx context.Context, call *Call, planned *plannedCall) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout+timeoutMargin)
	defer cancel()
	body := bodyOf(call.ID, planned.kind.BodyBytes)
	req, err := c.request(ctx, call, planned, body)
	if err != nil {
		call.Outcome, call.Detail = CallUnsent, err.Error()
		return
	}
	call.SentNS = standin.MonotonicNow()
	resp, err := c.client.Do(req)
	if err != nil {
		call.AnsweredNS = standin.MonotonicNow()
		call.Outcome, call.Detail = classifyTransportError(err), err.Error()
		return
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	call.AnsweredNS = standin.MonotonicNow()
	call.Status = resp.StatusCode
	if err != nil {
		call.Outcome, call.Detail = CallLost, fmt.Sprintf("answer cut after %d bytes: %v", len(data), err)
		return
	}
	call.classify(resp.Header, data, planned, body)
}

func (c *caller) request(ctx context.Context, call *Call, planned *plannedCall, body []byte) (*http.Request, error) {
	url := "http://" + call.Target + planned.path()
	req, err := http.NewRequestWithContext(ctx, call.Method, url, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.GetBody = nil // net/http must not retry a call on its own
	if len(body) == 0 {
		// net/http retries requests whose body is http.NoBody. An empty body of
		// another type prevents that for calls without a body.
		req.Body = io.NopCloser(bytes.NewReader(nil))
	}
	set := func(name, value string) {
		if value != "" {
			req.Header.Set(name, value)
		}
	}
	set(routing.HeaderKey, call.Key)
	set(routing.HeaderIdempotencyKey, call.IdempotencyKey)
	set(routing.HeaderTimeout, strconv.FormatInt(c.timeout.Milliseconds(), 10))
	set(standin.HeaderCall, call.ID)
	set(standin.HeaderWorkMS, strconv.FormatFloat(planned.kind.WorkMS, 'f', -1, 64))
	if planned.kind.PadBytes > 0 {
		set(standin.HeaderPad, strconv.Itoa(planned.kind.PadBytes))
	}
	if planned.crash {
		set(HeaderCrash, "1")
	}
	return req, nil
}

// bodyOf returns the body of a call: its ID, repeated up to size bytes.
func bodyOf(id string, size int) []byte { return []byte(standin.Pad(id, size)) }

// classifyTransportError distinguishes a call that was never sent from one that
// may have reached the VM.
func classifyTransportError(err error) CallOutcome {
	var operation *net.OpError
	if errors.As(err, &operation) && operation.Op == "dial" {
		return CallUnsent
	}
	if errors.Is(err, syscall.ECONNREFUSED) {
		return CallUnsent
	}
	return CallLost
}

// classify sets the outcome of the call from a complete HTTP response.
func (call *Call) classify(header http.Header, data []byte, planned *plannedCall, body []byte) {
	call.Server = header.Get(backend.HeaderServer)
	call.RequestID = header.Get(backend.HeaderRequestID)
	if outcome := header.Get(routing.HeaderOutcome); outcome != "" {
		call.classifyRefusal(fault.Outcome(outcome), data)
		return
	}
	switch {
	case call.Status == http.StatusAccepted:
		call.Outcome = CallDeferred
	case call.Status != http.StatusOK:
		call.Outcome = CallFailed
		call.Detail = fmt.Sprintf("status %d", call.Status)
	default:
		call.classifyAnswer(data, planned, body)
	}
}

func (call *Call) classifyRefusal(outcome fault.Outcome, data []byte) {
	var refusal routing.Refusal
	if err := json.Unmarshal(data, &refusal); err != nil {
		call.Outcome, call.Detail = CallWrong, fmt.Sprintf("refusal is not JSON: %v", err)
		return
	}
	call.Refusal = refusal.Kind
	call.Detail = refusal.Message
	switch outcome {
	case fault.NotRun:
		call.Outcome = CallNotRun
	case fault.Unknown:
		call.Outcome = CallUnknown
	default:
		call.Outcome, call.Detail = CallWrong, fmt.Sprintf("outcome %q", outcome)
	}
}

// classifyAnswer checks that the answer is whole and belongs to this call.
func (call *Call) classifyAnswer(data []byte, planned *plannedCall, body []byte) {
	var answer standin.RunAnswer
	if err := json.Unmarshal(data, &answer); err != nil {
		call.Outcome, call.Detail = CallWrong, fmt.Sprintf("answer is not whole: %v", err)
		return
	}
	call.Incarnation = answer.Incarnation
	call.RequestID = answer.RequestID
	sum := sha256.Sum256(body)
	switch {
	case answer.Call != call.ID:
		call.Outcome, call.Detail = CallWrong, fmt.Sprintf("answer of call %q", answer.Call)
	case answer.Key != call.Key:
		call.Outcome, call.Detail = CallWrong, fmt.Sprintf("answer for key %q", answer.Key)
	case answer.BodySHA256 != hex.EncodeToString(sum[:]):
		call.Outcome, call.Detail = CallWrong, "the server read another body"
	case planned.kind.PadBytes > 0 && answer.Pad != standin.Pad(call.ID, planned.kind.PadBytes):
		call.Outcome, call.Detail = CallWrong, "filler of the answer differs"
	default:
		call.Outcome = CallAnswered
	}
}
