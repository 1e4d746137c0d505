package backend

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"bilberrydale/process/serverstate"
)

// Checks that requests use the configured header names and not the defaults.
func TestConfiguredHeaderNamesAreUsed(t *testing.T) {
	g := NewWithT(t)
	headers := DefaultHeaders()
	headers.Each(func(setting string, name *string, _ string) { *name = "Acme-" + setting })
	var got http.Header
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		got = r.Header
		for _, n := range []string{headers.RequestID, headers.Stage, headers.Attempt} {
			w.Header().Set(n, r.Header.Get(n))
		}
	}))
	defer srv.Close()
	state := serverstate.NewRegistry().Get("s", srv.Listener.Addr().String(), time.Now())
	h := NewHTTPClient(HTTPOptions{Headers: headers})
	_, err := h.Do(context.Background(), &Call{
		Server: state, Path: "/", RequestID: "r1", Stage: "a", Attempt: 2, Host: "e1", Account: "x", Key: "k",
		Method: http.MethodGet, URI: "/v1?q=1", ResumeOffset: 7,
	})
	g.Expect(err).NotTo(HaveOccurred())
	for name, want := range map[string]string{
		headers.RequestID: "r1", headers.Stage: "a", headers.Attempt: "2", headers.Host: "e1", headers.Account: "x",
		headers.Key: "k", headers.Method: "GET", headers.URI: "/v1?q=1", headers.Resume: "7",
	} {
		g.Expect(got.Get(name)).To(Equal(want), name)
	}
	g.Expect(got).NotTo(HaveKey(HeaderRequestID))
}

// Guards against a configured header that makes the transport of net/http retry: a POST
// without a body would be sent again when a reused connection breaks, and a booking could
// run twice.
func TestHeaderNamesThatEnableTransportRetriesAreRejected(t *testing.T) {
	g := NewWithT(t)
	unsafe := DefaultHeaders()
	unsafe.Key = "Idempotency-Key"
	for received, names := range map[int32]Headers{2: DefaultHeaders(), 3: unsafe} {
		s := newRawServer(t, resetOnReuse)
		h, state := NewHTTPClient(HTTPOptions{Headers: names}), s.state()
		for range 2 {
			_, _ = h.Do(context.Background(), &Call{Server: state, Path: "/", RequestID: "r", Stage: "book", Key: "key"})
		}
		g.Expect(s.received.Load()).To(Equal(received), names.Key)
	}
	for _, name := range []string{"", "a b", "Idempotency-Key", "x-idempotency-key", "content-length"} {
		g.Expect(CheckHeader(name)).NotTo(Succeed(), name)
	}
	names := DefaultHeaders()
	names.Each(func(_ string, name *string, _ string) { g.Expect(CheckHeader(*name)).To(Succeed()) })
	g.Expect(names.Check()).To(Succeed())
	names.Stage = "x-request-id"
	g.Expect(names.Check()).To(MatchError(ContainSubstring("X-Request-Id is used twice")))
}
