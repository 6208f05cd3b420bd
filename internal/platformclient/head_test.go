package platformclient

import (
	"testing"

	"kumquatcleat/internal/httphead/headtest"
)

// Guards against a connection to a platform in trouble that stays in use: what follows an answer
// with an invalid head could be read as the answer to the next call.
func TestInvalidHeadOfPlatformEndsConnection(t *testing.T) {
	headtest.CheckClient(t, "", func(address string) error {
		_, err := New(address).Get(t.Context(), "k")
		return err
	})
}
