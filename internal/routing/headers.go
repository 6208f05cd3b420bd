package routing

import (
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
	"time"

	"kumquatcleat/internal/backend"
)

// Headers that callers and the router exchange.
const (
	HeaderKey            = "Kumquatcleat-Key"
	HeaderTimeout        = "Kumquatcleat-Timeout-Ms"
	HeaderOutcome        = "Kumquatcleat-Outcome"
	HeaderIdempotencyKey = "Idempotency-Key"
)

const ownPrefix = "Kumquatcleat-"

var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

// removeHopByHop deletes the hop-by-hop headers, including those that Connection
// lists.
func removeHopByHop(h http.Header) {
	for _, line := range h.Values("Connection") {
		for name := range strings.SplitSeq(line, ",") {
			h.Del(textproto.TrimString(name))
		}
	}
	for _, name := range hopByHop {
		h.Del(name)
	}
}

// requestHeader returns the header of one attempt to a server.
func requestHeader(in http.Header, call *call, target Target, remaining time.Duration) http.Header {
	out := in.Clone()
	removeHopByHop(out)
	removeOwn(out)
	if call.key != "" {
		out.Set(HeaderKey, call.key)
	}
	out.Set(backend.HeaderRequestID, call.requestID)
	out.Set(backend.HeaderDeadline, strconv.FormatInt(max(1, remaining.Milliseconds()), 10))
	if target.HasKey {
		out.Set(backend.HeaderGroup, target.Group)
		out.Set(backend.HeaderSlot, strconv.FormatUint(uint64(target.Slot), 10))
		out.Set(backend.HeaderToken, target.Token.String())
	}
	if _, ok := out["User-Agent"]; !ok {
		out.Set("User-Agent", "") // keeps net/http from adding a default
	}
	return out
}

// removeOwn deletes the headers that only the router or a server sets, and
// HeaderTimeout, which the router replaces by the deadline. The headers of test
// stand-ins, which share the prefix, are kept.
func removeOwn(h http.Header) {
	for _, name := range []string{
		backend.HeaderRequestID, backend.HeaderGroup, backend.HeaderSlot,
		backend.HeaderToken, backend.HeaderDeadline, backend.HeaderServer,
		backend.HeaderNotStarted, HeaderOutcome, HeaderTimeout,
	} {
		h.Del(name)
	}
}

// copyAnswerHeader copies the headers of a server's answer, except hop-by-hop and
// internal ones.
func copyAnswerHeader(out, in http.Header) {
	clean := in.Clone()
	removeHopByHop(clean)
	for name, values := range clean {
		if strings.HasPrefix(name, ownPrefix) && name != backend.HeaderServer {
			continue
		}
		out[name] = values
	}
}
