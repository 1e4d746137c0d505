package edge

import (
	"time"

	"bilberrydale/process/accountshare"
)

// createShares creates the shares of client accounts in services that are short of room.
func (h *Host) createShares() {
	h.shares = accountshare.New(accountshare.Options{
		Hosts: func() (string, []string) { return h.self.Host, h.knownHosts() }, Clock: h.clock, Rand: h.rand, Link: h.mesh,
		OnChange: h.shortageChanged, OnRefusal: h.shareRefused, OnFailure: h.shareReportFailed,
	})
}

// shortageChanged logs that a service is short of room, or no longer.
func (h *Host) shortageChanged(c accountshare.Change) {
	if !c.Short {
		h.log.Info("service", "outcome", "is no longer short of room", "service", c.Service, "lasted_ms", ms(c.Lasted))
		return
	}
	h.meter.Add("service_shortages", 1)
	h.log.Warn("service", "outcome", "is short of room", "service", c.Service)
}

// shareRefused counts a request of an account that asks for more than its share.
func (h *Host) shareRefused(service string) {
	h.meter.Add("requests_refused_by_share", 1)
	h.meter.Add("requests_refused_by_share_"+service, 1)
}

// shareReportFailed logs that another host has not taken a report on a service.
func (h *Host) shareReportFailed(host string, err error) {
	h.meter.Add("share_reports_failed", 1)
	h.log.Info("account shares", "outcome", "report not taken, sent to another host", "host", host, "err", err)
}

// shortageState is a service that is short of room on the state page. Amounts are costs per second:
// requests, or tokens of requests that say them.
type shortageState struct {
	Service       string              `json:"service"`
	Since         time.Time           `json:"since"`
	Hosts         int                 `json:"hosts"`              // that taken, refused and demand cover: this one and those that report to it
	Taken         float64             `json:"taken"`              // by servers
	Refused       float64             `json:"refused"`            // by servers, for want of room
	DecidedBy     string              `json:"decided_by"`         // host that divides the room; empty: all requests are admitted
	DecisionAgeMS float64             `json:"decision_age_ms"`    // valid if decided_by is not empty
	Covered       int                 `json:"decision_hosts"`     // hosts that the decision covers
	Capacity      float64             `json:"capacity"`           // that the decision divides
	Due           float64             `json:"due"`                // of each account that asks for more; 0: none does
	Accounts      []accountShareState `json:"accounts,omitempty"` // with requests in the last seconds
}

// accountShareState is a client account in a shortageState.
type accountShareState struct {
	Account  string  `json:"account"` // its hash if only other hosts have seen it
	Demand   float64 `json:"demand"`
	Admitted float64 `json:"admitted_part"`
}

// shortages returns the services that are short of room.
func (h *Host) shortages(now time.Time) []shortageState {
	var out []shortageState
	for _, s := range h.shares.State() {
		t := shortageState{
			Service: s.Service, Since: s.Since, Hosts: s.Hosts, Taken: s.Taken, Refused: s.Refused,
			DecidedBy: s.DecidedBy, Covered: s.Covered, Capacity: s.Capacity, Due: s.Level,
		}
		if s.DecidedBy != "" {
			t.DecisionAgeMS = ms(now.Sub(s.DecidedAt))
		}
		for _, a := range s.Accounts {
			t.Accounts = append(t.Accounts, accountShareState(a))
		}
		out = append(out, t)
	}
	return out
}
