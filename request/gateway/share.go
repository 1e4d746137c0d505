package gateway

import (
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
	admitted, retryAfter := x.opts.Shares.Admit(accountshare.Request{Service: x.service, Account: x.account, Priority: x.priority, Cost: x.cost()})
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
		x.opts.Shares.Record(x.service, x.cost(), accountshare.Taken)
	}
}

// recordNoRoom counts that no server had room for the request, once, whether or not one takes it later.
func (x *exchange) recordNoRoom() {
	if x.shared && !x.noRoom {
		x.noRoom = true
		x.opts.Shares.Record(x.service, x.cost(), accountshare.Refused)
	}
}

// cost returns the expected work of a server for the request: its tokens, if the client says them,
// or 1.
func (x *exchange) cost() float64 { return max(x.size(), 1) }
