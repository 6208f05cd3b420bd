package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"

	"github.com/zeromicro/go-zero/core/breaker"
	"github.com/zeromicro/go-zero/rest/httpc"

	"kumquatcleat/internal/fault"
	"kumquatcleat/internal/httphead"
	"kumquatcleat/internal/operator"
)

const (
	vmServiceName    = "operator"
	maxResponseBytes = 64 << 20 // the status of 7,300 VMs takes about 2 MB
)

// vmClient queries the operator endpoints of a daemon.
type vmClient struct {
	address string
	service httpc.Service
}

func (o *options) vmClient() (*vmClient, error) {
	if err := checkAddress("--vm", o.vm); err != nil {
		return nil, err
	}
	disableGoZeroLog()
	breaker.NoBreakerFor(vmServiceName)
	return &vmClient{address: o.vm, service: httpc.NewServiceWithClient(vmServiceName, newHTTPClient())}, nil
}

// newHTTPClient returns a client that refuses responses with an invalid head.
func newHTTPClient() *http.Client {
	base := http.DefaultTransport.(*http.Transport).Clone()
	return &http.Client{Transport: httphead.Transport(base)}
}

// Status returns the VM's view of the system.
func (c *vmClient) Status(ctx context.Context) (operator.Status, error) {
	var status operator.Status
	return status, c.get(ctx, operator.PathStatus, &status)
}

// Explain returns the VM's view of the assignment of a key. If the VM does not know the
// service, the error is of kind fault.NotFound.
func (c *vmClient) Explain(ctx context.Context, service, key string) (operator.Explain, error) {
	query := url.Values{"service": {service}, "key": {key}}
	var explain operator.Explain
	return explain, c.get(ctx, operator.PathExplain+"?"+query.Encode(), &explain)
}

// ExplainPath returns what would become of a request at the VM. An empty key is not sent.
func (c *vmClient) ExplainPath(ctx context.Context, path, key string) (operator.Explain, error) {
	query := url.Values{"path": {path}}
	if key != "" {
		query.Set("key", key)
	}
	var explain operator.Explain
	return explain, c.get(ctx, operator.PathExplain+"?"+query.Encode(), &explain)
}

func (c *vmClient) get(ctx context.Context, path string, into any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+c.address+path, nil)
	if err != nil {
		return fault.Wrap(fault.BadRequest, err, "build request to VM %s", c.address)
	}
	resp, err := c.service.DoRequest(req)
	if err != nil {
		return vmError("VM %s did not answer: %w", c.address, err)
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return vmError("read response of VM %s: %w", c.address, err)
	}
	if resp.StatusCode != http.StatusOK {
		return statusError(c.address, resp.StatusCode, data)
	}
	if err := json.Unmarshal(data, into); err != nil {
		return vmError("decode response of VM %s: %w; is --vm its peer_listen?", c.address, err)
	}
	return nil
}

// maxQuotedBytes limits how much of an error response is quoted in an error message.
const maxQuotedBytes = 200

func statusError(address string, status int, body []byte) error {
	text := fmt.Sprintf("VM %s answered %d: %.*q", address, status, maxQuotedBytes, body)
	if status == http.StatusNotFound {
		return fault.New(fault.NotFound, "%s", text)
	}
	if status == http.StatusBadRequest {
		return fault.New(fault.BadRequest, "%s", text)
	}
	return vmError("%s", text)
}

// vmError returns the error for a VM that gave no usable response.
func vmError(format string, args ...any) error {
	return &ExitError{
		Code: ExitFailed,
		Err:  fmt.Errorf(format, args...),
		Next: "check --vm: it must be the peer_listen address of any VM",
	}
}
