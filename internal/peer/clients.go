// Package peer defines the messages between the daemons of the entry VMs. It
// contains the generated Twirp service and the clients that call it.
package peer

import (
	"net/http"
	"sync"
	"time"

	"kumquatcleat/internal/dial"
	"kumquatcleat/internal/httphead"
)

const (
	dialTimeout         = 300 * time.Millisecond // a live peer accepts at once; a slower one is skipped
	requestTimeout      = time.Second
	maxIdleConnsPerPeer = 4
	idleConnTimeout     = time.Minute

	maxHeadBytes = 64 << 10 // head of a request or a response
	// maxMessageBytes bounds a message. The largest but copies of claims, the state of a
	// group of 1,024 slots, has about 100 bytes a slot.
	maxMessageBytes = 2 << 20
	// maxClaimsBytes bounds a copy of a whole claim table, about 300 bytes a claim.
	maxClaimsBytes = 64 << 20
)

// LimitRequests bounds the requests that a handler of messages from other VMs reads.
// The generated code reads a body to its end.
func LimitRequests(handler http.Handler) http.Handler {
	small, claims := http.MaxBytesHandler(handler, maxMessageBytes), http.MaxBytesHandler(handler, maxClaimsBytes)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == PeerPathPrefix+"CopyClaims" {
			claims.ServeHTTP(w, r)
			return
		}
		small.ServeHTTP(w, r)
	})
}

// limitedTransport bounds the bodies of responses.
type limitedTransport struct{ http.RoundTripper }

// RoundTrip implements http.RoundTripper.
func (t limitedTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	resp, err := t.RoundTripper.RoundTrip(r)
	if err == nil {
		resp.Body = http.MaxBytesReader(nil, resp.Body, maxMessageBytes)
	}
	return resp, err
}

// Clients creates and caches one client per peer address. Safe for concurrent use.
type Clients struct {
	http *http.Client
	mu   sync.Mutex // guards byAddress
	// byAddress caches the client of each address ever used. Entries are not evicted:
	// addresses belong to VMs, so there are few.
	byAddress map[string]Peer
}

// NewClients returns Clients that dial from the given local IP address. If localIP is
// empty, the system chooses one.
func NewClients(localIP string) *Clients {
	transport := &http.Transport{
		DialContext:         dial.From(localIP, dialTimeout).DialContext,
		MaxIdleConnsPerHost: maxIdleConnsPerPeer,
		IdleConnTimeout:     idleConnTimeout,

		MaxResponseHeaderBytes: maxHeadBytes,
	}
	return &Clients{
		http:      &http.Client{Transport: limitedTransport{httphead.Transport(transport)}, Timeout: requestTimeout},
		byAddress: map[string]Peer{},
	}
}

// For returns the client for the VM at address, host:port.
func (c *Clients) For(address string) Peer {
	c.mu.Lock()
	defer c.mu.Unlock()
	client, ok := c.byAddress[address]
	if !ok {
		client = NewPeerProtobufClient("http://"+address, c.http)
		c.byAddress[address] = client
	}
	return client
}
