package membudget

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

func TestReadAllReturnsMessagesUpToTheLimit(t *testing.T) {
	properties := gopter.NewProperties(nil)
	properties.Property("whole up to the limit, ErrTooLarge above it", prop.ForAll(
		func(length, limit, stated int) bool {
			budget := New(1 << 30)
			reservation := budget.Open()
			want := strings.Repeat("x", length)
			got, err := ReadAll(iotest.HalfReader(strings.NewReader(want)), int64(stated), int64(limit), reservation)
			held := budget.Used()
			reservation.Release()
			if budget.Used() != 0 {
				return false
			}
			if length > limit {
				return errors.Is(err, ErrTooLarge)
			}
			return err == nil && string(got) == want && held >= int64(cap(got)) && held <= max(2*int64(length), maxHintBytes+1)
		},
		gen.IntRange(0, 20_000), gen.IntRange(0, 20_000), gen.OneGenOf(gen.Const(-1), gen.IntRange(0, 20_000))))
	properties.TestingRun(t)
}

func TestReadAllReturnsTheErrorOfItsReader(t *testing.T) {
	_, err := ReadAll(io.MultiReader(strings.NewReader("part"), iotest.ErrReader(io.ErrUnexpectedEOF)), -1, 100, nil)
	if !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Fatalf("got error %v, want an unexpected EOF", err)
	}
}

// A large message that exhausts the budget fails alone: small messages are still read,
// and its bytes are free after its release.
func TestExhaustedBudgetFailsLargeMessagesOnly(t *testing.T) {
	budget := New(1200 << 10)
	first, second, small := budget.Open(), budget.Open(), budget.Open()
	large := bytes.Repeat([]byte("x"), 500<<10)
	if _, err := ReadAll(bytes.NewReader(large), -1, 1<<20, first); err != nil {
		t.Fatal(err)
	}
	if _, err := ReadAll(bytes.NewReader(large), -1, 1<<20, second); !errors.Is(err, ErrExhausted) {
		t.Fatalf("second large message: got error %v, want ErrExhausted", err)
	}
	if _, err := ReadAll(bytes.NewReader(large[:8<<10]), -1, 1<<20, small); err != nil {
		t.Fatalf("small message: %v", err)
	}
	first.Release()
	second.Release()
	third := budget.Open()
	if _, err := ReadAll(bytes.NewReader(large), -1, 1<<20, third); err != nil {
		t.Fatalf("after the release of the first message: %v", err)
	}
}

func TestReleasedReservationDoesNotGrow(t *testing.T) {
	budget := New(1 << 20)
	r := budget.Open()
	r.Release()
	if err := r.Grow(1); !errors.Is(err, ErrExhausted) || budget.Used() != 0 {
		t.Fatalf("got error %v and %d bytes in use, want ErrExhausted and none", err, budget.Used())
	}
}
