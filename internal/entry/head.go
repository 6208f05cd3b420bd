package entry

import (
	"bytes"
	"errors"
	"fmt"
	"strings"
)

// Errors of a request's head, which is its request line and headers.
var (
	errHeadTooLarge = errors.New("the request head exceeds the size limit")
	errMalformed    = errors.New("malformed request head")
)

func malformed(format string, args ...any) error {
	return fmt.Errorf("%w: %s", errMalformed, fmt.Sprintf(format, args...))
}

var headTerminator = []byte("\r\n\r\n")

// checkHead rejects heads that two parsers may interpret differently, some of which
// net/http accepts. They allow request smuggling, where one request hides in the
// body of another.
func checkHead(head []byte) error {
	lines := bytes.Split(bytes.TrimSuffix(head, headTerminator), []byte("\r\n"))
	if err := checkRequestLine(string(lines[0])); err != nil {
		return err
	}
	lengths, encodings, hosts := 0, 0, 0
	for _, line := range lines[1:] {
		name, value, err := splitHeader(line)
		if err != nil {
			return err
		}
		switch {
		case strings.EqualFold(name, "Content-Length"):
			lengths++
			if err := checkLength(value); err != nil {
				return err
			}
		case strings.EqualFold(name, "Transfer-Encoding"):
			encodings++
			if !strings.EqualFold(value, "chunked") {
				return malformed("transfer encoding %q is not supported", value)
			}
		case strings.EqualFold(name, "Host"):
			hosts++
		}
	}
	switch {
	case hosts != 1:
		return malformed("%d Host headers, want exactly one", hosts)
	case lengths > 1 || encodings > 1 || lengths+encodings > 1:
		return malformed("%d Content-Length and %d Transfer-Encoding headers, want at most one of them", lengths, encodings)
	}
	return nil
}

func checkRequestLine(line string) error {
	parts := strings.Split(line, " ")
	if len(parts) != 3 || parts[0] == "" || !isToken(parts[0]) {
		return malformed("request line %q", line)
	}
	if parts[2] != "HTTP/1.1" {
		return malformed("protocol %q, want HTTP/1.1", parts[2])
	}
	if !strings.HasPrefix(parts[1], "/") {
		return malformed("target %q does not start with a slash", parts[1])
	}
	for i := range len(parts[1]) {
		if c := parts[1][i]; c <= ' ' || c == 0x7f || c == '#' {
			return malformed("target %q contains the byte 0x%02x", parts[1], c)
		}
	}
	return nil
}

// splitHeader splits a header line into name and value. It rejects spaces around
// the name and folded lines, which continue the line before.
func splitHeader(line []byte) (name, value string, err error) {
	colon := bytes.IndexByte(line, ':')
	if colon <= 0 || !isToken(string(line[:colon])) {
		return "", "", malformed("header line %q", line)
	}
	value = strings.Trim(string(line[colon+1:]), " \t")
	for i := range len(value) {
		if c := value[i]; (c < ' ' && c != '\t') || c == 0x7f {
			return "", "", malformed("header %s contains the byte 0x%02x", line[:colon], c)
		}
	}
	return string(line[:colon]), value, nil
}

// maxLengthDigits is how many digits a content length may have.
const maxLengthDigits = 18

func checkLength(value string) error {
	if value == "" || len(value) > maxLengthDigits || strings.Trim(value, "0123456789") != "" {
		return malformed("content length %q", value)
	}
	return nil
}

// isToken reports whether s is a token as HTTP defines it.
func isToken(s string) bool {
	for i := range len(s) {
		c := s[i]
		letter := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9'
		if !letter && !strings.ContainsRune("!#$%&'*+-.^_`|~", rune(c)) {
			return false
		}
	}
	return s != ""
}
