// Package config defines the configuration records of services. It validates
// them, commits changes to the platform's table and replicates the records in
// force to every VM.
package config

import (
	"time"
)

// Isolation selects what happens to a failure domain's keys when the domain is
// cut off from the others.
type Isolation string

const (
	// IsolationKeep keeps serving the keys inside the isolated domain.
	IsolationKeep Isolation = "keep"
	// IsolationMove moves the keys to another domain after the leases expire.
	IsolationMove Isolation = "move"
)

// Class is the priority of a request.
type Class string

const (
	// ClassInteractive is served before ClassDeferred.
	ClassInteractive Class = "interactive"
	// ClassDeferred yields to interactive requests.
	ClassDeferred Class = "deferred"
)

// Milliseconds is a duration that records encode as a JSON number.
type Milliseconds int64

// Duration returns m as a time.Duration.
func (m Milliseconds) Duration() time.Duration { return time.Duration(m) * time.Millisecond }

// Rule sets how matching requests are handled. The first matching rule applies.
// Fields marked schema 2 are refused in a record of schema 1.
type Rule struct {
	Methods       []string `json:"methods,omitempty"`        // empty: every method
	PathPrefix    string   `json:"path_prefix,omitempty"`    // relative to the service; empty: every path
	NonIdempotent bool     `json:"non_idempotent,omitempty"` // never sent twice
	Idempotent    bool     `json:"idempotent,omitempty"`     // may be sent twice, whatever its method
	Class         Class    `json:"class,omitempty"`          // empty: interactive
	DeferOK       bool     `json:"defer_ok,omitempty"`       // may be queued and answered with 202
	KeyPrefix     string   `json:"key_prefix,omitempty"`     // path prefix whose next segment is the key

	KeyPrefixAliases []string     `json:"key_prefix_aliases,omitempty"` // schema 2: further prefixes for the same keys
	Timeout          Milliseconds `json:"timeout_ms,omitempty"`         // schema 2: overrides the default timeout
}

// Server is one backend server of a service.
type Server struct {
	ID            string `json:"id"`
	FailureDomain string `json:"failure_domain"`
	Address       string `json:"address"`              // host:port
	Slots         int    `json:"slots"`                // requests that it runs concurrently
	Connections   int    `json:"connections"`          // connections that it accepts
	Checks        bool   `json:"checks"`               // refuses requests without a valid grant
	Drain         bool   `json:"drain,omitempty"`      // receives no new requests
	HonoursID     bool   `json:"honours_id,omitempty"` // runs each request id at most once
}

// Limits bounds the requests of a service. A zero field takes its default.
type Limits struct {
	MaxBodyBytes   int64        `json:"max_body_bytes,omitempty"`
	DefaultTimeout Milliseconds `json:"default_timeout_ms,omitempty"`
	MaxTimeout     Milliseconds `json:"max_timeout_ms,omitempty"`
	QueueLength    int          `json:"queue_length,omitempty"`
}

// Service is the configuration record of one service, in the form of the newest
// schema. A Service in force is shared between goroutines and immutable.
type Service struct {
	Schema       int       `json:"schema"`  // as decoded; Encode selects its own
	Version      uint64    `json:"version"` // incremented by each accepted change
	Name         string    `json:"name"`
	DividedByKey bool      `json:"divided_by_key,omitempty"` // requests without a key are refused
	SlotCount    uint32    `json:"slot_count"`               // fixed for the life of the service
	Domains      []string  `json:"domains"`                  // home domains in a fixed order; slot % len is the index of its home
	Isolation    Isolation `json:"isolation,omitempty"`      // empty: keep
	Servers      []Server  `json:"servers"`
	Rules        []Rule    `json:"rules,omitempty"`
	Limits       Limits    `json:"limits,omitempty"`
}

// Defaults for limits that a record omits.
const (
	DefaultMaxBodyBytes = 8 << 20
	DefaultTimeoutMS    = 2000
	DefaultMaxTimeoutMS = 60000
	DefaultQueueLength  = 128
)
