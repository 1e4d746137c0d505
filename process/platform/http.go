package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"
)

// HTTPOptions configure the HTTP adapter of the object API.
type HTTPOptions struct {
	BaseURL string
	Token   string        // bearer token; empty: none is sent
	Timeout time.Duration // for one call but watches; default 2 s
}

const (
	defaultCallTimeout = 2 * time.Second
	watchGrace         = 2 * time.Second
	maxListBytes       = 64 << 20
)

// HTTP is the Store over the platform's HTTP/JSON object API.
type HTTP struct {
	base    string
	token   string
	timeout time.Duration
	client  *http.Client
}

// NewHTTP returns a client for the object API at opts.BaseURL.
func NewHTTP(opts HTTPOptions) *HTTP {
	if opts.Timeout <= 0 {
		opts.Timeout = defaultCallTimeout
	}
	tr := &http.Transport{
		// Proxy stays nil: a proxy from the environment would be a second,
		// unseen hop between an entry host and its platform.
		DialContext:         (&net.Dialer{Timeout: time.Second}).DialContext,
		MaxIdleConnsPerHost: 16,
		IdleConnTimeout:     30 * time.Second,
	}
	return &HTTP{base: opts.BaseURL, token: opts.Token, timeout: opts.Timeout, client: &http.Client{Transport: tr}}
}

type objectJSON struct {
	Key     string `json:"key"`
	Value   []byte `json:"value"`
	Version uint64 `json:"version"`
}

// Get implements Store.
func (h *HTTP) Get(ctx context.Context, key string) (Object, error) {
	var o objectJSON
	if err := h.call(ctx, http.MethodGet, "/objects/"+url.PathEscape(key), nil, h.timeout, &o); err != nil {
		return Object{}, err
	}
	return Object(o), nil
}

// List implements Store.
func (h *HTTP) List(ctx context.Context, prefix string) ([]Object, error) {
	return h.objects(ctx, "/objects?prefix="+url.QueryEscape(prefix), h.timeout)
}

// Put implements Store.
func (h *HTTP) Put(ctx context.Context, key string, value []byte, expect uint64) (uint64, error) {
	if len(value) > MaxValue {
		return 0, fmt.Errorf("%w: %s has %d bytes", ErrTooLarge, key, len(value))
	}
	var o objectJSON
	path := "/objects/" + url.PathEscape(key) + "?expect=" + strconv.FormatUint(expect, 10)
	if err := h.call(ctx, http.MethodPut, path, value, h.timeout, &o); err != nil {
		return 0, err
	}
	return o.Version, nil
}

// Delete implements Store.
func (h *HTTP) Delete(ctx context.Context, key string, expect uint64) error {
	path := "/objects/" + url.PathEscape(key) + "?expect=" + strconv.FormatUint(expect, 10)
	return h.call(ctx, http.MethodDelete, path, nil, h.timeout, nil)
}

// Watch implements Store.
func (h *HTTP) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]Object, error) {
	path := fmt.Sprintf("/watch?prefix=%s&after=%d&wait=%s", url.QueryEscape(prefix), after, wait)
	return h.objects(ctx, path, wait+watchGrace)
}

// Hosts implements Store.
func (h *HTTP) Hosts(ctx context.Context) ([]Host, error) {
	var hosts []Host
	err := h.call(ctx, http.MethodGet, "/hosts", nil, h.timeout, &hosts)
	return hosts, err
}

func (h *HTTP) objects(ctx context.Context, path string, timeout time.Duration) ([]Object, error) {
	var list []objectJSON
	if err := h.call(ctx, http.MethodGet, path, nil, timeout, &list); err != nil {
		return nil, err
	}
	out := make([]Object, len(list))
	for i, o := range list {
		out[i] = Object(o)
	}
	return out, nil
}

// call sends one request. A write whose connection was made but whose answer
// did not arrive is ErrUnknownOutcome: the platform may have applied it.
func (h *HTTP) call(ctx context.Context, method, path string, body []byte, timeout time.Duration, out any) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, h.base+path, bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("platform: build request: %w", err)
	}
	if method != http.MethodGet {
		// Without GetBody the transport cannot silently send a write twice
		// when a kept-alive connection is reset on reuse.
		req.GetBody = nil
	}
	if h.token != "" {
		req.Header.Set("Authorization", "Bearer "+h.token)
	}
	resp, err := h.client.Do(req)
	if err != nil {
		return lost(method, err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxListBytes))
	if err != nil {
		return lost(method, err)
	}
	return decode(method, resp.StatusCode, data, out)
}

func lost(method string, err error) error {
	var op *net.OpError
	dialFailed := errors.As(err, &op) && op.Op == "dial"
	if method == http.MethodGet || dialFailed {
		return fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	return fmt.Errorf("%w: %w", ErrUnknownOutcome, err)
}

func decode(method string, status int, data []byte, out any) error {
	switch status {
	case http.StatusOK, http.StatusNoContent:
	case http.StatusNotFound:
		return ErrNotFound
	case http.StatusConflict, http.StatusPreconditionFailed:
		return ErrConflict
	case http.StatusTooManyRequests:
		return ErrRateLimited
	case http.StatusRequestEntityTooLarge:
		return ErrTooLarge
	case http.StatusServiceUnavailable:
		return ErrUnavailable
	default:
		return lost(method, fmt.Errorf("status %d: %.200s", status, data))
	}
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(data, out); err != nil {
		return lost(method, err)
	}
	return nil
}
