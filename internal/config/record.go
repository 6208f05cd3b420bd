// Package config holds the configuration records: their schemas, validation,
// acceptance in the platform's table, and the copy that each VM keeps.
package config

import (
	"time"
)

// Isolation states what happens to a failure domain's keys when it is cut off.
type Isolation string

const (
	// IsolationKeep keeps serving the keys inside the domain that is cut off.
	IsolationKeep Isolation = "keep"
	// IsolationMove moves the keys to another domain after the leases lapse.
	IsolationMove Isolation = "move"
)

// Class is the priority of a request.
type Class string

const (
	// ClassInteractive is served first.
	ClassInteractive Class = "interactive"
	// ClassDeferred can wait: it yields to interactive requests.
	ClassDeferred Class = "deferred"
)

// Milliseconds is a duration in configuration records, as a JSON number.
type Milliseconds int64

// Duration converts to time.Duration.
func (m Milliseconds) Duration() time.Duration { return time.Duration(m) * time.Millisecond }

// Rule gives the requests that match it their handling. The first match wins.
// The fields marked schema 2 are refused in a record of schema 1.
type Rule struct {
	Methods       []string `json:"methods,omitempty"`        // empty: every method
	PathPrefix    string   `json:"path_prefix,omitempty"`    // within the service; empty: every path
	NonIdempotent bool     `json:"non_idempotent,omitempty"` // never sent twice
	Idempotent    bool     `json:"idempotent,omitempty"`     // may be sent twice, whatever its method
	Class         Class    `json:"class,omitempty"`          // empty: interactive
	DeferOK       bool     `json:"defer_ok,omitempty"`       // may be accepted for later (202)
	KeyPrefix     string   `json:"key_prefix,omitempty"`     // path prefix whose next segment is the key

	KeyPrefixAliases []string     `json:"key_prefix_aliases,omitempty"` // schema 2: other prefixes of the same keys
	Timeout          Milliseconds `json:"timeout_ms,omitempty"`         // schema 2: in place of the default timeout
}

// Server is one backend server of a service.
type Server struct {
	ID            string `json:"id"`
	FailureDomain string `json:"failure_domain"`
	Address       string `json:"address"`              // host:port
	Slots         int    `json:"slots"`                // requests that it runs at once
	Connections   int    `json:"connections"`          // connections that it accepts
	Checks        bool   `json:"checks"`               // refuses requests without a valid grant
	Drain         bool   `json:"drain,omitempty"`      // gets no new work
	HonoursID     bool   `json:"honours_id,omitempty"` // runs a request id once
}

// Limits bound what a service takes.
type Limits struct {
	MaxBodyBytes   int64        `json:"max_body_bytes,omitempty"`
	DefaultTimeout Milliseconds `json:"default_timeout_ms,omitempty"`
	MaxTimeout     Milliseconds `json:"max_timeout_ms,omitempty"`
	QueueLength    int          `json:"queue_length,omitempty"`
}

// Service is the configuration record of one service, in the form of the newest
// schema. A Service in force is shared by goroutines and never changed.
type Service struct {
	Schema       int       `json:"schema"`  // as read; Encode picks its own
	Version      uint64    `json:"version"` // raised by one at each accepted change
	Name         string    `json:"name"`
	DividedByKey bool      `json:"divided_by_key,omitempty"` // requests without a key are refused
	SlotCount    uint32    `json:"slot_count"`               // fixed for the life of the service
	Domains      []string  `json:"domains"`                  // home domains; fixed order, slot mod len
	Isolation    Isolation `json:"isolation,omitempty"`      // empty: keep
	Servers      []Server  `json:"servers"`
	Rules        []Rule    `json:"rules,omitempty"`
	Limits       Limits    `json:"limits,omitempty"`
}

// Defaults of limits that a record leaves out.
const (
	DefaultMaxBodyBytes = 8 << 20
	DefaultTimeoutMS    = 2000
	DefaultMaxTimeoutMS = 60000
	DefaultQueueLength  = 128
)
