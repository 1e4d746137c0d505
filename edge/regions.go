package edge

import (
	"bilberrydale/process/directory"
	"bilberrydale/version/plan"
)

// Numbers of servers that decide whether each region coordinates its own stage work.
// With fewer servers in total, regions of two servers would have too few calls to fill.
// With a dozen servers, a single coordinating host is overloaded: it responds so late
// that requests are refused.
const (
	minServersToSplit       = 9 // of each service, in all regions: three in each of three
	minRegionServersToSplit = 2 // of each service, in each region
	// minServersToStaySplit is lower than minServersToSplit, so that a tolerable loss of
	// servers does not move the stage work of all regions to one host: two in each of
	// three regions. During such a move several hosts send work to the same servers:
	// their calls queue behind each other, and items that exceed the servers' result
	// memory are computed again.
	minServersToStaySplit = 6
)

// shouldSplitByRegion decides whether each region coordinates its own stage work or one
// host does so for all. If all regions have enough servers the work is split, so that no
// results or messages cross regions and no host has to track all work. Once split, it stays
// split while each service has minServersToStaySplit servers, whatever their regions.
// wasSplit is the last decision. counts holds, for each service that runs stages, the number
// of servers by region, including regions without servers.
func shouldSplitByRegion(wasSplit bool, counts []map[string]int) bool {
	for _, regions := range counts {
		total, fewest := 0, minRegionServersToSplit
		for _, n := range regions {
			total += n
			fewest = min(fewest, n)
		}
		if wasSplit && total < minServersToStaySplit || !wasSplit && (total < minServersToSplit || fewest < minRegionServersToSplit) {
			return false
		}
	}
	return true
}

// updateSplit recomputes splitByRegion for a plan and the current servers. The caller
// holds b.mu.
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

// stageRegion returns the region whose hosts coordinate the stage work of requests in a
// failure domain, or "" if any host may.
func (h *Host) stageRegion(domain string) string {
	if !h.batchers.splitByRegion.Load() {
		return ""
	}
	return h.settings.Regions[domain]
}

// assignableServers returns the servers of a service to which this host may assign work.
// While stage work is split by region these are the servers of its own region, so that
// two hosts do not overfill the same server. A region without servers of the service
// uses those of the other regions until it has one again.
func (b *batchers) assignableServers(view *directory.View, service string) []*directory.Server {
	all := view.Servers(service)
	if !b.splitByRegion.Load() {
		return all
	}
	var local []*directory.Server
	for _, s := range all {
		if b.host.settings.Regions[s.Domain] == b.host.self.Region {
			local = append(local, s)
		}
	}
	if len(local) == 0 {
		return all
	}
	return local
}
