// Package peer holds the messages between the daemons of the entry VMs, the
// generated twirp service, and the clients that call it.
package peer

import (
	"net/http"
	"sync"
	"time"

	"kumquatcleat/internal/dial"
)

const (
	dialTimeout     = 300 * time.Millisecond // peers answer at once or are asked past
	requestTimeout  = time.Second
	idlePerPeer     = 4
	idleConnTimeout = time.Minute
)

// Clients makes and keeps a client for each peer address. Safe for concurrent use.
type Clients struct {
	http *http.Client
	mu   sync.Mutex // guards byAddress
	// byAddress holds a client for each address that was ever used; addresses
	// are few because they belong to VMs.
	byAddress map[string]Peer
}

// NewClients returns Clients that dial from a local IP address; empty: any.
func NewClients(localIP string) *Clients {
	transport := &http.Transport{
		DialContext:         dial.From(localIP, dialTimeout).DialContext,
		MaxIdleConnsPerHost: idlePerPeer,
		IdleConnTimeout:     idleConnTimeout,
	}
	return &Clients{
		http:      &http.Client{Transport: transport, Timeout: requestTimeout},
		byAddress: map[string]Peer{},
	}
}

// For returns the client of the VM at address, host:port.
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
