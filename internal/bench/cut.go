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

// Cut is a network partition. It replaces the previous one; the zero value ends
// it.
type Cut struct {
	Domain   string `json:"domain,omitempty"`   // failure domain that is partitioned off
	Peers    bool   `json:"peers,omitempty"`    // between its VMs and those of other domains
	Servers  bool   `json:"servers,omitempty"`  // between its VMs and the servers of other domains, and the reverse
	Platform bool   `json:"platform,omitempty"` // between its VMs and the platform
}

func (c *Cut) check() error {
	zero := Cut{}
	if *c != zero && c.Domain == "" {
		return fmt.Errorf("cut.domain is missing")
	}
	if c.Domain != "" && !c.Peers && !c.Servers && !c.Platform {
		return fmt.Errorf("cut: want peers, servers or platform")
	}
	return nil
}

// partition holds the IPs of the VMs on either side of a cut.
type partition struct {
	inside  []string // VMs in the domain that is cut off
	outside []string // all other VMs
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

// blockedSources returns the VMs whose traffic a stand-in must not receive, given
// whether it is inside the domain and whether its links are cut.
func (p partition) blockedSources(inside, cut bool) []string {
	switch {
	case !cut:
		return []string{}
	case inside:
		return p.outside
	default:
		return p.inside
	}
}

// Cut puts a partition into effect.
func (c *Cluster) Cut(ctx context.Context, cut Cut) error {
	p := c.partition(cut.Domain)
	if cut.Domain != "" && len(p.inside) == 0 {
		return fmt.Errorf("cluster: no VM in domain %q", cut.Domain)
	}
	if err := c.cutPeers(ctx, cut, p); err != nil {
		return err
	}
	for _, server := range c.servers() {
		sources := p.blockedSources(server.FailureDomain == cut.Domain, cut.Servers)
		url := "http://" + server.Address + standin.PathCuts
		// A killed or stopped server can't take the request, but it receives
		// nothing from VMs either.
		_ = postJSON(ctx, url, standin.CutSources{Sources: sources})
	}
	url := "http://" + c.Platform + standin.PathCuts
	return postJSON(ctx, url, standin.CutSources{Sources: p.blockedSources(false, cut.Platform)})
}

func (c *Cluster) cutPeers(ctx context.Context, cut Cut, p partition) error {
	var cuts []standin.RelayCut
	for _, vm := range c.VMs {
		sources := p.blockedSources(vm.FailureDomain == cut.Domain, cut.Peers)
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
