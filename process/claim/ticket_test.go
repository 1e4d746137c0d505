package claim

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	standin "bilberrydale/internal/standin/platform"
)

func mintOn(g *WithT, m *Manager) string {
	text, err := m.MintTicket(background, "depot")
	g.Expect(err).NotTo(HaveOccurred())
	return text
}

// The balancer sends a ticket's request to another host than the minter, and
// then the resend to a third. The minter lends the ticket once and sends the
// third host to the borrower; the platform is down all the while.
func TestTicketRunsOnceOnAnyHost(t *testing.T) {
	g := NewWithT(t)
	c := newCluster()
	c.objects.SetFaults(standin.Faults{Down: true})
	a, b, d := c.start("a", 1), c.start("b", 1), c.start("d", 1)
	k := key(mintOn(g, a))
	g.Expect(b.Begin(background, k).State).To(Equal(Granted))
	b.Finish(background, k, Response{Status: 200, Body: []byte("x")})
	for _, h := range []*Manager{a, b, d} {
		res := h.Begin(background, k)
		g.Expect(res.State).To(Equal(Done))
		g.Expect(res.Response.Body).To(BeEquivalentTo("x"))
		g.Expect(h.Begin(background, Key{Account: k.Account, Key: k.Key, Body: 1}).State).To(Equal(BodyMismatch))
	}
}

// The minter lends a ticket and the answer is lost on the way. Another loan
// would run the request twice; refusing for good would lose it. The borrower
// asks again under the same number and is granted the same loan.
func TestLostAnswerOfALoanIsAskedAgain(t *testing.T) {
	g := NewWithT(t)
	c := newCluster()
	a, b, d := c.start("a", 1), c.start("b", 1), c.start("d", 1)
	k := key(mintOn(g, a))
	c.net.LoseResponses("b", "a")
	g.Expect(b.Begin(background, k).State).To(Equal(UnknownTicket))
	g.Expect(d.Begin(background, k).State).NotTo(Equal(Granted))
	c.net.Heal("b", "a")
	g.Eventually(func() State { return b.Begin(background, k).State }).Should(Equal(Granted))
	b.Release(background, k)
	g.Eventually(func() State { return d.Begin(background, k).State }).Should(Equal(Granted))
	g.Expect(b.Begin(background, Key{Account: k.Account, Key: k.Key, Body: 1}).State).To(Equal(BodyMismatch))
}

// Each of these tickets cannot be decided, and none of them runs: the minter
// has restarted, is cut off, or never minted it for this account.
func TestTicketThatCannotBeDecidedIsRefused(t *testing.T) {
	g := NewWithT(t)
	c := newCluster()
	a, b := c.start("a", 1), c.start("b", 1)
	k := key(mintOn(g, a))
	g.Expect(a.Begin(background, Key{Account: "thief", Key: k.Key}).State).To(Equal(UnknownTicket))
	g.Expect(b.Begin(background, Key{Account: "thief", Key: k.Key}).State).To(Equal(UnknownTicket))
	g.Expect(a.Begin(background, key(TicketPrefix+"!")).State).To(Equal(UnknownTicket))
	c.net.Partition("a", "b")
	g.Expect(b.Begin(background, k).State).To(Equal(UnknownTicket))
	c.net.Heal("a", "b")
	restarted := c.start("a", 2)
	for _, h := range []*Manager{restarted, b} {
		g.Expect(h.Begin(background, k).State).To(Equal(UnknownTicket))
	}
}

// A used ticket comes again after the memory of it is gone. Its own expiry,
// which is under the minter's seal, keeps it from running a second time.
func TestForgottenTicketIsExpired(t *testing.T) {
	g := NewWithT(t)
	c := newCluster()
	c.opts.TicketTTL = 2 * c.opts.ResponseTTL
	a := c.start("a", 1)
	k := key(mintOn(g, a))
	g.Expect(a.Begin(background, k).State).To(Equal(Granted))
	a.Finish(background, k, Response{Status: 200})
	for range 30 {
		c.clock.Advance(c.opts.ResponseTTL / 4)
		a.table.sweep()
		g.Expect(a.Begin(background, k).State).To(BeElementOf(Done, UnknownTicket))
	}
	g.Expect(a.Begin(background, k).State).To(Equal(UnknownTicket))
	g.Expect(a.table.byID).To(BeEmpty())
}

// Memory stays bounded: over the bound of bytes the oldest answers go first,
// and over the bound of keys new ones are refused instead of old ones rerun.
func TestTableIsBounded(t *testing.T) {
	g := NewWithT(t)
	c := newCluster()
	c.opts.MaxResponseBytes, c.opts.MaxKeys = 100, 3
	a := c.start("a", 1)
	for _, k := range []string{"1", "2", "3"} {
		g.Expect(a.Begin(background, key(k)).State).To(Equal(Granted))
		a.Finish(background, key(k), Response{Status: 200, Body: make([]byte, 50)})
	}
	g.Expect(a.Begin(background, key("1"))).To(Equal(Result{State: Done}))
	g.Expect(a.Begin(background, key("3")).Response).NotTo(BeNil())
	g.Expect(a.Begin(background, key("4")).State).To(Equal(Unavailable))
	c.clock.Advance(c.opts.ResponseTTL + time.Second)
	g.Expect(a.Begin(background, key("4")).State).To(Equal(Granted))
	g.Expect(a.Begin(background, key("1")).State).To(Equal(Done), "the platform remembers it")
}

func FuzzTicketText(f *testing.F) {
	m := newMint(Owner{Host: "a", Incarnation: 1}, newCluster().clock, time.Minute)
	good, _ := m.issue("depot")
	f.Add(good, "depot")
	f.Add(TicketPrefix, "")
	f.Add(TicketPrefix+"kpKhYQEBzwAA", "x")
	f.Fuzz(func(t *testing.T, text, account string) {
		ticket, err := parseTicket(text)
		if text == good && account == "depot" {
			return
		}
		if m.check(text, account) == nil {
			t.Fatalf("forged ticket %q passed (%v, %v)", text, ticket, err)
		}
	})
}
