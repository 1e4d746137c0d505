// Package serverprobe polls backend servers over HTTP, on kept and on fresh
// connections, for their load and whether they leave.
package serverprobe

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"bilberrydale/process/report"
)

// Options configure a Client; zero values get the defaults.
type Options struct {
	Path    string        // of the report on a backend server; default /load
	Timeout time.Duration // of one poll; default 800 ms
}

const (
	defaultTimeout = 800 * time.Millisecond
	maxReport      = 64 << 10
)

// Client implements report.Prober.
type Client struct {
	path        string
	timeout     time.Duration
	kept, fresh *http.Client
}

// New returns a client.
func New(opts Options) *Client {
	if opts.Path == "" {
		opts.Path = "/load"
	}
	if opts.Timeout <= 0 {
		opts.Timeout = defaultTimeout
	}
	// Below the poll's own timeout, so that a connection that does not open is
	// told from an answer that does not come.
	dial := (&net.Dialer{Timeout: opts.Timeout * 3 / 4}).DialContext
	return &Client{
		path: opts.Path, timeout: opts.Timeout,
		kept:  &http.Client{Transport: &http.Transport{DialContext: dial, MaxIdleConnsPerHost: 1, IdleConnTimeout: time.Minute}},
		fresh: &http.Client{Transport: &http.Transport{DialContext: dial, DisableKeepAlives: true}},
	}
}

type reportJSON struct {
	Running int      `json:"running"`
	Queued  int      `json:"queued"`
	Slots   int      `json:"slots"`
	Models  []string `json:"models"`
	Role    string   `json:"role"`
	Leaving bool     `json:"leaving"`
}

// Poll implements report.Prober. A server that answers without a report is
// alive: it returns report.ErrNoReport.
func (c *Client) Poll(ctx context.Context, address string, fresh bool) (report.Report, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+c.path, nil)
	if err != nil {
		return report.Report{}, fmt.Errorf("load report: %w", err)
	}
	client := c.kept
	if fresh {
		client = c.fresh
	}
	resp, err := client.Do(req)
	if err != nil {
		return report.Report{}, cause(err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxReport))
	if err != nil {
		return report.Report{}, err
	}
	var r reportJSON
	if resp.StatusCode != http.StatusOK || json.Unmarshal(data, &r) != nil {
		return report.Report{}, report.ErrNoReport
	}
	return report.Report(r), nil
}

func cause(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return fmt.Errorf("%w: %w", report.ErrNoConnection, err)
	}
	return err
}

// CloseIdleConnections drops kept connections, of which one turned out to be silent.
func (c *Client) CloseIdleConnections() { c.kept.CloseIdleConnections() }
