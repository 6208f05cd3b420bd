package httpstatus

// scanner finds the statuses in the heads of the answers to one request, up to the final answer.
// A head that net/http rejects needs no exact result.
type scanner struct {
	state   scanState
	digits  int // of the status so far
	status  int
	line    int // bytes of the header line so far, without a carriage return at its end
	sawCR   bool
	answers Sequence
}

// scanState is the part of a head that the next byte belongs to.
type scanState int

const (
	done      scanState = iota // nothing is checked until the next request
	inVersion                  // protocol version
	inStatus                   // spaces and digits after the version
	inReason                   // rest of the status line of an interim answer
	inHeader                   // header lines of an interim answer
)

// add scans the next bytes that were read. It returns an error at an invalid status.
func (s *scanner) add(p []byte) error {
	for _, b := range p {
		switch s.state {
		case done:
			return nil
		case inVersion:
			s.scanVersion(b)
		case inStatus:
			if err := s.scanStatus(b); err != nil {
				return err
			}
		case inReason:
			if b == '\n' {
				s.state, s.line, s.sawCR = inHeader, 0, false
			}
		case inHeader:
			s.scanHeader(b)
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
		s.state = done
		return invalid("status that begins with a sign")
	case b < '0' || b > '9':
		s.state = done
		return nil
	}
	s.status = 10*s.status + int(b-'0')
	if s.digits++; s.digits < statusDigits {
		return nil
	}
	final, err := s.answers.Next(s.status)
	if final {
		s.state = done
	} else {
		s.state = inReason
	}
	return err
}

func (s *scanner) scanHeader(b byte) {
	switch {
	case b == '\n' && s.line == 0:
		s.state = inVersion
	case b == '\n':
		s.line, s.sawCR = 0, false
	case b == '\r' && !s.sawCR:
		s.sawCR = true
	default:
		s.line++
	}
}
