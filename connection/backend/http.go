package backend

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/textproto"
	"strconv"
	"sync"
	"time"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/propagation"

	"bilberrydale/process/server"
)

// HTTPOptions configure the HTTP caller.
type HTTPOptions struct {
	MaxResponseBytes int64 // bytes; default 16 MiB
	DialTimeout      time.Duration
	MaxIdleConns     int     // kept for each backend server
	Headers          Headers // default: DefaultHeaders
	// Leaving is called when an answer first says that its server leaves.
	OnLeaving func(*server.State)
}

// HTTP is the Caller over net/http with one connection pool a backend server,
// so that the pool of one server can be dropped without touching others.
type HTTPClient struct {
	opts    HTTPOptions
	clients sync.Map // *server.State -> *http.Client
}

// NewHTTP returns an HTTP caller.
func NewHTTPClient(opts HTTPOptions) *HTTPClient {
	if opts.MaxResponseBytes <= 0 {
		opts.MaxResponseBytes = 16 << 20
	}
	if opts.DialTimeout <= 0 {
		opts.DialTimeout = 500 * time.Millisecond
	}
	if opts.MaxIdleConns <= 0 {
		opts.MaxIdleConns = 64
	}
	if opts.Headers == (Headers{}) {
		opts.Headers = DefaultHeaders()
	}
	// Names are put into canonical form once, not for each attempt.
	opts.Headers.Each(func(_ string, name *string, _ string) { *name = textproto.CanonicalMIMEHeaderKey(*name) })
	return &HTTPClient{opts: opts}
}

func (h *HTTPClient) client(s *server.State) *http.Client {
	if c, ok := h.clients.Load(s); ok {
		return c.(*http.Client)
	}
	c, _ := h.clients.LoadOrStore(s, h.newClient())
	return c.(*http.Client)
}

func (h *HTTPClient) newClient() *http.Client {
	return &http.Client{
		Transport: &http.Transport{
			Proxy:               nil, // never a proxy from the environment
			DialContext:         (&net.Dialer{Timeout: h.opts.DialTimeout}).DialContext,
			MaxIdleConnsPerHost: h.opts.MaxIdleConns,
			IdleConnTimeout:     20 * time.Second,
			DisableCompression:  true,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// Forget implements Caller.
func (h *HTTPClient) CloseIdleConnections(s *server.State) { h.client(s).CloseIdleConnections() }

// Probe implements Caller.
func (h *HTTPClient) Probe(ctx context.Context, s *server.State) error {
	c := h.newClient()
	defer c.CloseIdleConnections()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+s.Address+"/health", nil)
	if err != nil {
		return fmt.Errorf("build probe: %w", err)
	}
	resp, err := c.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("probe of %s: status %d", s.Name, resp.StatusCode)
	}
	return nil
}

// Do implements Caller.
func (h *HTTPClient) Do(ctx context.Context, c *Call) (*Response, error) {
	x, err := h.open(ctx, c)
	if err != nil {
		return nil, err
	}
	defer x.close()
	if !x.delimited() {
		return nil, x.failed(fmt.Errorf("%w: neither length nor chunks mark its end", ErrTruncated))
	}
	body, err := io.ReadAll(io.LimitReader(x.body(), h.opts.MaxResponseBytes+1))
	if err != nil {
		return nil, x.failed(fmt.Errorf("%w: %w", ErrTruncated, err))
	}
	if int64(len(body)) > h.opts.MaxResponseBytes {
		return nil, &Error{Delivery: Responded, Status: x.resp.StatusCode, Cause: ErrTooLarge}
	}
	return &Response{Status: x.resp.StatusCode, ContentType: x.resp.Header.Get("Content-Type"), Body: body}, nil
}

// Stream implements Caller.
func (h *HTTPClient) Stream(ctx context.Context, c *Call, sink func(Chunk) error) error {
	x, err := h.open(ctx, c)
	if err != nil {
		return err
	}
	defer x.close()
	next := c.ResumeOffset
	dec := json.NewDecoder(io.LimitReader(x.body(), h.opts.MaxResponseBytes))
	for {
		var ch Chunk
		if err := dec.Decode(&ch); err != nil {
			return x.failed(fmt.Errorf("%w: %w", ErrTruncated, err))
		}
		if ch.Error != "" {
			return &Error{Delivery: Responded, Status: http.StatusInternalServerError, Cause: errors.New(ch.Error)}
		}
		if ch.Offset != next {
			return x.failed(fmt.Errorf("%w: offset %d, want %d", ErrTruncated, ch.Offset, next))
		}
		if err := sink(ch); err != nil {
			return err
		}
		if ch.Final {
			x.finish()
			return nil
		}
		next += int64(len(ch.Data))
	}
}

// hopHeaders is the room for the headers of one attempt.
const hopHeaders = 16

func (h *HTTPClient) newRequest(ctx context.Context, c *Call) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.Server.Address+c.Path, bytes.NewReader(c.Body))
	if err != nil {
		return nil, fmt.Errorf("build call: %w", err)
	}
	// The transport repeats a request by itself on a reset of a kept-alive
	// connection if it can rewind the body. Without GetBody it cannot, so a
	// stage that must not be repeated is sent once.
	req.GetBody = nil
	names := &h.opts.Headers
	req.Header = make(http.Header, hopHeaders)
	// One array holds all values: Header.Set would allocate one for each.
	values := make([]string, 0, hopHeaders)
	set := func(name, value string) {
		values = append(values, value)
		req.Header[name] = values[len(values)-1 : len(values) : len(values)]
	}
	set("Content-Type", cmp.Or(c.ContentType, "application/json"))
	set(names.Method, c.Method)
	set(names.URI, c.URI)
	set(names.RequestID, c.RequestID)
	set(names.Stage, c.Stage)
	set(names.Attempt, strconv.Itoa(c.Attempt))
	set(names.Host, c.Host)
	set(names.Incarnation, strconv.FormatUint(c.Incarnation, 10))
	set(names.Account, c.Account)
	set(names.Priority, strconv.Itoa(c.Priority))
	if c.Key != "" {
		// Not named Idempotency-Key: that name makes net/http's transport
		// treat the request as safe to repeat.
		set(names.Key, c.Key)
	}
	if c.ResumeOffset > 0 {
		set(names.Resume, strconv.FormatInt(c.ResumeOffset, 10))
	}
	otel.GetTextMapPropagator().Inject(ctx, propagation.HeaderCarrier(req.Header))
	return req, nil
}

func (x *exchange) check(c *Call, names *Headers) error {
	h := x.resp.Header
	if h.Get(names.RequestID) != c.RequestID || h.Get(names.Stage) != c.Stage || h.Get(names.Attempt) != strconv.Itoa(c.Attempt) {
		return &Error{Delivery: MaybeSent, Cause: fmt.Errorf("%w: got %q/%q/%q", ErrMisdelivered, h.Get(names.RequestID), h.Get(names.Stage), h.Get(names.Attempt))}
	}
	if x.resp.StatusCode == http.StatusOK {
		return nil
	}
	text, _ := io.ReadAll(io.LimitReader(x.resp.Body, 512))
	return &Error{
		Delivery: Responded, Status: x.resp.StatusCode,
		NotStarted: h.Get(names.NotStarted) == "true",
		Cause:      fmt.Errorf("status %d: %s", x.resp.StatusCode, text),
	}
}
