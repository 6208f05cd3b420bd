package peer

import (
	"testing"

	"kumquatcleat/internal/httphead/headtest"
)

// Guards against a connection to a VM in trouble that stays in use: what follows an answer with
// an invalid head could be read as the answer to the next message.
func TestInvalidHeadOfPeerEndsConnection(t *testing.T) {
	headtest.CheckClient(t, "Content-Type: application/protobuf\r\n", func(address string) error {
		_, err := NewClients("").For(address).Ping(t.Context(), &PingRequest{})
		return err
	})
}
