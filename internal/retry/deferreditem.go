package retry

import (
	"encoding/json"
	"fmt"
	"net/http"
)

// DeferredState is the state of a deferred item.
type DeferredState string

const (
	// DeferredQueued is waiting to be sent.
	DeferredQueued DeferredState = "queued"
	// DeferredRunning is about to be sent or has been sent.
	DeferredRunning DeferredState = "running"
	// DeferredDone has run. This state is final.
	DeferredDone DeferredState = "done"
	// DeferredParked may or may not have run. An operator has to resolve it.
	DeferredParked DeferredState = "parked"
	// DeferredWithdrawn is not accepted. The row makes a write that may still be in
	// flight fail. The ticket may be accepted again.
	DeferredWithdrawn DeferredState = "withdrawn"
)

// DeferredRequest is the request that is sent to the server.
type DeferredRequest struct {
	Method string      `json:"method"`
	Path   string      `json:"path"`
	Query  string      `json:"query,omitempty"`
	Header http.Header `json:"header,omitempty"`
	Body   []byte      `json:"body,omitempty"`
}

// fingerprint returns the fingerprint of the request with its whole body.
func (r DeferredRequest) fingerprint() uint64 {
	return Fingerprint(r.Method, r.Path, r.Query, r.Body)
}

// DeferredAnswer is the server's complete answer.
type DeferredAnswer struct {
	Status int         `json:"status"`
	Header http.Header `json:"header,omitempty"`
	Body   []byte      `json:"body,omitempty"`
}

// DeferredItem is one deferred request as stored in the table. Its ticket is also the
// request id of every attempt, so a server that honors request ids runs it once.
type DeferredItem struct {
	Schema      int             `json:"schema"`
	Ticket      string          `json:"ticket"`
	Service     string          `json:"service"`
	HonoursID   bool            `json:"honours_id,omitempty"`
	Request     DeferredRequest `json:"request"` // without header and body once done
	Fingerprint uint64          `json:"print"`   // of the request with its whole body
	State       DeferredState   `json:"state"`
	WriteID     string          `json:"write_id"`            // id of the write that created this version
	Attempt     int             `json:"attempt,omitempty"`   // number of attempts, including one about to be sent
	Holder      string          `json:"holder,omitempty"`    // worker that runs the item
	Reason      string          `json:"reason,omitempty"`    // of its state, human-readable
	Answer      *DeferredAnswer `json:"answer,omitempty"`    // with DeferredDone
	Submitter   string          `json:"submitter,omitempty"` // VM that accepted the item, informational
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
		return item, fmt.Errorf("decode deferred item: %w", err)
	}
	if item.Schema != deferredSchema {
		return item, fmt.Errorf("decode deferred item %s: schema %d is unknown, want %d", item.Ticket, item.Schema, deferredSchema)
	}
	return item, nil
}
