package stages

import (
	"context"
	"errors"
	"fmt"
	"testing"

	. "github.com/onsi/gomega"

	"bilberrydale/process/peer"
)

// The owner is a host of the build before, which knows neither accounts nor priorities of stage work
// and refuses the message that holds them. Guards against work that is refused, or an owner that is
// taken for failed, because of that; and against a refused message before each request.
func TestOwnerOfBuildBeforeRunsWork(t *testing.T) {
	g, first, second, third := newThreeHosts(t)
	delete(first.handlers, methodRunFor)
	for i := range 3 {
		results, err := third.run(fmt.Sprint(i))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(results.Owner).To(Equal("first"))
	}
	g.Expect(first.calls).To(Equal(4), "one of them refused")
	g.Expect(second.itemsMade() + third.itemsMade()).To(BeZero())

	first.self.Incarnation = 11
	g.Expect(third.pool.confirmOwner(t.Context(), "first")).To(Succeed())
	g.Expect(third.pool.acceptsRunFor("first")).To(BeTrue(), "its next incarnation may be of another build")
}

// The owner is full and refuses calls. Guards against a second call to it for each request, and against
// requests that lose their account and priority for a while just when it is short.
func TestRefusedWorkKeepsItsAccount(t *testing.T) {
	g, first, _, third := newThreeHosts(t)
	runFor := first.handlers[methodRunFor]
	first.handlers[methodRunFor] = func(context.Context, peer.Identity, []byte) ([]byte, error) {
		return nil, errors.New("too many calls")
	}
	_, err := third.pool.callRun(t.Context(), "first", chainRequest("1"))
	g.Expect(err).To(MatchError(peer.ErrFailureResponse))
	g.Expect(first.calls).To(Equal(1))
	g.Expect(third.pool.acceptsRunFor("first")).To(BeTrue())
	first.handlers[methodRunFor] = runFor
	_, err = third.pool.callRun(t.Context(), "first", chainRequest("2"))
	g.Expect(err).NotTo(HaveOccurred())
}

// A host of the build before sends work without account and priority. Guards against work that passes
// all other work, or waits behind all, or uses the share of requests without account.
func TestWorkOfBuildBeforeIsExemptFromShares(t *testing.T) {
	g, first, _, third := newThreeHosts(t)
	r := chainRequest("r")
	r.Account, r.Priority = "a", 3
	sent := third.pool.newRunRequest(r)
	received := sent.request(first.pool.clock.Now())
	g.Expect(received.WithoutShare).To(BeTrue())
	g.Expect(received.Priority).To(Equal(defaultPriority))
	forAccount := third.pool.newAccountRunRequest(r)
	received = forAccount.request(first.pool.clock.Now())
	g.Expect(received.WithoutShare).To(BeFalse())
	g.Expect([]any{received.Account, received.Priority}).To(Equal([]any{"a", 3}))
}

// The owner is killed while a large account and a small one compete for its servers. The next owner
// knows nothing of what they have used, and gets the requests of both again. Guards against lost
// requests, and against a small account that waits behind all of the large one there.
func TestNextOwnerSharesBetweenCompetingAccounts(t *testing.T) {
	g, first, second, third := newThreeHosts(t)
	first.killed, first.fixture.blockCalls, second.fixture.blockCalls = make(chan struct{}), make(chan struct{}), make(chan struct{})
	defer close(first.fixture.blockCalls)
	const largeRequests, smallRequests = 400, 20
	finished := make(chan string, largeRequests+smallRequests)
	run := func(account string, n int) {
		for i := range n {
			go func() {
				r := chainRequest(fmt.Sprint(account, i))
				r.Account = account
				outcome := account
				if _, err := third.pool.Run(t.Context(), r); err != nil {
					outcome += " failed"
				}
				finished <- outcome
			}()
		}
	}
	waiting := func(n *node) func() int {
		return func() int {
			n.fixture.k.mu.Lock()
			defer n.fixture.k.mu.Unlock()
			onTime, late := n.fixture.k.admission.Waiting()
			return onTime + late + n.fixture.k.admission.inFlight["floor"].items/2
		}
	}
	run("large", largeRequests)
	g.Eventually(waiting(first), "10s").Should(Equal(largeRequests))
	run("small", smallRequests)
	g.Eventually(waiting(first), "10s").Should(Equal(largeRequests + smallRequests))
	third.network.mu.Lock()
	first.down = true
	third.network.mu.Unlock()
	close(first.killed)
	g.Eventually(waiting(second), "10s").Should(Equal(largeRequests + smallRequests))
	g.Eventually(func() []string {
		var accounts []string
		for _, share := range second.pool.Shares() {
			accounts = append(accounts, share.Service+" "+share.Account)
		}
		return accounts
	}, "10s").Should(ContainElements("floor large", "floor small"))
	close(second.fixture.blockCalls)

	counts, largeBeforeLastSmall := map[string]int{}, 0
	for range largeRequests + smallRequests {
		var account string
		g.Eventually(finished, "20s").Should(Receive(&account))
		counts[account]++
		if account == "small" {
			largeBeforeLastSmall = counts["large"]
		}
	}
	g.Expect(counts).To(Equal(map[string]int{"large": largeRequests, "small": smallRequests}))
	g.Expect(largeBeforeLastSmall).To(BeNumerically("<", largeRequests/4))
}
