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

// Checks that the first response with the leaving header marks its server as leaving,
// whatever its status, before any report or list does. A response that belongs to another
// request must not, since its sender is uncertain.
func TestLeavingHeaderIsReportedOnce(t *testing.T) {
	for name, c := range map[string]struct {
		id      string
		status  int
		leaving string
		want    int
	}{
		"whole":    {"r1", http.StatusOK, "true", 1},
		"refused":  {"r1", http.StatusServiceUnavailable, "true", 1},
		"not said": {"r1", http.StatusOK, "", 0},
		"crossed":  {"r2", http.StatusOK, "true", 0},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set(HeaderRequestID, c.id)
				w.Header().Set(HeaderStage, r.Header.Get(HeaderStage))
				w.Header().Set(HeaderAttempt, r.Header.Get(HeaderAttempt))
				w.Header().Set(HeaderLeaving, c.leaving)
				w.WriteHeader(c.status)
			}))
			defer srv.Close()
			notifications := 0
			h := NewHTTPClient(HTTPOptions{OnLeaving: func(s *serverstate.State) {
				notifications++
				s.SetLeaving(true)
			}})
			state := serverstate.NewRegistry().Get("s", srv.Listener.Addr().String(), time.Now())
			for range 2 {
				_, _ = h.Do(context.Background(), &Call{Server: state, Path: "/", RequestID: "r1", Stage: "a"})
			}
			g.Expect(notifications).To(Equal(c.want))
			g.Expect(state.Usable()).To(Equal(c.want == 0))
		})
	}
}
