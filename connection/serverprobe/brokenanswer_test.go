package serverprobe

import (
	"net/http"
	"testing"

	. "github.com/onsi/gomega"

	"bilberrydale/internal/headserver"
	"bilberrydale/process/loadreport"
)

// reportText is a load report.
const reportText = `{"running":3,"queued":2,"slots":8,"models":["m"]}`

// Guards against a server that counts as one that answers, by a head that is none of HTTP.
func TestBrokenHeadIsNoReport(t *testing.T) {
	for name, head := range headserver.Broken {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			address := headserver.Serve(t, func(*http.Request) string { return head.Response("", reportText) })
			client := New(Options{})
			for _, fresh := range []bool{false, true, false} {
				got, err := client.Poll(headserver.Context(t), address, fresh)
				g.Expect(err).To(HaveOccurred())
				g.Expect(err).NotTo(MatchError(loadreport.ErrNoReport))
				g.Expect(got).To(BeZero())
			}
		})
	}
}

// Guards against a report that is left out, as the head is odd.
func TestOddHeadIsAReport(t *testing.T) {
	for name, head := range headserver.Sound {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			address := headserver.Serve(t, func(*http.Request) string { return head.Response("", reportText) })
			got, err := New(Options{}).Poll(headserver.Context(t), address, false)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(got.Running).To(Equal(3))
		})
	}
}
