package gateway

import (
	"context"
	"encoding/json"
	"log/slog"
	"math"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"kumquatcleat/internal/keyspace"
	"kumquatcleat/internal/rows"
	"kumquatcleat/internal/wait"
)

// updatesRequest asks a VM for rows that changed after the given versions.
type updatesRequest struct {
	After      map[string]uint64 `json:"after"` // version by table
	WaitMS     int64             `json:"wait_ms"`
	LeastAgeMS int64             `json:"least_age_ms"`
	// Coordinating requires the receiver to be the coordinator: other VMs may have old
	// records.
	Coordinating bool `json:"coordinating,omitempty"`
}

// updatesAnswer holds the requested changes of a VM's views.
type updatesAnswer struct {
	Updates []rows.Update `json:"updates"`
	// Packed holds compressed values, which are left out of the rows of Updates.
	Packed []packedValue `json:"packed,omitempty"`
	// AgeMS is how long ago, in milliseconds, the sender's views were last known to include
	// all changes of the store; nil if unknown.
	AgeMS *int64 `json:"age_ms,omitempty"`
	// ReadsStore says that the sender reached the store lately.
	ReadsStore bool `json:"reads_store,omitempty"`
}

// age returns how old the sender's views are, and false if unknown.
func (a *updatesAnswer) age() (time.Duration, bool) {
	if a.AgeMS == nil {
		return 0, false
	}
	return time.Duration(min(max(*a.AgeMS, 0), maxStatedAgeMS)) * time.Millisecond, true
}

// maxStatedAgeMS bounds the age that another VM states, so that it can't overflow.
const maxStatedAgeMS = 24 * 60 * 60 * 1000

// pathUpdates accepts an updatesRequest and responds with an updatesAnswer.
const pathUpdates = "/peer/updates"

const (
	peerDialTimeout = 400 * time.Millisecond
	// seedDialTimeout is shorter: after a power loss of all VMs, callers wait until this
	// VM has data from the first seed that runs again.
	seedDialTimeout = 100 * time.Millisecond
	// firstSourceWait is how long the first source may wait for a change before it
	// responds, and callMargin the additional time for the call. A source that hangs is
	// skipped after the sum of both, well within the two seconds that a configuration change
	// may take.
	firstSourceWait = 500 * time.Millisecond
	callMargin      = 400 * time.Millisecond
	// secondSourceInterval is the polling interval for the second source. That source
	// returns only changes that it has known for secondSourceMinAge, which gives the first
	// source time to deliver them.
	secondSourceInterval = 500 * time.Millisecond
	secondSourceMinAge   = 150 * time.Millisecond
	retryPause           = 50 * time.Millisecond
	// behindPause is the time between requests to sources that are behind the store if there
	// are no others: such a source may answer at once.
	behindPause = 100 * time.Millisecond
)

// viewSync copies changes from other VMs' views and serves the views of this VM.
type viewSync struct {
	peers      *peers
	set        *rows.Set
	client     *http.Client
	seedClient *http.Client // for seeds, some of which may not run yet
	loads      *loadReporter
	owners     *keyspace.Owners
	packer     *packer
	freshness  *freshness
	// isCoordinator reports whether this VM is the coordinator. coordinatorAddress
	// returns the coordinator's peer address, or "" if unknown.
	isCoordinator      func() bool
	coordinatorAddress func() string
	// answerStandby answers a coordinator that uses this VM as its standby.
	answerStandby func(context.Context, keyspace.StandbyRequest) keyspace.StandbyAnswer
	// followsCoordinator is set while the owners records come from the coordinator.
	followsCoordinator atomic.Bool

	// configTable is the table with large rows; configAt is when this VM last received a
	// change of it. Both are used only by the goroutine of followFirstSource.
	configTable string
	configAt    time.Time
}

func newViewSync(p *peers, set *rows.Set, l *loadReporter, f *freshness, configTable string) *viewSync {
	return &viewSync{peers: p, set: set, client: newPeerClient(p.settings.IP, peerDialTimeout, peerIdleConnections), seedClient: newPeerClient(p.settings.IP, seedDialTimeout, peerIdleConnections), loads: l, packer: newPacker(), freshness: f, configTable: configTable}
}

// followFirstSource follows the first reader of the domain, unless that is this VM.
func (s *viewSync) followFirstSource(ctx context.Context) {
	for ctx.Err() == nil {
		first, _ := s.peers.sources(time.Now())
		if first == nil {
			wait.For(ctx, readerRecheckInterval)
			continue
		}
		onlyBehind := s.peers.isBehind(first, time.Now()) // there is no other source
		wanted := s.wantedVersions(time.Now())
		answer, err := s.ask(ctx, first, wanted, s.sourceWait(time.Now()), 0)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			s.peers.markFailed(first, err)
			wait.For(ctx, retryPause)
			continue
		}
		if len(answer.Updates) == 0 && !s.set.Synced() {
			wait.For(ctx, retryPause) // the source has not read its tables either
		}
		if s.logConfig(first, &answer) {
			s.configAt = time.Now()
		}
		s.set.Apply(answer.Updates)
		if wanted[s.configTable] != math.MaxUint64 {
			s.confirm(first, &answer, 0)
		}
		if onlyBehind && len(answer.Updates) == 0 {
			wait.For(ctx, behindPause)
		}
	}
}

// confirm records that this VM's views are as fresh as those of the sender of an answer, whose
// changes of the last minAge it left out, or that the sender is behind the store.
func (s *viewSync) confirm(from *peer, answer *updatesAnswer, minAge time.Duration) {
	age, known := answer.age()
	if !known {
		return
	}
	s.freshness.confirm(max(age, minAge), answer.ReadsStore && s.peers.precedes(from))
	if age > behindAge {
		s.peers.markBehind(from, age)
	}
}

// logConfig reports whether an answer holds a configuration, and logs whose copy it is.
func (s *viewSync) logConfig(from *peer, answer *updatesAnswer) bool {
	held := slices.ContainsFunc(answer.Updates, func(u rows.Update) bool { return u.Table == s.configTable })
	if held {
		age, known := answer.age()
		slog.Info("peers: configuration received", "vm", from.name, "age_known", known, "age_ms", age.Milliseconds())
	}
	return held
}

// sourceWait returns how long the first source may wait for a change: no longer than until this
// VM requests configurations again.
func (s *viewSync) sourceWait(now time.Time) time.Duration {
	if left := minConfigInterval - now.Sub(s.configAt); left > 0 {
		return min(left, firstSourceWait)
	}
	return firstSourceWait
}

// minConfigInterval is the minimum time between two configurations that a VM requests from
// its reader. Each change sends the whole configuration, and a narrow link carries few.
const minConfigInterval = 400 * time.Millisecond

// wantedVersions returns the versions after which to request changes. Within
// minConfigInterval of a configuration it requests no newer one.
func (s *viewSync) wantedVersions(now time.Time) map[string]uint64 {
	after := s.set.Versions()
	if now.Sub(s.configAt) < minConfigInterval {
		after[s.configTable] = math.MaxUint64
	}
	return after
}

// pollSecondSource polls the second source for changes that the first has not delivered.
func (s *viewSync) pollSecondSource(ctx context.Context) {
	for wait.For(ctx, secondSourceInterval) {
		_, second := s.peers.sources(time.Now())
		if second == nil {
			continue
		}
		answer, err := s.ask(ctx, second, s.set.Versions(), 0, secondSourceMinAge)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			s.peers.markFailed(second, err)
			continue
		}
		if len(answer.Updates) > 0 {
			slog.Info("peers: second source delivered changes that the first did not", "vm", second.name, "tables", len(answer.Updates))
			s.logConfig(second, &answer)
			s.set.Apply(answer.Updates)
		}
		s.confirm(second, &answer, secondSourceMinAge)
	}
}

func (s *viewSync) ask(ctx context.Context, from *peer, after map[string]uint64, maxWait, minAge time.Duration) (updatesAnswer, error) {
	return s.request(ctx, from, updatesRequest{After: after, WaitMS: maxWait.Milliseconds(), LeastAgeMS: minAge.Milliseconds()})
}

func (s *viewSync) request(ctx context.Context, from *peer, request updatesRequest) (updatesAnswer, error) {
	var answer updatesAnswer
	ctx, cancel := context.WithTimeout(ctx, time.Duration(request.WaitMS)*time.Millisecond+callMargin)
	defer cancel()
	client := s.client
	if from.name == seedName {
		client = s.seedClient
	}
	if err := call(ctx, client, from.address, pathUpdates, request, &answer); err != nil {
		return answer, err
	}
	return answer, answer.unpack()
}

// followCoordinator copies the owners records from the coordinator, which writes them, while
// this VM is the first reader of its domain. This saves one store call per record.
func (s *viewSync) followCoordinator(ctx context.Context, table string) {
	for ctx.Err() == nil {
		address := s.coordinatorAddress()
		if s.peers.domainPosition(time.Now()) > 0 || s.isCoordinator() || address == "" || address == s.peers.settings.PeerListen {
			s.followsCoordinator.Store(false)
			wait.For(ctx, coordinatorRecheckInterval)
			continue
		}
		request := updatesRequest{After: s.versionsForTable(table), WaitMS: firstSourceWait.Milliseconds(), Coordinating: true}
		answer, err := s.request(ctx, &peer{name: "coordinator", address: address}, request)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			if s.followsCoordinator.Swap(false) {
				slog.Info("peers: coordinator did not respond, reading owners records from the store", "address", address, "error", err.Error())
			}
			wait.For(ctx, coordinatorRecheckInterval)
			continue
		}
		s.followsCoordinator.Store(true)
		s.set.Apply(answer.Updates)
	}
}

// coordinatorRecheckInterval is how often a VM that does not follow the coordinator checks
// whether it should.
const coordinatorRecheckInterval = 200 * time.Millisecond

// versionsForTable returns the versions for a request about one table only.
func (s *viewSync) versionsForTable(table string) map[string]uint64 {
	after := s.set.Versions()
	for name := range after {
		if name != table {
			after[name] = math.MaxUint64
		}
	}
	return after
}

// mux returns the handler of requests from other VMs.
func (s *viewSync) mux() *http.ServeMux {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+pathLoads, s.loads.receive)
	mux.HandleFunc("POST "+pathStandby, s.serveStandby)
	mux.HandleFunc("POST "+pathRecords, s.serveRecords)
	mux.HandleFunc("POST "+pathUpdates, func(w http.ResponseWriter, r *http.Request) {
		var request updatesRequest
		if !decodeRequest(w, r, &request) {
			return
		}
		if request.Coordinating && !s.isCoordinator() {
			http.Error(w, "another VM coordinates", http.StatusConflict)
			return
		}
		maxWait := min(time.Duration(request.WaitMS)*time.Millisecond, 2*firstSourceWait)
		if s.freshness.behind() && s.peers.domainPosition(time.Now()) < readersPerDomain {
			maxWait = 0 // others are about to read the store
		}
		ctx := r.Context()
		if !request.Coordinating {
			var cancel context.CancelFunc
			ctx, cancel = s.freshness.untilConfirmed(ctx)
			defer cancel()
		}
		updates := s.set.Updates(ctx, request.After, maxWait, time.Duration(request.LeastAgeMS)*time.Millisecond)
		answer, err := s.packer.pack(updates)
		if err != nil {
			slog.Error("peers: compress response failed", "error", err.Error())
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
		if age, known := s.freshness.age(); known {
			ms := age.Milliseconds()
			answer.AgeMS = &ms
		}
		answer.ReadsStore = s.freshness.readsStore()
		if err := json.NewEncoder(w).Encode(answer); err != nil {
			slog.Debug("peers: response not sent", "error", err.Error())
		}
	})
	return mux
}
