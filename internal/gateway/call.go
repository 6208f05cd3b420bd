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

// newPeerClient returns a client for calls to other VMs.
func newPeerClient(localIP string, dialTimeout time.Duration) *http.Client {
	dialer := dial.Watchful(localIP, dialTimeout)
	return &http.Client{Transport: &http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: 2, IdleConnTimeout: 10 * time.Second}}
}

// call sends a question to another VM and reads its answer, to the end: only then the
// connection is used again.
func call(ctx context.Context, client *http.Client, address, path string, question, answer any) error {
	body, err := json.Marshal(question)
	if err != nil {
		return fmt.Errorf("peers: encode: %w", err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("peers: %w", err)
	}
	resp, err := client.Do(req)
	if err != nil {
		return fmt.Errorf("peers: %w", err)
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxPeerAnswer))
	if err != nil {
		return fmt.Errorf("peers: answer: %w", err)
	}
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("peers: %s at %s: status %d", path, address, resp.StatusCode)
	}
	if err := json.Unmarshal(data, answer); err != nil {
		return fmt.Errorf("peers: answer: %w", err)
	}
	return nil
}
