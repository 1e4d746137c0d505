package edge

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"bilberrydale/platform"
	"bilberrydale/process/directory"
	"bilberrydale/process/peer"
)

// Guards against moving the stage work of all regions to one host when 5 of 16 servers of
// a service crash at once and one region keeps a single server: during the move the hosts
// of all regions would overfill the remaining servers. The work is joined only if too few
// servers are left for three regions.
func TestServerLossKeepsStageWorkSplitByRegion(t *testing.T) {
	g := NewWithT(t)
	healthy := map[string]int{"x": 6, "y": 6, "z": 6}
	for _, c := range []struct {
		counts      map[string]int
		start, stay bool
	}{
		{map[string]int{"x": 6, "y": 5, "z": 5}, true, true},
		{map[string]int{"x": 4, "y": 4, "z": 3}, true, true},
		{map[string]int{"x": 3, "y": 3, "z": 2}, false, true},
		{map[string]int{"x": 6, "y": 4, "z": 1}, false, true},
		{map[string]int{"x": 8, "y": 8, "z": 0}, false, true},
		{map[string]int{"x": 2, "y": 2, "z": 1}, false, false},
	} {
		g.Expect(shouldSplitByRegion(false, []map[string]int{healthy, c.counts})).To(Equal(c.start), "initial decision for %v", c.counts)
		g.Expect(shouldSplitByRegion(true, []map[string]int{healthy, c.counts})).To(Equal(c.stay), "while split, for %v", c.counts)
	}
}

// Guards against refusing the requests of a region that has lost all its servers of a
// service while other regions have some.
func TestRegionWithoutServersUsesOtherRegions(t *testing.T) {
	g := NewWithT(t)
	h := &Host{settings: platform.Settings{Regions: map[string]string{"a": "x", "b": "y"}}, self: peer.Identity{Region: "x"}}
	b := newBatchers(h)
	b.splitByRegion.Store(true)
	dir, now := directory.New(), time.Unix(1000, 0)
	entry := func(id, domain string) directory.Entry {
		return directory.Entry{ID: id, Service: "s", Address: id + ":1", Domain: domain}
	}
	dir.Replace([]directory.Entry{entry("near", "a"), entry("far", "b")}, now)
	g.Expect(b.assignableServers(dir.View(), "s")).To(HaveLen(1))
	dir.Replace([]directory.Entry{entry("far", "b")}, now)
	g.Expect(b.assignableServers(dir.View(), "s")).To(HaveLen(1))
	dir.Replace(nil, now)
	g.Expect(b.assignableServers(dir.View(), "s")).To(BeEmpty())
}
