package table

import (
	"math"
	"testing"

	. "github.com/onsi/gomega"
)

func TestAccountWeightsMustBePositive(t *testing.T) {
	g := NewWithT(t)
	v := &validator{}
	v.checkPolicy(RoutePolicy{AccountWeights: map[string]float64{"a": 2, "b": 0, "c": -1, "d": math.NaN()}})
	g.Expect(v.errs).To(HaveLen(3))
	v = &validator{}
	v.checkPolicy(RoutePolicy{AccountWeights: map[string]float64{"a": .5}})
	g.Expect(v.errs).To(BeEmpty())
}
