package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"log/slog"
	"net/http"
	"time"

	"kumquatcleat/internal/keyspace"
)

// pathStandby takes a keyspace.StandbyQuestion and answers with a
// keyspace.StandbyAnswer.
const pathStandby = "/peer/standby"

// standbyTimeout bounds a question: the standby may try the store first, which
// takes leadStrain where it is silent.
const standbyTimeout = leadStrain + 150*time.Millisecond

var errNoStandby = errors.New("no other VM is known that answers")

// askStandby implements keyspace.AskStandby.
func (g *Gateway) askStandby(ctx context.Context, q keyspace.StandbyQuestion) (keyspace.StandbyAnswer, error) {
	var answer keyspace.StandbyAnswer
	to := g.peers.standby(time.Now())
	if to == nil {
		return answer, errNoStandby
	}
	ctx, cancel := context.WithTimeout(ctx, standbyTimeout)
	defer cancel()
	if err := call(ctx, g.exchange.client, to.address, pathStandby, q, &answer); err != nil {
		g.peers.failed(to, err)
		return answer, err
	}
	return answer, nil
}

// standBy answers another VM that coordinates.
func (e *exchange) standBy(w http.ResponseWriter, r *http.Request) {
	var q keyspace.StandbyQuestion
	if err := json.NewDecoder(io.LimitReader(r.Body, maxPeerAnswer)).Decode(&q); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if err := json.NewEncoder(w).Encode(e.stand(r.Context(), q)); err != nil {
		slog.Debug("peers: a standby's answer was not sent", "error", err.Error())
	}
}
