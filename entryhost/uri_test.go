package entryhost

import (
	"io"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bilberrydale/version/table"
)

var _ = Describe("the method, path and query of a request", func() {
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
		env := newTestEnv()
		env.addService("portal")
		r := fourStageRoute()
		r.Match.Path = "/v1/orders"
		r.Stages = r.Stages[:1]
		r.Stages[0].Pool, r.Stages[0].Repeatable = "portal", repeatable
		env.tables.Routes = []table.Route{r}
		env.publish("ada")
		h := env.startHost("e1")
		Eventually(h.ready, 5*time.Second).Should(BeTrue())
		return h
	}

	// A caller reads the status of one order by its path. The body is empty, so a
	// backend server that got only the body could not tell which order is meant.
	It("reach the backend server", func() {
		h := start(true)
		status, body := get(h, http.MethodGet, "/v1/orders/17?lines=all", "")
		Expect(status).To(Equal(http.StatusOK), body)
		Expect(body).To(ContainSubstring(`"asked":"GET /v1/orders/17?lines=all"`))
	})

	// Two bookings differ only in the query and use the same idempotency key by
	// mistake. If the query were not compared, the second booking would get the
	// response to the first.
	It("are compared when an idempotency key is used again", func() {
		h := start(false)
		status, body := get(h, http.MethodPost, "/v1/orders?bars=12", "k")
		Expect(status).To(Equal(http.StatusOK), body)
		status, again := get(h, http.MethodPost, "/v1/orders?bars=12", "k")
		Expect(status).To(Equal(http.StatusOK))
		Expect(again).To(Equal(body), "the stored response")
		status, body = get(h, http.MethodPost, "/v1/orders?bars=24", "k")
		Expect(status).To(Equal(http.StatusUnprocessableEntity), body)
		Expect(body).To(ContainSubstring("idempotency_key_reused"))
	})
})
