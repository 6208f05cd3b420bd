package retry

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
)

// claimInput is one operation of a request: it claims its key or releases it.
type claimInput struct {
	key, id string
	release bool
}

// singleHolderModel is the sequential specification: a key has at most one holder.
var singleHolderModel = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byKey := map[string][]porcupine.Operation{}
		for _, op := range history {
			key := op.Input.(claimInput).key
			byKey[key] = append(byKey[key], op)
		}
		var parts [][]porcupine.Operation
		for _, part := range byKey {
			parts = append(parts, part)
		}
		return parts
	},
	Init: func() any { return "" },
	Step: func(state, input, output any) (bool, any) {
		holder, in := state.(string), input.(claimInput)
		switch {
		case in.release && holder == in.id:
			return true, ""
		case !in.release && output.(Verdict) == ClaimFirst:
			return holder == "", in.id
		default:
			return true, holder
		}
	},
}

// claimPair is a keeper and its standby, connected by a link that loses messages.
type claimPair struct {
	lock          sync.Mutex // guards tables and random
	tables        []claimTable
	random        *rand.Rand
	lossesPerFive int // of five messages, how many are lost
}

func (p *claimPair) lost() bool {
	p.lock.Lock()
	defer p.lock.Unlock()
	return p.random.IntN(5) < p.lossesPerFive
}

// pair returns the current keeper and standby.
func (p *claimPair) pair() (keeper, standby claimTable) {
	p.lock.Lock()
	defer p.lock.Unlock()
	return p.tables[0], p.tables[1]
}

// takeOver makes the standby the keeper and adds a new standby.
func (p *claimPair) takeOver() {
	_, standby := p.pair()
	standby.BecomeKeeper()
	data, err := standby.Snapshot(start)
	if err != nil {
		panic(err)
	}
	fresh := NewClaimTable(DefaultClaimSettings(), OriginLost, start)
	if err := fresh.Restore(data, start); err != nil {
		panic(err)
	}
	p.lock.Lock()
	defer p.lock.Unlock()
	p.tables = []claimTable{standby, fresh}
}

// claim tries up to three times, like a VM that gets no answer.
func (p *claimPair) claim(in claimInput) Verdict {
	for range 3 {
		keeper, standby := p.pair()
		verdict := keeper.Begin(in.key, in.id, start).Verdict
		if verdict == ClaimFirst && (p.lost() || !standby.Replicate(in.key, in.id, start)) {
			verdict = ClaimRefused
		}
		if verdict != ClaimRefused && !p.lost() {
			return verdict
		}
	}
	return ClaimRefused
}

func (p *claimPair) release(in claimInput) {
	keeper, standby := p.pair()
	for _, table := range []claimTable{keeper, standby} {
		if !p.lost() {
			table.NotRun(in.key, in.id, start)
		}
	}
}

// recordHistory runs goroutines that claim a few keys while keepers fail, and returns
// the history of their operations.
func recordHistory(wrap func(*ClaimTable) claimTable, seed uint64) []porcupine.Operation {
	const workers, steps, keys = 8, 60, 4
	p := &claimPair{random: rand.New(rand.NewPCG(seed, 1)), lossesPerFive: 1}
	for range 2 {
		p.tables = append(p.tables, wrap(NewClaimTable(DefaultClaimSettings(), OriginNewGroup, start)))
	}
	p.tables[0].BecomeKeeper()
	var tick atomic.Int64
	var lock sync.Mutex // guards history
	var history []porcupine.Operation
	record := func(worker int, in claimInput, do func() Verdict) Verdict {
		call := tick.Add(1)
		verdict := do()
		op := porcupine.Operation{ClientId: worker, Input: in, Call: call, Output: verdict, Return: tick.Add(1)}
		lock.Lock()
		defer lock.Unlock()
		history = append(history, op)
		return verdict
	}
	var group sync.WaitGroup
	for worker := range workers {
		random := rand.New(rand.NewPCG(seed, uint64(worker)+2))
		group.Go(func() {
			for step := range steps {
				in := claimInput{key: fmt.Sprint("key", random.IntN(keys)), id: fmt.Sprint(worker, "-", step)}
				verdict := record(worker, in, func() Verdict { return p.claim(in) })
				if verdict == ClaimFirst && random.IntN(8) == 0 {
					continue // the request ran, so its key stays claimed
				}
				in.release = true
				record(worker, in, func() Verdict { p.release(in); return verdict })
				if worker == 0 && step%20 == 19 {
					p.takeOver()
				}
			}
		})
	}
	group.Wait()
	return history
}

func TestClaimHistoriesHaveOneHolderPerKey(t *testing.T) {
	for seed := range uint64(20) {
		history := recordHistory(unmodified, seed)
		if got := porcupine.CheckOperationsTimeout(singleHolderModel, history, time.Minute); got != porcupine.Ok {
			t.Fatalf("seed %d: got linearizability check %v, want Ok", seed, got)
		}
	}
}

func TestClaimHistoryCheckFindsReleaseByOtherRequest(t *testing.T) {
	for seed := range uint64(20) {
		history := recordHistory(func(table *ClaimTable) claimTable { return &lockedAnyReleaseTable{ClaimTable: table} }, seed)
		if porcupine.CheckOperationsTimeout(singleHolderModel, history, time.Minute) == porcupine.Illegal {
			return
		}
	}
	t.Fatal("all 20 histories were legal although NotRun of any request releases the key")
}

// lockedAnyReleaseTable is an anyReleaseTable that takes the table's lock, for
// concurrent use.
type lockedAnyReleaseTable struct{ *ClaimTable }

func (t *lockedAnyReleaseTable) NotRun(key, id string, now time.Time) {
	t.lock.Lock()
	defer t.lock.Unlock()
	anyReleaseTable{t.ClaimTable}.NotRun(key, id, now)
}
