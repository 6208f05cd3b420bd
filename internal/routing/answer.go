package routing

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"kumquatcleat/internal/backend"
	"kumquatcleat/internal/fault"
)

// Refusal is the JSON body of an error answer that the router itself generates.
type Refusal struct {
	Kind         fault.Kind    `json:"kind"`
	Outcome      fault.Outcome `json:"outcome"`
	Message      string        `json:"message"`
	RequestID    string        `json:"request_id"`
	RetryAfterMS int64         `json:"retry_after_ms,omitempty"`
}

// writeRefusal answers the caller with the status, outcome and retry hint that
// package fault defines for the kind of err.
func writeRefusal(w http.ResponseWriter, requestID string, err *fault.Error) {
	answer := fault.AnswerFor(err.Kind)
	body := Refusal{
		Kind:         err.Kind,
		Outcome:      answer.Outcome,
		Message:      err.Message,
		RequestID:    requestID,
		RetryAfterMS: answer.RetryAfter.Milliseconds(),
	}
	header := w.Header()
	header.Set("Content-Type", "application/json")
	header.Set(HeaderOutcome, string(answer.Outcome))
	header.Set(backend.HeaderRequestID, requestID)
	if answer.RetryAfter > 0 {
		seconds := (answer.RetryAfter + time.Second - 1) / time.Second
		header.Set("Retry-After", strconv.Itoa(int(seconds)))
	}
	w.WriteHeader(answer.Status)
	_ = json.NewEncoder(w).Encode(body)
}
