package backend

import (
	"testing"

	"kumquatcleat/internal/httphead/headtest"
)

// Guards against a connection to a server in trouble that stays in use: what follows an answer
// with an invalid head could be read as the answer to the next control call.
func TestInvalidHeadOfControlCallEndsConnection(t *testing.T) {
	headtest.CheckClient(t, "", func(address string) error {
		_, err := NewControlClients().For(address).Grant(t.Context(), GrantRequest{})
		return err
	})
}
