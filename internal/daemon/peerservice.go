package daemon

import (
	"context"

	"github.com/twitchtv/twirp"

	"kumquatcleat/internal/config"
	"kumquatcleat/internal/peer"
)

// peerService serves the requests of other VMs. It implements peer.Peer.
type peerService struct {
	daemon *Daemon
}

// Ping implements peer.Peer.
func (s *peerService) Ping(_ context.Context, request *peer.PingRequest) (*peer.PingAnswer, error) {
	answer := &peer.PingAnswer{
		From:         encodeVM(s.daemon.self),
		Stopping:     s.daemon.stopping.Load(),
		ConfigDigest: s.daemon.store.Digest(),
	}
	if request.GetWantVms() {
		answer.Vms = encodeVMs(s.daemon.members.Roster().VMs)
	}
	return answer, nil
}

// Routes implements peer.Peer.
func (s *peerService) Routes(ctx context.Context, request *peer.RoutesRequest) (*peer.RoutesAnswer, error) {
	answer, err := s.daemon.groups.AnswerRoutes(ctx, request)
	return answer, wireError(err)
}

// Agree implements peer.Peer.
func (s *peerService) Agree(ctx context.Context, in *peer.Agreement) (*peer.Agreement, error) {
	if err := s.daemon.groups.Agree(ctx, in); err != nil {
		return nil, wireError(err)
	}
	return &peer.Agreement{Kind: peer.Agreement_NONE}, nil
}

// Configs implements peer.Peer.
func (s *peerService) Configs(_ context.Context, request *peer.ConfigsRequest) (*peer.ConfigsAnswer, error) {
	answer := &peer.ConfigsAnswer{Records: s.daemon.store.RawNewer(request.GetKnown())}
	for _, schema := range config.ReadableSchemas() {
		answer.ReadableSchemas = append(answer.ReadableSchemas, int32(schema))
	}
	return answer, nil
}

// Claim implements peer.Peer.
func (s *peerService) Claim(ctx context.Context, request *peer.ClaimRequest) (*peer.ClaimAnswer, error) {
	answer, err := s.daemon.claims.Answer(ctx, request)
	return answer, wireError(err)
}

// CopyClaims implements peer.Peer.
func (s *peerService) CopyClaims(_ context.Context, in *peer.ClaimsCopy) (*peer.ClaimsCopied, error) {
	if err := s.daemon.claims.RestoreCopy(in); err != nil {
		return nil, wireError(err)
	}
	return &peer.ClaimsCopied{}, nil
}

// Suspects implements peer.Peer.
func (s *peerService) Suspects(_ context.Context, in *peer.SuspectsMessage) (*peer.SuspectsMessage, error) {
	s.daemon.suspects.Merge(decodeSuspects(in.GetSuspects()))
	return s.daemon.suspects.message(), nil
}

func wireError(err error) error {
	if err == nil {
		return nil
	}
	return twirp.NewError(twirp.FailedPrecondition, err.Error())
}
