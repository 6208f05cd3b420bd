package keyspace

import (
	"encoding/json"
	"testing"
	"time"
)

// Guards against VMs that do not know which keys are slow, or take others for slow: those that moved
// with handover data, and all keys after a change of the coordinator.
func TestKeysThatMoveWithoutHandoverAreSlow(t *testing.T) {
	const slowTime = 5 * time.Second
	a, b := Holder{Server: "a", Incarnation: 1}, Holder{Server: "b", Incarnation: 1}
	for _, c := range []struct {
		name     string
		former   []Former
		handover string
		slow     bool
	}{
		{"former owner lost", nil, "", true},
		{"former owner silent until its lease ended", []Former{{a, 1}}, "", true},
		{"former owner handed over", []Former{{a, 1}}, "data", false},
	} {
		span := Span{100, 199}
		l := NewLeaseTracker(Timing{Lease: time.Second, RenewInterval: time.Second}, Record{Ranges: []Range{{Span: span, Owner: b, Token: 2, Pending: true, Former: c.former}}}, 2, 0, 0, 0)
		l.setSlowTime(slowTime)
		l.ranges[rangeKey{span, 2}].handover = c.handover
		l.Committed(Record{Ranges: []Range{{Span: span, Owner: b, Token: 3}}}, 3)
		grant := Order{Kind: OrderGrant, To: b, Span: span, Token: 3}
		if len(l.slowSpans(time.Second)) != 0 {
			t.Errorf("%s: keys are slow before they are granted", c.name)
		}
		l.Done(time.Second, grant, Result{Acknowledged: true})
		l.Done(2*time.Second, grant, Result{Acknowledged: true}) // renewed
		if got := l.slowSpans(4 * time.Second); (len(got) == 1) != c.slow || c.slow && got[0] != (SlowSpan{span, 2 * time.Second}) {
			t.Errorf("%s: got slow spans %v 3s after the grant, want any: %v", c.name, got, c.slow)
		}
		if got := l.slowSpans(6 * time.Second); len(got) != 0 {
			t.Errorf("%s: got slow spans %v after the time that keys are slow", c.name, got)
		}
	}
	unanswered := NewLeaseTracker(Timing{Lease: time.Second}, Record{Ranges: []Range{{Span: Span{0, 9}, Owner: b, Token: 2, Pending: true}}}, 2, 0, 0, 0)
	unanswered.setSlowTime(slowTime)
	unanswered.Committed(Record{Ranges: []Range{{Span: Span{0, 9}, Owner: b, Token: 3}}}, 3)
	unanswered.Committed(Record{Ranges: []Range{{Span: Span{0, 9}, Owner: b, Token: 4}}}, 4) // the first grant got no answer
	unanswered.Done(time.Second, Order{Kind: OrderGrant, To: b, Span: Span{0, 9}, Token: 4}, Result{Acknowledged: true})
	if got := unanswered.slowSpans(time.Second); len(got) != 1 {
		t.Errorf("granted at the second try: got slow spans %v, want one", got)
	}
	if work := unanswered.slowWork(time.Second, 9); work != slowKeyWork {
		t.Errorf("slow key: got work %v, want %v", work, slowKeyWork)
	}
	if work := unanswered.slowWork(time.Second, 10); work != 1 {
		t.Errorf("other key: got work %v, want 1", work)
	}
	l := NewLeaseTracker(Timing{Lease: time.Second}, Record{Ranges: []Range{{Span: Span{0, 9}, Owner: a, Token: 1}}}, 1, 1, 0, time.Second)
	l.setSlowTime(slowTime)
	l.Committed(Record{Ranges: []Range{{Span: Span{0, 9}, Owner: a, Token: 2}}}, 2)
	l.Done(time.Second, Order{Kind: OrderGrant, To: a, Span: Span{0, 9}, Token: 2}, Result{Acknowledged: true})
	if got := l.slowSpans(time.Second); len(got) != 0 {
		t.Errorf("after a takeover: got slow spans %v, want none", got)
	}
}

// Guards against keys beside slow ones that count as slow, ones that stay slow because the coordinator
// is gone, and messages that can't be read.
func TestSlowKeysAreFoundAndEnd(t *testing.T) {
	sent, err := json.Marshal(map[string][]SlowSpan{"svc": {{Span{10, 19}, time.Second}, {Span{15, 15}, 3 * time.Second}, {Span{20, 29}, 2 * time.Second}}})
	if err != nil {
		t.Fatal(err)
	}
	var received map[string][]SlowSpan
	if err := json.Unmarshal(sent, &received); err != nil {
		t.Fatal(err)
	}
	asOf := time.Unix(1000, 0)
	var k SlowKeys
	k.Update(asOf, received)
	for _, c := range []struct {
		after time.Duration
		key   uint32
		want  time.Duration
	}{
		{0, 9, 0},
		{0, 10, time.Second},
		{500 * time.Millisecond, 19, 500 * time.Millisecond},
		{500 * time.Millisecond, 15, 2500 * time.Millisecond},
		{1500 * time.Millisecond, 10, 0},
		{1500 * time.Millisecond, 25, 500 * time.Millisecond},
		{0, 30, 0},
	} {
		if got := k.Left(asOf.Add(c.after), "svc", c.key); got != c.want {
			t.Errorf("key %d after %v: got slow for %v, want %v", c.key, c.after, got, c.want)
		}
	}
	if got := k.Left(asOf, "other", 10); got != 0 {
		t.Errorf("other service: got slow for %v", got)
	}
	for _, text := range []string{`[1]`, `[5,4,1]`, `[-1,4,1]`, `[1,4,-1]`, `[1,4,99999999999]`, `[1,4294967296,1]`, `"x"`} {
		if err := json.Unmarshal([]byte(text), &SlowSpan{}); err == nil {
			t.Errorf("span %s: got no error", text)
		}
	}
}

// Guards against all VMs sending at once what waited for the keys of a lost server, before the
// coordinator has told that they are slow; and against keys of a usual move that are held back.
func TestKeysOfLostOwnersCountAsJustMoved(t *testing.T) {
	a, b := Holder{Server: "a", Incarnation: 1}, Holder{Server: "b", Incarnation: 1}
	start, span := time.Unix(1000, 0), Span{100, 199}
	for _, c := range []struct {
		name    string
		former  []Former
		took    time.Duration
		told    time.Duration // when the VM sent the report that the coordinator answered
		at      time.Duration // after the move
		want    bool
		pending bool
	}{
		{"former owner lost", nil, 30 * time.Millisecond, 0, 100 * time.Millisecond, true, false},
		{"still on the move", nil, 30 * time.Millisecond, 0, 100 * time.Millisecond, false, true},
		{"waited for the end of a lease", []Former{{a, 1}}, 2 * time.Second, 0, 100 * time.Millisecond, true, false},
		{"usual move", []Former{{a, 1}}, 400 * time.Millisecond, 0, 100 * time.Millisecond, false, false},
		{"coordinator told since", nil, 30 * time.Millisecond, 400 * time.Millisecond, 600 * time.Millisecond, false, false},
		{"coordinator silent", nil, 30 * time.Millisecond, 0, 1600 * time.Millisecond, false, false},
	} {
		var k SlowKeys
		k.observe(start, "svc", &Record{Ranges: []Range{{Span: span, Owner: b, Pending: true, Former: c.former}}})
		moved := start.Add(c.took)
		k.observe(moved, "svc", &Record{Ranges: []Range{{Span: span, Owner: b, Pending: c.pending}}})
		k.observe(moved.Add(50*time.Millisecond), "svc", &Record{Ranges: []Range{{Span: Span{0, 999}, Owner: b, Pending: c.pending}}}) // merged
		if c.told > 0 {
			k.Update(moved.Add(c.told), nil)
		}
		for key, want := range map[uint32]bool{150: c.want, 99: false, 200: false} {
			if got := k.JustMoved(moved.Add(c.at), "svc", key); got != want {
				t.Errorf("%s: key %d just moved: got %v, want %v", c.name, key, got, want)
			}
		}
	}
}
