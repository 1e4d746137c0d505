package edge

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"bilberrydale/internal/relay"
	"bilberrydale/platform/platformtest"
	"bilberrydale/version/plan"
)

// repeatRefusals lists a server at an address at which its refusals arrive twice: once more when the
// next request is sent on the connection. Its first request is refused.
func repeatRefusals(p *testPlatform, s *platformtest.Server, refuse http.HandlerFunc) {
	p.t.Helper()
	r, err := relay.New(s.Address())
	NewWithT(p.t).Expect(err).NotTo(HaveOccurred())
	p.t.Cleanup(r.Close)
	r.RepeatLate(platformtest.IsRefusal)
	s.ListedAddress = r.Address()
	p.store.PutServer(s, "a", false)
	var refused atomic.Bool
	s.SetInterceptor(func(w http.ResponseWriter, r *http.Request) bool {
		if !refused.CompareAndSwap(false, true) {
			return false
		}
		refuse(w, r)
		return true
	})
}

// Guards against a request that runs twice because the refusal of its first send arrives once more,
// and is taken for the answer to its second send to the same server: also by way of
// another host.
func TestRequestWhoseRefusalArrivesTwiceRunsOnce(t *testing.T) {
	inputsLost := func(w http.ResponseWriter, _ *http.Request) { platformtest.RespondInputsLost(w) }
	pause := func(w http.ResponseWriter, _ *http.Request) { platformtest.RespondPause(w, 200*time.Millisecond, true) }
	for name, c := range map[string]struct {
		path, server string
		refuse       http.HandlerFunc
	}{
		"stream whose inputs are lost":        {"/stream/stream/1", "model-1", inputsLost},
		"stream at a server that paused":      {"/stream/stream/1", "model-1", pause},
		"staged stream whose inputs are lost": {"/stream/staged/1", "model-1", inputsLost},
		"booking at a server that paused":     {"/transfer/1", "ledger-1", pause},
	} {
		for _, carried := range []bool{false, true} {
			t.Run(name+map[bool]string{true: ", carried"}[carried], func(t *testing.T) {
				t.Parallel()
				g := NewWithT(t)
				p := newTestPlatform(t)
				p.route("stream").Stages = []plan.Stage{{Service: "floor", ResultBytes: 1000}}
				p.store.PutConfig(p.config)
				server := p.servers[c.server]
				repeatRefusals(p, server, c.refuse)
				h := p.startHost("front-1")
				if carried {
					h = p.startCutOffHost(g, "front-2")
				}
				r := p.send(h, "POST", c.path, "x", func(q *platformtest.Request) { q.StageItems, q.StageInputKey = []int{1, 1}, "k" })
				g.Expect(r.status).To(Equal(http.StatusOK), r.body)
				g.Expect(server.ExecutedRequests()).To(HaveLen(1))
			})
		}
	}
}

// startCutOffHost starts a host that reaches no server by itself, and waits until another one carries
// its requests.
func (p *testPlatform) startCutOffHost(g *WithT, name string) *Host {
	p.t.Helper()
	h := p.startHost(name, func(o *Options) {
		o.DialServer = func(ctx context.Context, _ string) (net.Conn, error) {
			<-ctx.Done()
			return nil, ctx.Err()
		}
	})
	g.Eventually(func() bool { return h.reach.Check(p.t.Context()) && h.serverClient.Served() }, "20s").Should(BeTrue())
	return h
}
