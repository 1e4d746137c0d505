package upstream

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"bilberrydale/internal/headserver"
)

// longBody is the body of a request that is still being written when its answer comes.
var longBody = [][]byte{make([]byte, 1<<20), make([]byte, 1<<20)}

// earlyHead is the head of an answer whose body ends with its connection.
const earlyHead = "HTTP/1.1 200 OK\r\nX: y\r\n\r\n"

// readRequestHead reads the head of a request, and what came with it.
func readRequestHead(c net.Conn) (*http.Request, error) { return http.ReadRequest(bufio.NewReader(c)) }

// upload sends a request with a long body and returns the body of its response.
func upload(c *Client, address string) (string, error) {
	r, err := c.Do(context.Background(), address, &Request{Method: "POST", URI: "/", Host: "h", Header: http.Header{}, Body: longBody, HasBody: true})
	if err != nil {
		return "", err
	}
	defer r.Close()
	body, err := io.ReadAll(r)
	return string(body), err
}

// Guards against taking a part of an answer for the whole, as the reset of its connection was told to the side
// that still wrote the request.
func TestAnswerThatIsResetDuringAnUploadIsNotWhole(t *testing.T) {
	const tries = 200
	for name, answer := range map[string]string{
		"no length":           earlyHead + "a part",
		"no length, closing":  "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\na part",
		"no length, HTTP/1.0": "HTTP/1.0 200 OK\r\n\r\na part",
		"part of a length":    "HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\na part",
		"part of the chunks":  "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n6\r\na part\r\n",
		"part of a head":      "HTTP/1.1 200 OK\r\nX: y\r\n",
		"nothing":             "",
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			l := acceptAll(t, func(c net.Conn) {
				defer c.Close()
				if _, err := readRequestHead(c); err != nil {
					return
				}
				_, _ = io.WriteString(c, answer)
				_ = c.(*net.TCPConn).SetLinger(0)
			})
			client := New(patient)
			whole := 0
			for range tries {
				body, err := upload(client, l.Addr().String())
				if err == nil {
					whole++
					continue
				}
				g.Expect("a part").To(HavePrefix(body))
				g.Expect(brokeOff(err)).To(BeTrue(), "%v", err)
			}
			g.Expect(whole).To(BeZero(), "of %d", tries)
			g.Expect(client.OpenConnections()).To(BeZero())
		})
	}
}

// Guards against giving up sound answers that come before their request was read.
func TestEarlyAnswersOfServersThatReadOnAreWhole(t *testing.T) {
	for name, serve := range map[string]func(c net.Conn, body io.Reader){
		"no length": func(c net.Conn, body io.Reader) {
			_, _ = io.WriteString(c, earlyHead+"whole")
			_, _ = io.Copy(io.Discard, body)
		},
		"no length, half closed": func(c net.Conn, body io.Reader) {
			_, _ = io.WriteString(c, earlyHead+"whole")
			_ = c.(*net.TCPConn).CloseWrite()
			_, _ = io.Copy(io.Discard, body)
		},
		"no length, half closed, the body not read": func(c net.Conn, body io.Reader) {
			_, _ = io.WriteString(c, earlyHead+"whole")
			_ = c.(*net.TCPConn).CloseWrite()
			_, _ = c.Read(make([]byte, 1))
			<-t.Context().Done()
		},
		"length": func(c net.Conn, body io.Reader) {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole")
			_, _ = io.Copy(io.Discard, body)
		},
		"chunks, reset after their end": func(c net.Conn, _ io.Reader) {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n")
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			l := acceptAll(t, func(c net.Conn) {
				defer c.Close()
				if req, err := readRequestHead(c); err == nil {
					serve(c, req.Body)
				}
			})
			body, err := upload(New(patient), l.Addr().String())
			if strings.Contains(name, "reset") && err != nil {
				g.Expect(brokeOff(err)).To(BeTrue(), "%v", err) // the reset may discard what was not read
				return
			}
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(body).To(Equal("whole"))
		})
	}
}

// Guards against an answer whose head is none of HTTP, with what comes behind it.
func TestBrokenHeadIsNoAnswer(t *testing.T) {
	for name, head := range headserver.Broken {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			address := headserver.Serve(t, func(*http.Request) string { return head.Response("X: y\r\n", "hello") })
			client := New(patient)
			body, err := getText(headserver.Context(t), client, address)
			g.Expect(err).To(HaveOccurred(), "%q", body)
			var upstreamErr *Error
			g.Expect(errors.As(err, &upstreamErr)).To(BeTrue())
			g.Expect(upstreamErr.Sent).To(BeTrue(), "it may have run")
			g.Expect(client.OpenConnections()).To(BeZero())
		})
	}
}

// Guards against giving up odd heads that are sound.
func TestOddHeadIsAnAnswer(t *testing.T) {
	for name, head := range headserver.Sound {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			address := headserver.Serve(t, func(*http.Request) string { return head.Response("X: y\r\n", "hello") })
			client := New(patient)
			for range 2 {
				body, err := getText(headserver.Context(t), client, address)
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(body).To(Equal("hello"))
			}
			g.Expect(client.OpenConnections()).To(BeEquivalentTo(1))
		})
	}
}
