package edge

import (
	"bilberrydale/platform"
	"bilberrydale/process/objectwatch"
)

// evacuationsWaitShare is the wait time of the watch on evacuations, as a share of the
// platform's limit for applying one. It leaves time for a host to learn of an evacuation
// after its reader has lost the connection to the platform.
const evacuationsWaitShare = 0.24

// createEvacuationFollower creates the follower of evacuations if the platform supports
// them. It reads through other hosts as the follower of backend servers does.
func (h *Host) createEvacuationFollower() {
	if h.settings.MaxEvacuationDelay <= 0 {
		return
	}
	h.evacuationFollower = newFollower(h, followed[platform.Evacuation]{
		kind: "evacuations", name: "evacuations", source: platform.EvacuationSource(h.store),
		wait: watchWait(h.settings.MaxEvacuationDelay, evacuationsWaitShare), onChange: h.evacuationsChanged,
	})
}

// evacuationsChanged applies the platform's current list of evacuated failure domains to
// the directory and the batchers, and logs the changes.
func (h *Host) evacuationsChanged(objects map[string]objectwatch.Object[platform.Evacuation], trigger string) {
	before := h.directory.View()
	domains := make([]string, 0, len(objects))
	for domain := range objects {
		domains = append(domains, domain)
	}
	h.directory.SetEvacuated(domains, h.clock.Now())
	h.evacuationsListed.Store(true)
	after := h.directory.View()
	for domain := range h.settings.Regions {
		switch wasEvacuated, isEvacuated := before.Evacuated(domain), after.Evacuated(domain); {
		case isEvacuated && !wasEvacuated:
			h.log.Info("failure domain", "outcome", "evacuated; its backend servers get no new work", "domain", domain, "by", trigger)
		case wasEvacuated && !isEvacuated:
			h.log.Info("failure domain", "outcome", "evacuation taken back", "domain", domain, "by", trigger)
		}
	}
	h.batchers.updateServers()
}
