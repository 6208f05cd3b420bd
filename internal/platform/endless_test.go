package platform

import (
	"context"
	"testing"

	"kumquatcleat/internal/endless"
)

func TestEndlessResponseOfPlatformIsCut(t *testing.T) {
	for _, a := range endless.Answers("") {
		t.Run(a.Name, func(t *testing.T) {
			client := NewClient(endless.Serve(t, a))
			endless.Check(t, func() {
				if _, err := client.Get(context.Background(), "key"); err == nil {
					t.Error("got no error, want one")
				}
			})
		})
	}
}
