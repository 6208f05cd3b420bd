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
	for _, a := range endless.Answers("Content-Type: application/protobuf\r\n") {
		t.Run(a.Name, func(t *testing.T) {
			client := NewClients("").For(endless.Serve(t, a))
			endless.Check(t, func() {
				if _, err := client.Ping(context.Background(), &PingRequest{}); err == nil {
					t.Error("got no error, want one")
				}
			})
		})
	}
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
