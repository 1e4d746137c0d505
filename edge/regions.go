package edge

import (
	"bilberrydale/process/directory"
	"bilberrydale/version/plan"
)

// A region's stage work is a matter of its own where there are servers enough:
// with fewer in all, regions of two servers would share too few calls. One host
// for all cannot carry what a dozen servers make: it answers so late that requests
// are refused.
const (
	minServersToSplit       = 9 // of each service, in all regions: three in each of three
	minRegionServersToSplit = 2
	// keptServers of each service keep the regions apart once they are, so that no
	// loss of servers that is borne otherwise changes the place of collection: two
	// in each of three regions. A change while work is under way has several hosts
	// fill the same servers: their calls wait behind each other, and items that find
	// no room are made again.
	minServersToStaySplit = 6
)

// byRegion decides where stage work is collected: in each region by itself where
// all have servers enough, so that no result and no message crosses regions and no
// host has to know all work; otherwise at one place for all. counts has the servers
// of each service with stages by region, regions without any included.
func shouldSplitByRegion(before bool, counts []map[string]int) bool {
	for _, regions := range counts {
		all, least := 0, minRegionServersToSplit
		for _, n := range regions {
			all += n
			least = min(least, n)
		}
		if before && all < minServersToStaySplit || !before && (all < minServersToSplit || least < minRegionServersToSplit) {
			return false
		}
	}
	return true
}

// updateRegions puts the decision of byRegion in force. It is called with b.mu
// held.
func (b *batchers) updateSplit(p *plan.Plan, view *directory.View) {
	var counts []map[string]int
	for _, name := range p.ServiceNames() {
		if p.Service(name).Batch == nil {
			continue
		}
		count := map[string]int{}
		for _, region := range b.host.settings.Regions {
			count[region] = 0
		}
		for _, s := range view.Servers(name) {
			count[b.host.settings.Regions[s.Domain]]++
		}
		counts = append(counts, count)
	}
	split := shouldSplitByRegion(b.splitByRegion.Load(), counts)
	if b.splitByRegion.Swap(split) != split {
		b.host.log.Info("stage work", "outcome", "place of collection changed", "by_region", split, "config", p.Version)
	}
}

// stageRegion returns the region whose hosts do the stage work for a failure
// domain; empty: any host may.
func (h *Host) stageRegion(domain string) string {
	if !h.batchers.splitByRegion.Load() {
		return ""
	}
	return h.settings.Regions[domain]
}

// serversOf returns the servers that this host may give work to: those of its
// region where each has its own collection, so that two hosts do not fill the
// same server. A region that has lost all its servers of a service shares those of
// the others until one is back.
func (b *batchers) assignableServers(view *directory.View, service string) []*directory.Server {
	all := view.Servers(service)
	if !b.splitByRegion.Load() {
		return all
	}
	var out []*directory.Server
	for _, s := range all {
		if b.host.settings.Regions[s.Domain] == b.host.self.Region {
			out = append(out, s)
		}
	}
	if len(out) == 0 {
		return all
	}
	return out
}
