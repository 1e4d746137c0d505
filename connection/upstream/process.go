package upstream

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"
)

// errOtherProcess means that the process at the other end of a connection is not the one that a
// request is for.
var errOtherProcess = errors.New("the server's process is another one")

const (
	// maxStartBytes and maxStartTime limit the answer to Options.StartRequest.
	maxStartBytes = 256 << 10
	maxStartTime  = 2 * time.Second
)

// checkProcess returns an error unless the process at the other end of the connection is the one
// that the request is for. It asks once for each connection, which leads to one process only: a
// server that has started again under its id may run other software than its entry still tells.
func (c *Client) checkProcess(k *conn, req *Request) error {
	if req.StartedUnixMS == 0 || c.opts.StartRequest == nil {
		return nil
	}
	if k.startedAt == 0 {
		startedAt, err := c.askStart(k, c.opts.StartRequest(req))
		if err != nil {
			return fmt.Errorf("ask for the start of the process: %w", err)
		}
		k.startedAt = startedAt
	}
	if k.startedAt != req.StartedUnixMS {
		return fmt.Errorf("%w: it started at %d, not at %d", errOtherProcess, k.startedAt, req.StartedUnixMS)
	}
	return nil
}

// ProbeProcess opens a connection to a server's address (host:port) and returns nil if the process
// that the request is for responds. An error proves nothing.
func (c *Client) ProbeProcess(ctx context.Context, address string, req *Request) error {
	if req.StartedUnixMS == 0 || c.opts.StartRequest == nil {
		return errors.New("the start of the server's process is not known")
	}
	k, err := c.dial(ctx, address)
	if err != nil {
		return err
	}
	stop := context.AfterFunc(ctx, func() { _ = k.tcp.Close() }) // interrupts the question
	defer stop()
	if err := c.checkProcess(k, req); err != nil {
		k.close()
		return err
	}
	k.idleTimeout = c.opts.DefaultIdleTimeout
	c.putIdle(k)
	return nil
}

// askStart sends a request on a connection and decodes the start of the process from the answer.
func (c *Client) askStart(k *conn, req *Request) (int64, error) {
	timer := time.AfterFunc(maxStartTime, k.close)
	defer timer.Stop()
	resp, connBody, err := c.roundTrip(k, req)
	if err != nil {
		return 0, err
	}
	body, err := io.ReadAll(io.LimitReader(connBody, maxStartBytes))
	if err != nil {
		return 0, err
	}
	if !connBody.complete || !connBody.keepAlive || k.reader.Buffered() > 0 {
		return 0, errors.New("the connection cannot be used after the answer")
	}
	return c.opts.DecodeStart(resp.Status, body)
}
