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

// spent is a retry budget of which nothing is left.
type spent struct{ unbounded }

func (spent) AllowRetry(string) bool { return false }

// The pattern: a quarter of the engines crash at once, and each host finds more of them
// gone than its part of the retry budget has repeats. Guards against refusing a request
// that no server has got, though others could run it; one that did reach a server needs
// the budget.
func TestRequestThatReachedNobodyNeedsNoRetryBudget(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	dir := directory.New()
	dir.Replace([]directory.Entry{{ID: "a", Service: "s"}, {ID: "b", Service: "s"}, {ID: "c", Service: "s"}}, now)
	x := placed(dir, now, residency.Set{})
	x.opts.Budget, x.r = spent{}, httptest.NewRequest("GET", "/", nil)
	tries := &tries{seen: tried{}}
	for range 2 {
		s := x.next(t.Context(), tries)
		g.Expect(s).NotTo(BeNil())
		tries.note(x.sendFailed(s, now, &upstream.Error{DialFailed: true}))
		x.rec.Attempts++
	}
	s := x.next(t.Context(), tries)
	g.Expect(s).NotTo(BeNil())
	tries.note(x.sendFailed(s, now, &upstream.Error{Sent: true}))
	g.Expect(x.arrived).To(BeTrue())
	dir.Replace([]directory.Entry{{ID: "a", Service: "s"}, {ID: "b", Service: "s"}, {ID: "c", Service: "s"}, {ID: "d", Service: "s"}}, now)
	g.Expect(x.next(t.Context(), tries)).To(BeNil())
}
