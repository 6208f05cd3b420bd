package serverconn

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"kumquatcleat/internal/registry"
)

// Guards against a server that writes an earlier refusal once more on a kept connection: the next
// request, which runs, must not be reported as not started.
func TestRepeatedRefusalIsNotTakenForAnswerToNextRequest(t *testing.T) {
	const refusal = "HTTP/1.1 503 Full\r\nRequest-Id: %s\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n"
	const nameless = "HTTP/1.1 503 Full\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n"
	const misdirected = "HTTP/1.1 421 Misdirected\r\nContent-Length: 0\r\n\r\n"
	const served = "HTTP/1.1 200 OK\r\nRequest-Id: second\r\nSignature: x\r\nContent-Length: 2\r\n\r\nok"
	named := fmt.Sprintf(refusal, "first")
	for name, test := range map[string]struct {
		first string // answer to the first request
		again string // what the server writes when the second request arrives, before it runs that
		last  string // answer to the second request; empty: the connection ends
		want  int    // status; 0: the outcome is unknown
	}{
		"named":                         {named, named, served, 200},
		"named, then the end":           {named, named, "", 0},
		"named, twice":                  {named, named + named, served, 200},
		"named, many times":             {named, named + named + named + named + named + named, served, 0},
		"named, in a body without end":  {named, "HTTP/1.1 503 Full\r\nRequest-Id: first\r\nNot-Started: 1\r\n\r\n", "", 0},
		"without a name":                {named, nameless, served, 0},
		"misdirected, without a name":   {named, misdirected, served, 0},
		"after an answer":               {"HTTP/1.1 200 OK\r\nRequest-Id: first\r\nSignature: x\r\nContent-Length: 0\r\n\r\n", nameless, served, 0},
		"named, with the answer's half": {named, named, served[:40], 0},
	} {
		t.Run(name, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = listener.Close() }()
			go func() {
				for {
					c, err := listener.Accept()
					if err != nil {
						return
					}
					go func() {
						defer func() { _ = c.Close() }()
						for _, answer := range []string{test.first, test.again + test.last} {
							if _, err := c.Read(make([]byte, 4096)); err != nil {
								return
							}
							_, _ = io.WriteString(c, answer)
						}
					}()
				}
			}()
			s, server := newSender(), &registry.Server{ID: "s1", Incarnation: 1, Address: listener.Addr().String()}
			for _, id := range []string{"first", "second"} {
				response, failure := s.Do(t.Context(), &Request{ID: id, Method: http.MethodPost, Target: "/", Host: "h", Server: server, Deadline: time.Now().Add(time.Second)})
				if id == "first" {
					continue
				}
				switch {
				case response != nil && (response.NotStarted || response.Status != test.want):
					t.Errorf("got status %d, not started %v, want status %d", response.Status, response.NotStarted, test.want)
				case failure != nil && (failure.Progress != Sent || test.want != 0):
					t.Errorf("got failure %v, progress %v, want status %d", failure, failure.Progress, test.want)
				}
			}
		})
	}
}
