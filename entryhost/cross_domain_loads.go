package entryhost

import (
	"context"
	"time"

	"bilberrydale/process/clock"
	"bilberrydale/process/loadreport"
	"bilberrydale/process/serverstate"
)

// crossDomainPoller polls the load reports of the few servers in other failure
// domains that this host may use; reports from its own domain are shared among
// the domain's peers. The rate of polls is fixed, so with more servers reports
// get older and traffic stays the same. Pickers treat the load of a server with
// an outdated report as unknown.
type crossDomainPoller struct {
	prober         loadreport.Prober
	clock          clock.Clock
	servers        func() []*serverstate.State // called at the start of each pass over the servers
	pollsPerSecond int                         // over all servers
}

// Run polls the servers in turn until ctx ends, and returns nil.
func (p *crossDomainPoller) Run(ctx context.Context) error {
	var remaining []*serverstate.State // of the current pass over all servers
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-p.clock.After(time.Second / time.Duration(p.pollsPerSecond)):
		}
		if len(remaining) == 0 {
			remaining = p.servers()
			continue
		}
		p.poll(ctx, remaining[0])
		remaining = remaining[1:]
	}
}

// poll polls one server and stores its report. If the poll fails, the last
// report stays.
func (p *crossDomainPoller) poll(ctx context.Context, s *serverstate.State) {
	r, err := p.prober.Poll(ctx, s.Address, false)
	if err != nil {
		return
	}
	s.SetLoad(&serverstate.Load{
		Running: r.Running, Queued: r.Queued, Slots: r.Slots, Models: r.Models, Role: r.Role, Received: p.clock.Now(),
	})
}
