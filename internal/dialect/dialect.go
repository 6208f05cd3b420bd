// Package dialect describes the differences between the protocols of callers and
// servers: header names and how to parse and format header values.
package dialect

import "time"

// Load is the load that a server reports with an answer.
type Load struct {
	Running int // requests that it runs
	Waiting int // requests in its queue
	Slots   int // requests that it can run concurrently
	// Slowdown is how long work takes at this moment, relative to the usual time; 0: not stated.
	Slowdown float64
}

// Dialect holds the header names of one protocol and the functions for their values.
// Key, NotStarted, ServerID, ServerLoad, Leaving, RateLimit and Warmup are empty if the protocol has no
// such header. The other names are required.
type Dialect struct {
	RequestID    string // id of one attempt of a caller; servers echo it
	Deadline     string // remaining time that the caller waits
	TargetServer string // id of the only server that may run the request
	Key          string // key of a request to a service divided by key
	Signature    string // set by the server that ran the request; a 2xx answer without it or with an empty value is rejected
	NotStarted   string // set by a server that did not start the request
	ServerID     string // id of the server that answers
	ServerLoad   string
	Leaving      string // set to "1" by a server that leaves
	RateLimit    string // requests per second that the server takes from all VMs together, while it states it
	Warmup       string // milliseconds for which the server that answers stays cold
	// MaxKey is the highest valid key.
	MaxKey uint32
	// FormatDeadline and ParseDeadline convert the value of the Deadline header.
	FormatDeadline func(time.Duration) string
	ParseDeadline  func(string) (time.Duration, error)
	ParseKey       func(string) (uint32, error)
	ParseLoad      func(string) (Load, error)
	ParseRateLimit func(string) (float64, error)
}
