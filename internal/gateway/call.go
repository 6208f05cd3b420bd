package gateway

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"kumquatcleat/internal/dial"
)

// newPeerClient returns an HTTP client for calls to other VMs.
func newPeerClient(localIP string, dialTimeout time.Duration) *http.Client {
	dialer := dial.WithDeadPeerDetection(localIP, dialTimeout)
	return &http.Client{Transport: &http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: 2, IdleConnTimeout: 10 * time.Second}}
}

// call posts a JSON request to another VM and decodes its response. It reads the
// body to the end so that the connection can be reused.
func call(ctx context.Context, client *http.Client, address, path string, request, response any) error {
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
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxPeerMessageBytes))
	if err != nil {
		return fmt.Errorf("peers: read response: %w", err)
	}
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("peers: request %s to %s: unexpected status %d", path, address, resp.StatusCode)
	}
	if err := json.Unmarshal(data, response); err != nil {
		return fmt.Errorf("peers: decode response: %w", err)
	}
	return nil
}
