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
	pollTimeout = time.Second // of one poll
	// roleEntry is the role of entry VMs in the platform's list.
	roleEntry = "entry"
	// roleServer is the role of servers' VMs in the platform's list.
	roleServer = "server"
	// platformIncarnation is what the list says of VMs that were never replaced.
	platformIncarnation = "1"
)

// Act does something to one of the cluster's processes.
func (c *Cluster) Act(ctx context.Context, name string, action ProcessAction) error {
	switch action {
	case ActUnlist:
		return c.changeList(ctx, name, true, "")
	case ActLeave:
		return c.changeList(ctx, name, false, platform.VMLeaving)
	case ActList:
		return c.changeList(ctx, name, false, platform.VMLive)
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
	case ActEnd:
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

func (c *Cluster) changeList(ctx context.Context, name string, remove bool, state platform.VMState) error {
	for _, vm := range c.VMs {
		if vm.ID != name {
			continue
		}
		if remove {
			return c.postVM(ctx, standin.VMChange{VM: platform.VM{ID: vm.ID}, Remove: true})
		}
		return c.list(ctx, vm, state)
	}
	return c.changeServer(ctx, name, remove, state)
}

// changeServer changes the entry of a server's VM in the platform's list. A
// server that is up and stays needs none.
func (c *Cluster) changeServer(ctx context.Context, name string, remove bool, state platform.VMState) error {
	for _, server := range c.servers() {
		if server.ID != name {
			continue
		}
		return c.postVM(ctx, standin.VMChange{Remove: remove, VM: platform.VM{
			ID:            server.ID,
			Incarnation:   platformIncarnation,
			Role:          roleServer,
			FailureDomain: server.FailureDomain,
			Address:       server.Address,
			State:         state,
		}})
	}
	return fmt.Errorf("cluster: no VM %q", name)
}

// list puts a VM into the platform's list.
func (c *Cluster) list(ctx context.Context, vm ClusterVM, state platform.VMState) error {
	return c.postVM(ctx, standin.VMChange{VM: platform.VM{
		ID:            vm.ID,
		Incarnation:   platformIncarnation,
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

// waitAnswer polls a URL until it answers 200.
func waitAnswer(ctx context.Context, name, url string) error {
	return waitServedKey(ctx, name, url, "")
}

// waitServedKey polls a URL for a key until it answers 200.
func waitServedKey(ctx context.Context, name, url, key string) error {
	var last error
	for {
		if last = poll(ctx, url, key); last == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("cluster: %s is not ready: %w", name, last)
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
