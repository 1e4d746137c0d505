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

// HostsOptions configure the client of the admin ports.
type AdminClientOptions struct {
	Addresses []string // host:port
	Token     string
	CAFile    string // PEM file; set: TLS
}

// Hosts calls the admin ports of entry hosts.
type AdminClient struct {
	opts   AdminClientOptions
	scheme string
	client *http.Client
}

const (
	hostTimeout    = 5 * time.Second
	maxAdminAnswer = 64 << 20
)

// errNoEndpoint: the entry host answers, but does not serve the path.
var errNoEndpoint = errors.New("this entry host does not serve that admin call; it may run an older build")

// NewHosts returns a client for opts.Addresses.
func NewAdminClient(opts AdminClientOptions) (*AdminClient, error) {
	tr := &http.Transport{Proxy: nil}
	h := &AdminClient{opts: opts, scheme: "http", client: &http.Client{Timeout: hostTimeout, Transport: tr}}
	if opts.CAFile == "" {
		return h, nil
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
	h.scheme = "https"
	return h, nil
}

// statusError is an admin call that the entry host refused.
type statusError struct {
	status int
	text   string
}

// Error implements error.
func (e *statusError) Error() string { return fmt.Sprintf("status %d: %s", e.status, e.text) }

// call sends one admin call to one entry host; in and out may be nil.
func (h *AdminClient) call(ctx context.Context, method, addr, path string, in, out any) error {
	var body []byte
	if in != nil {
		data, err := json.Marshal(in)
		if err != nil {
			return fmt.Errorf("encode call: %w", err)
		}
		body = data
	}
	req, err := http.NewRequestWithContext(ctx, method, h.scheme+"://"+addr+path, bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("build call: %w", err)
	}
	if h.opts.Token != "" {
		req.Header.Set("Authorization", "Bearer "+h.opts.Token)
	}
	resp, err := h.client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxAdminAnswer))
	if err != nil {
		return fmt.Errorf("read answer: %w", err)
	}
	return decodeAnswer(resp.StatusCode, data, out)
}

func decodeAnswer(status int, data []byte, out any) error {
	switch {
	case status == http.StatusUnauthorized:
		return errors.New("the admin token is missing or wrong; set --admin-token")
	case status == http.StatusNotFound && bytes.HasPrefix(data, []byte("404 page not found")):
		return errNoEndpoint
	case status >= http.StatusMultipleChoices:
		return &statusError{status, string(bytes.TrimSpace(data))}
	case out == nil:
		return nil
	}
	if err := json.Unmarshal(data, out); err != nil {
		return fmt.Errorf("decode answer: %w", err)
	}
	return nil
}

// answer is what one entry host said.
type answer[T any] struct {
	addr  string
	value T
	err   error
}

// each calls every entry host side by side and keeps their order.
func each[T any](ctx context.Context, h *AdminClient, call func(ctx context.Context, addr string) (T, error)) []answer[T] {
	out := make([]answer[T], len(h.opts.Addresses))
	var g errgroup.Group
	for i, addr := range h.opts.Addresses {
		g.Go(func() error {
			v, err := call(ctx, addr)
			out[i] = answer[T]{addr, v, err}
			return nil // one silent host must not hide the others
		})
	}
	_ = g.Wait()
	return out
}
