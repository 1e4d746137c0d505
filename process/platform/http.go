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

	"bilberrydale/process/clock"
)

// HTTPOptions configure the HTTP adapter of the object API.
type HTTPOptions struct {
	BaseURL string
	Token   string        // bearer token; empty: none is sent
	Timeout time.Duration // for one call but watches; default 2 s
	Clock   clock.Clock   // default the system's
	Rand    clock.Rand
}

const (
	defaultCallTimeout = 2 * time.Second
	watchGrace         = 2 * time.Second
	maxListBytes       = 64 << 20
)

// errNoAnswer marks a call without any answer from the platform.
var errNoAnswer = errors.New("no answer")

// HTTP is the Store over the platform's HTTP/JSON object API.
type HTTP struct {
	base    string
	token   string
	timeout time.Duration
	client  *http.Client
	pace    pace
	counts  counts
}

// NewHTTP returns a client for the object API at opts.BaseURL.
func NewHTTP(opts HTTPOptions) *HTTP {
	if opts.Timeout <= 0 {
		opts.Timeout = defaultCallTimeout
	}
	if opts.Clock == nil {
		opts.Clock = clock.System{}
	}
	if opts.Rand == nil {
		opts.Rand = clock.SystemRand{}
	}
	tr := &http.Transport{
		// Proxy stays nil: a proxy from the environment would be a second,
		// unseen hop between an entry host and its platform.
		DialContext:         (&net.Dialer{Timeout: time.Second}).DialContext,
		MaxIdleConnsPerHost: 16,
		IdleConnTimeout:     30 * time.Second,
	}
	return &HTTP{
		base: opts.BaseURL, token: opts.Token, timeout: opts.Timeout, client: &http.Client{Transport: tr},
		pace: pace{clock: opts.Clock, rand: opts.Rand},
	}
}

type objectJSON struct {
	Key     string `json:"key"`
	Value   []byte `json:"value"`
	Version uint64 `json:"version"`
}

// Get implements Store.
func (h *HTTP) Get(ctx context.Context, key string) (Object, error) {
	var o objectJSON
	if err := h.read(ctx, "/objects/"+url.PathEscape(key), &o); err != nil {
		return Object{}, err
	}
	return Object(o), nil
}

// List implements Store.
func (h *HTTP) List(ctx context.Context, prefix string) ([]Object, error) {
	var list []objectJSON
	if err := h.read(ctx, "/objects?prefix="+url.QueryEscape(prefix), &list); err != nil {
		return nil, err
	}
	return objects(list), nil
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
	h.counts.watches.Add(1)
	var list []objectJSON
	if err := h.call(ctx, http.MethodGet, path, nil, wait+watchGrace, &list); err != nil {
		return nil, err
	}
	return objects(list), nil
}

// Hosts implements Store.
func (h *HTTP) Hosts(ctx context.Context) ([]Host, error) {
	var hosts []Host
	err := h.read(ctx, "/hosts", &hosts)
	return hosts, err
}

func objects(list []objectJSON) []Object {
	out := make([]Object, len(list))
	for i, o := range list {
		out[i] = Object(o)
	}
	return out
}

// read sends a read, and once more on a new connection when no answer came: a
// kept-alive connection may have gone silent for good while new ones work, and
// each call on it would time out. An answer, also a refusal, is not repeated.
func (h *HTTP) read(ctx context.Context, path string, out any) error {
	h.counts.reads.Add(1)
	err := h.call(ctx, http.MethodGet, path, nil, h.timeout/2, out)
	if !errors.Is(err, errNoAnswer) || ctx.Err() != nil {
		return err
	}
	h.client.CloseIdleConnections()
	h.counts.reads.Add(1)
	h.counts.retried.Add(1)
	return h.call(ctx, http.MethodGet, path, nil, h.timeout/2, out)
}

// call sends one request. A write whose connection was made but whose answer
// did not arrive is ErrUnknownOutcome: the platform may have applied it.
func (h *HTTP) call(ctx context.Context, method, path string, body []byte, timeout time.Duration, out any) error {
	if method != http.MethodGet {
		h.counts.writes.Add(1)
	}
	if !h.pace.allowed() {
		h.counts.held.Add(1)
		return ErrRateLimited
	}
	err := h.send(ctx, method, path, body, timeout, out)
	h.pace.answered(err)
	h.counts.failed(err)
	return err
}

func (h *HTTP) send(ctx context.Context, method, path string, body []byte, timeout time.Duration, out any) error {
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
		return fmt.Errorf("%w: %w: %w", ErrUnavailable, errNoAnswer, err)
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
		if method == http.MethodGet {
			return fmt.Errorf("%w: status %d: %.200s", ErrUnavailable, status, data)
		}
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
