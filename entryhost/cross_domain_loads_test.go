package entryhost

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"bilberrydale/process/clock"
	"bilberrydale/process/loadreport"
	"bilberrydale/process/serverstate"
)

// recordingProber sends the address of each poll on polled.
type recordingProber struct{ polled chan string }

// Poll implements loadreport.Prober.
func (p *recordingProber) Poll(_ context.Context, address string, _ bool) (loadreport.Report, error) {
	p.polled <- address
	return loadreport.Report{Running: 5, Queued: 2, Slots: 8}, nil
}

// CloseIdleConnections implements loadreport.Prober.
func (*recordingProber) CloseIdleConnections() {}

// Guards against polls at a rate that grows with the number of servers: the cost
// of all hosts would be the number of hosts times the number of servers.
func TestCrossDomainPollerLimitsRate(t *testing.T) {
	g := NewWithT(t)
	c := clock.NewManual(time.Unix(1000, 0))
	reg := serverstate.NewRegistry()
	a, b := reg.Get("a", "10.0.0.1:80", c.Now()), reg.Get("b", "10.0.0.2:80", c.Now())
	p := &recordingProber{make(chan string, 10)}
	poller := &crossDomainPoller{prober: p, clock: c, pollsPerSecond: 4, servers: func() []*serverstate.State { return []*serverstate.State{a, b} }}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- poller.Run(ctx) }()
	step := func() {
		g.Eventually(c.Waiters).Should(Equal(1))
		c.Advance(250 * time.Millisecond)
	}
	step() // reads the list of servers
	for _, want := range []string{a.Address, b.Address} {
		g.Eventually(c.Waiters).Should(Equal(1))
		g.Expect(p.polled).To(BeEmpty())
		step()
		g.Eventually(p.polled).Should(Receive(Equal(want)))
	}
	g.Eventually(c.Waiters).Should(Equal(1))
	g.Expect(b.EstimatedRequests(c.Now())).To(BeNumerically("~", 7, .5))
	cancel()
	g.Eventually(done).Should(Receive(BeNil()))
}
