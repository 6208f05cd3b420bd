package keyspace

import (
	"fmt"
	"testing"
	"time"
)

// Guards against explanations that miss whom a moving key waits for, or that change the state of the
// leases.
func TestPeekNamesFormerHolder(t *testing.T) {
	l := ownedByA(t)
	if got, known := l.peek(0, 3); !known || !got.Acknowledged || got.Left <= 0 || got.Former != "" {
		t.Errorf("while A owns the key: got %+v, known %t", got, known)
	}
	moveToB(l)
	states := fmt.Sprint(len(l.holders), len(l.ranges), l.holders[holderKey(holderA)])
	got, known := l.peek(time.Millisecond, 3)
	if !known || got.Acknowledged || got.Former != "a" || got.FormerLeft <= 0 || got.Released {
		t.Errorf("while the key moves to B: got %+v, known %t", got, known)
	}
	if after := fmt.Sprint(len(l.holders), len(l.ranges), l.holders[holderKey(holderA)]); after != states {
		t.Errorf("got state %s, before %s", after, states)
	}
	if _, known := l.peek(0, 1000); known {
		t.Error("got a lease on a key outside of the record")
	}
}
