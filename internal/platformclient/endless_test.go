package platformclient

import (
	"context"
	"testing"

	"kumquatcleat/internal/endless"
)

func TestEndlessResponseOfPlatformIsCut(t *testing.T) {
	endless.CheckClient(t, "", func(_ *testing.T, address string) error {
		_, err := New(address).Get(context.Background(), "key")
		return err
	})
}
