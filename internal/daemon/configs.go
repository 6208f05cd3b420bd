package daemon

import (
	"context"
	"sync/atomic"

	"kumquatcleat/internal/config"
	"kumquatcleat/internal/peer"
)

// configPeers asks other VMs for configuration. It implements config.Peers.
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

// configMembers turns rosters into the form that the config package wants. The
// same roster gives the same slice.
type configMembers struct {
	members *Members
	made    atomic.Pointer[madeMembers]
}

type madeMembers struct {
	roster *Roster
	list   []config.Member
}

func (c *configMembers) list() []config.Member {
	roster := c.members.Roster()
	if made := c.made.Load(); made != nil && made.roster == roster {
		return made.list
	}
	list := make([]config.Member, 0, len(roster.VMs))
	for _, vm := range roster.VMs {
		list = append(list, config.Member{ID: vm.ID, FailureDomain: vm.FailureDomain})
	}
	c.made.Store(&madeMembers{roster: roster, list: list})
	return list
}
