package ownership

import (
	"fmt"
	"reflect"
	"strings"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"kumquatcleat/internal/backend"
)

// rowOf returns a row whose slots have the given owners. A negative number means no
// owner.
func rowOf(owners []int) *GroupRow {
	row := &GroupRow{
		Schema: RowSchema, Group: "g", Epoch: 3, Seq: 9, WriteID: "w",
		Keeper: VMRef{"vm0", "1"}, Standby: VMRef{"vm1", "1"}, Recovering: len(owners)%2 == 0,
	}
	for i, n := range owners {
		so := SlotOwner{Slot: uint32(3 * i), Token: backend.Token{Epoch: 2, Seq: uint64(i)}}
		if n >= 0 {
			so.Owner = ServerRef{ID: fmt.Sprint(n), Incarnation: "a"}
			row.Moves = append(row.Moves, Move{Slot: so.Slot, From: so.Owner, To: ServerRef{"z", "a"}, Kind: MoveByLapse, Token: so.Token})
		}
		row.Slots = append(row.Slots, so)
	}
	return row
}

func TestRowEncodingRoundTrip(t *testing.T) {
	properties := gopter.NewProperties(gopter.DefaultTestParametersWithSeed(1))
	properties.Property("round trip", prop.ForAll(func(owners []int) bool {
		row := rowOf(owners)
		data, err := EncodeRow(row)
		if err != nil {
			return false
		}
		got, err := DecodeRow(data)
		return err == nil && reflect.DeepEqual(got, row)
	}, gen.SliceOf(gen.IntRange(-1, 4))))
	properties.TestingRun(t)
}

func TestDecodeRowRejectsInvalidRow(t *testing.T) {
	for text, want := range map[string]string{
		`{`:            "unexpected end",
		`{"schema":2}`: "schema 2",
		`{"schema":1,"group":"g","slots":[{"slot":1}]}`:                               "no owners",
		`{"schema":1,"owners":[{"id":"x","slots":[[4294967296,1,1]]}]}`:               "too large",
		`{"schema":1,"owners":[{"id":"x","slots":[[1,1,1],[1,1,2]]}]}`:                "two owners",
		`{"schema":1,"owners":[{"id":"x","slots":[[1,1,1]]},{"slots":[[1,1,1]]}]}`:    "two owners",
		`{"schema":1,"owners":[{"id":"x","slots":[[-1,1,1]]}]}`:                       "cannot unmarshal",
		`{"schema":1,"owners":[{"id":"x","slots":[[1.5,1,1]]}],"moves":[],"seq":"a"}`: "cannot unmarshal",
	} {
		_, err := DecodeRow([]byte(text))
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("DecodeRow(%s): got error %v, want one with %q", text, err, want)
		}
	}
}

func FuzzDecodeRow(f *testing.F) {
	data, err := EncodeRow(rowOf([]int{0, 1, -1}))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Fuzz(func(t *testing.T, data []byte) {
		row, err := DecodeRow(data)
		if err != nil {
			return
		}
		again, err := EncodeRow(row)
		if err != nil {
			t.Fatal(err)
		}
		got, err := DecodeRow(again)
		if err != nil || !reflect.DeepEqual(got.Slots, row.Slots) {
			t.Fatalf("DecodeRow(%s): got error %v or slots that differ from the encoded ones", again, err)
		}
	})
}
