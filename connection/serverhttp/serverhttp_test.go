package serverhttp

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// stubGate is a Gate that admits nothing while closed is set.
type stubGate struct {
	mu     sync.Mutex // guards the fields below
	closed error
	done   []int // status of each response; 0: none
}

func (g *stubGate) set(err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = err
}

// Admits implements Gate.
func (g *stubGate) Admits(string) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.closed
}

// Admit implements Gate.
func (g *stubGate) Admit(address string) (func(*http.Response), error) {
	if err := g.Admits(address); err != nil {
		return nil, err
	}
	return func(r *http.Response) {
		g.mu.Lock()
		defer g.mu.Unlock()
		if r == nil {
			g.done = append(g.done, 0)
			return
		}
		g.done = append(g.done, r.StatusCode)
	}, nil
}

var errClosed = errors.New("closed")

// Guards against requests that reach a server although the gate is closed: before the request, or once its
// connection is open.
func TestRequestsPassTheGate(t *testing.T) {
	g := NewWithT(t)
	requests := 0
	srv := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { requests++ }))
	defer srv.Close()
	gate := &stubGate{}
	closeWhileDialing := false
	client := &http.Client{Transport: New(&http.Transport{DisableKeepAlives: true, DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
		if closeWhileDialing {
			gate.set(errClosed)
		}
		return conn, err
	}}, gate)}
	get := func() error {
		resp, err := client.Get(srv.URL)
		if err == nil {
			_ = resp.Body.Close()
		}
		return err
	}
	g.Expect(get()).To(Succeed())
	gate.set(errClosed)
	var withheld *WithheldError
	g.Expect(errors.As(get(), &withheld)).To(BeTrue())
	gate.set(nil)
	closeWhileDialing = true
	err := get()
	g.Expect(errors.As(err, &withheld)).To(BeTrue(), "%v", err)
	g.Expect(err).To(MatchError(errClosed))
	g.Expect(requests).To(Equal(1))
	g.Expect(gate.done).To(Equal([]int{200, 0}))
}

// Guards against heads of responses that use up the memory, or the time of a request.
func TestHeadsAreBounded(t *testing.T) {
	for name, part := range map[string]struct {
		text  string
		pause time.Duration
	}{"at full speed": {strings.Repeat("X: y\r\n", 1000), 0}, "a trickle": {"X: y\r\n", 100 * time.Millisecond}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			sent := make(chan int, 1)
			srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				conn, _, _ := http.NewResponseController(w).Hijack()
				defer conn.Close()
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n")
				n := 0
				for n < 64<<20 {
					k, err := io.WriteString(conn, part.text)
					n += k
					if err != nil {
						break
					}
					time.Sleep(part.pause)
				}
				sent <- n
			}))
			defer srv.Close()
			client := &http.Client{Transport: New(&http.Transport{DialContext: (&net.Dialer{}).DialContext}, nil)}
			_, err := client.Get(srv.URL)
			g.Expect(err).To(HaveOccurred())
			var n int
			g.Eventually(sent, "20s").Should(Receive(&n))
			g.Expect(n).To(BeNumerically("<", 16<<20), "with what sockets hold")
		})
	}
}

// Guards against a body that ends with its head.
func TestBodyOutlivesItsHead(t *testing.T) {
	g := NewWithT(t)
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		for range 5 {
			_, _ = io.WriteString(w, "part")
			_ = http.NewResponseController(w).Flush()
		}
	}))
	defer srv.Close()
	client := &http.Client{Transport: New(&http.Transport{DialContext: (&net.Dialer{}).DialContext}, nil)}
	resp, err := client.Get(srv.URL)
	g.Expect(err).NotTo(HaveOccurred())
	body, err := io.ReadAll(resp.Body)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(body)).To(Equal(strings.Repeat("part", 5)))
	g.Expect(resp.Body.Close()).To(Succeed())
}

// Guards against idle connections that stay open, as the client does not find the function that closes
// them.
func TestIdleConnectionsAreClosed(t *testing.T) {
	g := NewWithT(t)
	srv := httptest.NewUnstartedServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	closed := make(chan struct{}, 1)
	srv.Config.ConnState = func(_ net.Conn, s http.ConnState) {
		if s == http.StateClosed {
			closed <- struct{}{}
		}
	}
	srv.Start()
	defer srv.Close()
	client := &http.Client{Transport: New(&http.Transport{DialContext: (&net.Dialer{}).DialContext}, nil)}
	resp, err := client.Get(srv.URL)
	g.Expect(err).NotTo(HaveOccurred())
	_, _ = io.Copy(io.Discard, resp.Body)
	g.Expect(resp.Body.Close()).To(Succeed())
	client.CloseIdleConnections()
	g.Eventually(closed, "10s").Should(Receive())
}

// Guards against taking a part of an answer for the whole, as the reset of its connection was told to the side
// that still wrote the request.
func TestAnswerThatIsResetDuringAnUploadIsNotWhole(t *testing.T) {
	const tries = 200
	g := NewWithT(t)
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		conn, _, _ := http.NewResponseController(w).Hijack()
		defer conn.Close()
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\na part")
		_ = conn.(*net.TCPConn).SetLinger(0)
	}))
	defer srv.Close()
	client := &http.Client{Transport: New(&http.Transport{DialContext: (&net.Dialer{}).DialContext}, nil)}
	whole := 0
	for range tries {
		resp, err := client.Post(srv.URL, "text/plain", bytes.NewReader(make([]byte, 2<<20)))
		if err != nil {
			continue
		}
		if _, err := io.ReadAll(resp.Body); err == nil {
			whole++
		}
		_ = resp.Body.Close()
	}
	g.Expect(whole).To(BeZero(), "of %d", tries)
}
