package routing

import (
	"io"
	"net/http"
	"testing"

	"kumquatcleat/internal/endless"
	"kumquatcleat/internal/retry"
)

// Guards against a server whose answer never ends and fills the memory of the process: heads are
// cut, and bodies pass through until the deadline.
func TestEndlessAnswerOfServerIsBounded(t *testing.T) {
	for _, a := range endless.Answers("") {
		t.Run(a.Name, func(t *testing.T) {
			r := newTestRouter(t, endless.Serve(t, a), retry.NoRetry{})
			endless.Check(t, func() {
				req, err := http.NewRequest(http.MethodGet, r.URL+"/shop/x", nil)
				if err != nil {
					t.Error(err)
					return
				}
				req.Header.Set(HeaderKey, "k")
				req.Header.Set(HeaderTimeout, "700")
				resp, err := http.DefaultClient.Do(req)
				if err != nil {
					return
				}
				defer func() { _ = resp.Body.Close() }()
				if _, err := io.Copy(io.Discard, resp.Body); err == nil && resp.StatusCode == http.StatusOK {
					t.Error("an answer without end looks complete")
				}
			})
		})
	}
}
