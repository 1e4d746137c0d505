package gateway

import (
	"sync"
	"time"

	"bilberrydale/process/accountshare"
	"bilberrydale/process/errkind"
)

// AccountShares divides the room of a service that is short of it among client accounts. It is
// implemented by accountshare.Shares.
type AccountShares interface {
	// Admit counts a request and reports whether it may be sent to a server. If not, retryAfter
	// is when its client may come again.
	Admit(r accountshare.Request) (admitted bool, retryAfter time.Duration)
	// Record counts the outcome of an admitted request, by the cost of which Admit was told.
	Record(service string, cost float64, o accountshare.Outcome)
}

// takeAccountShare refuses a request of an account that asks for more than its share of a service
// that is short of room. Requests without an account, those with stages, and streams that a client
// takes up pass.
func (x *exchange) takeAccountShare() error {
	if x.account == "" || len(x.route.Stages) > 0 || x.continues() {
		return nil
	}
	x.sharedCost = x.cost()
	admitted, retryAfter := x.opts.Shares.Admit(accountshare.Request{Service: x.service, Account: x.account, Priority: x.priority, Cost: x.sharedCost})
	if !admitted {
		e := errkind.New(errkind.Overloaded, "account %s asks for more than its share of %s, which has not room for all", x.account, x.service)
		e.RetryAfter = retryAfter
		return e
	}
	x.shared = true
	return nil
}

// recordTaken counts that a server took the request, once.
func (x *exchange) recordTaken() {
	if x.shared {
		x.shared = false
		x.opts.Shares.Record(x.service, x.sharedCost, accountshare.Taken)
	}
}

// recordNoRoom counts that no server had room for the request, once, whether or not one takes it later.
func (x *exchange) recordNoRoom() {
	if x.shared && !x.noRoom {
		x.noRoom = true
		x.opts.Shares.Record(x.service, x.sharedCost, accountshare.Refused)
	}
}

// cost returns the expected work of a server for the request, and counts it. At a service of streams it is
// the tokens that the client states, or the mean of those that others state; elsewhere, and before one was
// stated, 1: all requests of a service are counted in one unit.
func (x *exchange) cost() float64 {
	if !x.services.HasStreams(x.service) {
		return 1
	}
	return x.statedCosts.of(x.service, x.size())
}

// statedCosts are the mean costs that clients state of their requests, by service. The zero value knows
// none. It is safe for concurrent use.
type statedCosts struct {
	mu    sync.Mutex
	means map[string]float64 // tokens
}

// statedCostWeight is the weight of the newest request in the mean.
const statedCostWeight = 0.02

// of returns the cost of a request whose client states a cost in tokens, or none with 0.
func (c *statedCosts) of(service string, stated float64) float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	mean, known := c.means[service]
	switch {
	case stated <= 0 && !known:
		return 1
	case stated <= 0:
		return mean
	case !known:
		if c.means == nil {
			c.means = map[string]float64{}
		}
		c.means[service] = stated
	default:
		c.means[service] += statedCostWeight * (stated - mean)
	}
	return stated
}
