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

	"bilberrydale/connection/bodylimit"
	"bilberrydale/connection/serverhttp"
	"bilberrydale/process/retryafter"
	"bilberrydale/process/serverlimit"
	"bilberrydale/process/serverstate"
)

// HTTPOptions configure an HTTPClient; zero values get the defaults.
type HTTPOptions struct {
	MaxResponseBytes int64         // default 16 MiB
	DialTimeout      time.Duration // default 500 ms
	MaxIdleConns     int           // per backend server; default 64
	Headers          Headers       // default: DefaultHeaders
	// OnLeaving is called when a response says that its server is leaving, unless that is
	// already known. It should mark the server as leaving.
	OnLeaving func(*serverstate.State)
	// Gate decides which requests are sent; nil: all are.
	Gate serverhttp.Gate
	// OnResponse is called with what each response says of the limit of its server. It may
	// be nil.
	OnResponse func(*serverstate.State, serverlimit.Response)
}

// HTTPClient is a Client over net/http. Each backend server has a connection pool of its
// own, so that the idle connections of one server can be closed separately.
type HTTPClient struct {
	opts    HTTPOptions
	bodies  *bodylimit.Budget
	clients sync.Map // *serverstate.State -> *http.Client
}

// NewHTTPClient returns an HTTPClient without connections.
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
	// Canonicalized here once instead of for each attempt.
	opts.Headers.Each(func(_ string, name *string, _ string) { *name = textproto.CanonicalMIMEHeaderKey(*name) })
	return &HTTPClient{opts: opts, bodies: bodylimit.NewBudget(0)}
}

// client returns the http.Client of the server and creates it on first use.
func (h *HTTPClient) client(s *serverstate.State) *http.Client {
	if c, ok := h.clients.Load(s); ok {
		return c.(*http.Client)
	}
	c, _ := h.clients.LoadOrStore(s, h.newClient())
	return c.(*http.Client)
}

// newClient returns a client for one backend server, with a connection pool of its own.
func (h *HTTPClient) newClient() *http.Client {
	return &http.Client{
		Transport:     serverhttp.New(h.newTransport(), h.opts.Gate),
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// newTransport returns the transport of one backend server.
func (h *HTTPClient) newTransport() *http.Transport {
	return &http.Transport{
		Proxy:               nil, // ignores proxy settings of the environment
		DialContext:         (&net.Dialer{Timeout: h.opts.DialTimeout}).DialContext,
		MaxIdleConnsPerHost: h.opts.MaxIdleConns,
		IdleConnTimeout:     20 * time.Second,
		DisableCompression:  true,
	}
}

// CloseIdleConnections implements Client.
func (h *HTTPClient) CloseIdleConnections(s *serverstate.State) { h.client(s).CloseIdleConnections() }

// Probe implements Client: GET /health has to return status 200.
func (h *HTTPClient) Probe(ctx context.Context, s *serverstate.State) error {
	c := h.newClient()
	defer c.CloseIdleConnections()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+s.Address+"/health", nil)
	if err != nil {
		return fmt.Errorf("build probe: %w", err)
	}
	resp, err := c.Do(req)
	var withheld *serverhttp.WithheldError
	if errors.As(err, &withheld) {
		return fmt.Errorf("%w: %w", ErrPaused, err)
	}
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if retryafter.FromResponse(resp.StatusCode, resp.Header, time.Now()) > 0 {
		return ErrPaused
	}
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("probe of %s: status %d", s.Name, resp.StatusCode)
	}
	return nil
}

// Do implements Client.
func (h *HTTPClient) Do(ctx context.Context, c *Call) (*Response, error) {
	x, err := h.open(ctx, c)
	if err != nil {
		return nil, err
	}
	defer x.close()
	if !x.bodyDelimited() {
		return nil, x.newError(fmt.Errorf("%w: neither length nor chunks mark its end", ErrTruncated))
	}
	body, err := h.bodies.ReadAll(io.LimitReader(x.bodyReader(), h.opts.MaxResponseBytes+1), 0, x.cancel)
	if err != nil {
		return nil, x.newError(fmt.Errorf("%w: %w", ErrTruncated, err))
	}
	if body.Size() > h.opts.MaxResponseBytes {
		return nil, &Error{Delivery: Responded, Status: x.resp.StatusCode, Cause: ErrTooLarge}
	}
	return &Response{Status: x.resp.StatusCode, ContentType: x.resp.Header.Get("Content-Type"), Body: body.Bytes()}, nil
}

// maxChunkBytes bounds a chunk of a stream, with what comes before it.
const maxChunkBytes = 256 << 10

// Stream implements Client.
func (h *HTTPClient) Stream(ctx context.Context, c *Call, sink func(Chunk) error) error {
	x, err := h.open(ctx, c)
	if err != nil {
		return err
	}
	defer x.close()
	next := c.ResumeOffset
	chunks := &chunkReader{body: io.LimitReader(x.resp.Body, h.opts.MaxResponseBytes)}
	dec := json.NewDecoder(chunks)
	for {
		var ch Chunk
		if err := dec.Decode(&ch); err != nil {
			return x.newError(fmt.Errorf("%w: %w", ErrTruncated, err))
		}
		x.restartTimer(c.IdleTimeout)
		chunks.next()
		if ch.Error != "" {
			return &Error{Delivery: Responded, Status: http.StatusInternalServerError, Cause: errors.New(ch.Error)}
		}
		if ch.Offset != next {
			return x.newError(fmt.Errorf("%w: offset %d, want %d", ErrTruncated, ch.Offset, next))
		}
		ch.Version = x.resp.Header.Get(h.opts.Headers.Version)
		if err := sink(ch); err != nil {
			return err
		}
		if ch.Final {
			x.drainTrailer()
			return nil
		}
		next += int64(len(ch.Data))
	}
}

// headerCapacity is the initial capacity of the header map and value array of a call. It covers
// the headers that newRequest sets; both grow if there are more.
const headerCapacity = 16

// newRequest builds the HTTP request of a call.
func (h *HTTPClient) newRequest(ctx context.Context, c *Call) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.Server.Address+c.Path, bytes.NewReader(c.Body))
	if err != nil {
		return nil, fmt.Errorf("build call: %w", err)
	}
	// The transport retries a request when a reused connection is reset, if it can rewind
	// the body. Without GetBody it cannot, so a non-repeatable stage is sent once.
	req.GetBody = nil
	names := &h.opts.Headers
	req.Header = make(http.Header, headerCapacity)
	// All values share one array: Header.Set would allocate a slice for each.
	values := make([]string, 0, headerCapacity)
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
		// The header must not be named Idempotency-Key: that makes the transport of
		// net/http treat the request as safe to retry.
		set(names.Key, c.Key)
	}
	if c.ResumeOffset > 0 {
		set(names.Resume, strconv.FormatInt(c.ResumeOffset, 10))
	}
	otel.GetTextMapPropagator().Inject(ctx, propagation.HeaderCarrier(req.Header))
	return req, nil
}

// validateResponse checks that the response carries the ids of the call and has status 200.
// The error is an *Error; of an error response it contains the start of the body.
func (x *exchange) validateResponse(c *Call, names *Headers) error {
	h := x.resp.Header
	if h.Get(names.RequestID) != c.RequestID || h.Get(names.Stage) != c.Stage || h.Get(names.Attempt) != strconv.Itoa(c.Attempt) {
		return &Error{Delivery: MaybeSent, Cause: fmt.Errorf("%w: got %q/%q/%q", ErrMisdelivered, h.Get(names.RequestID), h.Get(names.Stage), h.Get(names.Attempt))}
	}
	if x.resp.StatusCode == http.StatusOK {
		return nil
	}
	defer time.AfterFunc(maxDrainTime, x.cancel).Stop()
	text, _ := io.ReadAll(io.LimitReader(x.resp.Body, 512))
	return &Error{
		Delivery: Responded, Status: x.resp.StatusCode,
		NotStarted: h.Get(names.NotStarted) == "true",
		Paused:     retryafter.FromResponse(x.resp.StatusCode, h, time.Now()) > 0,
		Cause:      fmt.Errorf("status %d: %s", x.resp.StatusCode, text),
	}
}
