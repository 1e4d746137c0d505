package loadreport

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"bilberrydale/process/clock"
	"bilberrydale/process/server"
)

func TestFetchStoresTheReport(t *testing.T) {
	g := NewWithT(t)
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		g.Expect(r.URL.Path).To(Equal("/load"))
		_, _ = w.Write([]byte(`{"running":5,"queued":2,"slots":8,"models":["m@1"]}`))
	}))
	defer srv.Close()
	now := time.Unix(1000, 0)
	f := New(DefaultOptions(), clock.NewManual(now), nil)
	s := server.NewRegistry().Get("a", strings.TrimPrefix(srv.URL, "http://"), now)
	s.Begin()
	g.Expect(f.Fetch(context.Background(), s)).To(Succeed())
	g.Expect(s.Load().Models).To(Equal([]string{"m@1"}))
	// Seven by the report, of which one is this host's own.
	g.Expect(s.Busy(now)).To(BeNumerically("~", 7, 1e-9))
	s.End()
	g.Expect(s.Busy(now)).To(BeNumerically("~", 6, 1e-9))
}

// Without the bound on the rate, reports would cost as much as there are
// servers. Three servers and two intervals: two fetches.
func TestRunKeepsToItsRate(t *testing.T) {
	g := NewWithT(t)
	seen := make(chan string, 10)
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		seen <- "x"
		_, _ = w.Write([]byte(`{}`))
	}))
	defer srv.Close()
	c := clock.NewManual(time.Unix(1000, 0))
	reg := server.NewRegistry()
	addr := strings.TrimPrefix(srv.URL, "http://")
	f := New(Options{PerSecond: 10, Timeout: time.Minute, Parallel: 2}, c, func() []*server.State {
		return []*server.State{reg.Get("a", addr, c.Now()), reg.Get("b", addr, c.Now()), reg.Get("c", addr, c.Now())}
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- f.Run(ctx) }()
	for range 2 {
		g.Eventually(c.Waiters).Should(Equal(1))
		g.Expect(seen).To(BeEmpty())
		c.Advance(100 * time.Millisecond)
		g.Eventually(seen).Should(Receive())
	}
	cancel()
	g.Eventually(done).Should(Receive(BeNil()))
	g.Expect(seen).To(BeEmpty())
}
