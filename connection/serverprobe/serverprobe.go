// Package serverprobe polls the load reports of backend servers over HTTP, on reused or on
// new connections.
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

	"bilberrydale/connection/serverhttp"
	"bilberrydale/process/loadreport"
)

// Options configure a Client; zero values get the defaults.
type Options struct {
	Path    string          // URL path of the report; default /load
	Timeout time.Duration   // per poll; default 800 ms
	Gate    serverhttp.Gate // decides which polls are sent; nil: all are
}

const (
	defaultTimeout = 800 * time.Millisecond
	maxReportBytes = 64 << 10 // read of a report; a longer one is invalid
)

// Client implements loadreport.Prober. It is safe for concurrent use.
type Client struct {
	path             string        // URL path of the report
	timeout          time.Duration // per poll
	keepAlive, fresh *http.Client  // keepAlive reuses connections; fresh opens one per poll
}

// New returns a Client without connections.
func New(opts Options) *Client {
	if opts.Path == "" {
		opts.Path = "/load"
	}
	if opts.Timeout <= 0 {
		opts.Timeout = defaultTimeout
	}
	// Shorter than the timeout of the poll, so that a failure to connect can be told from
	// a missing response.
	dial := (&net.Dialer{Timeout: opts.Timeout * 3 / 4}).DialContext
	return &Client{
		path: opts.Path, timeout: opts.Timeout,
		keepAlive: &http.Client{Transport: serverhttp.New(&http.Transport{DialContext: dial, MaxIdleConnsPerHost: 1, IdleConnTimeout: time.Minute}, opts.Gate)},
		fresh:     &http.Client{Transport: serverhttp.New(&http.Transport{DialContext: dial, DisableKeepAlives: true}, opts.Gate)},
	}
}

// reportBody is the JSON form of a load report.
type reportBody struct {
	Running int      `json:"running"`
	Queued  int      `json:"queued"`
	Slots   int      `json:"slots"`
	Models  []string `json:"models"`
	Role    string   `json:"role"`
	Leaving bool     `json:"leaving"`
}

// Poll implements loadreport.Prober. It returns loadreport.ErrNoReport if the server responds
// without a valid report, loadreport.ErrNoConnection if no connection could be opened, and
// another error if no complete response arrived.
func (c *Client) Poll(ctx context.Context, address string, fresh bool) (loadreport.Report, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+c.path, nil)
	if err != nil {
		return loadreport.Report{}, fmt.Errorf("load report: %w", err)
	}
	client := c.keepAlive
	if fresh {
		client = c.fresh
	}
	resp, err := client.Do(req)
	if err != nil {
		return loadreport.Report{}, wrapDialError(err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxReportBytes))
	if err != nil {
		return loadreport.Report{}, err
	}
	var r reportBody
	if resp.StatusCode != http.StatusOK || json.Unmarshal(data, &r) != nil {
		return loadreport.Report{}, loadreport.ErrNoReport
	}
	return loadreport.Report(r), nil
}

// wrapDialError adds loadreport.ErrNoConnection to errors of opening a connection.
func wrapDialError(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return fmt.Errorf("%w: %w", loadreport.ErrNoConnection, err)
	}
	return err
}

// CloseIdleConnections implements loadreport.Prober. It is called after a poll on a reused
// connection got no response, since the other idle connections may be dead as well.
func (c *Client) CloseIdleConnections() { c.keepAlive.CloseIdleConnections() }
