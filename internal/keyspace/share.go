package keyspace

// A key has one owner, so it gets one server's capacity at most. VMs see too little of
// a busy key each to keep the owner's queue short: it fills up, answers come too late,
// and other keys of the owner are refused beside it. The coordinator sees all of it and
// tells VMs which part of the key's requests to send on.

const (
	// busyKey is the part of its owner's capacity from which a key counts as busy: less
	// is within the noise of a second's counts, which the owner's queue takes.
	busyKey = 1.5
	// shareUse is the part of the capacity that is given out: counts are up to a second
	// old and requests come in bunches.
	shareUse = 1.4
	// leastShare lets a few requests through whatever the counts say.
	leastShare = 0.02
)

// shares returns the parts of busy keys' requests that their overloaded owners can
// run beside their other keys'.
func (p *planner) shares(service string, ranges []Range) []KeyShare {
	var list []KeyShare
	for _, m := range p.members {
		have := p.load[holderName(m.Holder)]
		if have <= p.settings.Overloaded*m.Capacity {
			continue
		}
		for _, r := range ranges {
			if r.Pending || !r.Owner.Same(m.Holder) || p.profile.load(r.Span) < busyKey*m.Capacity {
				continue
			}
			for key := r.From; key <= r.To; key++ {
				rate := p.profile.load(Span{key, key})
				if rate < busyKey*m.Capacity {
					continue
				}
				room := max(shareUse*m.Capacity-(have-rate), 0)
				list = append(list, KeyShare{service, key, min(max(room/rate, leastShare), 1)})
			}
		}
	}
	return list
}
