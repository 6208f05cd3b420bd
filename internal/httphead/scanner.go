package httphead

import (
	"bytes"

	"golang.org/x/net/http/httpguts"
)

// scanner checks the heads of the answers to one request as they are read, up to that of the final
// answer. A head that net/http rejects needs no exact result.
type scanner struct {
	state   scanState
	digits  int // of the status so far
	status  int
	final   bool   // the head is that of the final answer
	name    []byte // field name so far, at most maxQuotedName bytes
	answers Sequence
}

// scanState is the part of a head that the next byte belongs to.
type scanState int

const (
	done      scanState = iota // nothing is checked until the next request
	inVersion                  // protocol version
	inStatus                   // spaces and digits after the version
	inReason                   // rest of the status line
	atFirst                    // start of the line after the status line
	atLine                     // start of a later line
	inEnd                      // line feed that ends the head, after its carriage return
	inName                     // name of a field
	inValue                    // rest of a header line
)

// begin starts with the answers to the next request. It keeps the buffer of names.
func (s *scanner) begin() { *s = scanner{state: inVersion, name: s.name[:0]} }

// add scans the next bytes that were read. It returns an error at an invalid status or field name.
func (s *scanner) add(p []byte) error {
	for i := 0; i < len(p); i++ {
		var err error
		switch s.state {
		case done:
			return nil
		case inVersion:
			s.scanVersion(p[i])
		case inStatus:
			err = s.scanStatus(p[i])
		case inReason, inValue:
			end := bytes.IndexByte(p[i:], '\n')
			if end < 0 {
				return nil
			}
			i += end
			if s.state == inReason {
				s.state = atFirst
			} else {
				s.state = atLine
			}
		case atFirst, atLine:
			err = s.scanLineStart(p[i])
		case inEnd:
			err = s.scanEnd(p[i])
		case inName:
			err = s.scanName(p[i])
		}
		if err != nil {
			s.state = done
			return err
		}
	}
	return nil
}

func (s *scanner) scanVersion(b byte) {
	switch b {
	case ' ':
		s.state, s.digits, s.status = inStatus, 0, 0
	case '\n':
		s.state = done // no status line
	}
}

func (s *scanner) scanStatus(b byte) error {
	const statusDigits = 3
	switch {
	case b == ' ' && s.digits == 0: // net/http accepts several spaces
		return nil
	case b == '+' && s.digits == 0: // net/http takes +20 for a status
		return invalid("status that begins with a sign")
	case b < '0' || b > '9':
		s.state = done
		return nil
	}
	s.status = 10*s.status + int(b-'0')
	if s.digits++; s.digits < statusDigits {
		return nil
	}
	s.state = inReason
	var err error
	s.final, err = s.answers.Next(s.status)
	return err
}

// scanLineStart scans the first byte of a line after the status line. A line that begins with a blank
// continues the value of the line before.
func (s *scanner) scanLineStart(b byte) error {
	switch {
	case b == '\n':
		s.endHead()
	case b == '\r':
		s.state = inEnd
	case (b == ' ' || b == '\t') && s.state == atLine:
		s.state = inValue
	default:
		s.state, s.name = inName, s.name[:0]
		return s.scanName(b)
	}
	return nil
}

func (s *scanner) scanEnd(b byte) error {
	if b != '\n' {
		return invalid("field name %q", "\r")
	}
	s.endHead()
	return nil
}

func (s *scanner) scanName(b byte) error {
	if b == ':' && len(s.name) > 0 {
		s.state = inValue
		return nil
	}
	if len(s.name) < maxQuotedName {
		s.name = append(s.name, b)
	}
	if !httpguts.IsTokenRune(rune(b)) {
		return invalid("field name %q", s.name)
	}
	return nil
}

func (s *scanner) endHead() {
	if s.final {
		s.state = done
	} else {
		s.state = inVersion
	}
}
