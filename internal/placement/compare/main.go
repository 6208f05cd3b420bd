// Command compare simulates placement algorithms on the users' services and reports
// how evenly they spread load and how many slots they move. It prints the tables of
// docs/design/0006-placement.md. The output depends only on the flags.
//
//	go run ./internal/placement/compare
package main

import (
	"flag"
	"fmt"
	"os"

	"golang.org/x/sync/errgroup"

	"kumquatcleat/internal/placement"
)

// skews are the Zipf exponents of the keys' popularity.
var skews = []float64{0.9, 1.0, 1.1, 1.2}

// detailSkew is the skew of the table that lists every service.
const detailSkew = 1.1

// maxParallel is the maximum number of concurrent simulations.
const maxParallel = 4

func main() {
	seed := flag.Uint64("seed", 1, "seed of the random number generators")
	settings := placement.DefaultSettings
	flag.Float64Var(&settings.Tolerance, "tolerance", settings.Tolerance, "tolerance of the greedy algorithms")
	flag.Float64Var(&settings.MinGain, "min-gain", settings.MinGain, "minimum gain of a move in the greedy algorithms")
	flag.Float64Var(&settings.MoveBudget, "move-budget", settings.MoveBudget, "maximum share of the slots that one plan of the greedy algorithms moves")
	flag.Float64Var(&settings.IdleWeight, "idle-weight", settings.IdleWeight, "weight of an idle slot in the greedy algorithms")
	pins := placement.DefaultPinSettings
	flag.Float64Var(&pins.PinAbove, "pin-above", pins.PinAbove, "minimum load at which a key is pinned")
	flag.Float64Var(&pins.UnpinBelow, "unpin-below", pins.UnpinBelow, "load below which a pinned key is unpinned")
	flag.Parse()
	if err := check(settings, pins); err != nil {
		fmt.Fprintf(os.Stderr, "compare: %v\n", err)
		os.Exit(2)
	}
	algorithms := algorithmsWith(settings, pins)
	results := runAll(algorithms, *seed)
	printTable(os.Stdout, "user", algorithms, results, func(r result) (string, bool) {
		return r.service.user, true
	})
	fmt.Println()
	printTable(os.Stdout, "service", algorithms, results, func(r result) (string, bool) {
		return r.service.name, r.skew == detailSkew
	})
}

func check(settings placement.Settings, pins placement.PinSettings) error {
	if flag.NArg() > 0 {
		return fmt.Errorf("unexpected argument %q", flag.Arg(0))
	}
	if err := settings.Validate(); err != nil {
		return err
	}
	return pins.Validate()
}

// runAll simulates all algorithms on all services at all skews.
func runAll(algorithms []algorithm, seed uint64) []result {
	perRun := make([][]result, len(skews)*len(services))
	var running errgroup.Group
	running.SetLimit(maxParallel)
	for i := range perRun {
		skew, s := skews[i/len(services)], services[i%len(services)]
		running.Go(func() error {
			perRun[i] = run(s, skew, algorithms, seed)
			return nil
		})
	}
	_ = running.Wait()
	var results []result
	for _, r := range perRun {
		results = append(results, r...)
	}
	return results
}
