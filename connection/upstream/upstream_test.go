package upstream

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// server answers each request on its connections with the next of its raw
// answers, and counts.
type rawServer struct {
	listener  net.Listener
	mu        sync.Mutex
	responses []string
	requests  []string
	conns     int
}

// hangUp as the end of an answer closes the connection behind it.
const closeMark = "\x00"

func newRawServer(t *testing.T, answers ...string) *rawServer {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = l.Close() })
	s := &rawServer{listener: l, responses: answers}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			s.conns++
			s.mu.Unlock()
			go s.serve(c)
		}
	}()
	return s
}

func (s *rawServer) serve(c net.Conn) {
	defer c.Close()
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		body, _ := io.ReadAll(req.Body)
		s.mu.Lock()
		s.requests = append(s.requests, req.Method+" "+req.RequestURI+" "+string(body))
		answer := ""
		if len(s.responses) > 0 {
			answer, s.responses = s.responses[0], s.responses[1:]
		}
		s.mu.Unlock()
		text, closes := strings.CutSuffix(answer, closeMark)
		_, _ = io.WriteString(c, text)
		if closes {
			return
		}
	}
}

func (s *rawServer) counts() (requests, conns int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.requests), s.conns
}

const okResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

func getBody(c *Client, s *rawServer) (string, error) {
	a, err := c.Do(context.Background(), s.listener.Addr().String(), &Request{Method: "GET", URI: "/a%2Fb?x=%20", Host: "h", Header: http.Header{}})
	if err != nil {
		return "", err
	}
	defer a.Close()
	data, err := io.ReadAll(a)
	return string(data), err
}

func TestConnectionIsReusedAfterCompleteResponse(t *testing.T) {
	g := NewWithT(t)
	s := newRawServer(t, okResponse, okResponse)
	c := New(Options{})
	for range 2 {
		body, err := getBody(c, s)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(body).To(Equal("ok"))
	}
	requests, conns := s.counts()
	g.Expect(requests).To(Equal(2))
	g.Expect(conns).To(Equal(1))
	g.Expect(s.requests[0]).To(Equal("GET /a%2Fb?x=%20 "), "the URI as it was sent")
}

// A server sends a second answer behind the first. It belongs to no request:
// the next one must not read it.
func TestConnectionWithExtraBytesIsNotReused(t *testing.T) {
	g := NewWithT(t)
	s := newRawServer(t, okResponse+"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong", okResponse)
	c := New(Options{})
	for range 2 {
		body, err := getBody(c, s)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(body).To(Equal("ok"))
	}
	_, conns := s.counts()
	g.Expect(conns).To(Equal(2))
}

// A caller gives up an answer of which the end has not arrived yet. The
// connection must not serve the next request, which would read that end.
func TestConnectionWithUnreadResponseIsNotReused(t *testing.T) {
	g := NewWithT(t)
	s := newRawServer(t, "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n", okResponse)
	c := New(Options{})
	a, err := c.Do(t.Context(), s.listener.Addr().String(), &Request{Method: "GET", URI: "/", Host: "h", Header: http.Header{}})
	g.Expect(err).NotTo(HaveOccurred())
	a.Close()
	body, err := getBody(c, s)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(body).To(Equal("ok"))
	_, conns := s.counts()
	g.Expect(conns).To(Equal(2))
}

// The server closes a connection as a request arrives on it. net/http's own
// transport would send a GET again by itself; here the caller decides.
func TestRequestsAreNotRetried(t *testing.T) {
	g := NewWithT(t)
	s := newRawServer(t, okResponse, closeMark, okResponse)
	c := New(Options{})
	_, err := getBody(c, s)
	g.Expect(err).NotTo(HaveOccurred())
	_, err = getBody(c, s)
	var failed *Error
	g.Expect(errors.As(err, &failed)).To(BeTrue())
	g.Expect(failed.Sent).To(BeTrue())
	g.Expect(failed.ReusedConn).To(BeTrue())
	requests, _ := s.counts()
	g.Expect(requests).To(Equal(2))
}

// A server closed a connection while it was idle. The next request finds that
// out before it is sent.
func TestClosedIdleConnectionIsNotReused(t *testing.T) {
	g := NewWithT(t)
	s := newRawServer(t, okResponse+closeMark, okResponse)
	c := New(Options{})
	_, err := getBody(c, s)
	g.Expect(err).NotTo(HaveOccurred())
	g.Eventually(func() bool { return c.pools[s.listener.Addr().String()].idle[0].isReusable() }, "5s").Should(BeFalse())
	_, err = getBody(c, s)
	g.Expect(err).NotTo(HaveOccurred())
}

// An answer breaks off, with a length, in a chunk, or by a reset. It must not
// look whole.
func TestTruncatedResponsesReturnError(t *testing.T) {
	for name, answer := range map[string]string{
		"length": "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf" + closeMark,
		"chunk":  "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n" + closeMark,
		"head":   "HTTP/1.1 200 OK\r\nContent-Le" + closeMark,
		"bytes":  "these are no answer\r\n\r\n" + closeMark,
	} {
		t.Run(name, func(t *testing.T) {
			_, err := getBody(New(Options{}), newRawServer(t, answer))
			NewWithT(t).Expect(err).To(HaveOccurred())
		})
	}
}

func TestResponseWithoutLengthEndsAtClose(t *testing.T) {
	g := NewWithT(t)
	s := newRawServer(t, "HTTP/1.1 200 OK\r\n\r\nwhole"+closeMark, okResponse)
	c := New(Options{})
	body, err := getBody(c, s)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(body).To(Equal("whole"))
	g.Expect(c.OpenConnections()).To(BeZero())
}

// A server answers before it has read a long body, keeps the connection and
// reads on. The next request must not be read as the rest of that body.
func TestConnectionWithUnsentBodyIsNotReused(t *testing.T) {
	g := NewWithT(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = l.Close() })
	conns := make(chan net.Conn, 4)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			conns <- c
			go func() {
				_, _ = c.Read(make([]byte, 100))
				_, _ = io.WriteString(c, okResponse)
			}()
		}
	}()
	c := New(Options{})
	big := make([]byte, 32<<20)
	for range 2 {
		a, err := c.Do(t.Context(), l.Addr().String(), &Request{Method: "POST", URI: "/", Host: "h", Header: http.Header{}, Body: big, HasBody: true})
		g.Expect(err).NotTo(HaveOccurred())
		_, err = io.ReadAll(a)
		g.Expect(err).NotTo(HaveOccurred())
		a.Close()
	}
	g.Expect(conns).To(HaveLen(2))
}

func TestDialErrorIsNotSent(t *testing.T) {
	g := NewWithT(t)
	s := newRawServer(t)
	_ = s.listener.Close()
	_, err := getBody(New(Options{}), s)
	var failed *Error
	g.Expect(errors.As(err, &failed)).To(BeTrue())
	g.Expect(failed.Sent).To(BeFalse())
	g.Expect(failed.DialFailed).To(BeTrue())
}

// The server never answers. The request ends with its context, and the
// connection is not used again.
func TestContextEndsRequestToUnresponsiveServer(t *testing.T) {
	g := NewWithT(t)
	s := newRawServer(t, "")
	c := New(Options{})
	ctx, cancel := context.WithCancel(t.Context())
	time.AfterFunc(50*time.Millisecond, cancel)
	_, err := c.Do(ctx, s.listener.Addr().String(), &Request{Method: "GET", URI: "/", Host: "h", Header: http.Header{}})
	g.Expect(err).To(MatchError(context.Canceled))
	g.Expect(c.OpenConnections()).To(BeZero())
}

func TestExpiredIdleConnectionsAreClosed(t *testing.T) {
	g := NewWithT(t)
	s := newRawServer(t, okResponse)
	c := New(Options{ServerIdleTimeout: func(http.Header) time.Duration { return time.Nanosecond }})
	_, err := getBody(c, s)
	g.Expect(err).NotTo(HaveOccurred())
	c.CloseExpired()
	g.Expect(c.OpenConnections()).To(BeZero())
}
