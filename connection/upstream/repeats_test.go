package upstream

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"testing"

	. "github.com/onsi/gomega"
)

// Headers of requests to a repeatingServer, which its responses repeat.
const (
	headerID   = "Id"   // of the request; several sends have the same one
	headerSend = "Send" // number of the send
)

// repeatingServer answers requests in their order on each connection. Some answers arrive once or twice
// more: at once, or when the next request has been read.
type repeatingServer struct {
	listener net.Listener
	rand     *rand.Rand
	mu       sync.Mutex // guards rand
}

func newRepeatingServer(t *testing.T, seed uint64) *repeatingServer {
	t.Helper()
	s := &repeatingServer{rand: rand.New(rand.NewPCG(seed, 0))}
	s.listener = acceptAll(t, s.serve)
	return s
}

// acceptAll accepts connections until the test ends and calls serve for each, in a goroutine of its own.
func acceptAll(t *testing.T, serve func(net.Conn)) net.Listener {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go serve(c)
		}
	}()
	return listener
}

// draw returns how often an answer arrives once more, and whether late.
func (s *repeatingServer) draw() (repeats int, late bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.rand.IntN(4) > 0 {
		return 0, false
	}
	return 1 + s.rand.IntN(2), s.rand.IntN(4) > 0
}

func (s *repeatingServer) serve(c net.Conn) {
	defer c.Close()
	r := bufio.NewReader(c)
	late := ""
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		answer := fmt.Sprintf("HTTP/1.1 503 Full\r\n%s: %s\r\n%s: %s\r\nContent-Length: 0\r\n\r\n", headerID, req.Header.Get(headerID), headerSend, req.Header.Get(headerSend))
		out := late + answer
		late = ""
		for repeats, isLate := s.draw(); repeats > 0; repeats-- {
			if isLate {
				late += answer
			} else {
				out += answer
			}
		}
		if _, err := io.WriteString(c, out); err != nil {
			return
		}
	}
}

// Guards against taking an answer that arrives again for the answer to a later send under the same id:
// with the id of the request, an answer is that of its own send.
func TestAnswersWithTheIDOfTheRequestBelongToIt(t *testing.T) {
	for seed := range uint64(8) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			s := newRepeatingServer(t, seed)
			c := New(Options{RequestID: func(h http.Header) string { return h.Get(headerID) }})
			rnd := rand.New(rand.NewPCG(seed, 1))
			accepted := 0
			for send := range 600 {
				id, number := fmt.Sprint(send/6, "-", rnd.IntN(2)), fmt.Sprint(send)
				r, err := c.Do(context.Background(), s.listener.Addr().String(), &Request{
					Method: "POST", URI: "/", Host: "h", Header: http.Header{headerID: {id}, headerSend: {number}}, HasBody: true,
				})
				if err != nil {
					continue
				}
				if r.Header.Get(headerID) != id {
					r.Discard()
					continue
				}
				accepted++
				g.Expect(r.Header.Get(headerSend)).To(Equal(number), "the answer to another send")
				_, err = io.Copy(io.Discard, r)
				g.Expect(err).NotTo(HaveOccurred())
				r.Close()
			}
			g.Expect(accepted).To(BeNumerically(">", 400))
		})
	}
}

// Guards against a new connection for each request: only those of one id need different ones.
func TestRequestsOfOneIDUseDifferentConnections(t *testing.T) {
	g := NewWithT(t)
	s := newRawServer(t, okResponse, okResponse, okResponse, okResponse, okResponse)
	c := New(Options{RequestID: func(h http.Header) string { return h.Get(headerID) }})
	for _, id := range []string{"a", "b", "a", "b", ""} {
		r, err := c.Do(context.Background(), s.listener.Addr().String(), &Request{Method: "GET", URI: "/", Host: "h", Header: http.Header{headerID: {id}}})
		g.Expect(err).NotTo(HaveOccurred())
		_, err = io.Copy(io.Discard, r)
		g.Expect(err).NotTo(HaveOccurred())
		r.Close()
	}
	requests, conns := s.counts()
	g.Expect(requests).To(Equal(5))
	g.Expect(conns).To(Equal(2))
}

// Guards against memory that grows with each request of a connection that is used for hours.
func TestConnectionEndsAfterManyRequestIDs(t *testing.T) {
	g := NewWithT(t)
	var ids requestIDs
	for i := range maxRequestIDs {
		g.Expect(ids.full()).To(BeFalse())
		ids.add(fmt.Sprint(i))
	}
	g.Expect(ids.full()).To(BeTrue())
	g.Expect(ids.contains("0")).To(BeTrue())
	g.Expect(ids.contains("")).To(BeFalse())
}
