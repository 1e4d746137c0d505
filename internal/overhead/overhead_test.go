package overhead

import (
	"testing"

	. "github.com/onsi/gomega"
)

func TestMeasureReportsBothPaths(t *testing.T) {
	g := NewWithT(t)
	r, err := Measure(t.Context(), Options{Requests: 200, Clients: 2, Stages: 2, Body: 64})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(r.DirectP50).To(BeNumerically(">", 0))
	g.Expect(r.EntryHostP50).To(BeNumerically(">", 0))
	g.Expect(r.AddedAllocs).To(BeNumerically(">", 0))
}
