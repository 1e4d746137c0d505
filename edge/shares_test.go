package edge

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"bilberrydale/platform/platformtest"
	"bilberrydale/version/plan"
)

const (
	shareSlots = 4 // requests that the server runs concurrently
	shareQueue = 8 // that wait there
	shareWork  = 50 * time.Millisecond
	// largeInterval and smallInterval are the times between two requests of an account: the large one
	// asks for three times what the server takes, each small one for a tenth of it.
	largeInterval = 4 * time.Millisecond
	smallInterval = 125 * time.Millisecond
	smallAccounts = 4
	// burstRequests of a small account are sent before its shares are known; countedRequests follow.
	burstRequests, countedRequests = 24, 48
)

// limitRoom gives a server slots and a queue. It refuses what it has no room for.
func limitRoom(s *platformtest.Server) {
	slots, places := make(chan struct{}, shareSlots), make(chan struct{}, shareSlots+shareQueue)
	s.SetInterceptor(func(w http.ResponseWriter, _ *http.Request) bool {
		select {
		case places <- struct{}{}:
		default:
			platformtest.RespondNotRun(w)
			return true
		}
		defer func() { <-places }()
		slots <- struct{}{}
		defer func() { <-slots }()
		<-time.After(shareWork)
		return false
	})
}

// accountLoad sends requests of one account at an interval, to the hosts in turn.
type accountLoad struct {
	key          string
	sent, served atomic.Int64
}

// send sends one request and counts it.
func (l *accountLoad) send(p *testPlatform, h *Host) clientResponse {
	r := p.send(h, "POST", "/transfer/1", "x", func(q *platformtest.Request) { q.APIKey = l.key })
	l.sent.Add(1)
	if r.status == http.StatusOK {
		l.served.Add(1)
	}
	return r
}

// run sends n requests from a time on, or with n = 0 until stop is closed, without waiting for the
// responses. It returns after the last one.
func (l *accountLoad) run(p *testPlatform, from, interval time.Duration, n int, stop <-chan struct{}, respond func(clientResponse)) {
	<-time.After(from)
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	var g sync.WaitGroup
	defer g.Wait()
	for i := 0; n == 0 || i < n; i++ {
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
		g.Go(func() { respond(l.send(p, p.hosts[i%len(p.hosts)])) })
	}
}

// Guards against a large account that takes nearly all the room of a service from small ones: one asks
// a slow server for three times what it takes, four ask for a tenth of it each.
func TestSmallAccountsAreServedBesideALargeOne(t *testing.T) {
	t.Parallel()
	for _, hosts := range []int{1, 3} {
		t.Run(fmt.Sprint(hosts, " hosts"), func(t *testing.T) {
			g := NewWithT(t)
			p := newTestPlatform(t)
			p.config.Accounts = []plan.Account{{Name: "large", Keys: []string{"key-large"}}}
			for i := range smallAccounts {
				p.config.Accounts = append(p.config.Accounts, plan.Account{Name: fmt.Sprint("small-", i), Keys: []string{fmt.Sprint("key-", i)}})
			}
			p.store.PutConfig(p.config)
			limitRoom(p.servers["ledger-1"])
			startHosts(g, p, hosts)
			refusedByShare := func() (n int64) {
				for _, h := range p.hosts {
					n += h.meter.Counter("requests_refused_by_share")
				}
				return n
			}
			stop := make(chan struct{})
			var large sync.WaitGroup
			defer large.Wait()
			defer close(stop)
			largeLoad := &accountLoad{key: "key-large"}
			var refused atomic.Pointer[clientResponse]
			large.Go(func() {
				largeLoad.run(p, 0, largeInterval, 0, stop, func(r clientResponse) {
					if r.status == http.StatusServiceUnavailable {
						refused.Store(&r)
					}
				})
			})
			small := make([]*accountLoad, smallAccounts)
			play := func(n int) (sent, served int64) {
				var wg sync.WaitGroup
				for i := range small {
					small[i] = &accountLoad{key: fmt.Sprint("key-", i)}
					// Accounts do not send at the same moments.
					wg.Go(func() {
						small[i].run(p, time.Duration(i)*smallInterval/smallAccounts, smallInterval, n, nil, func(clientResponse) {})
					})
				}
				wg.Wait()
				for _, l := range small {
					sent, served = sent+l.sent.Load(), served+l.served.Load()
				}
				return sent, served
			}
			play(burstRequests)
			sentBefore, servedBefore := largeLoad.sent.Load(), largeLoad.served.Load()
			sent, served := play(countedRequests)
			largeSent, largeServed := largeLoad.sent.Load()-sentBefore, largeLoad.served.Load()-servedBefore
			t.Logf("small accounts: served %d of %d; large one: %d of %d; refused by share %d", served, sent, largeServed, largeSent, refusedByShare())
			g.Expect(served).To(BeNumerically(">=", sent*3/4))
			g.Expect(largeServed).To(BeNumerically("<", largeSent/2))
			g.Expect(refusedByShare()).To(BeNumerically(">", 0))
			g.Expect(refused.Load().header.Get("Retry-After")).NotTo(BeEmpty())
			state := p.hosts[0].state().Shortages
			g.Expect(state).To(HaveLen(1))
			g.Expect(state[0].Service).To(Equal("ledger"))
			g.Expect(state[0].DecidedBy).NotTo(BeEmpty())
			g.Expect(state[0].Due).To(BeNumerically(">", 0))
			for _, a := range state[0].Accounts {
				if a.Account == "large" {
					g.Expect(a.Admitted).To(BeNumerically("<", 1))
				} else {
					g.Expect(a.Admitted).To(BeNumerically("==", 1), a.Account)
				}
			}
			g.Expect(p.hosts[0].meter.Counter("service_shortages")).To(BeNumerically(">", 0))
		})
	}
}
