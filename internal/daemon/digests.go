package daemon

import (
	"sync"
	"time"
)

// digestTTL is how long a reported digest is shown. A longer TTL would show VMs that are
// no longer pinged as having an outdated configuration.
const digestTTL = 2 * time.Second

// peerDigests holds the configuration digest that each VM reported in its last ping
// answer, for the operator's status. It is safe for concurrent use.
type peerDigests struct {
	mu   sync.Mutex // guards byVM
	byVM map[string]reportedDigest
}

type reportedDigest struct {
	digest uint64
	at     time.Duration
}

// record stores the digest that a VM reported.
func (p *peerDigests) record(vm string, digest uint64, now time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.byVM == nil {
		p.byVM = make(map[string]reportedDigest)
	}
	p.byVM[vm] = reportedDigest{digest: digest, at: now}
}

// get returns a VM's digest, or 0 if none was reported within digestTTL.
func (p *peerDigests) get(vm string, now time.Duration) uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	reported, ok := p.byVM[vm]
	if !ok || now-reported.at > digestTTL {
		return 0
	}
	return reported.digest
}
