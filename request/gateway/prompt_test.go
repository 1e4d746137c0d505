package gateway

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"bilberrydale/process/directory"
	"bilberrydale/process/residency"
	"bilberrydale/version/plan"
)

// Guards against a KV cache transfer from a server that is gone, draining, evacuated,
// recently failed, of another software version, or in a region that the request does not allow.
func TestKVSourceIsUsableAndInAllowedRegion(t *testing.T) {
	now := time.Unix(1000, 0)
	entry := func(id, region string, draining bool) directory.Entry {
		return directory.Entry{ID: id, Service: "s", Version: "v1", Address: id + ":1", Region: region, Domain: region + "-a", Draining: draining}
	}
	other := entry("other", "r0", false)
	other.Version = "v2"
	dir := directory.New()
	dir.Replace([]directory.Entry{entry("to", "r0", false), entry("has", "r0", false), entry("far", "r1", false), entry("leaves", "r0", true), other}, now)
	x := newExchange(dir, now, residency.Set{RouteRegions: []string{"r0"}})
	source := func(kvSource, preferred string) string {
		x.kvSource, x.preferredServer = kvSource, preferred
		return x.kvSourceAddress(dir.View().Server("to"), now)
	}
	g := NewWithT(t)
	g.Expect(source("has", "to")).To(BeEmpty(), "engines without KV transfer")
	x.services = plan.Compile(plan.Config{Services: []plan.Service{{Name: "s", Engine: &plan.Engine{KVBytesPerToken: 18432, LinkBytesPerSecond: 4e10}}}}).Services()
	g.Expect(source("has", "to")).To(Equal("has:1"))
	g.Expect(source("", "has")).To(Equal("has:1"), "the preferred server has the prefix, but refused the request")
	for _, bad := range []string{"", "to", "far", "leaves", "unknown", "other"} {
		g.Expect(source(bad, "to")).To(BeEmpty(), bad)
	}
	dir.View().Server("has").RecordFailure(now)
	g.Expect(source("has", "to")).To(BeEmpty())
	dir.SetEvacuated([]string{"r0-a"}, now.Add(time.Minute))
	now = now.Add(time.Minute)
	g.Expect(source("has", "to")).To(BeEmpty(), "evacuated")
}
