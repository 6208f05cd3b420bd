package backend

import (
	"context"
	"testing"

	"kumquatcleat/internal/endless"
)

func TestEndlessResponseToControlCallIsCut(t *testing.T) {
	for _, a := range endless.Answers("") {
		t.Run(a.Name, func(t *testing.T) {
			control := NewControlClients().For(endless.Serve(t, a))
			endless.Check(t, func() {
				if _, err := control.Health(context.Background()); err == nil {
					t.Error("got no error, want one")
				}
			})
		})
	}
}
