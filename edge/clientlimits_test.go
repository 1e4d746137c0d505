package edge

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"bilberrydale/platform/platformtest"
)

// Guards against limits of the configuration that nothing applies, as they were constants of the daemon: the
// time for a head to arrive, the idle time, and the size of headers, of the version in force.
func TestLimitsOfClientsAreThoseOfTheConfiguration(t *testing.T) {
	g, p, h := newTestHost(t)
	long := func(n int) int {
		return p.send(h, "GET", "/status/1", "", func(q *platformtest.Request) { q.StageInputKey = strings.Repeat("k", n) }).status
	}
	g.Expect(long(15 << 10)).To(Equal(http.StatusOK))
	g.Expect(long(17 << 10)).To(Equal(http.StatusRequestHeaderFieldsTooLarge))
	p.config.Version++
	p.config.Limits.MaxHeaderBytes, p.config.Limits.HeaderTimeout, p.config.Limits.IdleTimeout = 32<<10, 100*time.Millisecond, 100*time.Millisecond
	p.store.PutConfig(p.config)
	g.Eventually(func() int { return long(17 << 10) }, "20s").Should(Equal(http.StatusOK))

	clients, _, _ := h.Addresses()
	for _, sent := range []string{"GET /status/1 HTTP/1.1\r\n", "GET /nowhere HTTP/1.1\r\nHost: h\r\n\r\n"} {
		c, err := net.Dial("tcp", clients)
		g.Expect(err).NotTo(HaveOccurred())
		_, err = io.WriteString(c, sent)
		g.Expect(err).NotTo(HaveOccurred())
		ended := make(chan error, 1)
		go func() {
			_, err := io.Copy(io.Discard, bufio.NewReader(c))
			ended <- err
		}()
		g.Eventually(ended, "4s").Should(Receive(BeNil()), "the limits without a configuration are longer")
		_ = c.Close()
	}
}
