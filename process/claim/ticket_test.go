package claim

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	standin "bilberrydale/internal/standin/platform"
)

func mintTicket(g *WithT, m *Manager) string {
	text, err := m.MintTicket(background, "depot")
	g.Expect(err).NotTo(HaveOccurred())
	return text
}

// A load balancer sends a request with a ticket to a host other than the minter, and
// the resend to a third host, while the platform is down. The minter lends the
// ticket once and refers the third host to the borrower.
func TestTicketRunsOnceOnAnyHost(t *testing.T) {
	g := NewWithT(t)
	c := newCluster()
	c.objects.SetFaults(standin.Faults{Down: true})
	a, b, d := c.start("a", 1), c.start("b", 1), c.start("d", 1)
	k := testKey(mintTicket(g, a))
	g.Expect(b.Begin(background, k).State).To(Equal(Granted))
	b.Finish(background, k, Response{Status: 200, Body: []byte("x")})
	for _, h := range []*Manager{a, b, d} {
		res := h.Begin(background, k)
		g.Expect(res.State).To(Equal(Done))
		g.Expect(res.Response.Body).To(BeEquivalentTo("x"))
		g.Expect(h.Begin(background, Key{Account: k.Account, Key: k.Key, Body: 1}).State).To(Equal(BodyMismatch))
	}
}

// The minter lends a ticket, but its response is lost. A second loan would run the
// request twice, and a permanent refusal would make the ticket useless. The
// borrower retries under the same number and is granted the same loan.
func TestLostLoanResponseIsRetried(t *testing.T) {
	g := NewWithT(t)
	c := newCluster()
	a, b, d := c.start("a", 1), c.start("b", 1), c.start("d", 1)
	k := testKey(mintTicket(g, a))
	c.net.LoseResponses("b", "a")
	g.Expect(b.Begin(background, k).State).To(Equal(UnknownTicket))
	g.Expect(d.Begin(background, k).State).NotTo(Equal(Granted))
	c.net.Heal("b", "a")
	g.Eventually(func() State { return b.Begin(background, k).State }).Should(Equal(Granted))
	b.Release(background, k)
	g.Eventually(func() State { return d.Begin(background, k).State }).Should(Equal(Granted))
	g.Expect(b.Begin(background, Key{Account: k.Account, Key: k.Key, Body: 1}).State).To(Equal(BodyMismatch))
}

// A ticket does not run if it cannot be verified: its minter has restarted, is
// unreachable, or did not mint it for this client account.
func TestUnverifiableTicketIsRefused(t *testing.T) {
	g := NewWithT(t)
	c := newCluster()
	a, b := c.start("a", 1), c.start("b", 1)
	k := testKey(mintTicket(g, a))
	g.Expect(a.Begin(background, Key{Account: "thief", Key: k.Key}).State).To(Equal(UnknownTicket))
	g.Expect(b.Begin(background, Key{Account: "thief", Key: k.Key}).State).To(Equal(UnknownTicket))
	g.Expect(a.Begin(background, testKey(TicketPrefix+"!")).State).To(Equal(UnknownTicket))
	c.net.Partition("a", "b")
	g.Expect(b.Begin(background, k).State).To(Equal(UnknownTicket))
	c.net.Heal("a", "b")
	restarted := c.start("a", 2)
	for _, h := range []*Manager{restarted, b} {
		g.Expect(h.Begin(background, k).State).To(Equal(UnknownTicket))
	}
}

// A used ticket is sent again after the minter has evicted its key. The expiry, which
// is signed by the minter, keeps the ticket from running a second time.
func TestEvictedTicketIsRefusedAsExpired(t *testing.T) {
	g := NewWithT(t)
	c := newCluster()
	c.opts.TicketTTL = 2 * c.opts.ResponseTTL
	a := c.start("a", 1)
	k := testKey(mintTicket(g, a))
	g.Expect(a.Begin(background, k).State).To(Equal(Granted))
	a.Finish(background, k, Response{Status: 200})
	for range 30 {
		c.clock.Advance(c.opts.ResponseTTL / 4)
		a.table.sweep()
		g.Expect(a.Begin(background, k).State).To(BeElementOf(Done, UnknownTicket))
	}
	g.Expect(a.Begin(background, k).State).To(Equal(UnknownTicket))
	g.Expect(a.table.keys).To(BeEmpty())
}

// Over MaxResponseBytes the oldest responses are evicted first. Over MaxKeys new keys
// are refused: evicting old ones would let them run again.
func TestKeyTableIsBounded(t *testing.T) {
	g := NewWithT(t)
	c := newCluster()
	c.opts.MaxResponseBytes, c.opts.MaxKeys = 100, 3
	a := c.start("a", 1)
	for _, k := range []string{"1", "2", "3"} {
		g.Expect(a.Begin(background, testKey(k)).State).To(Equal(Granted))
		a.Finish(background, testKey(k), Response{Status: 200, Body: make([]byte, 50)})
	}
	g.Expect(a.Begin(background, testKey("1"))).To(Equal(Result{State: Done}))
	g.Expect(a.Begin(background, testKey("3")).Response).NotTo(BeNil())
	g.Expect(a.Begin(background, testKey("4")).State).To(Equal(Unavailable))
	c.clock.Advance(c.opts.ResponseTTL + time.Second)
	g.Expect(a.Begin(background, testKey("4")).State).To(Equal(Granted))
	g.Expect(a.Begin(background, testKey("1")).State).To(Equal(Done), "the claim is still on the platform")
}

// FuzzTicketText checks that only a minted ticket with its own client account is
// verified.
func FuzzTicketText(f *testing.F) {
	m := newTicketMinter(Owner{Host: "a", Incarnation: 1}, newCluster().clock, time.Minute)
	good, _ := m.mint("depot")
	f.Add(good, "depot")
	f.Add(TicketPrefix, "")
	f.Add(TicketPrefix+"kpKhYQEBzwAA", "x")
	f.Fuzz(func(t *testing.T, text, account string) {
		ticket, err := parseTicket(text)
		if text == good && account == "depot" {
			return
		}
		if m.verify(text, account) == nil {
			t.Fatalf("forged ticket %q passed (%v, %v)", text, ticket, err)
		}
	})
}
