package bench

import (
	"cmp"
	"slices"
)

// minCallsPerSecond is how often a key must be called to count. A key that is
// called less often would stay unavailable in the figures until its next call,
// long after it is served again.
const minCallsPerSecond = 1

// stretch is a time without an answer, in CLOCK_MONOTONIC ns.
type stretch struct{ from, to int64 }

// unavailable works out the figures that Unavailable defines.
func unavailable(calls []Call, info RunInfo) Unavailable {
	end := info.StartNS + int64(info.Scenario.Duration())
	byKey := map[string][]Call{}
	for _, call := range calls {
		if call.Key != "" {
			byKey[call.Key] = append(byKey[call.Key], call)
		}
	}
	enough := int(info.Scenario.Duration().Seconds() * minCallsPerSecond)
	var result Unavailable
	for _, ofKey := range byKey {
		if len(ofKey) < enough {
			continue
		}
		result.KeysSeen++
		for _, s := range merge(stretches(ofKey, end)) {
			length := float64(s.to - s.from)
			result.KeySeconds += length / 1e9
			result.LongestMS = max(result.LongestMS, length/nanosPerMS)
		}
	}
	if whole := float64(result.KeysSeen) * info.Scenario.Duration().Seconds(); whole > 0 {
		result.Share = result.KeySeconds / whole
	}
	return result
}

// stretches returns the times without an answer of one key's calls.
func stretches(calls []Call, end int64) []stretch {
	slices.SortStableFunc(calls, func(a, b Call) int { return cmp.Compare(a.IntendedNS, b.IntendedNS) })
	const none = -1
	since := int64(none)
	var result []stretch
	for _, call := range calls {
		answered := call.Outcome == CallAnswered || call.Outcome == CallDeferred
		if !answered {
			if since == none {
				since = call.IntendedNS
			}
			continue
		}
		if since != none {
			result = append(result, stretch{since, call.AnsweredNS})
			since = none
		}
		if call.AnsweredNS-call.IntendedNS > slowAnswerNS {
			result = append(result, stretch{call.IntendedNS, call.AnsweredNS})
		}
	}
	if since != none && since < end {
		result = append(result, stretch{since, end})
	}
	return result
}

// merge joins stretches that overlap.
func merge(all []stretch) []stretch {
	slices.SortFunc(all, func(a, b stretch) int { return cmp.Compare(a.from, b.from) })
	var merged []stretch
	for _, s := range all {
		if n := len(merged); n > 0 && s.from <= merged[n-1].to {
			merged[n-1].to = max(merged[n-1].to, s.to)
			continue
		}
		merged = append(merged, s)
	}
	return merged
}
