package routing

import (
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"kumquatcleat/internal/logging"
	"kumquatcleat/internal/retry"
)

// BenchmarkPath compares a request through the router with the same request sent
// directly to the server, over loopback, with one caller per core.
func BenchmarkPath(b *testing.B) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = io.WriteString(w, "answer")
	}))
	defer server.Close()
	logging.Setup(io.Discard, slog.LevelInfo)
	router := newTestRouter(b, strings.TrimPrefix(server.URL, "http://"), retry.NoRetry{})
	b.Run("direct", func(b *testing.B) { loadURL(b, server.URL+"/x") })
	b.Run("router", func(b *testing.B) { loadURL(b, router.URL+"/shop/x") })
}

func loadURL(b *testing.B, url string) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			req, _ := http.NewRequest(http.MethodGet, url, nil)
			req.Header.Set(HeaderKey, "k")
			resp, err := client.Do(req)
			if err != nil {
				b.Error(err)
				return
			}
			_, _ = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
			if resp.StatusCode != http.StatusOK {
				b.Errorf("status %d", resp.StatusCode)
				return
			}
		}
	})
}
