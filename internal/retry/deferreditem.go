package retry

import (
	"encoding/json"
	"fmt"
	"net/http"
)

// DeferredState is what became of deferred work.
type DeferredState string

const (
	// DeferredQueued waits to be sent.
	DeferredQueued DeferredState = "queued"
	// DeferredRunning is about to be sent, or was sent.
	DeferredRunning DeferredState = "running"
	// DeferredDone has its answer. It does not change again.
	DeferredDone DeferredState = "done"
	// DeferredParked may or may not have run. An operator decides.
	DeferredParked DeferredState = "parked"
	// DeferredWithdrawn is not accepted: it takes the place of a write that may
	// still be under way. The ticket may be accepted anew.
	DeferredWithdrawn DeferredState = "withdrawn"
)

// DeferredRequest is the request as it will be sent.
type DeferredRequest struct {
	Method string      `json:"method"`
	Path   string      `json:"path"`
	Query  string      `json:"query,omitempty"`
	Header http.Header `json:"header,omitempty"`
	Body   []byte      `json:"body,omitempty"`
}

// fingerprint names the whole request.
func (r DeferredRequest) fingerprint() uint64 {
	return Fingerprint(r.Method, r.Path, r.Query, r.Body)
}

// DeferredAnswer is the server's whole answer.
type DeferredAnswer struct {
	Status int         `json:"status"`
	Header http.Header `json:"header,omitempty"`
	Body   []byte      `json:"body,omitempty"`
}

// DeferredItem is one row of deferred work. Its ticket is also the request id that
// every attempt carries, so a server that honours ids runs it once.
type DeferredItem struct {
	Schema    int             `json:"schema"`
	Ticket    string          `json:"ticket"`
	Service   string          `json:"service"`
	HonoursID bool            `json:"honours_id,omitempty"`
	Request   DeferredRequest `json:"request"` // without header and body once it is done
	Fingerprint     uint64          `json:"print"`   // fingerprint of the whole request
	State     DeferredState   `json:"state"`
	WriteID   string          `json:"write_id"`            // write that made this version
	Attempt   int             `json:"attempt,omitempty"`   // how often it was about to be sent
	Holder    string          `json:"holder,omitempty"`    // worker that runs it
	Reason    string          `json:"reason,omitempty"`    // of its state, for people
	Answer    *DeferredAnswer `json:"answer,omitempty"`    // with DeferredDone
	Submitter string          `json:"submitter,omitempty"` // VM that accepted it, for people
}

const (
	deferredSchema = 1
	deferredPrefix = "deferred/"
)

// DeferredKey returns the table key of a ticket.
func DeferredKey(service, ticket string) string { return deferredPrefix + service + "/" + ticket }

func (i DeferredItem) key() string { return DeferredKey(i.Service, i.Ticket) }

func decodeDeferred(data []byte) (DeferredItem, error) {
	var item DeferredItem
	if err := json.Unmarshal(data, &item); err != nil {
		return item, fmt.Errorf("deferred row: %w", err)
	}
	if item.Schema != deferredSchema {
		return item, fmt.Errorf("deferred row %s: schema %d is unknown, want %d", item.Ticket, item.Schema, deferredSchema)
	}
	return item, nil
}
