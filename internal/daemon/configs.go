package daemon

import (
	"context"
	"sync/atomic"

	"kumquatcleat/internal/config"
	"kumquatcleat/internal/peer"
)

// configPeers fetches configuration from other VMs. It implements config.Peers.
type configPeers struct {
	directory *Directory
}

// Digest implements config.Peers.
func (p *configPeers) Digest(ctx context.Context, vm string) (uint64, error) {
	client, err := p.directory.client(vm)
	if err != nil {
		return 0, err
	}
	answer, err := client.Ping(ctx, &peer.PingRequest{From: encodeVM(p.directory.self)})
	return answer.GetConfigDigest(), err
}

// Configs implements config.Peers.
func (p *configPeers) Configs(ctx context.Context, vm string, known map[string]uint64) ([][]byte, error) {
	client, err := p.directory.client(vm)
	if err != nil {
		return nil, err
	}
	answer, err := client.Configs(ctx, &peer.ConfigsRequest{From: encodeVM(p.directory.self), Known: known})
	return answer.GetRecords(), err
}

// configMembers converts the roster to []config.Member. It returns the same slice until
// the roster changes.
type configMembers struct {
	members *Members
	cached  atomic.Pointer[cachedMembers]
}

type cachedMembers struct {
	roster *Roster
	list   []config.Member
}

func (c *configMembers) list() []config.Member {
	roster := c.members.Roster()
	if cached := c.cached.Load(); cached != nil && cached.roster == roster {
		return cached.list
	}
	list := make([]config.Member, 0, len(roster.VMs))
	for _, vm := range roster.VMs {
		list = append(list, config.Member{ID: vm.ID, FailureDomain: vm.FailureDomain})
	}
	c.cached.Store(&cachedMembers{roster: roster, list: list})
	return list
}
