package relay

import (
	"bufio"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// startEchoServer starts a server that returns all bytes it receives, and returns its
// address.
func startEchoServer(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				_, _ = io.Copy(c, c)
				_ = c.Close()
			}()
		}
	}()
	return l.Addr().String()
}

type client struct {
	g *WithT
	net.Conn
	lines chan string // closed at the end of the connection
}

func dial(t *testing.T, r *Proxy) *client {
	c, err := net.Dial("tcp", r.Address())
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	return readLines(t, c)
}

// expectRefused connects and expects a reset: an error of the connect call if the
// reset arrives before the call returns, otherwise the end of the connection.
func expectRefused(t *testing.T, r *Proxy) {
	c, err := net.Dial("tcp", r.Address())
	if err != nil {
		NewWithT(t).Expect(err).To(MatchError(syscall.ECONNRESET))
		return
	}
	readLines(t, c).expectClosed()
}

// readLines starts to read the lines of a connection.
func readLines(t *testing.T, c net.Conn) *client {
	g := NewWithT(t)
	t.Cleanup(func() { _ = c.Close() })
	out := &client{g, c, make(chan string, 16)}
	go func() {
		defer close(out.lines)
		for s := bufio.NewScanner(c); s.Scan(); {
			out.lines <- s.Text()
		}
	}()
	return out
}

func (c *client) send(text string) {
	_, err := c.Write([]byte(text + "\n"))
	c.g.Expect(err).NotTo(HaveOccurred())
}

func (c *client) expectLine(text string) { c.g.Eventually(c.lines, "10s").Should(Receive(Equal(text))) }
func (c *client) expectClosed()          { c.g.Eventually(c.lines, "10s").Should(BeClosed()) }

func startProxy(t *testing.T) (*WithT, *Proxy) {
	g := NewWithT(t)
	r, err := New(startEchoServer(t))
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(r.Close)
	return g, r
}

func TestForwardsBytesAndEndOfStream(t *testing.T) {
	_, r := startProxy(t)
	c := dial(t, r)
	c.send("a")
	c.expectLine("a")
	c.g.Expect(c.Conn.(*net.TCPConn).CloseWrite()).To(Succeed())
	c.expectClosed()
}

func TestPausedBytesAreForwardedAfterResume(t *testing.T) {
	_, r := startProxy(t)
	c := dial(t, r)
	for _, responsesOnly := range []bool{false, true} {
		r.Pause(responsesOnly)
		c.send("a")
		c.g.Consistently(c.lines, 20*time.Millisecond).ShouldNot(Receive())
		r.Resume()
		c.expectLine("a")
	}
	r.Pause(true)
	r.ClearFaults()
	c.expectClosed()
}

func TestRefusalKeepsOpenConnections(t *testing.T) {
	_, r := startProxy(t)
	old := dial(t, r)
	old.send("a")
	old.expectLine("a")
	r.RefuseConnections(true)
	expectRefused(t, r)
	old.send("b")
	old.expectLine("b")
	r.ClearFaults()
	c := dial(t, r)
	c.send("c")
	c.expectLine("c")
	r.ResetConnections()
	c.expectClosed()
}

// Bytes on a blackholed connection are discarded without an error at either end, while
// new connections work.
func TestBlackholedConnection(t *testing.T) {
	g, r := startProxy(t)
	c := dial(t, r)
	c.send("a")
	c.expectLine("a")
	r.Blackhole(false)
	c.send("b")
	g.Eventually(r.BlackholedConnections, "10s").Should(BeEquivalentTo(1))
	fresh := dial(t, r)
	fresh.send("c")
	fresh.expectLine("c")
	g.Expect(c.lines).NotTo(Receive())
}
