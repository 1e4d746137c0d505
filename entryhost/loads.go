package entryhost

import (
	"context"
	"time"

	"bilberrydale/process/clock"
	"bilberrydale/process/report"
	"bilberrydale/process/server"
)

// outsideLoads fetches the load reports of the few servers in other domains
// that this host may use; those of its own domain come through the domain's
// peers. The rate is bounded, so that more servers mean older reports and not
// more traffic; pickers take an old report for an unknown load.
type outsideLoads struct {
	prober    report.Prober
	clock     clock.Clock
	servers   func() []*server.State
	perSecond int
}

// Run fetches in turn until ctx ends.
func (o *outsideLoads) Run(ctx context.Context) error {
	var round []*server.State
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-o.clock.After(time.Second / time.Duration(o.perSecond)):
		}
		if len(round) == 0 {
			round = o.servers()
			continue
		}
		o.fetch(ctx, round[0])
		round = round[1:]
	}
}

// fetch stores one report; a server that gives none keeps its last.
func (o *outsideLoads) fetch(ctx context.Context, s *server.State) {
	r, err := o.prober.Poll(ctx, s.Address, false)
	if err != nil {
		return
	}
	s.SetLoad(&server.Load{
		Running: r.Running, Queued: r.Queued, Slots: r.Slots, Models: r.Models, Role: r.Role, Received: o.clock.Now(),
	})
}
