package peer

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"kumquatcleat/internal/endless"
)

func TestEndlessResponseOfPeerIsCut(t *testing.T) {
	endless.CheckClient(t, "Content-Type: application/protobuf\r\n", func(_ *testing.T, address string) error {
		_, err := NewClients("").For(address).Ping(context.Background(), &PingRequest{})
		return err
	})
}

// zeros is a reader that returns zero bytes without end.
type zeros struct{}

// Read implements io.Reader.
func (zeros) Read(p []byte) (int, error) { clear(p); return len(p), nil }

func TestEndlessRequestOfPeerIsCut(t *testing.T) {
	for _, contentType := range []string{"application/protobuf", "application/json"} {
		t.Run(contentType, func(t *testing.T) {
			r := httptest.NewRequest(http.MethodPost, PeerPathPrefix+"Ping", io.MultiReader(strings.NewReader(`{"from":"`), zeros{}))
			r.Header.Set("Content-Type", contentType)
			w := httptest.NewRecorder()
			endless.Check(t, func() { LimitRequests(NewPeerServer(nil)).ServeHTTP(w, r) })
			if w.Code == http.StatusOK {
				t.Errorf("got status %d, want an error", w.Code)
			}
		})
	}
}

// claimsReceiver accepts copies of claims.
type claimsReceiver struct {
	Peer
	received int
}

// CopyClaims implements Peer.
func (r *claimsReceiver) CopyClaims(_ context.Context, in *ClaimsCopy) (*ClaimsCopied, error) {
	r.received = len(in.GetBook())
	return &ClaimsCopied{}, nil
}

// A claim table is copied to a new standby in one message, which may be larger than any
// other.
func TestLargeClaimTableIsCopied(t *testing.T) {
	receiver := &claimsReceiver{}
	server := httptest.NewServer(LimitRequests(NewPeerServer(receiver)))
	defer server.Close()
	const size = 8 << 20
	client := NewClients("").For(strings.TrimPrefix(server.URL, "http://"))
	if _, err := client.CopyClaims(context.Background(), &ClaimsCopy{Book: make([]byte, size)}); err != nil || receiver.received != size {
		t.Fatalf("got %d bytes at the standby, error %v; want %d bytes", receiver.received, err, size)
	}
}
