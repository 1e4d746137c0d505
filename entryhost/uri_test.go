package entryhost

import (
	"io"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bilberrydale/version/table"
)

var _ = Describe("what a caller asks for by method, path and query", func() {
	get := func(h *Host, method, uri, key string) (int, string) {
		callers, _ := h.Addresses()
		req, err := http.NewRequest(method, "http://"+callers+uri, http.NoBody)
		Expect(err).NotTo(HaveOccurred())
		req.Header.Set("Idempotency-Key", key)
		resp, err := http.DefaultClient.Do(req)
		Expect(err).NotTo(HaveOccurred())
		defer resp.Body.Close()
		body, err := io.ReadAll(resp.Body)
		Expect(err).NotTo(HaveOccurred())
		if resp.StatusCode == http.StatusOK {
			Expect(resp.Header.Get("Content-Type")).To(Equal("application/json"))
		}
		return resp.StatusCode, string(body)
	}
	start := func(repeatable bool) *Host {
		w := newWorld()
		w.service("portal")
		r := fourStages()
		r.Match.Path = "/v1/orders"
		r.Stages = r.Stages[:1]
		r.Stages[0].Pool, r.Stages[0].Repeatable = "portal", repeatable
		w.tables.Routes = []table.Route{r}
		w.apply("ada")
		h := w.host("e1")
		Eventually(h.ready, 5*time.Second).Should(BeTrue())
		return h
	}

	// A clerk reads the status of one order by its path. The body is empty, so
	// a server that saw the body alone would answer for no order or any.
	It("reaches every backend server", func() {
		h := start(true)
		status, body := get(h, http.MethodGet, "/v1/orders/17?lines=all", "")
		Expect(status).To(Equal(http.StatusOK), body)
		Expect(body).To(ContainSubstring(`"asked":"GET /v1/orders/17?lines=all"`))
	})

	// Two bookings differ in the query alone and share a key by mistake. Taken
	// for one, the second would be given the first's answer.
	It("belongs to what an idempotency key stands for", func() {
		h := start(false)
		status, body := get(h, http.MethodPost, "/v1/orders?bars=12", "k")
		Expect(status).To(Equal(http.StatusOK), body)
		status, again := get(h, http.MethodPost, "/v1/orders?bars=12", "k")
		Expect(status).To(Equal(http.StatusOK))
		Expect(again).To(Equal(body), "the kept answer")
		status, body = get(h, http.MethodPost, "/v1/orders?bars=24", "k")
		Expect(status).To(Equal(http.StatusUnprocessableEntity), body)
		Expect(body).To(ContainSubstring("idempotency_key_reused"))
	})
})
