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

// Cut is a network partition. It replaces the previous one, and the zero value ends
// the partition.
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

// cutSides holds the IPs of the VMs on either side of a cut.
type cutSides struct {
	inside  []string // VMs in the domain that is cut off
	outside []string // all other VMs
}

func (c *Cluster) sidesOf(domain string) cutSides {
	var sides cutSides
	for _, vm := range c.VMs {
		ip, _, err := net.SplitHostPort(vm.PeerListen)
		if err != nil {
			continue
		}
		if vm.FailureDomain == domain {
			sides.inside = append(sides.inside, ip)
			continue
		}
		sides.outside = append(sides.outside, ip)
	}
	return sides
}

// blockedSources returns the IPs from which a stand-in must receive nothing. inside:
// the stand-in is in the domain that is cut off; cut: its links are cut.
func (sides cutSides) blockedSources(inside, cut bool) []string {
	switch {
	case !cut:
		return []string{}
	case inside:
		return sides.outside
	default:
		return sides.inside
	}
}

// Cut applies a partition to all stand-ins and relays of the cluster.
func (c *Cluster) Cut(ctx context.Context, cut Cut) error {
	sides := c.sidesOf(cut.Domain)
	if cut.Domain != "" && len(sides.inside) == 0 {
		return fmt.Errorf("cluster: no VM in domain %q", cut.Domain)
	}
	if err := c.cutPeers(ctx, cut, sides); err != nil {
		return err
	}
	for _, server := range c.servers() {
		sources := sides.blockedSources(server.FailureDomain == cut.Domain, cut.Servers)
		url := "http://" + server.Address + standin.PathCuts
		// A killed or stopped server can't take the request, but it receives
		// nothing from VMs either.
		_ = postJSON(ctx, url, standin.CutSources{Sources: sources})
	}
	url := "http://" + c.Platform + standin.PathCuts
	return postJSON(ctx, url, standin.CutSources{Sources: sides.blockedSources(false, cut.Platform)})
}

func (c *Cluster) cutPeers(ctx context.Context, cut Cut, sides cutSides) error {
	var cuts []standin.RelayCut
	for _, vm := range c.VMs {
		sources := sides.blockedSources(vm.FailureDomain == cut.Domain, cut.Peers)
		cuts = append(cuts, standin.RelayCut{Listen: vm.PeerAddress, Sources: sources})
	}
	return postJSON(ctx, "http://"+c.Relays+standin.PathRelays, cuts)
}

func postJSON(ctx context.Context, url string, value any) error {
	body, err := json.Marshal(value)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, standinRequestTimeout)
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
