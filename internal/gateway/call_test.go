package gateway

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"
)

// lateTransport answers each request after a pause, whatever its context says, as the network of a
// process does that was paused before it read the answer.
type lateTransport time.Duration

func (d lateTransport) RoundTrip(*http.Request) (*http.Response, error) {
	time.Sleep(time.Duration(d))
	return &http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(strings.NewReader(`{"overloads":{}}`)), ContentLength: 16}, nil
}

// Guards against an answer of another VM that is read late, after this VM was paused, and counts as
// if it were new: overload signals, rate limits and the age of views would hold for longer.
func TestAnswerThatIsReadAfterDeadlineDoesNotCount(t *testing.T) {
	const allowed = 50 * time.Millisecond
	for _, pause := range []time.Duration{0, 2 * allowed} {
		ctx, cancel := context.WithTimeout(t.Context(), allowed)
		var response reportResponse
		err := call(ctx, &http.Client{Transport: lateTransport(pause)}, "127.0.0.1:1", pathLoads, loadReport{}, &response)
		cancel()
		if late := pause > allowed; late != (err != nil) || late != (response.Overloads == nil) {
			t.Errorf("answer after %v, %v allowed: got %+v, error %v", pause, allowed, response, err)
		}
	}
}
