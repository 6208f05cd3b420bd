package backend

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"time"

	"github.com/zeromicro/go-zero/core/breaker"
	"github.com/zeromicro/go-zero/rest/httpc"

	"kumquatcleat/internal/dial"
	"kumquatcleat/internal/httphead"
	"kumquatcleat/internal/membudget"
)

const (
	controlTimeout          = time.Second
	controlMaxResponse      = 4 << 20
	controlMaxHeadBytes     = 64 << 10
	controlMaxIdlePerServer = 2
	controlIdleTimeout      = 30 * time.Second
	controlBreaker          = "server-control"
)

// ControlClients creates Controllers that share one connection pool.
type ControlClients struct {
	service httpc.Service
}

// NewControlClients returns a ControlClients that dials from any local address.
func NewControlClients() *ControlClients { return NewControlClientsFrom("") }

// NewControlClientsFrom returns a ControlClients that dials from a local IP address, or
// from any if localIP is empty.
func NewControlClientsFrom(localIP string) *ControlClients {
	// All servers would share one circuit breaker, so one lost server could make it
	// reject the calls to the others.
	breaker.NoBreakerFor(controlBreaker)
	transport := &http.Transport{
		DialContext:         dial.From(localIP, controlTimeout).DialContext,
		MaxIdleConnsPerHost: controlMaxIdlePerServer,
		IdleConnTimeout:     controlIdleTimeout,

		MaxResponseHeaderBytes: controlMaxHeadBytes,
	}
	client := &http.Client{Transport: httphead.Transport(transport), Timeout: controlTimeout, CheckRedirect: dial.NoRedirects}
	return &ControlClients{service: httpc.NewServiceWithClient(controlBreaker, client)}
}

// For returns the Controller of the server at address (host:port).
func (c *ControlClients) For(address string) Controller {
	return &controlClient{service: c.service, base: "http://" + address}
}

type controlClient struct {
	service httpc.Service
	base    string
}

// Grant implements Controller.
func (c *controlClient) Grant(ctx context.Context, req GrantRequest) (ServerState, error) {
	var state ServerState
	err := c.call(ctx, http.MethodPost, PathGrant, req, &state)
	return state, err
}

// Revoke implements Controller.
func (c *controlClient) Revoke(ctx context.Context, req RevokeRequest) (ServerState, error) {
	var state ServerState
	err := c.call(ctx, http.MethodPost, PathRevoke, req, &state)
	return state, err
}

// State implements Controller.
func (c *controlClient) State(ctx context.Context, group string) (ServerState, error) {
	var state ServerState
	err := c.call(ctx, http.MethodGet, PathState+"?group="+url.QueryEscape(group), nil, &state)
	return state, err
}

// Cancel implements Controller.
func (c *controlClient) Cancel(ctx context.Context, requestID string) error {
	return c.call(ctx, http.MethodPost, PathCancel+"?id="+url.QueryEscape(requestID), nil, nil)
}

// Health implements Controller.
func (c *controlClient) Health(ctx context.Context) (Health, error) {
	var health Health
	err := c.call(ctx, http.MethodGet, PathHealth, nil, &health)
	return health, err
}

// Load implements Controller.
func (c *controlClient) Load(ctx context.Context) (Load, error) {
	var load Load
	err := c.call(ctx, http.MethodGet, PathLoad, nil, &load)
	return load, err
}

func (c *controlClient) call(ctx context.Context, method, path string, body, into any) error {
	var encoded []byte
	if body != nil {
		var err error
		if encoded, err = json.Marshal(body); err != nil {
			return fmt.Errorf("server control %s: encode request: %w", path, err)
		}
	}
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(encoded))
	if err != nil {
		return fmt.Errorf("server control %s: create request: %w", path, err)
	}
	resp, err := c.service.DoRequest(req)
	if err != nil {
		return fmt.Errorf("server control %s: send request: %w", path, err)
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := membudget.ReadAll(resp.Body, resp.ContentLength, controlMaxResponse, nil)
	if err != nil {
		return fmt.Errorf("server control %s: read response: %w", path, err)
	}
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("server control %s: unexpected status %d", path, resp.StatusCode)
	}
	if into == nil {
		return nil
	}
	if err := json.Unmarshal(data, into); err != nil {
		return fmt.Errorf("server control %s: decode response: %w", path, err)
	}
	return nil
}
