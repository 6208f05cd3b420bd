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

// claimInput is one step of a request: it claims its key, or frees it.
type claimInput struct {
	key, id string
	free    bool
}

// ownedKeys is the sequential model: a key has one holder at most.
var ownedKeys = porcupine.Model{
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
		case in.free && holder == in.id:
			return true, ""
		case !in.free && output.(Verdict) == ClaimFirst:
			return holder == "", in.id
		default:
			return true, holder
		}
	},
}

// claimPair is a keeper and its standby, joined by a link that loses messages.
type claimPair struct {
	lock    sync.Mutex // owns books and random
	books   []book
	random  *rand.Rand
	lossOf5 int // messages lost of five
}

func (p *claimPair) lost() bool {
	p.lock.Lock()
	defer p.lock.Unlock()
	return p.random.IntN(5) < p.lossOf5
}

// pair returns the keeper and the standby as the requests see them now.
func (p *claimPair) pair() (keeper, standby book) {
	p.lock.Lock()
	defer p.lock.Unlock()
	return p.books[0], p.books[1]
}

// takeOver makes the standby keeper, with a new standby beside it.
func (p *claimPair) takeOver() {
	_, standby := p.pair()
	standby.Lead()
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
	p.books = []book{standby, fresh}
}

// claim asks up to three times, as a VM does whose messages are lost.
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

func (p *claimPair) free(in claimInput) {
	keeper, standby := p.pair()
	for _, b := range []book{keeper, standby} {
		if !p.lost() {
			b.NotRun(in.key, in.id, start)
		}
	}
}

// recordHistory lets goroutines claim few keys while keepers are lost, and returns
// what they saw.
func recordHistory(wrap func(*ClaimTable) book, seed uint64) []porcupine.Operation {
	const workers, steps, keys = 8, 60, 4
	p := &claimPair{random: rand.New(rand.NewPCG(seed, 1)), lossOf5: 1}
	for range 2 {
		p.books = append(p.books, wrap(NewClaimTable(DefaultClaimSettings(), OriginNewGroup, start)))
	}
	p.books[0].Lead()
	var tick atomic.Int64
	var lock sync.Mutex // owns history
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
					continue // it ran: the key stays taken
				}
				in.free = true
				record(worker, in, func() Verdict { p.free(in); return verdict })
				if worker == 0 && step%20 == 19 {
					p.takeOver()
				}
			}
		})
	}
	group.Wait()
	return history
}

func TestHistoriesOfClaimsShowOneHolderAKey(t *testing.T) {
	for seed := range uint64(20) {
		history := recordHistory(plainBook, seed)
		if got := porcupine.CheckOperationsTimeout(ownedKeys, history, time.Minute); got != porcupine.Ok {
			t.Fatalf("seed %d: %v", seed, got)
		}
	}
}

func TestHistoriesFindAForgetfulBook(t *testing.T) {
	for seed := range uint64(20) {
		history := recordHistory(func(b *ClaimTable) book { return &lockedForgetful{ClaimTable: b} }, seed)
		if porcupine.CheckOperationsTimeout(ownedKeys, history, time.Minute) == porcupine.Illegal {
			return
		}
	}
	t.Fatal("20 histories of a book that frees a key whoever gives it up were all legal")
}

// lockedForgetful frees a key whoever gives it up, under the book's lock.
type lockedForgetful struct{ *ClaimTable }

func (b *lockedForgetful) NotRun(key, id string, now time.Time) {
	b.lock.Lock()
	defer b.lock.Unlock()
	forgetfulBook{b.ClaimTable}.NotRun(key, id, now)
}
