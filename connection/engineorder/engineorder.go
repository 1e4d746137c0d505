// Package engineorder sends orders to model engines over HTTP and reads their state.
package engineorder

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"

	"bilberrydale/connection/serverhttp"
	"bilberrydale/process/order"
)

// Paths on an engine.
const (
	pathOrders = "/orders" // PUT: executes an order
	pathLoad   = "/load"   // GET: returns the engine's state as JSON
)

// maxResponseBytes limits what is read of a response; the rest is ignored.
const maxResponseBytes = 64 << 10

// Client implements order.Sender. It opens a connection for each call: orders are rare, and
// an order sent on an idle connection whose state a middlebox has dropped would be lost.
type Client struct{ http *http.Client }

// New returns a Client that opens a connection for each call.
// gate decides which calls are sent; nil: all are.
func New(gate serverhttp.Gate) *Client {
	base := &http.Transport{DisableKeepAlives: true, DialContext: (&net.Dialer{}).DialContext}
	return &Client{http: &http.Client{Transport: serverhttp.New(base, gate)}}
}

// Send implements order.Sender. It returns order.ErrStaleFence if the engine has seen a
// higher fencing number. After any other error the engine may have executed the order.
func (c *Client) Send(ctx context.Context, address string, o order.Order) error {
	body, err := json.Marshal(o)
	if err != nil {
		return fmt.Errorf("encode order: %w", err)
	}
	status, _, err := c.call(ctx, http.MethodPut, address, pathOrders, body)
	switch {
	case err != nil:
		return err
	case status == http.StatusPreconditionFailed:
		return order.ErrStaleFence
	case status >= http.StatusMultipleChoices:
		return fmt.Errorf("order to %s: status %d", address, status)
	}
	return nil
}

// ReadState implements order.Sender. It returns an error if the engine does not respond with
// status 200 and a valid report.
func (c *Client) ReadState(ctx context.Context, address string) (order.State, error) {
	status, data, err := c.call(ctx, http.MethodGet, address, pathLoad, nil)
	if err != nil {
		return order.State{}, err
	}
	if status != http.StatusOK {
		return order.State{}, fmt.Errorf("load of %s: status %d", address, status)
	}
	var s struct {
		Models []string `json:"models"`
		Role   string   `json:"role"`
		Fence  uint64   `json:"fence"`
	}
	if err := json.Unmarshal(data, &s); err != nil {
		return order.State{}, fmt.Errorf("load of %s: %w", address, err)
	}
	return order.State(s), nil
}

// call sends a request to the engine and returns the status and at most maxResponseBytes
// of the body. address is host:port.
func (c *Client) call(ctx context.Context, method, address, path string, body []byte) (int, []byte, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, fmt.Errorf("build request to engine: %w", err)
	}
	req.GetBody = nil // keeps the transport from retrying
	resp, err := c.http.Do(req)
	if err != nil {
		return 0, nil, fmt.Errorf("call engine: %w", err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	return resp.StatusCode, data, err
}
