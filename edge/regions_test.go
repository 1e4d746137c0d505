package edge

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"bilberrydale/platform"
	"bilberrydale/process/directory"
	"bilberrydale/process/peer"
)

// Three regions collect their stage work by themselves. 5 of 16 servers of one
// service crash in a burst, in one region all but one. The regions stay apart: a
// change of the place now would have the hosts of all regions fill the servers
// that are left. Only where too few are left for three does one place collect all.
func TestLossOfServersKeepsTheRegionsApart(t *testing.T) {
	g := NewWithT(t)
	sound := map[string]int{"x": 6, "y": 6, "z": 6}
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
		g.Expect(shouldSplitByRegion(false, []map[string]int{sound, c.counts})).To(Equal(c.start), "begins %v", c.counts)
		g.Expect(shouldSplitByRegion(true, []map[string]int{sound, c.counts})).To(Equal(c.stay), "goes on %v", c.counts)
	}
}

// A region has lost all its servers of a service. Its requests use those of other
// regions meanwhile; they would be refused otherwise, though servers are there.
func TestRegionWithoutServersSharesThoseOfOthers(t *testing.T) {
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
