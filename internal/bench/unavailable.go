package bench

import (
	"cmp"
	"slices"
)

// minCallsPerSecond is how often a key must be called on average to count. A key
// that is called less often would stay unavailable in the figures until its next
// call, long after it is served again.
const minCallsPerSecond = 1

// interval is a time without an answer, in CLOCK_MONOTONIC ns.
type interval struct{ from, to int64 }

// unavailable computes the figures that Unavailability defines.
func unavailable(calls []Call, info RunInfo) Unavailability {
	end := info.StartNS + int64(info.Scenario.Duration())
	byKey := map[string][]Call{}
	for _, call := range calls {
		if call.Key != "" {
			byKey[call.Key] = append(byKey[call.Key], call)
		}
	}
	minCalls := int(info.Scenario.Duration().Seconds() * minCallsPerSecond)
	var result Unavailability
	for _, keyCalls := range byKey {
		if len(keyCalls) < minCalls {
			continue
		}
		result.KeysSeen++
		for _, s := range mergeIntervals(unansweredIntervals(keyCalls, end)) {
			length := float64(s.to - s.from)
			result.KeySeconds += length / 1e9
			result.LongestMS = max(result.LongestMS, length/nanosPerMS)
		}
	}
	if total := float64(result.KeysSeen) * info.Scenario.Duration().Seconds(); total > 0 {
		result.Share = result.KeySeconds / total
	}
	return result
}

// unansweredIntervals returns the times for which the calls of one key went
// without an answer.
func unansweredIntervals(calls []Call, end int64) []interval {
	slices.SortStableFunc(calls, func(a, b Call) int { return cmp.Compare(a.IntendedNS, b.IntendedNS) })
	const none = -1
	since := int64(none)
	var result []interval
	for _, call := range calls {
		answered := call.Outcome == CallAnswered || call.Outcome == CallDeferred
		if !answered {
			if since == none {
				since = call.IntendedNS
			}
			continue
		}
		if since != none {
			result = append(result, interval{since, call.AnsweredNS})
			since = none
		}
		if call.AnsweredNS-call.IntendedNS > slowAnswerNS {
			result = append(result, interval{call.IntendedNS, call.AnsweredNS})
		}
	}
	if since != none && since < end {
		result = append(result, interval{since, end})
	}
	return result
}

// mergeIntervals joins intervals that overlap or touch.
func mergeIntervals(all []interval) []interval {
	slices.SortFunc(all, func(a, b interval) int { return cmp.Compare(a.from, b.from) })
	var merged []interval
	for _, s := range all {
		if n := len(merged); n > 0 && s.from <= merged[n-1].to {
			merged[n-1].to = max(merged[n-1].to, s.to)
			continue
		}
		merged = append(merged, s)
	}
	return merged
}
