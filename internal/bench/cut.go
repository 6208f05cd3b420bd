package bench

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"

	"kumquatcleat/internal/standin"
)

// Cut is a partition of the network. It replaces the one before; the zero value
// ends it.
type Cut struct {
	Domain   string `json:"domain,omitempty"`   // failure domain that is cut off
	Peers    bool   `json:"peers,omitempty"`    // its VMs and those of other domains
	Servers  bool   `json:"servers,omitempty"`  // its VMs and the servers of other domains, and the reverse
	Platform bool   `json:"platform,omitempty"` // its VMs and the platform
}

func (c *Cut) check() error {
	whole := Cut{}
	if *c != whole && c.Domain == "" {
		return fmt.Errorf("cut.domain is missing")
	}
	if c.Domain != "" && !c.Peers && !c.Servers && !c.Platform {
		return fmt.Errorf("cut: want peers, servers or platform")
	}
	return nil
}

// partition tells which VMs a stand-in must not hear.
type partition struct {
	inside  []string // IPs of the VMs in the domain that is cut off
	outside []string // IPs of the other VMs
}

func (c *Cluster) partition(domain string) partition {
	var p partition
	for _, vm := range c.VMs {
		ip, _, err := net.SplitHostPort(vm.PeerListen)
		if err != nil {
			continue
		}
		if vm.FailureDomain == domain {
			p.inside = append(p.inside, ip)
			continue
		}
		p.outside = append(p.outside, ip)
	}
	return p
}

// unheard returns the VMs that something in a domain does not hear.
func (p partition) unheard(inside, cut bool) []string {
	switch {
	case !cut:
		return []string{}
	case inside:
		return p.outside
	default:
		return p.inside
	}
}

// Cut brings a partition about.
func (c *Cluster) Cut(ctx context.Context, cut Cut) error {
	p := c.partition(cut.Domain)
	if cut.Domain != "" && len(p.inside) == 0 {
		return fmt.Errorf("cluster: no VM in domain %q", cut.Domain)
	}
	if err := c.cutPeers(ctx, cut, p); err != nil {
		return err
	}
	for _, server := range c.servers() {
		sources := p.unheard(server.FailureDomain == cut.Domain, cut.Servers)
		url := "http://" + server.Address + standin.PathCuts
		// A server that is killed or stopped can't be told; it hears nobody anyhow.
		_ = postJSON(ctx, url, standin.CutSources{Sources: sources})
	}
	url := "http://" + c.Platform + standin.PathCuts
	return postJSON(ctx, url, standin.CutSources{Sources: p.unheard(false, cut.Platform)})
}

func (c *Cluster) cutPeers(ctx context.Context, cut Cut, p partition) error {
	var cuts []standin.RelayCut
	for _, vm := range c.VMs {
		sources := p.unheard(vm.FailureDomain == cut.Domain, cut.Peers)
		cuts = append(cuts, standin.RelayCut{Listen: vm.PeerAddress, Sources: sources})
	}
	return postJSON(ctx, "http://"+c.Relays+standin.PathRelays, cuts)
}

func postJSON(ctx context.Context, url string, value any) error {
	body, err := json.Marshal(value)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, switchTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode == http.StatusOK {
		return nil
	}
	message, _ := io.ReadAll(io.LimitReader(resp.Body, 1024))
	return fmt.Errorf("%s: status %d: %s", url, resp.StatusCode, message)
}
