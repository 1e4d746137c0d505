package objectapi_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	standin "bilberrydale/internal/standin/platform"
	"bilberrydale/platform"
	"bilberrydale/process/clock"
	"bilberrydale/process/objectapi"
)

func newClient(url string, opts objectapi.ClientOptions) *objectapi.Client {
	return objectapi.NewClient(platform.NewObjectStore(platform.NewStoreClientForURL(url, "")), opts)
}

// A connection to the platform stops delivering responses while new ones work. A
// read is retried once and succeeds; a write is not retried, because it may have
// taken effect.
func TestReadIsRetriedOnceWriteIsNot(t *testing.T) {
	g := NewWithT(t)
	objects := standin.NewStore()
	var unresponsive, calls atomic.Int32
	ctx := t.Context()
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		calls.Add(1)
		objects.Handler().ServeHTTP(w, r)
		if unresponsive.Add(-1) >= 0 {
			<-r.Context().Done()
		}
	}))
	t.Cleanup(srv.Close)
	h := newClient(srv.URL, objectapi.ClientOptions{Timeout: time.Second})
	_, err := h.Put(ctx, "a/b", []byte("1"), 0)
	g.Expect(err).NotTo(HaveOccurred())

	unresponsive.Store(1)
	obj, err := h.Get(ctx, "a/b")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(obj.Value).To(BeEquivalentTo("1"))
	g.Expect(calls.Load()).To(BeEquivalentTo(3))

	unresponsive.Store(1)
	_, err = h.Put(ctx, "a/b", []byte("2"), obj.Version)
	g.Expect(err).To(MatchError(objectapi.ErrUnknownOutcome))
	g.Expect(calls.Load()).To(BeEquivalentTo(4))
	g.Expect(h.Counts()).To(Equal(objectapi.Counts{Reads: 2, Writes: 2, Retried: 1, Unavailable: 1, UnknownOutcome: 1}))
}

// The call budget of the platform is spent. After the first refusal the client
// sends no calls until its backoff has passed, so that the budget can recover.
func TestRateLimitPausesCalls(t *testing.T) {
	g := NewWithT(t)
	var calls atomic.Int32
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		calls.Add(1)
		w.WriteHeader(http.StatusTooManyRequests)
	}))
	t.Cleanup(srv.Close)
	now := clock.NewManual(time.Unix(1000, 0))
	h := newClient(srv.URL, objectapi.ClientOptions{Clock: now, Rand: clock.NewSeeded(1)})
	for range 10 {
		_, err := h.Get(context.Background(), "a")
		g.Expect(err).To(MatchError(objectapi.ErrRateLimited))
	}
	g.Expect(calls.Load()).To(BeEquivalentTo(1))
	now.Advance(100 * time.Millisecond)
	_, _ = h.Get(context.Background(), "a")
	g.Expect(calls.Load()).To(BeEquivalentTo(2))
}
