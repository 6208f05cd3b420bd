package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"net/http"
	"time"

	"kumquatcleat/internal/keyspace"
)

// pathStandby accepts a keyspace.StandbyRequest and responds with a
// keyspace.StandbyAnswer.
const pathStandby = "/peer/standby"

// standbyCallTimeout bounds a call to the standby, which may try the store first. That
// takes coordinatorLeaseDegradedAfter if the store does not respond.
const standbyCallTimeout = coordinatorLeaseDegradedAfter + 150*time.Millisecond

var errNoStandby = errors.New("no responsive VM is known to act as standby")

// askStandby implements keyspace.AskStandby.
func (g *Gateway) askStandby(ctx context.Context, q keyspace.StandbyRequest) (keyspace.StandbyAnswer, error) {
	var answer keyspace.StandbyAnswer
	to := g.peers.standby(time.Now())
	if to == nil {
		return answer, errNoStandby
	}
	ctx, cancel := context.WithTimeout(ctx, standbyCallTimeout)
	defer cancel()
	if err := call(ctx, g.viewSync.client, to.address, pathStandby, q, &answer); err != nil {
		g.peers.markFailed(to, err)
		return answer, err
	}
	return answer, nil
}

// serveStandby handles a request of the coordinator to its standby.
func (s *viewSync) serveStandby(w http.ResponseWriter, r *http.Request) {
	var q keyspace.StandbyRequest
	if !decodeRequest(w, r, &q) {
		return
	}
	if err := json.NewEncoder(w).Encode(s.answerStandby(r.Context(), q)); err != nil {
		slog.Debug("peers: response as standby not sent", "error", err.Error())
	}
}
