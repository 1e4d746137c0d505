package upstream

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// cutResponse is a response in its wire form, whose connection the server closes early.
type cutResponse struct {
	interim string // before the head
	head    string // up to the empty line
	body    string // in its wire form
	text    string // the body that a reader gets of the whole response
	end     BodyEnd
}

// cutResponses are sound responses, by how their bodies end.
var cutResponses = map[string]cutResponse{
	"length":                 {head: "HTTP/1.1 200 OK\r\nX-Id: a b\r\nContent-Length: 12\r\n\r\n", body: "hello, world", text: "hello, world", end: EndByLength},
	"length, last of all":    {head: "HTTP/1.1 200 OK\r\nContent-Length: 0012\r\n\r\n", body: "hello, world", text: "hello, world", end: EndByLength},
	"length of nothing":      {head: "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nX: y\r\n\r\n", end: EndByLength},
	"bare line feeds":        {head: "HTTP/1.1 200 OK\nX: y\nContent-Length: 5\n\n", body: "hello", text: "hello", end: EndByLength},
	"folded line":            {head: "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nX: y\r\n z\r\n\r\n", body: "hello", text: "hello", end: EndByLength},
	"closing":                {head: "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nConnection: close\r\n\r\n", body: "hello", text: "hello", end: EndByLength},
	"chunks":                 {head: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nX: y\r\n\r\n", body: "5\r\nhello\r\n7;a=b\r\n, world\r\n0\r\n\r\n", text: "hello, world", end: EndByChunks},
	"chunks with trailers":   {head: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: T\r\n\r\n", body: "5\r\nhello\r\n0\r\nT: u\r\n\r\n", text: "hello", end: EndByChunks},
	"close":                  {head: "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\n", body: "hello", text: "hello", end: EndByClose},
	"close, without headers": {head: "HTTP/1.1 200 OK\r\n\r\n", body: "hello", text: "hello", end: EndByClose},
	"HTTP/1.0, close":        {head: "HTTP/1.0 200 OK\r\nX: y\r\n\r\n", body: "hello", text: "hello", end: EndByClose},
	"HTTP/1.0, length":       {head: "HTTP/1.0 200 OK\r\nContent-Length: 5\r\n\r\n", body: "hello", text: "hello", end: EndByLength},
	"after interim ones":     {interim: "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n", head: "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n", body: "hello", text: "hello", end: EndByLength},
	"no content":             {head: "HTTP/1.1 204 No Content\r\nX: y\r\n\r\n", end: EndByLength},
	"not modified":           {head: "HTTP/1.1 304 Not Modified\r\nContent-Length: 5\r\n\r\n", end: EndByLength},
	"failure":                {head: "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 5\r\n\r\n", body: "sorry", text: "sorry", end: EndByLength},
	"kept alive":             {head: "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=5\r\nContent-Length: 5\r\nConnection: keep-alive\r\n\r\n", body: "hello", text: "hello", end: EndByLength},
	"no reason":              {head: "HTTP/1.1 200\r\nContent-Length: 5\r\n\r\n", body: "hello", text: "hello", end: EndByLength},
}

// serveThenCut responds to the requests of a connection, and closes it after the last response: in
// order, or by a reset.
func serveThenCut(c net.Conn, reset bool, responses ...string) {
	defer c.Close()
	r := bufio.NewReader(c)
	for _, response := range responses {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		_, _ = io.WriteString(c, response)
	}
	if reset {
		_ = c.(*net.TCPConn).SetLinger(0)
	}
}

// brokeOff reports whether err tells that the other end has closed or reset the connection.
func brokeOff(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET)
}

// patient are the options of a client whose limits of time do not matter.
var patient = Options{DialTimeout: time.Minute, TCPUserTimeout: time.Minute, DefaultIdleTimeout: time.Minute}

// Guards against a response that is cut anywhere and looks whole, or whose end passes for another fault.
func TestCutResponseIsNeverWhole(t *testing.T) {
	for name, whole := range cutResponses {
		wire := whole.interim + whole.head + whole.body
		headEnd := len(whole.interim) + len(whole.head)
		for _, reused := range []bool{false, true} {
			for _, reset := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s, reused: %t, reset: %t", name, reused, reset), func(t *testing.T) {
					t.Parallel()
					for at := range len(wire) + 1 {
						g := NewWithT(t)
						where := fmt.Sprintf("cut after %q", wire[:at])
						responses := []string{wire[:at]}
						if reused {
							responses = []string{okResponse, wire[:at]}
						}
						l := acceptAll(t, func(c net.Conn) { serveThenCut(c, reset, responses...) })
						client := New(patient)
						for range len(responses) - 1 {
							_, err := getText(t.Context(), client, l.Addr().String())
							g.Expect(err).NotTo(HaveOccurred())
						}
						r, err := client.Do(t.Context(), l.Addr().String(), &Request{Method: "GET", URI: "/", Host: "h", Header: http.Header{}})
						if at < headEnd || err != nil {
							var upstreamErr *Error
							g.Expect(errors.As(err, &upstreamErr)).To(BeTrue(), where)
							g.Expect(upstreamErr.Sent).To(BeTrue(), where)
							g.Expect(upstreamErr.ReusedConn).To(Equal(reused), where)
							g.Expect(brokeOff(err)).To(BeTrue(), "%s: %v", where, err)
							g.Expect(reset || at < headEnd).To(BeTrue(), "%s: %v", where, err)
							g.Expect(client.OpenConnections()).To(BeZero(), where)
							continue
						}
						g.Expect(r.BodyEnd).To(Equal(whole.end), where)
						body, err := io.ReadAll(r)
						r.Close()
						looksWhole := err == nil
						mayLookWhole := at == len(wire) || whole.end == EndByClose && !reset
						g.Expect(looksWhole && !mayLookWhole).To(BeFalse(), "%s: %q", where, body)
						g.Expect(!looksWhole && mayLookWhole && !reset).To(BeFalse(), "%s: %v", where, err)
						g.Expect(whole.text).To(HavePrefix(string(body)), where)
						if !looksWhole {
							g.Expect(brokeOff(err)).To(BeTrue(), "%s: %v", where, err)
						}
					}
				})
			}
		}
	}
}

// getText sends a request and returns the body of the response.
func getText(ctx context.Context, c *Client, address string) (string, error) {
	r, err := c.Do(ctx, address, &Request{Method: "GET", URI: "/", Host: "h", Header: http.Header{}})
	if err != nil {
		return "", err
	}
	defer r.Close()
	var text strings.Builder
	_, err = io.Copy(&text, r)
	return text.String(), err
}
