package bench

import (
	"reflect"
	"strings"
	"testing"
	"time"
)

func testScenario(t *testing.T, edit ...string) *Scenario {
	t.Helper()
	text := `{"schema":1,"name":"t","seed":1,"duration_ms":2000,"rate_per_s":500,
		"services":[{"service":"swapbay","weight":1,"keys":100,"zipf_s":1.2,"probes":{"keys":4,"every_ms":100},
		"kinds":[{"name":"read","share":0.8,"method":"GET","path":"/listings/{key}"},
		{"name":"swap","share":0.2,"method":"POST","path":"/listings","non_idempotent":true,"idempotency_key":true,"resend_share":0.5,"resend_after_ms":20}]}]}`
	for i := 0; i < len(edit); i += 2 {
		if !strings.Contains(text, edit[i]) {
			t.Fatalf("%q is not in the scenario", edit[i])
		}
		text = strings.Replace(text, edit[i], edit[i+1], 1)
	}
	s, err := ParseScenario([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func TestScheduleIsDeterminedBySeed(t *testing.T) {
	s := testScenario(t)
	a, b := schedule(s, 7, 3, "p"), schedule(s, 7, 3, "p")
	if !reflect.DeepEqual(a, b) {
		t.Fatal("two schedules with the same seed differ")
	}
	if c := schedule(s, 8, 3, "p"); reflect.DeepEqual(a, c) {
		t.Fatal("schedules with different seeds are equal")
	}
}

func TestResentCallUsesAnotherVMAndTheSameIdempotencyKey(t *testing.T) {
	plan := schedule(testScenario(t), 1, 3, "p")
	byNumber := map[int]plannedCall{}
	for _, call := range plan {
		if _, twice := byNumber[call.number]; twice {
			t.Fatalf("call number %d occurs twice", call.number)
		}
		byNumber[call.number] = call
	}
	resent := 0
	for _, call := range plan {
		if call.resendOf < 0 {
			continue
		}
		resent++
		first := byNumber[call.resendOf]
		if call.target == first.target || call.idempotencyKey != first.idempotencyKey || call.key != first.key || call.at != first.at+20*time.Millisecond {
			t.Fatalf("first call %+v, resent call %+v: want another VM, the same keys and 20 ms later", first, call)
		}
	}
	if resent == 0 {
		t.Fatal("no call was resent")
	}
}

func TestHotKeysChange(t *testing.T) {
	s := testScenario(t, `"zipf_s":1.2`, `"zipf_s":2,"hot_change_ms":1000`)
	hottest := func(from, to time.Duration) string {
		count := map[string]int{}
		best := ""
		for _, call := range schedule(s, 1, 3, "p") {
			if call.kind == probeKind || call.at < from || call.at >= to {
				continue
			}
			count[call.key]++
			if count[call.key] > count[best] {
				best = call.key
			}
		}
		return best
	}
	if a, b := hottest(0, time.Second), hottest(time.Second, 2*time.Second); a == b {
		t.Fatalf("key %s is still the hottest after hot_change_ms", a)
	}
}

func TestScenarioErrorNamesTheInvalidField(t *testing.T) {
	good := `{"schema":1,"name":"t","duration_ms":1000,"rate_per_s":10,"services":[{"service":"s","weight":1,"keys":5,"kinds":[{"name":"k","share":1,"method":"GET","path":"/"}]}],"faults":[{"at_ms":1,"process":"vm-a1","do":"stop"}]}`
	if _, err := ParseScenario([]byte(good)); err != nil {
		t.Fatal(err)
	}
	cases := [][3]string{
		{`"schema":1`, `"schema":2`, "schema 2"},
		{`"duration_ms":1000`, `"duration_ms":0`, "duration_ms 0"},
		{`"duration_ms":1000`, `"duration_ms":99999999`, "duration_ms 99999999"},
		{`"rate_per_s":10`, `"rate_per_s":1e9`, "rate_per_s"},
		{`"weight":1`, `"weight":0`, "services[0]: weight 0"},
		{`"weight":1`, `"weigth":1`, "weigth"},
		{`"keys":5`, `"keys":5,"zipf_s":0.5`, "zipf_s 0.5"},
		{`"path":"/"`, `"path":"x"`, `kinds[0]: path "x"`},
		{`"do":"stop"`, `"do":"explode"`, `do "explode"`},
		{`"process":"vm-a1","do":"stop"`, `"standin":"platform"`, "switches is missing"},
	}
	for _, c := range cases {
		_, err := ParseScenario([]byte(strings.Replace(good, c[0], c[1], 1)))
		if err == nil || !strings.Contains(err.Error(), c[2]) {
			t.Errorf("%s: got error %v, want it to contain %q", c[1], err, c[2])
		}
	}
}

func TestNonLoopbackTargetsAreRejected(t *testing.T) {
	for _, list := range []string{"10.0.0.1:80", "localhost:80", "127.0.0.1", "127.0.0.1:80,8.8.8.8:53", ""} {
		if targets, err := ParseTargets(list); err == nil {
			t.Errorf("%q: got targets %v, want an error", list, targets)
		}
	}
	if targets, err := ParseTargets("127.0.0.1:80, 127.1.2.3:81"); err != nil || len(targets) != 2 {
		t.Fatalf("got targets %v, error %v, want 2 targets", targets, err)
	}
}

func FuzzParseScenario(f *testing.F) {
	f.Add([]byte(`{"schema":1,"name":"t","duration_ms":1000,"rate_per_s":10,"services":[{"service":"s","weight":1,"keys":5,"zipf_s":1.1,"kinds":[{"name":"k","share":1,"method":"GET","path":"/{key}"}]}]}`))
	f.Add([]byte(`{"schema":1,"name":"t","duration_ms":1000,"rate_per_s":10,"services":[{"service":"s","weight":1e308,"keys":1,"probes":{"keys":1,"every_ms":10},"kinds":[{"name":"k","share":1,"method":"GET","path":"/"}]}],"faults":[{"at_ms":0,"standin":"platform","switches":{}}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := ParseScenario(data)
		if err != nil || s.DurationMS > 2000 || s.RatePerS > 2000 {
			return
		}
		for _, call := range schedule(s, 1, 2, "p") {
			if call.at < 0 || call.traffic == nil || call.kind == nil {
				t.Fatalf("got invalid call %+v", call)
			}
		}
	})
}
