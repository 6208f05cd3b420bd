package limits

import (
	"context"
	"testing"
	"time"

	"kumquatcleat/internal/config"
)

// Guards against a look at a gate that misses its refusal or counts as a request.
func TestPeekAgreesWithAcquire(t *testing.T) {
	s := DefaultSettings()
	gates := New(s, func() int { return 1 }, time.Now)
	server := config.Server{ID: "s", Slots: 1}
	peek := func() Status { return gates.Peek("s", config.ClassInteractive, 50*time.Millisecond) }
	if got := peek(); got != (Status{}) || len(gates.gates) != 0 {
		t.Errorf("without a request: got %+v, %d gates", got, len(gates.gates))
	}
	granted := 0
	for peek().Wait == 0 && granted < 100 {
		if peek().Refusal != nil {
			t.Fatalf("got refusal %v of a request that may start", peek().Refusal)
		}
		ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
		if _, err := gates.Acquire(ctx, server, config.ClassInteractive); err != nil {
			cancel()
			break
		}
		cancel()
		granted++
	}
	if got := peek(); got.InFlight != granted || float64(granted) < got.Limit-1 {
		t.Errorf("after %d requests: got %+v", granted, got)
	}
	gates.gates["s"].settings.QueueLength = 0
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	if _, err := gates.Acquire(ctx, server, config.ClassInteractive); err == nil || peek().Refusal == nil {
		t.Errorf("with a full queue: got refusal %v of Acquire and %v of Peek", err, peek().Refusal)
	}
}
