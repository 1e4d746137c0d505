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

// echo answers each line with the same line until its client ends.
func echo(t *testing.T) string {
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
	return follow(t, c)
}

// refused connects and sees the connection reset: while it is being opened, if the
// reset is there before the system call returns, or as its end.
func refused(t *testing.T, r *Proxy) {
	c, err := net.Dial("tcp", r.Address())
	if err != nil {
		NewWithT(t).Expect(err).To(MatchError(syscall.ECONNRESET))
		return
	}
	follow(t, c).ended()
}

// follow reads a connection's lines.
func follow(t *testing.T, c net.Conn) *client {
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

func (c *client) say(text string) {
	_, err := c.Write([]byte(text + "\n"))
	c.g.Expect(err).NotTo(HaveOccurred())
}

func (c *client) hears(text string) { c.g.Eventually(c.lines, "10s").Should(Receive(Equal(text))) }
func (c *client) ended()            { c.g.Eventually(c.lines, "10s").Should(BeClosed()) }

func start(t *testing.T) (*WithT, *Proxy) {
	g := NewWithT(t)
	r, err := New(echo(t))
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(r.Close)
	return g, r
}

func TestBytesAndEndsPass(t *testing.T) {
	_, r := start(t)
	c := dial(t, r)
	c.say("a")
	c.hears("a")
	c.g.Expect(c.Conn.(*net.TCPConn).CloseWrite()).To(Succeed())
	c.ended()
}

func TestHeldBytesPassAfterRelease(t *testing.T) {
	_, r := start(t)
	c := dial(t, r)
	for _, answersOnly := range []bool{false, true} {
		r.Pause(answersOnly)
		c.say("a")
		c.g.Consistently(c.lines, 20*time.Millisecond).ShouldNot(Receive())
		r.Resume()
		c.hears("a")
	}
	r.Pause(true)
	r.ClearFaults()
	c.ended()
}

func TestRefusalSparesOpenConnections(t *testing.T) {
	_, r := start(t)
	old := dial(t, r)
	old.say("a")
	old.hears("a")
	r.RefuseConnections(true)
	refused(t, r)
	old.say("b")
	old.hears("b")
	r.ClearFaults()
	c := dial(t, r)
	c.say("c")
	c.hears("c")
	r.ResetConnections()
	c.ended()
}

// A connection is forgotten: what is sent on it vanishes and nobody is told, while
// a new one works.
func TestForgottenConnectionStaysSilent(t *testing.T) {
	g, r := start(t)
	c := dial(t, r)
	c.say("a")
	c.hears("a")
	r.Blackhole(false)
	c.say("b")
	g.Eventually(r.BlackholedConnections, "10s").Should(BeEquivalentTo(1))
	fresh := dial(t, r)
	fresh.say("c")
	fresh.hears("c")
	g.Expect(c.lines).NotTo(Receive())
}
