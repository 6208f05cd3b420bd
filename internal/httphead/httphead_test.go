package httphead

import (
	"bufio"
	"bytes"
	"fmt"
	"net/http"
	"strings"
	"testing"

	"kumquatcleat/internal/httphead/headtest"
)

// Guards against a status or a field name that the check of a connection misses because of how the
// head is written or split into reads: another request could read what follows it.
func TestScannerFindsInvalidHeads(t *testing.T) {
	const early = "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n"
	for name, c := range map[string]struct{ text, want string }{
		"valid":                      {"HTTP/1.1 200 OK\r\n\r\nHTTP/1.1 999 No\r\n\r\n", ""},
		"599":                        {"HTTP/1.1 599 No\r\n\r\n", ""},
		"600":                        {"HTTP/1.1 600 No\r\n\r\n", "status 600"},
		"099":                        {"HTTP/1.1 099 No\r\n\r\n", "status 099"},
		"no reason":                  {"HTTP/1.1 000\r\n\r\n", "status 000"},
		"several spaces":             {"HTTP/1.1    999 No\r\n\r\n", "status 999"},
		"after an interim one":       {early + "HTTP/1.1 999 No\r\n\r\n", "status 999"},
		"after line feeds only":      {strings.ReplaceAll(early, "\r", "") + "HTTP/1.1 999 No\n\n", "status 999"},
		"in a header":                {"HTTP/1.1 103 No\r\nHTTP/1.1 999 No: a\r\n\r\nHTTP/1.1 204 No\r\n\r\n", `field name "HTTP/"`},
		"in a value":                 {"HTTP/1.1 103 No\r\nLink: HTTP/1.1 999 No\r\n\r\nHTTP/1.1 204 No\r\n\r\n", ""},
		"in a folded value":          {"HTTP/1.1 103 No\r\nLink: a\r\n HTTP/1.1 999 No\r\n\r\nHTTP/1.1 204 No\r\n\r\n", ""},
		"as many interim as allowed": {strings.Repeat(early, MaxInterim) + "HTTP/1.1 200 OK\r\n\r\n", ""},
		"name of the final answer":   {early + "HTTP/1.1 200 OK\r\nLink: a\r\nX Note: a\r\n\r\n", `field name "X "`},
		"name of an interim answer":  {early + "HTTP/1.1 103 No\r\nX-Note : a\r\n\r\n", `field name "X-Note "`},
		"name after a folded value":  {"HTTP/1.1 200 OK\r\nLink: a\r\n b c:\r\n\td\r\nX Note: a\r\n\r\n", `field name "X "`},
		"name after line feeds only": {"HTTP/1.1 200 OK\nLink: a\nX Note: a\n\n", `field name "X "`},
		"name after an empty value":  {"HTTP/1.1 200 OK\r\nLink:\r\nX Note: a\r\n\r\n", `field name "X "`},
		"long name":                  {"HTTP/1.1 200 OK\r\n" + strings.Repeat("a", 100) + " : a\r\n\r\n", `field name "` + strings.Repeat("a", maxQuotedName) + `"`},
		"blank before all names":     {"HTTP/1.1 200 OK\r\n Link: a\r\n\r\n", `field name " "`},
		"carriage return only":       {"HTTP/1.1 200 OK\r\nLink: a\r\n\rX-Note: a\r\n\r\n", `field name "\r"`},
		"valid names and a body":     {"HTTP/1.1 200 OK\r\nLink: a\r\n\r\nX Note: a\r\n", ""},
		"one interim too many":       {strings.Repeat(early, MaxInterim+1), "status 103"},
	} {
		t.Run(name, func(t *testing.T) {
			for _, size := range []int{1, 7, len(c.text)} {
				var s scanner
				s.begin()
				var err error
				for rest := c.text; rest != "" && err == nil; rest = rest[min(size, len(rest)):] {
					err = s.add([]byte(rest[:min(size, len(rest))]))
				}
				if (err != nil) != (c.want != "") || err != nil && !strings.HasPrefix(err.Error(), "invalid "+c.want) {
					t.Errorf("reads of %d bytes: got error %v, want %q", size, err, c.want)
				}
			}
		})
	}
}

// Guards against a byte that the check treats in another way than the definition of a token does
// (RFC 9110, section 5.6.2).
func TestNamesAreTokens(t *testing.T) {
	const token = "!#$%&'*+-.^_`|~0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ"
	for b := range 256 {
		for _, name := range []string{"A" + string([]byte{byte(b)}) + "B", "A" + string([]byte{byte(b)}), string([]byte{byte(b)}) + "B"} {
			valid := strings.IndexByte(token, byte(b)) >= 0
			if got := CheckNames(http.Header{name: nil}) == nil; got != valid {
				t.Errorf("name %q: got valid %v, want %v", name, got, valid)
			}
			if b == ':' && name[0] != ':' || name[0] == '\n' {
				continue // it ends the name or the head
			}
			var s scanner
			s.begin()
			if got := s.add([]byte("HTTP/1.1 200 OK\r\n"+name+": a\r\n\r\n")) == nil; got != valid {
				t.Errorf("line %q: got valid %v, want %v", name+": a", got, valid)
			}
		}
	}
}

// Guards against heads that net/http accepts and the scanner reads in another way: a field that only
// net/http sees would go unchecked.
func FuzzScannerReadsHeadsAsLibrary(f *testing.F) {
	for _, a := range headtest.Answers("Link: a\r\n b\r\n") {
		f.Add([]byte(a.Text))
	}
	f.Add([]byte("HTTP/1.1  200\nLink:a\n\t b c:\n\r\nok"))
	f.Fuzz(func(t *testing.T, input []byte) {
		read, want := checkParsed(input)
		if !read {
			return
		}
		var s scanner
		s.begin()
		if got := s.add(input); (got != nil) != (want != nil) {
			t.Errorf("got error %v, want %v", got, want)
		}
	})
}

// checkParsed checks the heads that net/http reads from input, up to the final one. read is false if
// net/http rejects one before an invalid one is found.
func checkParsed(input []byte) (read bool, err error) {
	reader := bufio.NewReader(bytes.NewReader(input))
	for answers := (Sequence{}); ; {
		resp, err := http.ReadResponse(reader, nil)
		if err != nil {
			return false, nil
		}
		final, err := answers.Next(resp.StatusCode)
		if err == nil {
			err = CheckNames(resp.Header)
		}
		if final || err != nil {
			return true, err
		}
	}
}

func BenchmarkHead(b *testing.B) {
	var head strings.Builder
	head.WriteString("HTTP/1.1 200 OK\r\n")
	header := http.Header{}
	for i := range 12 {
		name, value := fmt.Sprintf("X-Kumquatcleat-Header-%d", i), strings.Repeat("v", 24)
		head.WriteString(name + ": " + value + "\r\n")
		header.Set(name, value)
	}
	head.WriteString("\r\n")
	text := []byte(head.String())
	b.Run("scanner", func(b *testing.B) {
		var s scanner
		for b.Loop() {
			s.begin()
			if err := s.add(text); err != nil {
				b.Fatal(err)
			}
		}
	})
	b.Run("names", func(b *testing.B) {
		for b.Loop() {
			if err := CheckNames(header); err != nil {
				b.Fatal(err)
			}
		}
	})
	b.Run("ReadResponse", func(b *testing.B) {
		for b.Loop() {
			if _, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(text)), nil); err != nil {
				b.Fatal(err)
			}
		}
	})
}
