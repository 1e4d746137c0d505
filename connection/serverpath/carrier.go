package serverpath

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync"
	"syscall"
	"time"

	"bilberrydale/connection/upstream"
	"bilberrydale/process/peer"
	"bilberrydale/process/retryafter"
)

const (
	// maxCarried is the number of exchanges that a host carries for others at the same time.
	maxCarried = 1024
	// maxPartBytes is the size of a part of a body that is sent in one message.
	maxPartBytes = 64 << 10
	// readBytes is the size of one read from a server.
	readBytes = 16 << 10
	// bufferedReads bounds how far a server can get ahead of the client.
	bufferedReads = 4
	// readWait is how long a call for the next part waits for it.
	readWait = 2 * time.Second
	// abandonedAfter is the time without a call after which an exchange is ended: its host
	// has stopped, or its client takes nothing.
	abandonedAfter = 10 * time.Second
	// maxExchangeTime bounds each exchange.
	maxExchangeTime = 2 * time.Minute
)

// CarrierOptions configures a Carrier. All fields are required.
type CarrierOptions struct {
	Upstream *upstream.Client
	// Usable reports whether this host reaches servers and is not stopping.
	Usable func() bool
	// ReachesAny asks some servers for a connection, and reports whether one accepts.
	ReachesAny func(ctx context.Context) bool
	// Listed reports whether a server is listed at an address (host:port), and whether it
	// leaves.
	Listed func(address string) (listed, leaves bool)
	// Begin and End are called at the begin and the end of each exchange.
	Begin, End func()
}

// Carrier sends requests to backend servers for hosts that are cut off from them. It decides
// nothing: the other host has chosen the server and counts the attempt. It sends a request once.
type Carrier struct {
	opts CarrierOptions

	mu        sync.Mutex // guards exchanges
	exchanges map[exchangeKey]*carried
}

// exchangeKey identifies an exchange of another host.
type exchangeKey struct {
	host        string
	incarnation uint64
	id          uint64
}

// carried is an exchange in progress.
type carried struct {
	cancel    context.CancelFunc
	abandoned *time.Timer // ends the exchange

	mu    sync.Mutex // held by the one call that takes parts
	parts chan part
	taken int64 // bytes that calls have taken
}

// part is a part of a body as read from the server. err is io.EOF at the end.
type part struct {
	data []byte
	err  error
}

// NewCarrier returns a Carrier and registers its handlers with the link.
func NewCarrier(link peer.Link, opts CarrierOptions) *Carrier {
	c := &Carrier{opts: opts, exchanges: map[exchangeKey]*carried{}}
	link.Handle(methodCheck, c.serveCheck)
	link.Handle(methodSend, c.serveSend)
	link.Handle(methodSendToProcess, c.serveSendToProcess)
	link.Handle(methodRead, c.serveRead)
	link.Handle(methodCancel, c.serveCancel)
	link.Handle(methodProbe, c.serveProbe)
	link.Handle(methodProbeProcess, c.serveProbeProcess)
	return c
}

// serveCheck handles methodCheck.
func (c *Carrier) serveCheck(context.Context, peer.Identity, []byte) ([]byte, error) {
	return peer.Marshal(checkResponse{Usable: c.opts.Usable()})
}

// serveSend handles methodSend. A failure does not tell whether anything was sent.
func (c *Carrier) serveSend(call context.Context, from peer.Identity, payload []byte) ([]byte, error) {
	var r sendRequest
	if err := peer.Unmarshal(payload, &r); err != nil {
		return nil, err
	}
	return c.send(call, from, r, 0)
}

// serveSendToProcess handles methodSendToProcess, like serveSend.
func (c *Carrier) serveSendToProcess(call context.Context, from peer.Identity, payload []byte) ([]byte, error) {
	var r sendToProcessRequest
	if err := peer.Unmarshal(payload, &r); err != nil {
		return nil, err
	}
	return c.send(call, from, r.Request, r.StartedUnixMS)
}

// send sends a request to a server, to the process that started at a time if that is not 0, and
// returns the encoded response.
func (c *Carrier) send(call context.Context, from peer.Identity, r sendRequest, startedUnixMS int64) ([]byte, error) {
	if reason := c.reasonToDecline(&r); reason != "" {
		return peer.Marshal(sendResponse{Outcome: declined, Error: reason})
	}
	key := exchangeKey{from.Host, from.Incarnation, r.ID}
	ctx, x := c.begin(key, min(time.Duration(r.TimeoutMillis)*time.Millisecond, maxExchangeTime))
	if x == nil {
		return peer.Marshal(sendResponse{Outcome: declined, Error: "enough exchanges in progress"})
	}
	stopWaiting := context.AfterFunc(call, x.cancel)
	response, err := c.opts.Upstream.Do(ctx, r.Address, &upstream.Request{
		Method: r.Method, URI: r.URI, Host: r.Host, Header: r.Header, Body: [][]byte{r.Body}, HasBody: r.HasBody, NewWork: r.DropWhenLeaves, StartedUnixMS: startedUnixMS,
	})
	if err != nil {
		out := c.sendFailure(call, err)
		c.end(key, x)
		return peer.Marshal(out)
	}
	stopWaiting()
	go c.readBody(ctx, key, x, response)
	out := sendResponse{
		Outcome: answered, ReusedConn: response.ReusedConn, Status: response.Status, Header: response.Header,
		BodyEnd: response.BodyEnd, ContentLength: response.ContentLength,
	}
	if response.BodyEnd == upstream.EndByLength && response.ContentLength <= maxPartBytes {
		out.First = x.take(response.ContentLength)
	}
	return peer.Marshal(out)
}

// reasonToDecline returns why a request is not sent; empty: it is.
func (c *Carrier) reasonToDecline(r *sendRequest) string {
	listed, leaves := c.opts.Listed(r.Address)
	switch {
	case !c.opts.Usable():
		return "this host does not carry requests now"
	case !listed:
		return "no server is listed at the address"
	case leaves && r.DropWhenLeaves:
		return "the server leaves"
	}
	return ""
}

// sendFailure returns the response for a request that got no answer. If no connection could be
// opened because this host has just been cut off itself, it declines.
func (c *Carrier) sendFailure(ctx context.Context, err error) sendResponse {
	out := sendResponse{Outcome: failed, ServerBroke: serverBroke(err), Error: err.Error()}
	var upstreamErr *upstream.Error
	if errors.As(err, &upstreamErr) {
		out.ReusedConn = upstreamErr.ReusedConn
		if upstreamErr.Withheld {
			return sendResponse{Outcome: declined, Status: http.StatusServiceUnavailable, Header: pauseHeader(err), Error: err.Error()}
		}
		if upstreamErr.DialFailed && !c.opts.ReachesAny(ctx) {
			return sendResponse{Outcome: declined, Error: "this host has been cut off"}
		}
		if !upstreamErr.Sent {
			out.Outcome, out.Refused = notSent, errors.Is(err, syscall.ECONNREFUSED)
		}
	}
	return out
}

// pauseHeader returns the headers that say for how long a server wants no requests, as it said
// itself.
func pauseHeader(err error) http.Header {
	var paused *retryafter.PausedError
	if !errors.As(err, &paused) || !time.Now().Before(paused.Until) {
		return nil
	}
	return http.Header{"Retry-After": {strconv.FormatFloat(time.Until(paused.Until).Seconds(), 'f', 3, 64)}}
}

// serverBroke reports whether the server's end closed or reset the connection.
func serverBroke(err error) bool {
	for _, cause := range []error{io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE} {
		if errors.Is(err, cause) {
			return true
		}
	}
	return false
}

// begin registers an exchange. It returns nil if there are enough.
func (c *Carrier) begin(key exchangeKey, timeout time.Duration) (context.Context, *carried) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.exchanges) >= maxCarried {
		return nil, nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	x := &carried{cancel: cancel, parts: make(chan part, bufferedReads), abandoned: time.AfterFunc(timeout, cancel)}
	c.exchanges[key] = x
	c.opts.Begin()
	return ctx, x
}

// end removes an exchange.
func (c *Carrier) end(key exchangeKey, x *carried) {
	x.cancel()
	x.abandoned.Stop()
	c.mu.Lock()
	delete(c.exchanges, key)
	c.mu.Unlock()
	c.opts.End()
}

// readBody reads the body of a response until its end, or until the exchange is ended. The last
// parts stay until they are taken.
func (c *Carrier) readBody(ctx context.Context, key exchangeKey, x *carried, response *upstream.Response) {
	context.AfterFunc(ctx, func() { c.end(key, x) })
	x.abandoned.Reset(abandonedAfter)
	for {
		data := make([]byte, readBytes)
		n, err := response.Read(data)
		switch {
		case err == io.EOF:
			response.Close() // before its end is taken, which cancels ctx
		case err != nil:
			response.Discard()
		}
		if delivered := x.put(ctx, part{data[:n], err}); !delivered && err == nil {
			response.Discard()
			return
		}
		if err != nil {
			return
		}
	}
}

// put adds a part. It returns false if the exchange was ended.
func (x *carried) put(ctx context.Context, p part) bool {
	select {
	case x.parts <- p:
		return true
	case <-ctx.Done():
		return false
	}
}

// take returns the next part, with what else is there. It waits for readWait at most, and longer
// for the first atLeast bytes.
func (x *carried) take(atLeast int64) readResponse {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.abandoned.Reset(abandonedAfter)
	var out readResponse
	timeout := time.NewTimer(readWait)
	defer timeout.Stop()
	for !out.Ended && len(out.Data) < maxPartBytes {
		if int64(len(out.Data)) >= max(atLeast, 1) {
			select {
			case p := <-x.parts:
				out.add(p)
				continue
			default:
			}
			break
		}
		select {
		case p := <-x.parts:
			out.add(p)
			continue
		case <-timeout.C:
		}
		break
	}
	x.taken += int64(len(out.Data))
	if out.Ended {
		x.cancel()
	}
	return out
}

// add appends a part as read from the server.
func (r *readResponse) add(p part) {
	r.Data = append(r.Data, p.data...)
	if p.err == nil {
		return
	}
	r.Ended = true
	if p.err != io.EOF {
		r.Error, r.ServerBroke = p.err.Error(), serverBroke(p.err)
	}
}

// errUnknownExchange means that an exchange has ended, or that a part of its body was lost.
var errUnknownExchange = errors.New("serverpath: no such exchange at this position")

// serveRead handles methodRead.
func (c *Carrier) serveRead(_ context.Context, from peer.Identity, payload []byte) ([]byte, error) {
	var r readRequest
	if err := peer.Unmarshal(payload, &r); err != nil {
		return nil, err
	}
	x := c.find(from, r.ID)
	if x == nil {
		return nil, errUnknownExchange
	}
	x.mu.Lock()
	inOrder := x.taken == r.Offset
	x.mu.Unlock()
	if !inOrder {
		return nil, errUnknownExchange
	}
	return peer.Marshal(x.take(0))
}

// serveCancel handles methodCancel. An unknown exchange is ignored: it has ended.
func (c *Carrier) serveCancel(_ context.Context, from peer.Identity, payload []byte) ([]byte, error) {
	var r cancelRequest
	if err := peer.Unmarshal(payload, &r); err != nil {
		return nil, err
	}
	if x := c.find(from, r.ID); x != nil {
		x.cancel()
	}
	return peer.Marshal(nil)
}

// find returns an exchange in progress, or nil.
func (c *Carrier) find(from peer.Identity, id uint64) *carried {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.exchanges[exchangeKey{from.Host, from.Incarnation, id}]
}

// serveProbe handles methodProbe.
func (c *Carrier) serveProbe(ctx context.Context, _ peer.Identity, payload []byte) ([]byte, error) {
	var r probeRequest
	if err := peer.Unmarshal(payload, &r); err != nil {
		return nil, err
	}
	if listed, _ := c.opts.Listed(r.Address); !listed || !c.opts.Usable() {
		return peer.Marshal(probeResponse{})
	}
	err := c.opts.Upstream.Probe(ctx, r.Address)
	if err != nil && !c.opts.ReachesAny(ctx) {
		// This host has just been cut off itself, and would blame the server for that.
		return peer.Marshal(probeResponse{})
	}
	return peer.Marshal(probeResponse{Usable: c.opts.Usable(), Accepted: err == nil, Refused: errors.Is(err, syscall.ECONNREFUSED)})
}

// serveProbeProcess handles methodProbeProcess.
func (c *Carrier) serveProbeProcess(ctx context.Context, _ peer.Identity, payload []byte) ([]byte, error) {
	var r probeProcessRequest
	if err := peer.Unmarshal(payload, &r); err != nil {
		return nil, err
	}
	listed, _ := c.opts.Listed(r.Address)
	runs := listed && c.opts.Usable() && c.opts.Upstream.ProbeProcess(ctx, r.Address, &upstream.Request{Header: r.Header, StartedUnixMS: r.StartedUnixMS}) == nil
	return peer.Marshal(runs)
}
