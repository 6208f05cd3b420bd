package retry

import (
	"cmp"
	"reflect"
	"slices"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"kumquatcleat/internal/fault"
)

const (
	propertyRuns = 500
	propertySeed = 7
)

func propertyParameters() *gopter.TestParameters {
	p := gopter.DefaultTestParametersWithSeed(propertySeed)
	p.MinSuccessfulTests = propertyRuns
	return p
}

// suspectsOf converts random numbers to reports of a few fingerprints and servers.
func suspectsOf(numbers []int) []Suspect {
	var list []Suspect
	for _, n := range numbers {
		servers := []string{[]string{"s1", "s2", "s3"}[n/4%3], []string{"s1", "s2", "s3"}[n/12%3]}
		if n/1800%8 == 0 {
			servers = nil // a successful run
		}
		list = append(list, Suspect{
			Service: "swapbay", Fingerprint: uint64(n % 4), Servers: servers,
			TTL: time.Duration(n/36%50) * time.Second,
		})
	}
	return list
}

type mergeFunc func(q *MemoryQuarantine, list []Suspect)

// lastReportWins injects a bug: a report replaces what is already known.
func lastReportWins(q *MemoryQuarantine, list []Suspect) {
	for _, s := range list {
		delete(q.suspects, suspectKey{s.Service, s.Fingerprint})
	}
	q.Merge(list)
}

// merged returns the content of a quarantine after merging the reports in this order.
func merged(merge mergeFunc, reports ...[]Suspect) []Suspect {
	q := NewQuarantine(DefaultQuarantineSettings(), newClock().now)
	for _, report := range reports {
		merge(q, report)
	}
	list := q.Snapshot()
	slices.SortFunc(list, func(a, b Suspect) int {
		return cmp.Or(cmp.Compare(a.Fingerprint, b.Fingerprint), slices.Compare(a.Servers, b.Servers))
	})
	return list
}

func mergeProperty(merge mergeFunc) gopter.Prop {
	reports := gen.SliceOf(gen.IntRange(0, 1<<16))
	return prop.ForAll(func(x, y, z []int) bool {
		a, b, c := suspectsOf(x), suspectsOf(y), suspectsOf(z)
		want := merged(merge, a, b, c)
		return reflect.DeepEqual(want, merged(merge, c, a, b)) &&
			reflect.DeepEqual(want, merged(merge, b, a, c, b, a)) &&
			reflect.DeepEqual(want, merged(merge, a, merged(merge, b, c)))
	}, reports, reports, reports)
}

func TestQuarantineMergeIsOrderIndependent(t *testing.T) {
	properties := gopter.NewProperties(propertyParameters())
	properties.Property("merge is commutative, associative, idempotent", mergeProperty(func(q *MemoryQuarantine, list []Suspect) {
		q.Merge(list)
	}))
	properties.TestingRun(t)
	if mergeProperty(lastReportWins).Check(propertyParameters()).Passed() {
		t.Error("injected bug not found: the last report wins")
	}
}

// staysWithinBudget applies a random sequence of successes and failures to a policy and
// reports whether its retries stay within the budget.
func staysWithinBudget(p Policy, s BudgetSettings, steps []int) bool {
	retries, successes := 0.0, 0.0
	for _, n := range steps {
		if n%3 == 0 {
			p.Succeeded()
			successes++
			continue
		}
		a := failedAttempt(fault.ConnectFailed, n%2 == 0)
		a.Number = 1 + n/6%4
		if again, wait := p.Next(a); again {
			retries++
			if wait >= a.Remaining {
				return false
			}
		}
	}
	const rounding = 1e-6 // error of the accumulated shares
	return retries <= s.Reserve+s.Share*successes+rounding
}

func TestRetriesStayWithinShareOfSuccesses(t *testing.T) {
	steps := gen.SliceOfN(500, gen.IntRange(0, 1<<16))
	properties := gopter.NewProperties(propertyParameters())
	properties.Property("retries <= reserve + share x successes", prop.ForAll(func(steps []int) bool {
		s := DefaultBudgetSettings()
		return staysWithinBudget(NewBudgetPolicy(s, half), s, steps)
	}, steps))
	properties.TestingRun(t)
	unbounded := prop.ForAllNoShrink(func(steps []int) bool {
		return staysWithinBudget(Fixed{Attempts: 3, Wait: time.Millisecond}, DefaultBudgetSettings(), steps)
	}, steps)
	if unbounded.Check(propertyParameters()).Passed() {
		t.Error("injected bug not found: no budget")
	}
}
