package entryhost

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bilberrydale/process/admission"
	"bilberrydale/process/kind"
	"bilberrydale/request/entry"
	"bilberrydale/version/table"
)

func (h *Host) getExplanation(query string) Explanation {
	_, admin := h.Addresses()
	resp, err := http.Get("http://" + admin + "/explain?" + query)
	Expect(err).NotTo(HaveOccurred())
	defer resp.Body.Close()
	var out Explanation
	Expect(json.NewDecoder(resp.Body).Decode(&out)).To(Succeed())
	return out
}

// nobody returns an address on which nothing listens.
func nobody() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	defer l.Close()
	return l.Addr().String()
}

var _ = Describe("decisions under load", func() {
	// The caller sees errors, and the encoders work for nothing: the pool of a
	// later stage has no server left, yet each request runs the stages before
	// it. With the safeguard the entry host learns it, and then refuses at
	// once, as not run, with a time to come back, and nothing is dispatched.
	It("refuses dependents of a pool without servers before any stage runs, and says why", func() {
		w := newWorld()
		w.service("encoders")
		w.tables.Pools = append(w.tables.Pools, table.Pool{
			Name: "gone", Kind: table.Service, Slots: 4,
			Servers: []table.Server{{Name: "gone-1", Address: nobody(), Domain: "d1", Region: "r1"}},
		})
		budget := table.Duration(time.Second)
		w.tables.Routes = []table.Route{{
			Name: "two", Match: table.Match{Path: "/v1/two"}, Deadline: table.Duration(5 * time.Second), Worth: 1, Class: table.Standard,
			Stages: []table.Stage{
				{Name: "encode", Pool: "encoders", Budget: budget, Repeatable: true},
				{Name: "last", Pool: "gone", Budget: budget, Repeatable: true},
			},
		}}
		w.apply("ada")
		h := w.host("e1")
		Eventually(h.ready, 5*time.Second).Should(BeTrue())
		var problem entry.Problem
		var resp *http.Response
		Eventually(func() kind.Ran {
			var body []byte
			resp, body = send(h, "/v1/two", "", `{}`)
			Expect(json.Unmarshal(body, &problem)).To(Succeed())
			return problem.Ran
		}, 10*time.Second).Should(Equal(kind.RanNo))
		Expect(problem.Kind).To(Equal(kind.NoBackend))
		seconds, err := strconv.Atoi(resp.Header.Get("Retry-After"))
		Expect(err).NotTo(HaveOccurred())
		Expect(seconds).To(BeNumerically(">=", 2))

		before := w.services["encoders"].TotalExecutions()
		send(h, "/v1/two", "", `{}`)
		Expect(w.services["encoders"].TotalExecutions()).To(Equal(before))

		e := h.getExplanation("path=/v1/two&account=a")
		Expect(e.Route).To(Equal("two"))
		Expect(e.Decision.Reason).To(Equal(admission.PoolDown))
		Expect(e.Decision.Pool).To(Equal("gone"))
		Expect(e.Stages).To(HaveLen(2))
		Expect(e.Stages[0].Server).To(HavePrefix("encoders"))
		Expect(e.Stages[1].Error).NotTo(BeEmpty())
	})
})
