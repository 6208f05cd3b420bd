// Package platformclient is the HTTP client of the platform's services. It is apart from package
// platform because go-zero's HTTP client installs signal handlers in each program that imports it.
package platformclient

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/zeromicro/go-zero/core/breaker"
	"github.com/zeromicro/go-zero/rest/httpc"

	"kumquatcleat/internal/dial"
	"kumquatcleat/internal/httphead"
	"kumquatcleat/internal/membudget"
	"kumquatcleat/internal/platform"
)

const (
	callTimeout    = 2 * time.Second
	maxRowBytes    = 8 << 20  // answer with one row
	maxAnswerBytes = 64 << 20 // any other answer: lists of rows grow with the site, objects have any size
	maxHeadBytes   = 64 << 10 // head of an answer
	breakerName    = "platform"
)

// Client implements Table and VMLister over HTTP; Objects returns an ObjectStore.
// Safe for concurrent use.
type Client struct {
	base    string
	service httpc.Service
}

// New returns a client for the platform at address, host:port.
func New(address string) *Client { return NewFrom("", address) }

// NewFrom returns a client for the platform at address, host:port, that dials
// from the given local IP address. If localIP is empty, the system chooses one.
func NewFrom(localIP, address string) *Client {
	// The circuit breaker of httpc would reject calls at random after an outage.
	// Callers of this client bound their own retries.
	breaker.NoBreakerFor(breakerName)
	transport := &http.Transport{
		DialContext:         dial.From(localIP, callTimeout).DialContext,
		MaxIdleConnsPerHost: 16,
		IdleConnTimeout:     30 * time.Second,

		MaxResponseHeaderBytes: maxHeadBytes,
	}
	client := &http.Client{Transport: httphead.Transport(transport), Timeout: callTimeout, CheckRedirect: dial.NoRedirects}
	return &Client{base: "http://" + address, service: httpc.NewServiceWithClient(breakerName, client)}
}

// Get implements Table.
func (c *Client) Get(ctx context.Context, key string) (platform.Row, error) {
	var row platform.Row
	err := c.readJSON(ctx, platform.PathRow+"?key="+url.QueryEscape(key), &row)
	return row, err
}

// List implements Table.
func (c *Client) List(ctx context.Context, prefix string) ([]platform.Row, error) {
	var rows []platform.Row
	err := c.readJSON(ctx, platform.PathRows+"?prefix="+url.QueryEscape(prefix), &rows)
	return rows, err
}

// Commit implements Table.
func (c *Client) Commit(ctx context.Context, writes []platform.Write) ([]uint64, error) {
	body, err := json.Marshal(platform.CommitRequest{Writes: writes})
	if err != nil {
		return nil, fmt.Errorf("platform: encode commit: %w", err)
	}
	data, err := c.call(ctx, http.MethodPost, platform.PathCommit, body)
	if err != nil {
		return nil, err
	}
	var answer platform.CommitAnswer
	if err := json.Unmarshal(data, &answer); err != nil {
		return nil, fmt.Errorf("platform: commit answer: %w", err)
	}
	return answer.Versions, nil
}

// VMs implements VMLister.
func (c *Client) VMs(ctx context.Context) ([]platform.VM, time.Duration, error) {
	var answer platform.VMsAnswer
	if err := c.readJSON(ctx, platform.PathVMs, &answer); err != nil {
		return nil, 0, err
	}
	return answer.VMs, time.Duration(answer.AgeMS) * time.Millisecond, nil
}

// Objects returns the client's ObjectStore.
func (c *Client) Objects() platform.ObjectStore { return objectClient{c} }

type objectClient struct{ client *Client }

// Put implements ObjectStore.
func (o objectClient) Put(ctx context.Context, name string, data []byte) error {
	_, err := o.client.call(ctx, http.MethodPut, platform.PathObject+url.PathEscape(name), data)
	return err
}

// Get implements ObjectStore.
func (o objectClient) Get(ctx context.Context, name string) ([]byte, error) {
	return o.client.call(ctx, http.MethodGet, platform.PathObject+url.PathEscape(name), nil)
}

func (c *Client) readJSON(ctx context.Context, path string, into any) error {
	data, err := c.call(ctx, http.MethodGet, path, nil)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(data, into); err != nil {
		return fmt.Errorf("platform: answer of %s: %w", path, err)
	}
	return nil
}

// call sends a request and returns the body of a 200 response. Statuses 404 and 409
// become platform.ErrNotFound and platform.ErrConflict. After any other error, the outcome of a write
// is unknown.
func (c *Client) call(ctx context.Context, method, path string, body []byte) ([]byte, error) {
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("platform: %s %s: %w", method, path, err)
	}
	// Without GetBody, net/http cannot resend the body and so never retries a write
	// on its own.
	req.GetBody = nil
	resp, err := c.service.DoRequest(req)
	if err != nil {
		return nil, fmt.Errorf("platform: %s %s: %w", method, path, err)
	}
	defer func() { _ = resp.Body.Close() }()
	limit := int64(maxAnswerBytes)
	if strings.HasPrefix(path, platform.PathRow+"?") {
		limit = maxRowBytes
	}
	data, err := membudget.ReadAll(resp.Body, resp.ContentLength, limit, nil)
	if err != nil {
		return nil, fmt.Errorf("platform: %s %s: answer: %w", method, path, err)
	}
	switch resp.StatusCode {
	case http.StatusOK:
		return data, nil
	case http.StatusNotFound:
		return nil, platform.ErrNotFound
	case http.StatusConflict:
		return nil, platform.ErrConflict
	default:
		return nil, fmt.Errorf("platform: %s %s: status %d", method, path, resp.StatusCode)
	}
}
