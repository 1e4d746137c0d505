package residency

import (
	"slices"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

func TestZeroSetAllowsEveryRegion(t *testing.T) {
	g := NewWithT(t)
	g.Expect(Set{}.Allows("a")).To(BeTrue())
	g.Expect(Set{}.Restricted()).To(BeFalse())
	g.Expect(Set{}.Empty()).To(BeFalse())
}

// Guards against serving a request in a region that its route or its client account does
// not allow.
func TestRouteAndAccountBothApply(t *testing.T) {
	names := rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"a", "b", "c"}), 0, 3, rapid.ID)
	rapid.Check(t, func(t *rapid.T) {
		s := Set{RouteRegions: names.Draw(t, "route"), AccountRegions: names.Draw(t, "account")}
		allowed := 0
		for _, region := range []string{"a", "b", "c"} {
			if !s.Allows(region) {
				continue
			}
			allowed++
			for _, list := range [][]string{s.RouteRegions, s.AccountRegions} {
				if len(list) > 0 && !slices.Contains(list, region) {
					t.Fatalf("%+v allows %s", s, region)
				}
			}
		}
		if s.Empty() != (allowed == 0) {
			t.Fatalf("%+v: Empty is %t, but %d regions are allowed", s, s.Empty(), allowed)
		}
	})
}
