package engine

import (
	"bufio"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"bilberrydale/connection/backend"
	"bilberrydale/internal/standin/hop"
	"bilberrydale/internal/standin/weights"
)

func startEngine(t *testing.T, opts Options) (*Engine, string) {
	t.Helper()
	opts.Name, opts.Crash = "engine-1", func() {}
	e := New(opts)
	srv := httptest.NewServer(e.Handler())
	t.Cleanup(srv.Close)
	return e, srv.URL
}

func sendRequest(t *testing.T, method, url, body string, header map[string]string) *http.Response {
	t.Helper()
	req, err := http.NewRequest(method, url, strings.NewReader(body))
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	for k, v := range header {
		req.Header.Set(k, v)
	}
	resp, err := http.DefaultClient.Do(req)
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { resp.Body.Close() })
	return resp
}

func readStream(t *testing.T, resp *http.Response) (whole string, final bool) {
	t.Helper()
	dec := json.NewDecoder(resp.Body)
	for {
		var c backend.Chunk
		if dec.Decode(&c) != nil {
			return whole, final
		}
		whole, final = whole+c.Data, c.Final
	}
}

func TestResumedStreamContinuesAndCountsOnce(t *testing.T) {
	g := NewWithT(t)
	e, url := startEngine(t, Options{ResponseTokens: 20})
	e.SetFaults(hop.Faults{TruncateNext: 1})
	ids := map[string]string{backend.HeaderRequestID: "r", backend.HeaderStage: "s"}
	part, final := readStream(t, sendRequest(t, http.MethodPost, url, "prompt", ids))
	g.Expect(final).To(BeFalse())
	ids[backend.HeaderResume] = strconv.Itoa(len(part))
	rest, final := readStream(t, sendRequest(t, http.MethodPost, url, "prompt", ids))
	g.Expect(final).To(BeTrue())
	delete(ids, backend.HeaderResume)
	g.Expect(e.TotalExecutions()).To(BeEquivalentTo(1))
	whole, _ := readStream(t, sendRequest(t, http.MethodPost, url, "prompt", ids))
	g.Expect(part + rest).To(Equal(whole))
}

func TestCanceledStreamHasNoFinalChunk(t *testing.T) {
	g := NewWithT(t)
	e, url := startEngine(t, Options{ResponseTokens: 10000, TokenInterval: time.Millisecond})
	resp := sendRequest(t, http.MethodPost, url, "prompt", map[string]string{backend.HeaderRequestID: "r"})
	_, err := bufio.NewReader(resp.Body).ReadString('\n')
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(sendRequest(t, http.MethodDelete, url+"/streams/r", "", nil).StatusCode).To(Equal(http.StatusNoContent))
	rest, err := io.ReadAll(resp.Body)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(rest)).NotTo(ContainSubstring(`"final":true`))
	g.Eventually(func() int { running, _ := e.batch.counts(); return running }).Should(BeZero())
	g.Expect(sendRequest(t, http.MethodDelete, url+"/streams/r", "", nil).StatusCode).To(Equal(http.StatusNotFound))
}

func TestSequencesStartByPriority(t *testing.T) {
	g := NewWithT(t)
	b := newBatch(1, 8)
	g.Expect(b.acquire(t.Context(), 0)).To(BeTrue())
	order := make(chan int, 2)
	for i, priority := range []int{2, 0} {
		go func() { b.acquire(t.Context(), priority); order <- priority; b.release() }()
		g.Eventually(func() int { _, queued := b.counts(); return queued }).Should(Equal(i + 1))
	}
	b.release()
	g.Expect([]int{<-order, <-order}).To(Equal([]int{0, 2}))
}

func TestCacheEventsAreDelayedAndDropped(t *testing.T) {
	g := NewWithT(t)
	c := cache{capacity: 2, eventDelay: time.Second, dropEvery: 3}
	start := time.Unix(0, 0)
	for _, p := range []string{"a", "b", "c", "b"} {
		c.touch(p, start)
	}
	g.Expect(c.publishedAfter(0, start)).To(BeEmpty())
	var seen []string
	for _, e := range c.publishedAfter(0, start.Add(time.Second)) {
		seen = append(seen, strconv.Itoa(int(e.Seq))+e.Kind)
	}
	g.Expect(seen).To(Equal([]string{"1stored", "2stored", "4evicted"}))
	g.Expect(c.touch("a", start)).To(BeFalse())
}

func TestKVTransferToOtherEngine(t *testing.T) {
	g := NewWithT(t)
	_, from := startEngine(t, Options{})
	to, dest := startEngine(t, Options{})
	readStream(t, sendRequest(t, http.MethodPost, from, "a prompt", nil))
	id := prefixID("a prompt")
	data, err := io.ReadAll(sendRequest(t, http.MethodGet, from+"/kv/"+id, "", nil).Body)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(sendRequest(t, http.MethodPut, dest+"/kv/"+id, string(data), nil).StatusCode).To(Equal(http.StatusNoContent))
	g.Expect(to.touchPrefix("a prompt")).To(BeTrue())
	g.Expect(sendRequest(t, http.MethodPut, dest+"/kv/"+id, "other", nil).StatusCode).To(Equal(http.StatusBadRequest))
}

func TestOrdersLoadWeightsAndEnforceFencing(t *testing.T) {
	g := NewWithT(t)
	store := weights.New(weights.Options{ModelBytes: 128 << 10, BytesPerSecond: 1 << 30})
	srv := httptest.NewServer(store.Handler())
	t.Cleanup(srv.Close)
	for _, fencing := range []bool{true, false} {
		e, url := startEngine(t, Options{EnforceFencing: fencing, InitialModel: "m@1", WeightStoreURL: srv.URL, OrderDuration: time.Millisecond})
		before := store.Reads()
		g.Expect(sendRequest(t, http.MethodPut, url+"/orders", `{"fence":2,"models":["m@1","m@2"],"role":"decode"}`, nil).StatusCode).To(Equal(http.StatusNoContent))
		g.Expect(store.Reads() - before).To(BeEquivalentTo(1))
		g.Expect(e.LoadReport().Models).To(Equal([]string{"m@1", "m@2"}))
		old := sendRequest(t, http.MethodPut, url+"/orders", `{"fence":1,"models":["m@1"]}`, nil)
		if fencing {
			g.Expect(old.StatusCode).To(Equal(http.StatusPreconditionFailed))
			g.Expect(e.AppliedFences()).To(Equal([]uint64{2}))
		} else {
			g.Expect(e.AppliedFences()).To(Equal([]uint64{2, 1}))
		}
	}
}

func TestLoadReportIsCachedAndReportsLeaving(t *testing.T) {
	g := NewWithT(t)
	e, _ := startEngine(t, Options{ReportMaxAge: time.Hour})
	g.Expect(e.LoadReport().Leaving).To(BeFalse())
	e.SetFaults(hop.Faults{Leaving: true})
	g.Expect(e.LoadReport().Leaving).To(BeFalse())
	e.opts.ReportMaxAge = 0
	g.Expect(e.LoadReport().Leaving).To(BeTrue())
}
