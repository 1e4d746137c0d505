package ctl

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	"golang.org/x/sync/errgroup"
)

// AdminClientOptions configure the client of the admin ports.
type AdminClientOptions struct {
	Addresses []string // host:port
	Token     string   // bearer token; empty: none is sent
	CAFile    string   // PEM file of the CA; if set, TLS is used
}

// AdminClient calls the admin ports of entry hosts. It is safe for concurrent use.
type AdminClient struct {
	opts   AdminClientOptions
	scheme string // http or https
	client *http.Client
}

const (
	callTimeout      = 5 * time.Second // of one admin call
	maxResponseBytes = 64 << 20        // longer responses are truncated and do not decode
)

// errUnsupportedCall is returned if the entry host responds, but does not serve
// the path.
var errUnsupportedCall = errors.New("the entry host does not support this admin call; it may run an older build")

// NewAdminClient returns a client of the entry hosts at opts.Addresses. The error
// is that of reading the CA file.
func NewAdminClient(opts AdminClientOptions) (*AdminClient, error) {
	tr := &http.Transport{Proxy: nil}
	c := &AdminClient{opts: opts, scheme: "http", client: &http.Client{Timeout: callTimeout, Transport: tr}}
	if opts.CAFile == "" {
		return c, nil
	}
	pem, err := os.ReadFile(opts.CAFile)
	if err != nil {
		return nil, fmt.Errorf("--admin-ca: %w", err)
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(pem) {
		return nil, fmt.Errorf("--admin-ca: %s holds no certificate", opts.CAFile)
	}
	tr.TLSClientConfig = &tls.Config{RootCAs: roots, MinVersion: tls.VersionTLS12}
	c.scheme = "https"
	return c, nil
}

// statusError is the error of an admin call that the entry host refused.
type statusError struct {
	status int    // HTTP status
	text   string // body of the response
}

// Error implements error.
func (e *statusError) Error() string { return fmt.Sprintf("status %d: %s", e.status, e.text) }

// call sends one admin call to the entry host at addr (host:port). It sends in as
// JSON and decodes the response into out; both may be nil. After a
// network error the host may have acted on the call.
func (c *AdminClient) call(ctx context.Context, method, addr, path string, in, out any) error {
	var body []byte
	if in != nil {
		data, err := json.Marshal(in)
		if err != nil {
			return fmt.Errorf("encode request: %w", err)
		}
		body = data
	}
	req, err := http.NewRequestWithContext(ctx, method, c.scheme+"://"+addr+path, bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("build request: %w", err)
	}
	if c.opts.Token != "" {
		req.Header.Set("Authorization", "Bearer "+c.opts.Token)
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return fmt.Errorf("read response: %w", err)
	}
	return decodeResponse(resp.StatusCode, data, out)
}

// decodeResponse decodes a successful response into out and returns an error for
// all others.
func decodeResponse(status int, data []byte, out any) error {
	switch {
	case status == http.StatusUnauthorized:
		return errors.New("the admin token is missing or wrong; set --admin-token")
	case status == http.StatusNotFound && bytes.HasPrefix(data, []byte("404 page not found")):
		return errUnsupportedCall
	case status >= http.StatusMultipleChoices:
		return &statusError{status, string(bytes.TrimSpace(data))}
	case out == nil:
		return nil
	}
	if err := json.Unmarshal(data, out); err != nil {
		return fmt.Errorf("decode response: %w", err)
	}
	return nil
}

// hostResult is the result of a call to one entry host.
type hostResult[T any] struct {
	addr  string // admin address, host:port
	value T      // may be incomplete if err is set
	err   error
}

// callEach calls all entry hosts concurrently and returns the results in the
// order of their addresses.
func callEach[T any](ctx context.Context, c *AdminClient, call func(ctx context.Context, addr string) (T, error)) []hostResult[T] {
	out := make([]hostResult[T], len(c.opts.Addresses))
	var g errgroup.Group
	for i, addr := range c.opts.Addresses {
		g.Go(func() error {
			v, err := call(ctx, addr)
			out[i] = hostResult[T]{addr, v, err}
			return nil // an unresponsive host must not hide the results of the others
		})
	}
	_ = g.Wait()
	return out
}
