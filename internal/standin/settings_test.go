package standin

import (
	"strings"
	"testing"
)

func TestInvalidSettingNamedInError(t *testing.T) {
	cases := [][2]string{
		{`{"servers":[]}`, "servers is empty"},
		{`{"servers":[{"listen":"127.0.0.1:1","id":"a"},{"listen":"127.0.0.1:2","id":"a"}]}`, `duplicate id "a"`},
		{`{"servers":[{"listen":"127.0.0.1","id":"a"}]}`, `listen "127.0.0.1"`},
		{`{"servers":[{"listen":"127.0.0.1:1"}]}`, "id is missing"},
		{`{"servers":[{"listen":"127.0.0.1:1","id":"a","slots":-1}]}`, "slots -1"},
		{`{"servers":[{"listen":"127.0.0.1:1","id":"a","queue":-2}]}`, "queue -2"},
		{`{"servers":[{"listen":"127.0.0.1:1","id":"a","slot":1}]}`, `"slot"`},
	}
	for _, c := range cases {
		if _, err := ParseFleet([]byte(c[0])); err == nil || !strings.Contains(err.Error(), c[1]) {
			t.Errorf("settings %s: got error %v, want one that contains %s", c[0], err, c[1])
		}
	}
	if _, err := ParsePlatform([]byte(`{"faults":{"lost_answer_share":2}}`)); err == nil {
		t.Error("lost_answer_share 2: got no error, want one")
	}
}

func FuzzParseFleet(f *testing.F) {
	f.Add([]byte(`{"servers":[{"listen":"127.0.0.1:9000","id":"s1","failure_domain":"a","slots":6,"connections":130,"queue":-1,"checks":true,"honours_id":true,"work_ms":1.5,"cold_start_ms":10,"cold_factor":2,"report_lag_ms":3,"max_runs":5,"faults":{"frozen_ms":1,"lie_utilized":0.5}}]}`))
	f.Add([]byte(`{"servers":[{"listen":"[::1]:0","id":"\u0000"}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		fleet, err := ParseFleet(data)
		if err != nil {
			return
		}
		for _, server := range fleet.Servers {
			if server.ID == "" || server.Slots < 0 || server.Queue < -1 || server.Connections < 0 {
				t.Fatalf("accepted %+v", server)
			}
		}
	})
}

func FuzzParseRelays(f *testing.F) {
	f.Add([]byte(`{"listen":"127.0.0.2:7000","relays":[{"listen":"127.0.50.1:8081","forward":"127.0.1.1:8081"}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := ParseRelays(data)
		if err == nil && s.Listen == "" {
			t.Fatalf("accepted %+v", s)
		}
	})
}
