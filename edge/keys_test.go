package edge

import (
	"net/http"
	"testing"

	. "github.com/onsi/gomega"

	"bilberrydale/version/plan"
)

// Guards against accepting any key once the last client account has been removed, at the host that
// reads the configuration and at one that gets it from that host.
func TestNoKeyIsAcceptedAfterTheLastAccountIsRemoved(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	p := newTestPlatform(t)
	hosts := []*Host{p.startHost("front-1"), p.startHost("front-2")}
	g.Eventually(func() int { return len(hosts[0].readers()) + len(hosts[1].readers()) }, "20s").Should(Equal(1))
	for _, h := range hosts {
		g.Expect(p.send(h, "GET", "/status/1", "").status).To(Equal(http.StatusOK))
	}
	p.config.Version++
	p.config.Accounts = []plan.Account{}
	p.store.PutConfig(p.config)
	for _, h := range hosts {
		g.Eventually(func() int64 { return h.plan.Load().Version }, "20s").Should(Equal(p.config.Version))
		g.Expect(p.send(h, "GET", "/status/1", "").status).To(Equal(http.StatusUnauthorized))
		g.Expect(p.send(h, "GET", "/open/1", "").status).To(Equal(http.StatusOK), "the route is public")
	}
}
