package table

import (
	"math"
	"testing"

	. "github.com/onsi/gomega"
)

func TestSharesHaveToBePositive(t *testing.T) {
	g := NewWithT(t)
	c := &checker{}
	c.policy(RoutePolicy{AccountWeights: map[string]float64{"a": 2, "b": 0, "c": -1, "d": math.NaN()}})
	g.Expect(c.faults).To(HaveLen(3))
	c = &checker{}
	c.policy(RoutePolicy{AccountWeights: map[string]float64{"a": .5}})
	g.Expect(c.faults).To(BeEmpty())
}
