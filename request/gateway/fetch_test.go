package gateway

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"bilberrydale/process/directory"
	"bilberrydale/process/residency"
	"bilberrydale/version/plan"
)

// Guards against a transfer from a server that is gone, leaves, is evacuated, failed a
// moment ago or lies where the request may not be kept.
func TestPartsAreFetchedOnlyFromSoundPermittedServers(t *testing.T) {
	now := time.Unix(1000, 0)
	entry := func(id, region string, draining bool) directory.Entry {
		return directory.Entry{ID: id, Service: "s", Address: id + ":1", Region: region, Domain: region + "-a", Draining: draining}
	}
	dir := directory.New()
	dir.Replace([]directory.Entry{entry("to", "r0", false), entry("has", "r0", false), entry("far", "r1", false), entry("leaves", "r0", true)}, now)
	x := placed(dir, now, residency.Set{RouteRegions: []string{"r0"}})
	from := func(fetch, chosen string) string {
		x.fetch, x.target = fetch, chosen
		return x.fetchFrom(dir.View().Server("to"), now)
	}
	g := NewWithT(t)
	g.Expect(from("has", "to")).To(BeEmpty(), "engines that cannot")
	x.plan = plan.Compile(plan.Config{Services: []plan.Service{{Name: "s", Engine: &plan.Engine{KVBytesPerToken: 18432, LinkBytesPerSecond: 4e10}}}})
	g.Expect(from("has", "to")).To(Equal("has:1"))
	g.Expect(from("", "has")).To(Equal("has:1"), "the chosen server has it, but refused the request")
	for _, bad := range []string{"", "to", "far", "leaves", "unknown"} {
		g.Expect(from(bad, "to")).To(BeEmpty(), bad)
	}
	dir.View().Server("has").RecordFailure(now)
	g.Expect(from("has", "to")).To(BeEmpty())
	dir.SetEvacuated([]string{"r0-a"}, now.Add(time.Minute))
	now = now.Add(time.Minute)
	g.Expect(from("has", "to")).To(BeEmpty(), "evacuated")
}
