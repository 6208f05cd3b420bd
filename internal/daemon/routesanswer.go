package daemon

import (
	"context"
	"encoding/binary"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"kumquatcleat/internal/ownership"
	"kumquatcleat/internal/peer"
)

// AnswerRoutes handles a routes request from another VM or from this one.
func (g *Groups) AnswerRoutes(ctx context.Context, request *peer.RoutesRequest) (*peer.RoutesAnswer, error) {
	run, ok := g.find(request.GetGroup())
	if !ok {
		return &peer.RoutesAnswer{}, nil
	}
	from := decodeVM(request.GetFrom())
	routes, err := run.driver.Routes(ctx, from)
	if err != nil {
		return nil, err
	}
	if routes.Keeper {
		run.rates.report(g.env.Clock(), from.ID, request.GetLoads())
		run.rates.reportDraining(g.env.Clock(), request.GetDraining())
	}
	if service, ok := g.store.Service(run.id.Service); ok && !hasUnchecked(service) {
		routes.Lease = 0 // not needed, and VMs would renew it continually
	}
	return encodeRoutes(routes, request.GetKnownVersion()), nil
}

func encodeRoutes(routes ownership.Routes, known uint64) *peer.RoutesAnswer {
	out := &peer.RoutesAnswer{
		Keeper:       routes.Keeper,
		KeeperHint:   encodeVM(routes.Hint),
		Version:      routesVersion(routes),
		Token:        &peer.Token{Epoch: routes.Token.Epoch, Seq: routes.Token.Seq},
		RouteLeaseMs: uint32(routes.Lease.Milliseconds()),
	}
	if !routes.Keeper || out.Version == known {
		return out
	}
	for _, r := range routes.Slots {
		out.Routes = append(out.Routes, &peer.Route{
			Slot:              r.Slot,
			Server:            r.Server.ID,
			ServerIncarnation: r.Server.Incarnation,
			Token:             &peer.Token{Epoch: r.Token.Epoch, Seq: r.Token.Seq},
			Moving:            r.Moving,
		})
	}
	return out
}

// routesVersion returns a hash of the routes. It is not a counter, because a slot also
// becomes usable when its server accepts the grant, which writes no row.
func routesVersion(routes ownership.Routes) uint64 {
	const bytesPerRoute = 64
	text := make([]byte, 0, bytesPerRoute*len(routes.Slots))
	for _, r := range routes.Slots {
		text = binary.AppendUvarint(text, uint64(r.Slot))
		text = binary.AppendUvarint(text, r.Token.Epoch)
		text = binary.AppendUvarint(text, r.Token.Seq)
		text = append(text, r.Server.ID...)
		text = append(text, 0)
		text = append(text, r.Server.Incarnation...)
		text = strconv.AppendBool(text, r.Moving)
	}
	return xxhash.Sum64(text)
}
