package gateway

import (
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"math"
	"net/http"
	"sync/atomic"
	"time"

	"kumquatcleat/internal/keyspace"
	"kumquatcleat/internal/rows"
	"kumquatcleat/internal/wait"
)

// updatesRequest asks a VM for what the asking one lacks.
type updatesRequest struct {
	After      map[string]uint64 `json:"after"` // by table
	WaitMS     int64             `json:"wait_ms"`
	LeastAgeMS int64             `json:"least_age_ms"`
	// Coordinating asks only a VM that coordinates: another may know old records.
	Coordinating bool `json:"coordinating,omitempty"`
}

// updatesAnswer is what a VM tells of its views.
type updatesAnswer struct {
	Updates []rows.Update `json:"updates"`
	// Packed are the values that the rows of Updates lack.
	Packed []packedValue `json:"packed,omitempty"`
}

// pathUpdates takes an updatesRequest and answers with an updatesAnswer.
const pathUpdates = "/peer/updates"

const (
	peerDialTimeout = 400 * time.Millisecond
	// seedDialTimeout is shorter: after a loss of power of all, callers wait for what
	// the first seed tells that runs again.
	seedDialTimeout = 100 * time.Millisecond
	// firstWait is how long the first source may wait for a change, and
	// callMargin what an answer may take besides: a source that hangs is passed
	// over after both, well within the bound on configuration.
	firstWait  = 500 * time.Millisecond
	callMargin = 400 * time.Millisecond
	// secondAsk spaces questions to the second source, secondAge is how long it must
	// have known what the first has not brought.
	secondAsk   = 500 * time.Millisecond
	secondAge   = 150 * time.Millisecond
	failedPause = 50 * time.Millisecond
	// maxPeerAnswer bounds an answer of a peer, in bytes.
	maxPeerAnswer = 16 << 20
)

// exchange follows other VMs' views and serves this VM's.
type exchange struct {
	peers  *peers
	set    *rows.Set
	client *http.Client
	seeds  *http.Client // for VMs of the settings, some of which may not run yet
	loads  *loads
	packer *packer
	// coordinates reports whether this VM coordinates, coordinator where the one that
	// does is asked; empty: not known.
	coordinates func() bool
	coordinator func() string
	// stand answers a coordinator whose standby this VM is.
	stand func(context.Context, keyspace.StandbyQuestion) keyspace.StandbyAnswer
	// followsKeys is set while the records of owners come from the coordinator.
	followsKeys atomic.Bool

	// configTable is the table whose rows are large; configAt is when it last
	// changed here. Both belong to the goroutine of runFirst.
	configTable string
	configAt    time.Time
}

func newExchange(p *peers, set *rows.Set, l *loads, configTable string) *exchange {
	return &exchange{peers: p, set: set, client: newPeerClient(p.settings.IP, peerDialTimeout), seeds: newPeerClient(p.settings.IP, seedDialTimeout), loads: l, packer: newPacker(), configTable: configTable}
}

// runFirst follows the domain's reader, while that is another VM.
func (e *exchange) runFirst(ctx context.Context) {
	for ctx.Err() == nil {
		first, _ := e.peers.sources(time.Now())
		if first == nil {
			wait.For(ctx, firstWait)
			continue
		}
		answer, err := e.ask(ctx, first, e.wanted(time.Now()), firstWait, 0)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			e.peers.failed(first, err)
			wait.For(ctx, failedPause)
			continue
		}
		if len(answer.Updates) == 0 && !e.set.Synced() {
			wait.For(ctx, failedPause) // it knows nothing yet either
		}
		for _, u := range answer.Updates {
			if u.Table == e.configTable {
				e.configAt = time.Now()
			}
		}
		e.set.Apply(answer.Updates)
	}
}

// configSpacing lies between two configurations that a VM takes from its reader:
// in a series of changes each is sent whole, and a narrow link carries few.
const configSpacing = 400 * time.Millisecond

// wanted returns the versions after which changes are asked for. Right after a
// configuration the next one is left for a later question.
func (e *exchange) wanted(now time.Time) map[string]uint64 {
	after := e.set.Versions()
	if now.Sub(e.configAt) < configSpacing {
		after[e.configTable] = math.MaxUint64
	}
	return after
}

// runSecond asks the second source for what the first has not brought.
func (e *exchange) runSecond(ctx context.Context) {
	for wait.For(ctx, secondAsk) {
		_, second := e.peers.sources(time.Now())
		if second == nil {
			continue
		}
		answer, err := e.ask(ctx, second, e.set.Versions(), 0, secondAge)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			e.peers.failed(second, err)
			continue
		}
		if len(answer.Updates) > 0 {
			slog.Info("peers: a second source knew more", "vm", second.name, "tables", len(answer.Updates))
			e.set.Apply(answer.Updates)
		}
	}
}

func (e *exchange) ask(ctx context.Context, from *peer, after map[string]uint64, longest, leastAge time.Duration) (updatesAnswer, error) {
	return e.request(ctx, from, updatesRequest{After: after, WaitMS: longest.Milliseconds(), LeastAgeMS: leastAge.Milliseconds()})
}

func (e *exchange) request(ctx context.Context, from *peer, request updatesRequest) (updatesAnswer, error) {
	var answer updatesAnswer
	ctx, cancel := context.WithTimeout(ctx, time.Duration(request.WaitMS)*time.Millisecond+callMargin)
	defer cancel()
	client := e.client
	if from.name == seedName {
		client = e.seeds
	}
	if err := call(ctx, client, from.address, pathUpdates, request, &answer); err != nil {
		return answer, err
	}
	return answer, answer.unpack()
}

// runKeys follows the records of owners at the VM that writes them, while this VM
// is its domain's first reader. Each record costs a call of the store less.
func (e *exchange) runKeys(ctx context.Context, table string) {
	for ctx.Err() == nil {
		address := e.coordinator()
		if e.peers.place(time.Now()) > 0 || e.coordinates() || address == "" || address == e.peers.settings.PeerListen {
			e.followsKeys.Store(false)
			wait.For(ctx, coordinatorIdle)
			continue
		}
		request := updatesRequest{After: e.only(table), WaitMS: firstWait.Milliseconds(), Coordinating: true}
		answer, err := e.request(ctx, &peer{name: "coordinator", address: address}, request)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			if e.followsKeys.Swap(false) {
				slog.Info("peers: the coordinator did not answer, records are read from the store", "address", address, "error", err.Error())
			}
			wait.For(ctx, coordinatorIdle)
			continue
		}
		e.followsKeys.Store(true)
		e.set.Apply(answer.Updates)
	}
}

// coordinatorIdle is how often a VM that may not follow the coordinator looks
// whether it may.
const coordinatorIdle = 200 * time.Millisecond

// only returns the versions for a question about one table.
func (e *exchange) only(table string) map[string]uint64 {
	after := e.set.Versions()
	for name := range after {
		if name != table {
			after[name] = math.MaxUint64
		}
	}
	return after
}

// mux serves this VM's views.
func (e *exchange) mux() *http.ServeMux {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+pathLoads, e.loads.receive)
	mux.HandleFunc("POST "+pathStandby, e.standBy)
	mux.HandleFunc("POST "+pathUpdates, func(w http.ResponseWriter, r *http.Request) {
		var request updatesRequest
		if err := json.NewDecoder(io.LimitReader(r.Body, maxPeerAnswer)).Decode(&request); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		if request.Coordinating && !e.coordinates() {
			http.Error(w, "another VM coordinates", http.StatusConflict)
			return
		}
		longest := min(time.Duration(request.WaitMS)*time.Millisecond, 2*firstWait)
		updates := e.set.Updates(r.Context(), request.After, longest, time.Duration(request.LeastAgeMS)*time.Millisecond)
		answer, err := e.packer.pack(updates)
		if err != nil {
			slog.Error("peers: an answer can't be compressed", "error", err.Error())
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
		if err := json.NewEncoder(w).Encode(answer); err != nil {
			slog.Debug("peers: an answer was not sent", "error", err.Error())
		}
	})
	return mux
}
