package gateway

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"kumquatcleat/internal/httphead/headtest"
)

// Guards against a connection to a VM in trouble that stays in use: what follows a response
// with an invalid head could be read as the response to the next call.
func TestInvalidHeadOfPeerEndsConnection(t *testing.T) {
	headtest.CheckClient(t, "", func(address string) error {
		follower, _ := newTestViewSync(t)
		_, err := follower.ask(context.Background(), &peer{name: "reader", address: address}, map[string]uint64{}, 3*time.Second, 0)
		return err
	})
}

// Guards against an invalid head that a VM of an earlier version passes on as the answer of a
// server: the request may have run, and is not sent again.
func TestInvalidHeadOfRelayedAnswerIsNoAnswer(t *testing.T) {
	header := relayOutcome + ": " + relayAnswered + "\r\n"
	for _, a := range append(headtest.Answers(header), headtest.Switching(header)) {
		t.Run(a.Name, func(t *testing.T) {
			raw := headtest.Serve(t, a.Text)
			began := time.Now()
			result := send(relayTo(t, map[string][]string{"a": {raw.Address}}), callerRequest(http.MethodPost, "order"))
			if result.Answer != nil {
				t.Fatalf("got status %d with body %q as an answer", result.Answer.Status, result.Answer.Body)
			}
			if !result.Sent || !strings.Contains(result.Err.Error(), a.Reason) {
				t.Errorf("got sent %v, error %v; want %q of a request that may have run", result.Sent, result.Err, a.Reason)
			}
			if took := time.Since(began); took > headtest.MaxTime {
				t.Errorf("the request took %v", took)
			}
			raw.CheckReset(t)
			if n := raw.Requests.Load(); n != 1 {
				t.Errorf("the request was sent %d times", n)
			}
		})
	}
}
