package retry

// Peek returns an error for a request that Admit would refuse. It admits no trial: a request that
// Admit would let through as an early trial counts as refused.
func (q *MemoryQuarantine) Peek(service string, request Fingerprints) error {
	q.lock.Lock()
	defer q.lock.Unlock()
	now := q.now()
	for _, fingerprint := range request.levels() {
		key := suspectKey{service, fingerprint}
		s := q.suspects[key]
		if s == nil || s.expired(now, q.settings.Period.Duration()) {
			continue
		}
		blamed := q.blamed(key, s)
		if len(blamed) >= RefusalThreshold && q.refusedFor(s, blamed) >= 0 && now.Before(s.expires()) {
			return refusal(key, blamed, s.expires().Sub(now))
		}
	}
	return nil
}
