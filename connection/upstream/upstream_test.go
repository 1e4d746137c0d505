package upstream

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"golang.org/x/sys/unix"
)

// rawServer responds to the requests on all its connections with the given raw responses in
// turn, and records the requests.
type rawServer struct {
	listener  net.Listener
	mu        sync.Mutex
	responses []string
	requests  []string
	conns     int
}

// closeMark at the end of a response closes the connection after it.
const closeMark = "\x00"

func newRawServer(t *testing.T, responses ...string) *rawServer {
	t.Helper()
	s := &rawServer{responses: responses}
	s.listener = acceptAll(t, func(c net.Conn) {
		s.mu.Lock()
		s.conns++
		s.mu.Unlock()
		s.serve(c)
	})
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
		response := ""
		if len(s.responses) > 0 {
			response, s.responses = s.responses[0], s.responses[1:]
		}
		s.mu.Unlock()
		data, closes := strings.CutSuffix(response, closeMark)
		_, _ = io.WriteString(c, data)
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
	g.Expect(s.requests[0]).To(Equal("GET /a%2Fb?x=%20 "), "the URI is sent unchanged")
}

// A server sends a second response after the first, which belongs to no request. Guards
// against taking it for the response to the next request.
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

// A caller closes a response before its end has arrived. Guards against reusing the
// connection, on which the next request would read that end.
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

// The server closes a connection as a request arrives on it. The transport of net/http would
// resend a GET by itself. Guards against that: the caller decides.
func TestRequestsAreNotRetried(t *testing.T) {
	g := NewWithT(t)
	s := newRawServer(t, okResponse, closeMark, okResponse)
	c := New(Options{})
	_, err := getBody(c, s)
	g.Expect(err).NotTo(HaveOccurred())
	_, err = getBody(c, s)
	var upstreamErr *Error
	g.Expect(errors.As(err, &upstreamErr)).To(BeTrue())
	g.Expect(upstreamErr.Sent).To(BeTrue())
	g.Expect(upstreamErr.ReusedConn).To(BeTrue())
	requests, _ := s.counts()
	g.Expect(requests).To(Equal(2))
}

// A server closes an idle connection. Guards against sending the next request on it: the
// closing is detected before.
func TestClosedIdleConnectionIsNotReused(t *testing.T) {
	g := NewWithT(t)
	s := newRawServer(t, okResponse+closeMark, okResponse)
	c := New(Options{})
	_, err := getBody(c, s)
	g.Expect(err).NotTo(HaveOccurred())
	g.Eventually(func() idleState { return c.pools[s.listener.Addr().String()].idle[0].idleState() }, "5s").Should(Equal(idleEnded))
	_, err = getBody(c, s)
	g.Expect(err).NotTo(HaveOccurred())
}

// Guards against taking a response that breaks off for complete: before its content length,
// within a chunked body, or in its head, and also a response that is not HTTP.
func TestTruncatedResponsesReturnError(t *testing.T) {
	for name, response := range map[string]string{
		"length": "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf" + closeMark,
		"chunk":  "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n" + closeMark,
		"head":   "HTTP/1.1 200 OK\r\nContent-Le" + closeMark,
		"bytes":  "these are no answer\r\n\r\n" + closeMark,
	} {
		t.Run(name, func(t *testing.T) {
			_, err := getBody(New(Options{}), newRawServer(t, response))
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

// A server responds before it has read a long body, keeps the connection and reads on.
// Guards against sending the next request on that connection, as it would be read as the
// rest of the body.
func TestConnectionWithUnsentBodyIsNotReused(t *testing.T) {
	g := NewWithT(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = listener.Close() })
	conns := make(chan net.Conn, 4)
	go func() {
		for {
			c, err := listener.Accept()
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
	body := make([]byte, 32<<20)
	for range 2 {
		a, err := c.Do(t.Context(), listener.Addr().String(), &Request{Method: "POST", URI: "/", Host: "h", Header: http.Header{}, Body: [][]byte{body}, HasBody: true})
		g.Expect(err).NotTo(HaveOccurred())
		_, err = io.ReadAll(a)
		g.Expect(err).NotTo(HaveOccurred())
		a.Close()
	}
	g.Expect(conns).To(HaveLen(2))
}

// Guards against a request that is changed on the way as its body is sent in parts.
func TestBodyInPartsIsSentWhole(t *testing.T) {
	g := NewWithT(t)
	s := newRawServer(t, okResponse, okResponse, okResponse)
	c := New(Options{})
	small, large := []byte("lye"), bytes.Repeat([]byte("0123456789"), maxSyncWriteBytes)
	for i, parts := range [][][]byte{{small, []byte("soap")}, {small, large, large[:7], small}, {}} {
		a, err := c.Do(t.Context(), s.listener.Addr().String(), &Request{Method: "POST", URI: "/", Host: "h", Header: http.Header{}, Body: parts, HasBody: true})
		g.Expect(err).NotTo(HaveOccurred())
		_, err = io.ReadAll(a)
		g.Expect(err).NotTo(HaveOccurred())
		a.Close()
		s.mu.Lock()
		g.Expect(s.requests[i] == "POST / "+string(bytes.Join(parts, nil))).To(BeTrue())
		s.mu.Unlock()
	}
}

func TestDialErrorIsNotSent(t *testing.T) {
	g := NewWithT(t)
	s := newRawServer(t)
	_ = s.listener.Close()
	_, err := getBody(New(Options{}), s)
	var upstreamErr *Error
	g.Expect(errors.As(err, &upstreamErr)).To(BeTrue())
	g.Expect(upstreamErr.Sent).To(BeFalse())
	g.Expect(upstreamErr.DialFailed).To(BeTrue())
}

// The server never responds. The request ends with its context, and the connection is
// closed.
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

// Guards against taking a server for crashed that only lost a connection: the probe of a
// listening address succeeds and its connection serves the next request; that of an address
// where nothing listens is refused.
func TestProbe(t *testing.T) {
	g := NewWithT(t)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "x") }))
	address := strings.TrimPrefix(server.URL, "http://")
	opened := 0
	c := New(Options{OnConnect: func(string) { opened++ }})
	g.Expect(c.Probe(t.Context(), address)).To(Succeed())
	resp, err := c.Do(t.Context(), address, &Request{Method: "GET", URI: "/", Host: "h", Header: http.Header{}})
	g.Expect(err).NotTo(HaveOccurred())
	resp.Discard()
	g.Expect(opened).To(Equal(1))
	server.Close()
	g.Expect(c.Probe(t.Context(), address)).To(MatchError(syscall.ECONNREFUSED))
}

// Guards against kept connections that a cut has ended and that nobody notices while no request
// is sent: a reset one is found and told.
func TestFailedIdleConnectionIsClosedAndTold(t *testing.T) {
	g := NewWithT(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = listener.Close() })
	accepted := make(chan net.Conn, 1)
	go func() {
		c, err := listener.Accept()
		if err == nil {
			accepted <- c
		}
	}()
	var told []string
	c := New(Options{OnIdleFailure: func(address string) { told = append(told, address) }})
	g.Expect(c.Probe(t.Context(), listener.Addr().String())).To(Succeed())
	c.CloseExpired()
	g.Expect(c.OpenConnections()).To(BeEquivalentTo(1))
	server := (<-accepted).(*net.TCPConn)
	g.Expect(server.SetLinger(0)).To(Succeed())
	g.Expect(server.Close()).To(Succeed())
	g.Eventually(func() int64 { c.CloseExpired(); return c.OpenConnections() }, "5s").Should(BeZero())
	g.Expect(told).To(Equal([]string{listener.Addr().String()}))
}

// Guards against settings under which keep-alive probes never end a connection whose path carries
// nothing, or end that of a server that is silent for a second or so and sound.
func TestProbesEndConnectionsAfterUserTimeout(t *testing.T) {
	g := NewWithT(t)
	s := newRawServer(t, okResponse)
	c := New(Options{})
	_, err := getBody(c, s)
	g.Expect(err).NotTo(HaveOccurred())
	raw, err := c.pools[s.listener.Addr().String()].idle[0].tcp.SyscallConn()
	g.Expect(err).NotTo(HaveOccurred())
	get := func(level, option int) (value int) {
		g.Expect(raw.Control(func(fd uintptr) {
			value, err = unix.GetsockoptInt(int(fd), level, option)
		})).To(Succeed())
		g.Expect(err).NotTo(HaveOccurred())
		return value
	}
	g.Expect(get(unix.SOL_SOCKET, unix.SO_KEEPALIVE)).To(Equal(1))
	userTimeout := get(unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT)
	firstProbe := 1000 * get(unix.IPPROTO_TCP, unix.TCP_KEEPIDLE)
	nextProbe := firstProbe + 1000*get(unix.IPPROTO_TCP, unix.TCP_KEEPINTVL)
	g.Expect(userTimeout).To(And(BeNumerically(">=", 2000), BeNumerically("<=", 4000)), "in milliseconds")
	g.Expect(firstProbe).To(BeNumerically("<", userTimeout), "a probe is unanswered when the time is over")
	g.Expect(nextProbe).To(BeNumerically("<", 4000), "the connection ends before hosts count as in touch with the cut")
	g.Expect(get(unix.IPPROTO_TCP, unix.TCP_KEEPCNT)*get(unix.IPPROTO_TCP, unix.TCP_KEEPINTVL)*1000).To(BeNumerically(">", userTimeout), "the count ends nothing sooner")
}

// Guards against a stream at another software version than its server's entry tells, because the
// server has started again under its id: the other process gets nothing of the request. Each
// connection is asked once.
func TestOtherProcessGetsNothing(t *testing.T) {
	g := NewWithT(t)
	answer := func(body string) string {
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	}
	s := newRawServer(t, answer("7"), answer("a"), answer("b"), answer("not a number"))
	c := New(Options{
		StartRequest: func(*Request) *Request { return &Request{Method: http.MethodGet, URI: "/start", Header: http.Header{}} },
		DecodeStart:  func(_ int, body []byte) (int64, error) { return strconv.ParseInt(string(body), 10, 64) },
	})
	send := func(startedUnixMS int64) error {
		response, err := c.Do(t.Context(), s.listener.Addr().String(), &Request{Method: http.MethodPost, URI: "/x", Header: http.Header{}, StartedUnixMS: startedUnixMS})
		if err != nil {
			var upstreamErr *Error
			g.Expect(errors.As(err, &upstreamErr)).To(BeTrue())
			g.Expect(upstreamErr.Sent).To(BeFalse())
			return err
		}
		_, _ = io.ReadAll(response)
		response.Close()
		return nil
	}
	g.Expect(send(7)).To(Succeed())
	g.Expect(send(7)).To(Succeed())
	g.Expect(send(8)).To(MatchError(errOtherProcess))
	g.Expect(send(7)).To(HaveOccurred(), "the process does not tell its start")
	s.mu.Lock()
	defer s.mu.Unlock()
	g.Expect(s.requests).To(Equal([]string{"GET /start ", "POST /x ", "POST /x ", "GET /start "}))
}

// Guards against heads without end, and against a bound that a sound head does not pass.
func TestHeadsAreBounded(t *testing.T) {
	head := func(n int) string {
		start, end := "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX: ", "\r\n\r\n"
		return start + strings.Repeat("x", n-len(start)-len(end)) + end
	}
	interim := "HTTP/1.1 102 Processing\r\n\r\n"
	for name, c := range map[string]struct {
		response string
		err      error
	}{
		"largest head":           {response: head(maxHeadBytes) + "ok"},
		"larger head":            {response: head(maxHeadBytes+1) + "ok", err: errHeadTooLarge},
		"most interim responses": {response: strings.Repeat(interim, maxInterimResponses) + okResponse},
		"more interim responses": {response: strings.Repeat(interim, maxInterimResponses+1) + okResponse, err: errTooManyInterim},
		"all of them together":   {response: strings.Repeat(interim, 2) + head(maxHeadBytes-len(interim)) + "ok", err: errHeadTooLarge},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			s := newRawServer(t, c.response, okResponse)
			client := New(Options{})
			body, err := getBody(client, s)
			if c.err != nil {
				g.Expect(err).To(MatchError(c.err))
				g.Expect(client.OpenConnections()).To(BeZero())
				return
			}
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(body).To(Equal("ok"))
		})
	}
}

// FuzzHead looks for bytes of a response that make the client panic or read on without end.
func FuzzHead(f *testing.F) {
	f.Add([]byte(okResponse))
	f.Add([]byte("HTTP/1.1 102 Processing\r\n\r\n" + okResponse))
	f.Add([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2;x=y\r\nok\r\n0\r\nT: u\r\n\r\n"))
	f.Fuzz(func(t *testing.T, response []byte) {
		client, server := tcpPair(t)
		defer server.Close()
		go func() {
			_, _ = server.Write(response) // the client may have closed it
			_ = server.Close()
		}()
		c := New(Options{Dial: func(context.Context, string) (net.Conn, error) { return client, nil }})
		r, err := c.Do(t.Context(), "", &Request{Method: "GET", URI: "/", Host: "h", Header: http.Header{}})
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r); err == nil && r.Status < 200 && r.Status != http.StatusSwitchingProtocols {
			t.Fatalf("status %d", r.Status)
		}
		r.Close()
	})
}

// tcpPair returns the ends of a connection.
func tcpPair(t *testing.T) (client, server net.Conn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	if client, err = net.Dial("tcp", l.Addr().String()); err != nil {
		t.Fatal(err)
	}
	if server, err = l.Accept(); err != nil {
		t.Fatal(err)
	}
	return client, server
}

// Guards against requests that a server gets although they were withheld, and against closing the
// connection, which has not failed.
func TestWithheldRequestLeavesItsConnection(t *testing.T) {
	g := NewWithT(t)
	s := newRawServer(t, okResponse, okResponse)
	withheld := errors.New("the server wants none")
	var heads []*Head
	var err error
	c := New(Options{Admit: func(string, *Request) (func(*Head), error) {
		return func(h *Head) { heads = append(heads, h) }, err
	}})
	for _, err = range []error{withheld, nil, withheld, nil} {
		body, got := getBody(c, s)
		if err == nil {
			g.Expect(body).To(Equal("ok"))
			continue
		}
		var upstreamErr *Error
		g.Expect(errors.As(got, &upstreamErr)).To(BeTrue())
		g.Expect(*upstreamErr).To(And(HaveField("Withheld", true), HaveField("Sent", false)))
		g.Expect(got).To(MatchError(withheld))
	}
	requests, conns := s.counts()
	g.Expect(requests).To(Equal(2))
	g.Expect(conns).To(Equal(1))
	g.Expect(heads).To(HaveLen(2))
	g.Expect(heads[0].Status).To(Equal(http.StatusOK))
}
