package backend

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"bilberrydale/process/server"
)

// Another kind of backend server needs other names and no other code.
func TestHeadersGoByTheNamesOfTheSettings(t *testing.T) {
	g := NewWithT(t)
	names := DefaultHeaders()
	names.Each(func(setting string, name *string, _ string) { *name = "Acme-" + setting })
	var got http.Header
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		got = r.Header
		for _, n := range []string{names.RequestID, names.Stage, names.Attempt} {
			w.Header().Set(n, r.Header.Get(n))
		}
	}))
	defer srv.Close()
	state := server.NewRegistry().Get("s", srv.Listener.Addr().String(), time.Now())
	h := NewHTTPClient(HTTPOptions{Headers: names})
	_, err := h.Do(context.Background(), &Call{
		Server: state, Path: "/", RequestID: "r1", Stage: "a", Attempt: 2, Host: "e1", Account: "x", Key: "k",
		Method: http.MethodGet, URI: "/v1?q=1", ResumeOffset: 7,
	})
	g.Expect(err).NotTo(HaveOccurred())
	for name, want := range map[string]string{
		names.RequestID: "r1", names.Stage: "a", names.Attempt: "2", names.Host: "e1", names.Account: "x",
		names.Key: "k", names.Method: "GET", names.URI: "/v1?q=1", names.Resume: "7",
	} {
		g.Expect(got.Get(name)).To(Equal(want), name)
	}
	g.Expect(got).NotTo(HaveKey(HeaderRequestID))
}

// With a name that net/http knows, the transport sends a POST without a body
// again when a kept connection breaks: a booking could run twice.
func TestNamesThatRepeatRequestsAreRefused(t *testing.T) {
	g := NewWithT(t)
	repeating := DefaultHeaders()
	repeating.Key = "Idempotency-Key"
	for received, names := range map[int32]Headers{2: DefaultHeaders(), 3: repeating} {
		s := newRaw(t, resetOnReuse)
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
