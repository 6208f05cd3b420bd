package gateway

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"math"
	"net/http"
	"time"

	"kumquatcleat/internal/bootclock"
	"kumquatcleat/internal/dial"
	"kumquatcleat/internal/httphead"
	"kumquatcleat/internal/membudget"
)

// newPeerClient returns an HTTP client for calls to other VMs that keeps idlePerVM idle connections
// to each of them.
func newPeerClient(localIP string, dialTimeout time.Duration, idlePerVM int) *http.Client {
	dialer := dial.WithDeadPeerDetection(localIP, dialTimeout)
	return &http.Client{CheckRedirect: dial.NoRedirects, Transport: httphead.Transport(&http.Transport{
		DialContext: dialer.DialContext, MaxIdleConnsPerHost: idlePerVM, IdleConnTimeout: 10 * time.Second,
		DisableCompression: true, MaxResponseHeaderBytes: maxHeadBytes,
	})}
}

// peerIdleConnections is how many idle connections to a VM are kept for calls.
const peerIdleConnections = 2

// Maximum sizes of messages between VMs. A request with the counts of all keys has less
// than half of the maximum, a response with all rows of a site of 800 servers a tenth.
const (
	maxPeerRequestBytes  = 2 << 20
	maxPeerResponseBytes = 8 << 20
	maxHeadBytes         = 64 << 10 // head of a request or a response
)

// call posts a JSON request to another VM and decodes its response. It reads the
// body to the end so that the connection can be reused. A response that is read after the
// deadline of ctx is an error: the VM was paused or suspended, and what the response says is old.
func call(ctx context.Context, client *http.Client, address, path string, request, response any) error {
	began := bootclock.Now()
	allowed := time.Duration(math.MaxInt64)
	if deadline, ok := ctx.Deadline(); ok {
		allowed = time.Until(deadline)
	}
	body, err := json.Marshal(request)
	if err != nil {
		return fmt.Errorf("peers: encode request: %w", err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("peers: create request: %w", err)
	}
	resp, err := client.Do(req)
	if err != nil {
		return fmt.Errorf("peers: send request: %w", err)
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := membudget.ReadAll(resp.Body, resp.ContentLength, maxPeerResponseBytes, nil)
	if err != nil {
		return fmt.Errorf("peers: read response: %w", err)
	}
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("peers: request %s to %s: unexpected status %d", path, address, resp.StatusCode)
	}
	if took := bootclock.Now() - began; took > allowed {
		return fmt.Errorf("peers: response to %s from %s took %v, at most %v allowed", path, address, took, allowed)
	}
	if err := json.Unmarshal(data, response); err != nil {
		return fmt.Errorf("peers: decode response: %w", err)
	}
	return nil
}

// decodeRequest decodes the JSON request of another VM. If it is invalid or too large, it
// responds with an error and returns false.
func decodeRequest(w http.ResponseWriter, r *http.Request, into any) bool {
	data, err := membudget.ReadAll(r.Body, r.ContentLength, maxPeerRequestBytes, nil)
	if err == nil {
		err = json.Unmarshal(data, into)
	}
	if err == nil {
		return true
	}
	slog.Warn("peers: request not understood", "path", r.URL.Path, "from", r.RemoteAddr, "error", err.Error())
	http.Error(w, err.Error(), http.StatusBadRequest)
	return false
}
