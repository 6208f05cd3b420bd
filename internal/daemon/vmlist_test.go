package daemon

import (
	"context"
	"errors"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"kumquatcleat/internal/config"
	"kumquatcleat/internal/membership"
	"kumquatcleat/internal/peer"
	"kumquatcleat/internal/platform"
)

// fixedLister is the platform's list; nil: the platform does not answer.
type fixedLister []platform.VM

func (l fixedLister) VMs(context.Context) ([]platform.VM, time.Duration, error) {
	if l == nil {
		return nil, 0, errors.New("no answer")
	}
	return l, 2 * time.Second, nil
}

// membersOf returns a VM's membership on a clock that the test moves.
func membersOf(id string, lister platform.VMLister, now *time.Duration) *Members {
	self := membership.Self{ID: id, Incarnation: id + ".1", FailureDomain: "a"}
	clock := func() time.Duration { return *now }
	return NewMembers(self, membership.NewView(self, membership.DefaultSettings), lister, peer.NewClients(""), config.NewStore(), clock)
}

// servePeer serves a VM's twirp methods and returns its address.
func servePeer(t *testing.T, m *Members) string {
	t.Helper()
	server := httptest.NewServer(peer.NewPeerServer(&peerService{daemon: &Daemon{members: m}}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

func TestAVMThatStartsWithoutThePlatformLearnsTheListWithItsAge(t *testing.T) {
	var clockA, clockB = 10 * time.Second, time.Hour
	a := membersOf("vm-a", fixedLister{
		{ID: "vm-a", Role: "entry", FailureDomain: "a", Address: "10.0.0.1:81", State: platform.VMLive},
		{ID: "s1", Role: "server", State: platform.VMLeaving},
	}, &clockA)
	b := membersOf("vm-b", fixedLister(nil), &clockB)
	b.seeds = []string{"127.0.0.1:1", servePeer(t, a)}

	b.readList(context.Background())
	if b.lastList.Load() != nil {
		t.Fatal("took a list from a VM that has none")
	}
	a.readList(context.Background())
	clockA += 5 * time.Second
	b.readList(context.Background())
	list := b.lastList.Load()
	if list == nil || len(list.vms) != 2 || list.vms[0].Address != "10.0.0.1:81" || list.vms[1].State != platform.VMLeaving {
		t.Fatalf("list %+v", list)
	}
	if age := clockB - list.asOf; age < 7*time.Second {
		t.Errorf("age %v: the list was 2 s old when vm-a read it, 5 s ago", age)
	}
}
