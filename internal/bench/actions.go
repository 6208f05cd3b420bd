package bench

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"syscall"
	"time"

	"kumquatcleat/internal/platform"
	"kumquatcleat/internal/routing"
	"kumquatcleat/internal/standin"
)

const (
	pathReady   = "/readyz"
	pollStep    = 50 * time.Millisecond
	pollTimeout = time.Second // of one poll request
	// roleEntry is the role of entry VMs in the platform's list.
	roleEntry = "entry"
	// roleServer is the role of servers' VMs in the platform's list.
	roleServer = "server"
	// listedIncarnation is the incarnation that the bench enters in the VM list; it
	// never replaces a VM.
	listedIncarnation = "1"
)

// Act applies an action to one of the cluster's processes, or to a VM's entry in
// the platform's list.
func (c *Cluster) Act(ctx context.Context, name string, action Action) error {
	switch action {
	case ActUnlist:
		return c.changeVMList(ctx, name, true, "")
	case ActLeave:
		return c.changeVMList(ctx, name, false, platform.VMLeaving)
	case ActList:
		return c.changeVMList(ctx, name, false, platform.VMLive)
	}
	p, err := loadProcess(c.Dir, name)
	if err != nil {
		return err
	}
	switch action {
	case ActStop:
		return p.signal(syscall.SIGSTOP)
	case ActContinue:
		return p.signal(syscall.SIGCONT)
	case ActKill:
		return p.signal(syscall.SIGKILL)
	case ActTerminate:
		return p.signal(syscall.SIGTERM)
	case ActStart:
		if p.alive() {
			return fmt.Errorf("process %s still runs", name)
		}
		_, err := startProcess(c.Dir, name, p.Argv)
		return err
	}
	return fmt.Errorf("process %s: no action %q", name, action)
}

func (c *Cluster) changeVMList(ctx context.Context, name string, remove bool, state platform.VMState) error {
	for _, vm := range c.VMs {
		if vm.ID != name {
			continue
		}
		if remove {
			return c.postVM(ctx, standin.VMChange{VM: platform.VM{ID: vm.ID}, Remove: true})
		}
		return c.listVM(ctx, vm, state)
	}
	return c.changeServerEntry(ctx, name, remove, state)
}

// changeServerEntry changes the entry of a server's VM in the platform's list. A
// server that is up and not leaving needs no entry.
func (c *Cluster) changeServerEntry(ctx context.Context, name string, remove bool, state platform.VMState) error {
	for _, server := range c.servers() {
		if server.ID != name {
			continue
		}
		return c.postVM(ctx, standin.VMChange{Remove: remove, VM: platform.VM{
			ID:            server.ID,
			Incarnation:   listedIncarnation,
			Role:          roleServer,
			FailureDomain: server.FailureDomain,
			Address:       server.Address,
			State:         state,
		}})
	}
	return fmt.Errorf("cluster: no VM %q", name)
}

// listVM adds a VM to the platform's list, or replaces its entry.
func (c *Cluster) listVM(ctx context.Context, vm ClusterVM, state platform.VMState) error {
	return c.postVM(ctx, standin.VMChange{VM: platform.VM{
		ID:            vm.ID,
		Incarnation:   listedIncarnation,
		Role:          roleEntry,
		FailureDomain: vm.FailureDomain,
		Address:       vm.PeerAddress,
		State:         state,
	}})
}

func (c *Cluster) postVM(ctx context.Context, change standin.VMChange) error {
	if err := postJSON(ctx, "http://"+c.Platform+standin.PathVMs, change); err != nil {
		return fmt.Errorf("cluster: VM list: %w", err)
	}
	return nil
}

// waitOK polls a URL until it answers 200.
func waitOK(ctx context.Context, name, url string) error {
	return waitKeyServed(ctx, name, url, "")
}

// waitKeyServed polls a URL with a key until it answers 200.
func waitKeyServed(ctx context.Context, name, url, key string) error {
	var last error
	for {
		if last = poll(ctx, url, key); last == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("cluster: wait for %s: %w", name, last)
		case <-time.After(pollStep):
		}
	}
}

var errNotReady = errors.New("not ready")

func poll(ctx context.Context, url, key string) error {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	if key != "" {
		req.Header.Set(routing.HeaderKey, key)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	_ = resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("%w: status %d", errNotReady, resp.StatusCode)
	}
	return nil
}
