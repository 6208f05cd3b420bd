package backend

import (
	"context"
	"testing"

	"kumquatcleat/internal/endless"
)

func TestEndlessResponseToControlCallIsCut(t *testing.T) {
	endless.CheckClient(t, "", func(_ *testing.T, address string) error {
		_, err := NewControlClients().For(address).Health(context.Background())
		return err
	})
}
