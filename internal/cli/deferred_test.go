package cli

import (
	"context"
	"encoding/json"
	"testing"

	"kumquatcleat/internal/platform"
	"kumquatcleat/internal/platformclient"
	"kumquatcleat/internal/retry"
	"kumquatcleat/internal/standin"
)

// putDeferred stores a deferred request in the given state.
func putDeferred(t *testing.T, addr, ticket string, state retry.DeferredState) {
	t.Helper()
	item := retry.DeferredItem{
		Schema: 1, Ticket: ticket, Service: "swapbay", State: state, Reason: "answer lost",
		Request: retry.DeferredRequest{Method: "POST", Path: "/refunds/7"},
	}
	value, err := json.Marshal(item)
	if err != nil {
		t.Fatal(err)
	}
	write := platform.Write{Key: retry.DeferredKey("swapbay", ticket), Value: value}
	if _, err := platformclient.New(addr).Commit(context.Background(), []platform.Write{write}); err != nil {
		t.Fatal(err)
	}
}

func TestParkedRequestIsListedAndResolvedOnce(t *testing.T) {
	_, addr := startPlatform(t)
	putDeferred(t, addr, "t1", retry.DeferredParked)
	putDeferred(t, addr, "t2", retry.DeferredDone)
	r := run("", "deferred", "list", "swapbay", "--platform", addr)
	r.want(t, ExitOK, "t1      parked  0         POST /refunds/7  answer lost")
	if all := run("", "deferred", "list", "swapbay", "--all", "--platform", addr); len(all.stdout) <= len(r.stdout) {
		t.Errorf("got no more with --all than without, want the done request too: %s", all.stdout)
	}
	run("", "deferred", "resolve", "swapbay", "t1", "--platform", addr).want(t, ExitUsage, "want one of --ran and --not-run")
	run("", "deferred", "resolve", "swapbay", "t1", "--ran", "--not-run", "--platform", addr).want(t, ExitUsage, "want one of")
	run("", "deferred", "resolve", "swapbay", "t1", "--ran", "--reason", "bank says so", "--platform", addr).want(t, ExitOK, "t1: done")
	run("", "deferred", "show", "swapbay", "t1", "--platform", addr).want(t, ExitOK, `"reason": "bank says so"`)
	run("", "deferred", "resolve", "swapbay", "t1", "--not-run", "--platform", addr).want(t, ExitConflict, "is done, not parked")
	run("", "deferred", "show", "swapbay", "t9", "--platform", addr).want(t, ExitFailed, "no ticket t9")
}

func TestResolveSucceedsAfterLostCommitResponse(t *testing.T) {
	p, addr := startPlatform(t)
	putDeferred(t, addr, "t1", retry.DeferredParked)
	p.SetFaults(standin.PlatformFaults{LostAnswerShare: 0.7})
	run("", "deferred", "resolve", "swapbay", "t1", "--not-run", "--platform", addr).want(t, ExitOK, "t1: queued")
	p.SetFaults(standin.PlatformFaults{Down: true})
	run("", "deferred", "resolve", "swapbay", "t1", "--ran", "--platform", addr, "--timeout", "300ms").want(t, ExitFailed, "next: check --platform")
}
