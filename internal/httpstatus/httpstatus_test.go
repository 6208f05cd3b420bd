package httpstatus

import (
	"strings"
	"testing"
)

// Guards against a status that the check of a connection misses because of how the head is
// written or split into reads: another request could read what follows it.
func TestScannerFindsStatus(t *testing.T) {
	const early = "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n"
	for name, c := range map[string]struct{ text, want string }{
		"valid":                      {"HTTP/1.1 200 OK\r\n\r\nHTTP/1.1 999 No\r\n\r\n", ""},
		"599":                        {"HTTP/1.1 599 No\r\n\r\n", ""},
		"600":                        {"HTTP/1.1 600 No\r\n\r\n", "600"},
		"099":                        {"HTTP/1.1 099 No\r\n\r\n", "099"},
		"no reason":                  {"HTTP/1.1 000\r\n\r\n", "000"},
		"several spaces":             {"HTTP/1.1    999 No\r\n\r\n", "999"},
		"after an interim one":       {early + "HTTP/1.1 999 No\r\n\r\n", "999"},
		"after line feeds only":      {strings.ReplaceAll(early, "\r", "") + "HTTP/1.1 999 No\n\n", "999"},
		"in a header":                {"HTTP/1.1 103 No\r\nHTTP/1.1 999 No: a\r\n\r\nHTTP/1.1 204 No\r\n\r\n", ""},
		"as many interim as allowed": {strings.Repeat(early, MaxInterim) + "HTTP/1.1 200 OK\r\n\r\n", ""},
		"one interim too many":       {strings.Repeat(early, MaxInterim+1), "103"},
	} {
		t.Run(name, func(t *testing.T) {
			for _, size := range []int{1, 7, len(c.text)} {
				s := scanner{state: inVersion}
				var err error
				for rest := c.text; rest != "" && err == nil; rest = rest[min(size, len(rest)):] {
					err = s.add([]byte(rest[:min(size, len(rest))]))
				}
				if (err != nil) != (c.want != "") || err != nil && !strings.HasPrefix(err.Error(), "invalid status "+c.want) {
					t.Errorf("reads of %d bytes: got error %v, want status %q", size, err, c.want)
				}
			}
		})
	}
}
