package edge

import (
	"time"

	"bilberrydale/platform"
	"bilberrydale/process/follow"
)

// evacuationsShare is the wait of the watch on evacuations, as a share of the platform's
// bound for them: a host has to learn of one also after its reader lost the platform.
const evacuationsWaitShare = 0.24

// wireEvacuations makes the follower of evacuations, where the platform knows them. They
// reach hosts in the same way as the list of backend servers does.
func (h *Host) createEvacuationFollower() {
	if h.settings.EvacuateBound <= 0 {
		return
	}
	wait := watchWait(h.settings.EvacuateBound, evacuationsWaitShare)
	h.evacuations = follow.New(follow.Options[platform.Evacuation]{
		Source: relaySource(h, "evacuations", wait, platform.EvacuationSource(h.store)), Clock: h.bootClock, Rand: h.rand,
		WatchWait: wait, ResponseTimeout: responseTimeout, OnChange: h.evacuationsChanged,
		OnConfirmed: func(time.Time) {},
		OnLost:      func(err error) { h.logDependencyLost("evacuations", err) },
		OnRegained:  func(d time.Duration) { h.logDependencyRegained("evacuations", d) },
	})
	h.evacuations.Serve(h.mesh, "evacuations")
}

func (h *Host) evacuationsChanged(objects map[string]follow.Object[platform.Evacuation], why string) {
	before := h.directory.View()
	domains := make([]string, 0, len(objects))
	for domain := range objects {
		domains = append(domains, domain)
	}
	h.directory.SetEvacuated(domains, h.clock.Now())
	h.evacuationsListed.Store(true)
	after := h.directory.View()
	for domain := range h.settings.Regions {
		switch was, is := before.Evacuated(domain), after.Evacuated(domain); {
		case is && !was:
			h.log.Info("failure domain", "outcome", "evacuated; its backend servers get no new work", "domain", domain, "by", why)
		case was && !is:
			h.log.Info("failure domain", "outcome", "evacuation taken back", "domain", domain, "by", why)
		}
	}
	h.batchers.updateServers()
}
