package gateway

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"bilberrydale/process/accountshare"
	"bilberrydale/process/directory"
	"bilberrydale/process/residency"
	"bilberrydale/version/plan"
)

// recordedShares are AccountShares that admit all and record the costs that they are told.
type recordedShares struct{ admitted, taken []float64 }

func (r *recordedShares) Admit(q accountshare.Request) (bool, time.Duration) {
	r.admitted = append(r.admitted, q.Cost)
	return true, 0
}

func (r *recordedShares) Record(_ string, cost float64, _ accountshare.Outcome) {
	r.taken = append(r.taken, cost)
}

// Guards against an account that is never cut, as its requests state no tokens and count one each beside
// the thousands of others.
func TestRequestsOfAServiceHaveOneUnitOfCost(t *testing.T) {
	g := NewWithT(t)
	shares := &recordedShares{}
	base := newExchange(directory.New(), time.Unix(1000, 0), residency.Set{})
	base.opts.Shares = shares
	routes := plan.Compile(plan.Config{Routes: []plan.Route{
		{Name: "stream", PathPrefix: "/stream", Kind: plan.Stream, Targets: []plan.Target{{Service: "engine"}}},
		{Name: "call", PathPrefix: "/call", Kind: plan.Safe, Targets: []plan.Target{{Service: "ledger"}}},
	}})
	for _, q := range []struct {
		service string
		tokens  int
	}{{"engine", 0}, {"engine", 2000}, {"engine", 0}, {"engine", 3000}, {"engine", 0}, {"ledger", 2000}, {"ledger", 0}} {
		x := &exchange{Gateway: base.Gateway, services: routes.Services(), route: &plan.Route{}, service: q.service, account: "a"}
		x.clientRequest.InputTokens = q.tokens
		g.Expect(x.takeAccountShare()).To(Succeed())
		x.recordTaken()
	}
	g.Expect(shares.admitted).To(Equal([]float64{1, 2000, 2000, 3000, 2020, 1, 1}))
	g.Expect(shares.taken).To(Equal(shares.admitted))
}
