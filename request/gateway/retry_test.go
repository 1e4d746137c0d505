package gateway

import (
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"bilberrydale/connection/upstream"
	"bilberrydale/process/directory"
	"bilberrydale/process/residency"
)

// exhaustedRetries is a RetryLimiter whose budget is used up.
type exhaustedRetries struct{ unlimitedRetries }

func (exhaustedRetries) AllowRetry(string) bool { return false }

// A quarter of the engines crash at once, and each host has more failed connections than its
// share of the retry budget. Guards against refusing a request that has reached no server
// although others could run it. A request that reached a server does need the budget.
func TestUnsentRequestNeedsNoRetryBudget(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	dir := directory.New()
	dir.Replace([]directory.Entry{{ID: "a", Service: "s"}, {ID: "b", Service: "s"}, {ID: "c", Service: "s"}}, now)
	x := newExchange(dir, now, residency.Set{})
	x.opts.RetryLimiter, x.r = exhaustedRetries{}, httptest.NewRequest("GET", "/", nil)
	hist := &attemptHistory{tried: serverSet{}}
	for range 2 {
		s := x.nextServer(t.Context(), hist)
		g.Expect(s).NotTo(BeNil())
		hist.record(x.handleSendError(s, now, &upstream.Error{DialFailed: true}))
		x.logEntry.Attempts++
	}
	s := x.nextServer(t.Context(), hist)
	g.Expect(s).NotTo(BeNil())
	hist.record(x.handleSendError(s, now, &upstream.Error{Sent: true}))
	g.Expect(x.reachedServer).To(BeTrue())
	dir.Replace([]directory.Entry{{ID: "a", Service: "s"}, {ID: "b", Service: "s"}, {ID: "c", Service: "s"}, {ID: "d", Service: "s"}}, now)
	g.Expect(x.nextServer(t.Context(), hist)).To(BeNil())
}
