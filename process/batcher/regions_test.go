package batcher

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"bilberrydale/process/residency"
)

// Guards against results that are computed in a region which the request does not allow:
// calls mix items of many requests, servers fail, and a job may have no permitted server.
func TestItemsRunOnlyInAllowedRegions(t *testing.T) {
	domains := []string{"x", "y", "z"}
	rapid.Check(t, func(rt *rapid.T) {
		servers := map[string]string{}
		for i := range rapid.IntRange(1, 6).Draw(rt, "servers") {
			servers[fmt.Sprint("s", i)] = rapid.SampledFrom(domains).Draw(rt, "domain")
		}
		b := newHarness(t, testOptions, servers)
		allowed := map[string]residency.Set{}
		for i := range rapid.IntRange(1, 12).Draw(rt, "jobs") {
			id := fmt.Sprint("job", i)
			for _, domain := range rapid.SliceOfNDistinct(rapid.SampledFrom(domains), 0, 2, rapid.ID).Draw(rt, "allowed") {
				set := allowed[id]
				set.RouteRegions = append(set.RouteRegions, "region of "+domain)
				allowed[id] = set
			}
			j := b.submit(id, rapid.IntRange(1, 20).Draw(rt, "items"), time.Second, rapid.SampledFrom(domains).Draw(rt, "home"))
			j.AllowedRegions = allowed[id]
		}
		for range 30 {
			for _, c := range b.nextCalls() {
				for _, item := range c.Items {
					if !item.Job.AllowedRegions.Allows(c.Server.Region) {
						rt.Fatalf("%s, restricted to %v, ran in %s", item.Job.Items[0].RequestID, item.Job.AllowedRegions, c.Server.Region)
					}
				}
				if rapid.Bool().Draw(rt, "fails") {
					b.q.CompleteCall(c, Response{Err: fmt.Errorf("cut")}, b.now)
				}
			}
			b.now = b.now.Add(20 * time.Millisecond)
		}
		for id, set := range allowed {
			served := false
			for _, domain := range servers {
				served = served || set.Allows("region of "+domain)
			}
			if r, done := b.results[id+"/0"]; !served && (!done || r.Reason != NoServer) {
				rt.Fatalf("%s has no permitted server but got %+v, %t", id, r, done)
			}
		}
	})
}
