package standin

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"kumquatcleat/internal/platform"
	"kumquatcleat/internal/platformclient"
)

func startPlatform(t *testing.T, s PlatformSettings) (*Platform, *platformclient.Client) {
	t.Helper()
	p := NewPlatform(s)
	server := httptest.NewServer(p)
	t.Cleanup(server.Close)
	return p, platformclient.New(strings.TrimPrefix(server.URL, "http://"))
}

func TestCommitOfStaleVersionConflicts(t *testing.T) {
	_, client := startPlatform(t, PlatformSettings{})
	ctx := context.Background()
	versions, err := client.Commit(ctx, []platform.Write{{Key: "a", Value: []byte("1")}})
	if err != nil || len(versions) != 1 || versions[0] != 1 {
		t.Fatalf("first commit: got versions %v, error %v, want version 1", versions, err)
	}
	if _, err := client.Commit(ctx, []platform.Write{{Key: "a", Value: []byte("2")}}); !errors.Is(err, platform.ErrConflict) {
		t.Fatalf("commit with a stale version: got error %v, want ErrConflict", err)
	}
	row, err := client.Get(ctx, "a")
	if err != nil || row.Version != 1 || string(row.Value) != "1" {
		t.Fatalf("get row: got %+v, error %v, want version 1 with the first value", row, err)
	}
}

func TestTransactionWithOneConflictWritesNothing(t *testing.T) {
	_, client := startPlatform(t, PlatformSettings{})
	ctx := context.Background()
	_, err := client.Commit(ctx, []platform.Write{{Key: "a"}, {Key: "b", Expect: 3}})
	if !errors.Is(err, platform.ErrConflict) {
		t.Fatalf("commit with one conflict: got error %v, want ErrConflict", err)
	}
	if _, err := client.Get(ctx, "a"); !errors.Is(err, platform.ErrNotFound) {
		t.Fatalf("get row a after a rejected commit: got error %v, want ErrNotFound", err)
	}
}

func TestWriteAppliedWhenAnswerLost(t *testing.T) {
	_, client := startPlatform(t, PlatformSettings{Faults: PlatformFaults{LostAnswerShare: 1}})
	ctx := context.Background()
	_, err := client.Commit(ctx, []platform.Write{{Key: "a", Value: []byte("1")}})
	if err == nil || errors.Is(err, platform.ErrConflict) {
		t.Fatalf("commit with a lost answer: got error %v, want one that leaves the outcome unknown", err)
	}
	if row, err := client.Get(ctx, "a"); err != nil || row.Version != 1 {
		t.Fatalf("get row: got %+v, error %v, want version 1", row, err)
	}
}

func TestPlatformDownAppliesNoWrite(t *testing.T) {
	p, client := startPlatform(t, PlatformSettings{})
	ctx := context.Background()
	p.SetFaults(PlatformFaults{Down: true})
	if _, err := client.Commit(ctx, []platform.Write{{Key: "a"}}); err == nil {
		t.Fatal("commit while the platform is down: got an answer, want an error")
	}
	p.SetFaults(PlatformFaults{})
	if _, err := client.Get(ctx, "a"); !errors.Is(err, platform.ErrNotFound) {
		t.Fatalf("get row after the outage: got error %v, want ErrNotFound", err)
	}
}

func TestCutCallerGetsNoAnswer(t *testing.T) {
	p, client := startPlatform(t, PlatformSettings{})
	p.SetFaults(PlatformFaults{CutCallers: []string{"127.0.0.1"}})
	if _, err := client.List(context.Background(), ""); err == nil {
		t.Fatal("a blocked caller got an answer")
	}
	p.SetFaults(PlatformFaults{CutCallers: []string{"127.0.0.9"}})
	if _, err := client.List(context.Background(), ""); err != nil {
		t.Fatalf("a caller that is not blocked got error %v", err)
	}
}

func TestVMListReturnedWithLag(t *testing.T) {
	list := newVMList()
	list.apply(100, VMChange{VM: platform.VM{ID: "vm1"}})
	list.apply(200, VMChange{VM: platform.VM{ID: "vm1"}, Remove: true})
	for _, c := range []struct {
		now  int64
		want int
	}{{199, 0}, {200, 1}, {299, 1}, {300, 0}} {
		if got := len(list.asOf(c.now, 100)); got != c.want {
			t.Errorf("at %d with lag 100: got %d entries, want %d", c.now, got, c.want)
		}
	}
}

func TestPostedVMIsListed(t *testing.T) {
	p, client := startPlatform(t, PlatformSettings{})
	body, _ := json.Marshal(VMChange{VM: platform.VM{ID: "vm1", State: platform.VMLive}})
	r := httptest.NewRequest(http.MethodPost, PathVMs, strings.NewReader(string(body)))
	w := httptest.NewRecorder()
	p.ServeHTTP(w, r)
	if w.Code != http.StatusOK {
		t.Fatalf("post VM: got status %d, body %s, want 200", w.Code, w.Body)
	}
	vms, _, err := client.VMs(context.Background())
	if err != nil || len(vms) != 1 || vms[0].ID != "vm1" {
		t.Fatalf("list VMs: got %v, error %v, want vm1 only", vms, err)
	}
}

func TestObjectNameWithSlash(t *testing.T) {
	_, client := startPlatform(t, PlatformSettings{})
	ctx := context.Background()
	if err := client.Objects().Put(ctx, "a/b c", []byte("x")); err != nil {
		t.Fatal(err)
	}
	data, err := client.Objects().Get(ctx, "a/b c")
	if err != nil || string(data) != "x" {
		t.Fatalf("get object: got %q, error %v, want \"x\"", data, err)
	}
	if _, err := client.Objects().Get(ctx, "a"); !errors.Is(err, platform.ErrNotFound) {
		t.Fatalf("get missing object: got error %v, want ErrNotFound", err)
	}
}
