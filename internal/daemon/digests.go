package daemon

import (
	"sync"
	"time"
)

// digestAge is how long a VM's answer says what is in force there. A longer one
// shows VMs as behind that are no longer pinged.
const digestAge = 2 * time.Second

// peerDigests holds the digest of the configuration in force that each VM told in
// its last answer to a ping, for operators. Safe for concurrent use.
type peerDigests struct {
	mu   sync.Mutex // guards byVM
	byVM map[string]toldDigest
}

type toldDigest struct {
	digest uint64
	at     time.Duration
}

// heard notes what a VM told.
func (p *peerDigests) heard(vm string, digest uint64, now time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.byVM == nil {
		p.byVM = make(map[string]toldDigest)
	}
	p.byVM[vm] = toldDigest{digest: digest, at: now}
}

// of returns a VM's digest; 0: it is not known now.
func (p *peerDigests) of(vm string, now time.Duration) uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	told, ok := p.byVM[vm]
	if !ok || now-told.at > digestAge {
		return 0
	}
	return told.digest
}
