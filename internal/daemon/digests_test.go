package daemon

import (
	"testing"
	"time"
)

func TestDigestOfUnpingedVMExpires(t *testing.T) {
	var p peerDigests
	p.record("vm-1", 7, time.Second)
	if got := p.get("vm-1", time.Second+digestTTL); got != 7 {
		t.Errorf("got digest %d, want 7", got)
	}
	if got := p.get("vm-1", time.Second+digestTTL+1); got != 0 {
		t.Errorf("got digest %d from an expired answer, want 0", got)
	}
	if got := p.get("vm-2", time.Second); got != 0 {
		t.Errorf("got digest %d for a VM that never answered, want 0", got)
	}
}
