package placement

import (
	"fmt"
	"maps"
	"math/rand"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

// properties returns gopter properties with a fixed seed.
func properties() *gopter.Properties {
	parameters := gopter.DefaultTestParametersWithSeed(1)
	parameters.MinSuccessfulTests = 300
	return gopter.NewProperties(parameters)
}

// randomInput returns a group with skewed loads and a random current assignment in
// which some slots are unowned or owned by servers that no longer exist.
func randomInput(seed int64) Input {
	rnd := rand.New(rand.NewSource(seed))
	in := Input{Current: map[uint32]string{}}
	for i := range 1 + rnd.Intn(8) {
		in.Servers = append(in.Servers, Server{
			ID:          fmt.Sprintf("s%d", i),
			Capacity:    float64(rnd.Intn(8)),
			Home:        rnd.Intn(3) > 0,
			Drain:       rnd.Intn(5) == 0,
			Unreachable: rnd.Intn(5) == 0,
		})
	}
	for slot := range uint32(1 + rnd.Intn(80)) {
		in.Slots = append(in.Slots, SlotLoad{Slot: slot, Load: rnd.ExpFloat64() * rnd.ExpFloat64()})
		if rnd.Intn(6) > 0 {
			in.Current[slot] = fmt.Sprintf("s%d", rnd.Intn(10))
		}
	}
	return in
}

// movedSlots returns the slots whose owner differs between two assignments.
func movedSlots(before, after map[uint32]string) []uint32 {
	var slots []uint32
	for slot, owner := range after {
		if before[slot] != owner {
			slots = append(slots, slot)
		}
	}
	return slots
}

// usable returns the ids of the servers that may own slots.
func usable(in Input) map[string]bool {
	ids := map[string]bool{}
	for _, server := range eligible(in.Servers) {
		ids[server.ID] = true
	}
	return ids
}

func TestEverySlotIsOwnedByAnEligibleServer(t *testing.T) {
	p := properties()
	p.Property("every slot is owned by an eligible server", prop.ForAll(func(seed int64) bool {
		in := randomInput(seed)
		ids := usable(in)
		plan := Plan(in, DefaultSettings)
		if len(ids) == 0 {
			return len(plan) == 0
		}
		for _, slot := range in.Slots {
			if !ids[plan[slot.Slot]] {
				return false
			}
		}
		return len(plan) == len(in.Slots)
	}, gen.Int64()))
	p.TestingRun(t)
}

func TestPlanIsIndependentOfInputOrder(t *testing.T) {
	p := properties()
	p.Property("order of slots and servers does not matter", prop.ForAll(func(seed int64) bool {
		in := randomInput(seed)
		rnd := rand.New(rand.NewSource(seed))
		if rnd.Intn(2) == 0 { // equal slot loads exercise the tie-breaking
			for i := range in.Slots {
				in.Slots[i].Load = 0
			}
		}
		want := Plan(in, DefaultSettings)
		rnd.Shuffle(len(in.Slots), func(i, j int) { in.Slots[i], in.Slots[j] = in.Slots[j], in.Slots[i] })
		rnd.Shuffle(len(in.Servers), func(i, j int) { in.Servers[i], in.Servers[j] = in.Servers[j], in.Servers[i] })
		return maps.Equal(want, Plan(in, DefaultSettings))
	}, gen.Int64()))
	p.TestingRun(t)
}

func TestConstantLoadNeverOscillates(t *testing.T) {
	p := properties()
	p.Property("plans converge and then move nothing", prop.ForAll(func(seed int64) bool {
		in := randomInput(seed)
		for range 200 {
			plan := Plan(in, DefaultSettings)
			if maps.Equal(plan, in.Current) || len(plan) == 0 {
				return maps.Equal(plan, Plan(in, DefaultSettings))
			}
			in.Current = plan
		}
		return false
	}, gen.Int64()))
	p.TestingRun(t)
}

func TestBalancingMovesStayWithinBudget(t *testing.T) {
	p := properties()
	p.Property("moves off eligible servers stay within the budget", prop.ForAll(func(seed int64, budget float64) bool {
		in := randomInput(seed)
		s := DefaultSettings
		s.MoveBudget = budget
		ids := usable(in)
		balanceMoves := 0
		for _, slot := range movedSlots(in.Current, Plan(in, s)) {
			if ids[in.Current[slot]] {
				balanceMoves++
			}
		}
		return float64(balanceMoves) < budget*float64(len(in.Slots))+1
	}, gen.Int64(), gen.Float64Range(0, 0.3)))
	p.TestingRun(t)
}

func TestLossOfOneServerMovesOnlyItsSlots(t *testing.T) {
	p := properties()
	p.Property("with a zero budget only the slots of the lost server move", prop.ForAll(func(seed int64) bool {
		in := randomInput(seed)
		s := DefaultSettings
		s.MoveBudget = 0
		if in.Current = Plan(in, s); len(in.Current) == 0 {
			return true
		}
		lost := in.Current[in.Slots[0].Slot]
		for i := range in.Servers {
			in.Servers[i].Unreachable = in.Servers[i].Unreachable || in.Servers[i].ID == lost
		}
		for _, slot := range movedSlots(in.Current, Plan(in, s)) {
			if in.Current[slot] != lost {
				return false
			}
		}
		return true
	}, gen.Int64()))
	p.TestingRun(t)
}

func TestDrainingServerOwnsNoSlots(t *testing.T) {
	in := Input{
		Servers: []Server{{ID: "a", Capacity: 6, Home: true, Drain: true}, {ID: "b", Capacity: 6, Home: true}},
		Slots:   []SlotLoad{{Slot: 0}, {Slot: 1}},
		Current: map[uint32]string{0: "a", 1: "b"},
	}
	want := map[uint32]string{0: "b", 1: "b"}
	if plan := Plan(in, DefaultSettings); !maps.Equal(plan, want) {
		t.Fatalf("got plan %v, want %v", plan, want)
	}
}

func TestRemoteServersAreUsedOnlyWithoutHomeServers(t *testing.T) {
	in := Input{
		Servers: []Server{{ID: "away", Capacity: 6}, {ID: "home", Capacity: 1, Home: true, Unreachable: true}},
		Slots:   []SlotLoad{{Slot: 0}},
	}
	if plan := Plan(in, DefaultSettings); plan[0] != "away" {
		t.Fatalf("got owner %q while the home server is unreachable, want \"away\"", plan[0])
	}
	in.Current = map[uint32]string{0: "away"}
	in.Servers[1].Unreachable = false
	if plan := Plan(in, DefaultSettings); plan[0] != "home" {
		t.Fatalf("got owner %q after the home server returned, want \"home\"", plan[0])
	}
}

func TestSlotsAreSpreadInProportionToCapacity(t *testing.T) {
	in := Input{Servers: []Server{{ID: "big", Capacity: 6, Home: true}, {ID: "small", Capacity: 3, Home: true}}}
	for slot := range uint32(90) {
		in.Slots = append(in.Slots, SlotLoad{Slot: slot, Load: 1})
	}
	count := map[string]int{}
	for _, owner := range Plan(in, DefaultSettings) {
		count[owner]++
	}
	if count["big"] != 60 || count["small"] != 30 {
		t.Fatalf("got slots per server %v, want 60 on big and 30 on small", count)
	}
}

func TestHotSlotEndsUpAloneOnServer(t *testing.T) {
	in := Input{
		Servers: []Server{{ID: "a", Capacity: 1, Home: true}, {ID: "b", Capacity: 1, Home: true}},
		Slots:   []SlotLoad{{Slot: 0, Load: 100}, {Slot: 1, Load: 10}, {Slot: 2, Load: 10}},
		Current: map[uint32]string{0: "a", 1: "a", 2: "a"},
	}
	s := DefaultSettings
	s.MoveBudget = 1
	plan := Plan(in, s)
	if plan[1] != plan[2] || plan[0] == plan[1] {
		t.Fatalf("got plan %v, want slot 0 alone on its server", plan)
	}
}

func TestSettingsErrorNamesFieldValueAndRange(t *testing.T) {
	if err := DefaultSettings.Validate(); err != nil {
		t.Fatal(err)
	}
	s := DefaultSettings
	s.MoveBudget = 1.5
	const want = "placement.move_budget: 1.5 is not between 0 and 1"
	if err := s.Validate(); err == nil || err.Error() != want {
		t.Fatalf("got error %v, want %q", err, want)
	}
}
