package edge

import (
	"io"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"bilberrydale/process/stages"
)

// Guards against stage work that is refused for a reason which no metric shows, and against a state page
// that fails without a shortage.
func TestRefusedStageWorkIsCountedByReason(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	p := newTestPlatform(t)
	h := p.startHost("front-1")
	ticket := &stages.Ticket{Request: &stages.Request{ID: "r", Account: "a"}, HeldByShare: true, Due: 0.5, Used: 0.75}
	h.StageWorkEnded(ticket, time.Second, time.Second, &stages.Error{Reason: "line"}, 0, 0)
	h.StageWorkEnded(&stages.Ticket{Request: &stages.Request{ID: "s"}}, 0, 0, &stages.Error{Reason: "late"}, 0, 0)
	_, _, metrics := h.Addresses()
	resp, err := http.Get("http://" + metrics + "/metrics")
	g.Expect(err).NotTo(HaveOccurred())
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	g.Expect(err).NotTo(HaveOccurred())
	for _, line := range []string{"stage_work_failed 2", "stage_work_failed_line 1", "stage_work_failed_late 1", "stage_work_failed_beyond_share 1", "stage_work_held_by_share 1"} {
		g.Expect(string(text)).To(ContainSubstring(line + "\n"))
	}
	g.Expect(h.state().StageWorkShares).To(BeEmpty())
}
