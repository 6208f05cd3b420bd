package daemon

import (
	"testing"
	"time"
)

func TestADigestOfAVMThatIsNoLongerPingedIsNotShown(t *testing.T) {
	var p peerDigests
	p.heard("vm-1", 7, time.Second)
	if got := p.of("vm-1", time.Second+digestAge); got != 7 {
		t.Errorf("digest %d, want 7", got)
	}
	if got := p.of("vm-1", time.Second+digestAge+1); got != 0 {
		t.Errorf("digest %d of an old answer, want none", got)
	}
	if got := p.of("vm-2", time.Second); got != 0 {
		t.Errorf("digest %d of a VM that never answered", got)
	}
}
