package gateway

import (
	"context"
	"encoding/json"
	"log/slog"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"kumquatcleat/internal/keyspace"
)

// pathRecords accepts a recordsRequest and responds with a recordsAnswer.
const pathRecords = "/peer/records"

// recordsRequest asks a VM for the owners records that it knows, if they are newer.
type recordsRequest struct {
	Versions map[string]uint64 `json:"versions"` // by service
}

type recordsAnswer struct {
	UptimeMS int64                            `json:"uptime_ms"`         // of the process, which remembers no record from before
	Records  map[string]keyspace.StoredRecord `json:"records,omitempty"` // by service
}

// recordsTimeout is how long a VM may take to answer. The coordinator asks while no key is
// granted.
const recordsTimeout = 400 * time.Millisecond

// askRecords asks all VMs for their owners records, caches those that are newer than this
// VM's, and reports whether the processes of all VMs, this one included, answered and have run
// for minUptime.
func (s *viewSync) askRecords(ctx context.Context, minUptime time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, recordsTimeout)
	defer cancel()
	request := recordsRequest{Versions: s.owners.Versions()}
	var missing atomic.Int64
	var calls sync.WaitGroup
	for _, vm := range s.peers.others() {
		calls.Go(func() {
			var answer recordsAnswer
			if err := call(ctx, s.client, vm.address, pathRecords, request, &answer); err != nil {
				slog.Info("peers: VM did not tell its owners records", "vm", vm.name, "error", err.Error())
				missing.Add(1)
				return
			}
			s.owners.Learn(answer.Records)
			if uptime := time.Duration(answer.UptimeMS) * time.Millisecond; uptime < minUptime {
				slog.Info("peers: VM may have forgotten owners records", "vm", vm.name, "uptime", uptime)
				missing.Add(1)
			}
		})
	}
	calls.Wait()
	return missing.Load() == 0 && time.Since(s.peers.startedAt) >= minUptime
}

func (s *viewSync) serveRecords(w http.ResponseWriter, r *http.Request) {
	var request recordsRequest
	if !decodeRequest(w, r, &request) {
		return
	}
	newer, err := s.owners.Newer(request.Versions)
	if err != nil {
		slog.Error("peers: owners records not told", "error", err.Error())
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	if err := json.NewEncoder(w).Encode(recordsAnswer{UptimeMS: time.Since(s.peers.startedAt).Milliseconds(), Records: newer}); err != nil {
		slog.Debug("peers: response not sent", "error", err.Error())
	}
}
