package backend

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
)

// Guards against a redirect that takes a grant or a revocation to another address than that of its
// server.
func TestRedirectOfControlCallIsNotFollowed(t *testing.T) {
	var elsewhere atomic.Int64
	other := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		elsewhere.Add(1)
		_, _ = w.Write([]byte("{}"))
	}))
	defer other.Close()
	server := httptest.NewServer(http.RedirectHandler(other.URL, http.StatusTemporaryRedirect))
	defer server.Close()
	controller := NewControlClients().For(strings.TrimPrefix(server.URL, "http://"))
	if _, err := controller.Grant(context.Background(), GrantRequest{}); err == nil {
		t.Error("Grant: got no error, want one")
	}
	if _, err := controller.Revoke(context.Background(), RevokeRequest{}); err == nil {
		t.Error("Revoke: got no error, want one")
	}
	if n := elsewhere.Load(); n != 0 {
		t.Errorf("got %d calls to the address of the redirect, want none", n)
	}
}
