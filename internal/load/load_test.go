package load

import (
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"bilberrydale/request/entry"
)

func testOptions(target string) Options {
	return Options{
		Targets: []string{target}, Rate: 400, Duration: 250 * time.Millisecond, Seed: 7, Timeout: time.Second, MaxInFlight: 64,
		Mix: []RequestKind{{Path: "/a", Weight: 3}, {Path: "/s", Weight: 1, Stream: true}},
	}
}

// Two runs with the same seed send the same number of requests of each kind.
func TestSameSeedSendsSameRequests(t *testing.T) {
	g := NewWithT(t)
	var mu sync.Mutex
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		defer mu.Unlock()
		if r.Header.Get("Accept") == entry.StreamMediaType {
			w.Header().Set("Content-Type", entry.StreamMediaType)
			_, _ = w.Write([]byte("{\"offset\":0,\"data\":\"x\"}\n{\"offset\":1,\"final\":true}\n"))
		}
	}))
	t.Cleanup(srv.Close)
	first, err := Run(t.Context(), testOptions(srv.Listener.Addr().String()))
	g.Expect(err).NotTo(HaveOccurred())
	second, err := Run(t.Context(), testOptions(srv.Listener.Addr().String()))
	g.Expect(err).NotTo(HaveOccurred())
	for i, l := range first {
		g.Expect(l.Sent + l.Unsent).To(Equal(second[i].Sent + second[i].Unsent))
		g.Expect(l.Completed).To(Equal(l.Sent), l.Path)
	}
	g.Expect(first[0].Sent).To(BeNumerically(">", first[1].Sent))
}

// Streams without a final chunk and error responses count as failures by kind, never
// as completed requests.
func TestFailuresAreCountedByKind(t *testing.T) {
	g := NewWithT(t)
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/s" {
			w.Header().Set("Content-Type", entry.StreamMediaType)
			_, _ = w.Write([]byte("{\"offset\":0,\"data\":\"x\"}\n"))
			return
		}
		w.WriteHeader(http.StatusServiceUnavailable)
		_, _ = w.Write([]byte(`{"kind":"overloaded"}`))
	}))
	t.Cleanup(srv.Close)
	results, err := Run(t.Context(), testOptions(srv.Listener.Addr().String()))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(results[0].Failures).To(HaveKeyWithValue("overloaded", results[0].Sent))
	g.Expect(results[1].Failures).To(HaveKeyWithValue("cut", results[1].Sent))
}

func TestTargetsMustBeLoopback(t *testing.T) {
	_, err := Run(t.Context(), testOptions("10.0.0.1:80"))
	NewWithT(t).Expect(err).To(MatchError(ErrNotLoopback))
}
