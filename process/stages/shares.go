package stages

import (
	"cmp"
	"math"
	"slices"
	"time"

	"bilberrydale/process/fairshare"
)

const (
	// shareWindow is the time constant with which demand and use of accounts are forgotten: long
	// against the wait for one request, short against a shortage.
	shareWindow = 3 * time.Second
	// shareInterval is how often dues are computed anew, unless use has grown by shareGrowth of all
	// use earlier: the dues of fast servers would be used up long before. Use counts at once.
	shareInterval = 100 * time.Millisecond
	shareGrowth   = 0.05
	// shortageHold is how long a service counts as short after a request last waited for it.
	shortageHold = time.Second
	// minShareSeconds is the demand, in server seconds, below which an idle account is forgotten.
	minShareSeconds = 1e-3
)

// accountShares divides the time of the servers of scarce services among client accounts, by weighted
// max-min over their recent demand. What is divided is what all accounts used lately, so that servers
// that are slower than expected are divided as well.
type accountShares struct {
	services    map[string]*serviceShares
	computedAt  time.Time
	forgottenAt time.Time // up to when the past has been forgotten
	contended   bool      // several accounts ask for a short service
}

// serviceShares holds the shares of one service.
type serviceShares struct {
	accounts   map[string]*accountShare
	shortUntil time.Time
	totalUsed  float64 // server seconds, as of the last computation
	usedSince  float64 // server seconds since the last computation
	// rate is that of the servers as last looked up, and peakRate the highest of late, both in items per
	// second. The peak falls slowly when some servers are away for a moment, and stays while all are:
	// what was last known is the best estimate then.
	rate, peakRate float64
}

// accountShare is the share of one account in one service. Amounts are server seconds of about the last
// shareWindow: time that items occupy all servers of the service.
type accountShare struct {
	weight  float64
	demand  float64 // of the requests that arrived
	used    float64 // of the requests that started
	due     float64 // up to which its requests come before those of accounts beyond theirs; +Inf: all
	waiting int     // stages of waiting requests

	service     *serviceShares
	portion     float64   // of the servers' time that the account may expect; 1: all
	line        line      // of its waiting requests; see refuseUnreachable
	bookedUntil time.Time // until when its refused requests were asked to return
}

func newAccountShares() *accountShares { return &accountShares{services: map[string]*serviceShares{}} }

// join counts the stages of a request that begins to wait, also while no server of their services can be
// used.
func (s *accountShares) join(t *Ticket, service serviceLookup) {
	r := t.Request
	if r.WithoutShare {
		return
	}
	t.shares = make([]stageShare, 0, len(r.Stages))
	for i, stage := range r.Stages {
		svc, ok := service(stage.Service)
		if !ok || stage.Items <= 0 {
			continue
		}
		share := s.share(stage.Service, r.Account)
		share.service.recordRate(svc.ItemsPerSecond)
		if r.Weight > 0 {
			share.weight = r.Weight
		}
		demand := share.serverSeconds(stage.Items)
		share.demand += demand
		share.waiting++
		t.shares = append(t.shares, stageShare{account: share, stage: i, items: stage.Items, demand: demand})
	}
}

// share returns the share of an account in a service.
func (s *accountShares) share(service, account string) *accountShare {
	of := s.services[service]
	if of == nil {
		of = &serviceShares{accounts: map[string]*accountShare{}}
		s.services[service] = of
	}
	share := of.accounts[account]
	if share == nil {
		share = &accountShare{weight: 1, due: math.Inf(1), portion: 1, service: of}
		of.accounts[account] = share
	}
	return share
}

// stageShare is the part of a request's stage in the share of its account.
type stageShare struct {
	account *accountShare
	stage   int // index in Request.Stages
	items   int
	demand  float64 // server seconds counted as demand on arrival; 0: no rate was known
	seconds float64 // server seconds counted as used at the last start
}

// leave counts the stages of a request that no longer waits; started is whether they run.
func (t *Ticket) leave(started bool) {
	for _, s := range t.shares {
		if a := s.account; !math.IsInf(a.due, 1) && (t.Due == 0 && t.Used == 0 || a.due-a.used < t.Due-t.Used) {
			t.Due, t.Used = a.due, a.used
		}
		s.account.waiting--
	}
	if started {
		t.use()
	}
}

// use counts the stages of a request that starts, or starts again, as used.
func (t *Ticket) use() {
	for i := range t.shares {
		t.shares[i].use()
	}
}

// use counts the stage as used, at the rate that is known now: on arrival servers may have been away for a
// moment.
func (s *stageShare) use() {
	s.seconds = s.account.serverSeconds(s.items)
	s.account.used += s.seconds
	s.account.service.usedSince += s.seconds
	if s.demand == 0 {
		s.demand = s.seconds
		s.account.demand += s.seconds
	}
}

// refund takes back the use of the stages for which ran is false.
func (t *Ticket) refund(ran func(stage int) bool) {
	for _, s := range t.shares {
		if !ran(s.stage) {
			s.account.used = max(s.account.used-s.seconds, 0)
		}
	}
}

// withinDue reports whether the account of a request has used less than its due of each short service
// that the request needs.
func (t *Ticket) withinDue() bool {
	for _, s := range t.shares {
		if s.account.used >= s.account.due {
			return false
		}
	}
	return true
}

// needsShort reports whether a service that the request needs is short at now.
func (t *Ticket) needsShort(now time.Time) bool {
	return slices.ContainsFunc(t.shares, func(s stageShare) bool { return now.Before(s.account.service.shortUntil) })
}

// markShort records the services that lack capacity at now.
func (s *accountShares) markShort(reserved *reservations, now time.Time) {
	mark := func(name string) {
		if of := s.services[name]; of != nil {
			of.shortUntil = now.Add(shortageHold)
		}
	}
	for name := range reserved.services {
		mark(name)
	}
	for name := range reserved.resultBytes {
		mark(name)
	}
}

// compute forgets a part of the past and computes the dues, if it is time; see shareInterval.
func (s *accountShares) compute(now time.Time) {
	elapsed := now.Sub(s.computedAt)
	if elapsed < shareInterval && !s.useHasGrown(now) {
		return
	}
	s.forget(now)
	s.computedAt, s.contended = now, false
	for _, of := range s.services {
		of.computeDues(now.Before(of.shortUntil))
		s.contended = s.contended || now.Before(of.shortUntil) && len(of.accounts) > 1
	}
}

// forgetBeforeArrival forgets a part of the past if it is time, so that a request that joins at now is not
// forgotten as if it were as old as the last computation.
func (s *accountShares) forgetBeforeArrival(now time.Time) {
	if now.Sub(s.forgottenAt) >= shareInterval {
		s.forget(now)
	}
}

// forget forgets a part of the past, idle accounts, and services without accounts.
func (s *accountShares) forget(now time.Time) {
	keep := math.Exp(-now.Sub(s.forgottenAt).Seconds() / shareWindow.Seconds())
	s.forgottenAt = now
	for name, of := range s.services {
		of.forget(keep)
		of.forgetPeak(keep)
		if len(of.accounts) == 0 {
			delete(s.services, name)
		}
	}
}

// useHasGrown reports whether the use of a short service has grown by shareGrowth since the last
// computation.
func (s *accountShares) useHasGrown(now time.Time) bool {
	for _, of := range s.services {
		if of.usedSince > shareGrowth*of.totalUsed && now.Before(of.shortUntil) {
			return true
		}
	}
	return false
}

// forget keeps a part of the demand and use of all accounts, and removes idle accounts.
func (of *serviceShares) forget(keep float64) {
	of.totalUsed, of.usedSince = 0, 0
	for name, a := range of.accounts {
		a.demand *= keep
		a.used *= keep
		of.totalUsed += a.used
		if a.waiting == 0 && a.demand < minShareSeconds && a.used < minShareSeconds {
			delete(of.accounts, name)
		}
	}
}

// recordRate records the rate of the servers, in items per second.
func (of *serviceShares) recordRate(rate float64) {
	of.rate = rate
	of.peakRate = max(of.peakRate, rate)
}

// forgetPeak lets the highest rate fall towards the present one.
func (of *serviceShares) forgetPeak(keep float64) {
	if of.rate > 0 {
		of.peakRate = max(of.peakRate*keep, of.rate)
	}
}

// computeDues computes the dues of a service; without a shortage they are unlimited.
func (of *serviceShares) computeDues(short bool) {
	level := math.Inf(1)
	if short {
		demands := make([]fairshare.Demand, 0, len(of.accounts))
		for _, a := range of.accounts {
			demands = append(demands, fairshare.Demand{Amount: max(a.demand, a.used), Weight: a.weight})
		}
		level = fairshare.Level(of.totalUsed, demands)
	}
	for _, a := range of.accounts {
		a.due, a.portion = level*a.weight, 1
		if short && of.totalUsed > 0 {
			a.portion = min(max(a.due/of.totalUsed, minPortion), 1)
		}
	}
}

// minPortion is the least part of the servers' time that an account may expect.
const minPortion = 0.01

// serverSeconds returns the time that items occupy all servers of the service at their highest rate of
// late, in seconds; 0 if that is not known.
func (a *accountShare) serverSeconds(items int) float64 {
	if a.service.peakRate <= 0 {
		return 0
	}
	return float64(items) / a.service.peakRate
}

// serviceLookup returns a service, and false if there is none of that name.
type serviceLookup func(name string) (*Service, bool)

// recordRates records the present rates of the services.
func (s *accountShares) recordRates(service serviceLookup) {
	for name, of := range s.services {
		if svc, ok := service(name); ok {
			of.recordRate(svc.ItemsPerSecond)
		}
	}
}

// clearLines empties the lines of all accounts.
func (s *accountShares) clearLines() {
	for _, of := range s.services {
		for _, a := range of.accounts {
			a.line = line{}
		}
	}
}

// AccountShare describes the share of an account in a service that is short. Amounts are server seconds
// of about the last three seconds: time that items occupy all servers of the service.
type AccountShare struct {
	Service string  `json:"service"`
	Account string  `json:"account"` // empty: requests without an account
	Due     float64 `json:"due_s"`   // its requests come first until it has used this
	Used    float64 `json:"used_s"`
	Demand  float64 `json:"demand_s"`
	Waiting int     `json:"waiting"` // stages of waiting requests
}

// maxListedShares bounds the accounts that list returns for each service.
const maxListedShares = 20

// list returns the accounts of the services that are short at now, those of the most demand.
func (s *accountShares) list(now time.Time) (out []AccountShare) {
	for name, of := range s.services {
		if !now.Before(of.shortUntil) {
			continue
		}
		var list []AccountShare
		for account, a := range of.accounts {
			if !math.IsInf(a.due, 1) {
				list = append(list, AccountShare{name, account, a.due, a.used, a.demand, a.waiting})
			}
		}
		slices.SortFunc(list, func(x, y AccountShare) int {
			return cmp.Or(cmp.Compare(y.Demand, x.Demand), cmp.Compare(x.Account, y.Account))
		})
		out = append(out, list[:min(len(list), maxListedShares)]...)
	}
	slices.SortStableFunc(out, func(x, y AccountShare) int { return cmp.Compare(x.Service, y.Service) })
	return out
}
