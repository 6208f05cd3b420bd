package routing

import (
	"net/http"
	"net/url"
	"time"

	"kumquatcleat/internal/config"
	"kumquatcleat/internal/fault"
	"kumquatcleat/internal/retry"
)

// ParsedRequest is what the handler makes of a request before it is sent.
type ParsedRequest struct {
	Service      *config.Service
	Key          string // empty: none
	Class        config.Class
	Idempotent   bool
	Timeout      time.Duration
	Fingerprints retry.Fingerprints
	Stopping     bool // the VM stops before the request's deadline and refuses it
}

// ParseRequest parses a GET request without a body as ServeHTTP does, without serving it. target is
// its path and query. key is the value of HeaderKey, which is not sent if it is empty.
func (h *Handler) ParseRequest(target, key string) (ParsedRequest, *fault.Error) {
	parsed, err := url.ParseRequestURI(target)
	if err != nil || parsed.Host != "" || parsed.Path == "" {
		return ParsedRequest{}, fault.New(fault.BadRequest, "path %q: want /SERVICE/PATH", target)
	}
	r := &http.Request{Method: http.MethodGet, URL: parsed, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1, Header: http.Header{}}
	if key != "" {
		r.Header.Set(HeaderKey, key)
	}
	call, ferr := parseCall(r, h.Services)
	if ferr != nil {
		return ParsedRequest{}, ferr
	}
	forwarder := &forwarder{handler: h, call: call, body: &callerBody{}, request: r}
	return ParsedRequest{
		Service: call.service, Key: call.key, Class: call.class, Idempotent: call.idempotent, Timeout: call.timeout,
		Fingerprints: forwarder.computeFingerprints(), Stopping: h.stopsBefore(time.Now().Add(call.timeout)),
	}, nil
}
