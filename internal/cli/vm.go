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
	"kumquatcleat/internal/operator"
)

const (
	vmCaller       = "operator"
	maxAnswerBytes = 64 << 20 // a status at 7,300 VMs takes about 2 MB
)

// vmClient asks a daemon on its operator paths.
type vmClient struct {
	address string
	service httpc.Service
}

func (o *options) vmClient() (*vmClient, error) {
	if err := checkAddress("--vm", o.vm); err != nil {
		return nil, err
	}
	quietLibraries()
	breaker.NoBreakerFor(vmCaller)
	return &vmClient{address: o.vm, service: httpc.NewServiceWithClient(vmCaller, &http.Client{})}, nil
}

// Status asks what the VM knows of the system.
func (c *vmClient) Status(ctx context.Context) (operator.Status, error) {
	var status operator.Status
	return status, c.get(ctx, operator.PathStatus, &status)
}

// Explain asks where a key goes. A service that the VM does not know is NotFound.
func (c *vmClient) Explain(ctx context.Context, service, key string) (operator.Explain, error) {
	query := url.Values{"service": {service}, "key": {key}}
	var explain operator.Explain
	return explain, c.get(ctx, operator.PathExplain+"?"+query.Encode(), &explain)
}

func (c *vmClient) get(ctx context.Context, path string, into any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+c.address+path, nil)
	if err != nil {
		return fault.Wrap(fault.BadRequest, err, "ask VM %s", c.address)
	}
	resp, err := c.service.DoRequest(req)
	if err != nil {
		return vmFailed("VM %s did not answer: %w", c.address, err)
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return vmFailed("VM %s broke its answer off: %w", c.address, err)
	}
	if resp.StatusCode != http.StatusOK {
		return refusedBy(c.address, resp.StatusCode, data)
	}
	if err := json.Unmarshal(data, into); err != nil {
		return vmFailed("VM %s answered in another form: %w; is --vm its peer_listen?", c.address, err)
	}
	return nil
}

// maxQuoted bounds how much of a refusal is repeated, in bytes.
const maxQuoted = 200

func refusedBy(address string, status int, body []byte) error {
	text := fmt.Sprintf("VM %s answered %d: %.*q", address, status, maxQuoted, body)
	if status == http.StatusNotFound {
		return fault.New(fault.NotFound, "%s", text)
	}
	return vmFailed("%s", text)
}

// vmFailed is the error of a VM that gave no usable answer.
func vmFailed(format string, args ...any) error {
	return &ExitError{
		Code: ExitFailed,
		Err:  fmt.Errorf(format, args...),
		Next: "check --vm: it is the peer_listen of a VM, and any VM will do",
	}
}
