package entry

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	. "github.com/onsi/gomega"
	"go.opentelemetry.io/otel/trace/noop"

	"bilberrydale/connection/backend"
	"bilberrydale/process/admission"
	"bilberrydale/process/claim"
	"bilberrydale/process/clock"
	"bilberrydale/process/current"
	"bilberrydale/process/drain"
	"bilberrydale/process/errkind"
	"bilberrydale/process/quarantine"
	"bilberrydale/process/serverstate"
	"bilberrydale/request/pipeline"
	"bilberrydale/version/pick"
	"bilberrydale/version/snapshot"
	"bilberrydale/version/table"
)

// countingClient is a backend client that counts calls and responds to all of them.
type countingClient struct {
	calls atomic.Int64
	err   error
	keys  sync.Map // operation keys seen
}

func (c *countingClient) Do(_ context.Context, call *backend.Call) (*backend.Response, error) {
	c.calls.Add(1)
	c.keys.Store(call.Key, true)
	if c.err != nil {
		return nil, c.err
	}
	return &backend.Response{Status: http.StatusOK, Body: []byte(`"done"`)}, nil
}

func (c *countingClient) Stream(_ context.Context, _ *backend.Call, sink func(backend.Chunk) error) error {
	c.calls.Add(1)
	if err := sink(backend.Chunk{Data: `"done"`}); err != nil {
		return err
	}
	return sink(backend.Chunk{Offset: 6, Final: true})
}

func (c *countingClient) Probe(context.Context, *serverstate.State) error { return nil }
func (c *countingClient) CloseIdleConnections(*serverstate.State)         {}

// newHandler returns a handler with one route: a non-repeatable booking stage, followed by a
// repeatable streamed stage.
func newHandler(b backend.Client) *Handler {
	state := serverstate.NewRegistry().Get("s", "127.0.0.1:1", time.Unix(0, 0))
	p := &snapshot.Pool{Pool: table.Pool{Name: "p"}, Picker: pick.NewRandomPicker([]pick.Server{{State: state}})}
	book := table.Stage{Name: "book", Pool: "p", Budget: table.Duration(time.Second)}
	note := table.Stage{Name: "note", Pool: "p", Budget: table.Duration(time.Second), Repeatable: true, Stream: true}
	route := &snapshot.Route{
		Route:   table.Route{Name: "r", Match: table.Match{Path: "/r"}, Deadline: table.Duration(time.Second)},
		Stages:  []snapshot.Stage{{Stage: book, Pool: p}, {Stage: note, Pool: p, Index: 1}},
		Profile: &admission.Profile{},
	}
	h := &Handler{
		InForce: &current.Value[snapshot.Snapshot]{}, Admission: admission.AlwaysAdmit{}, Claims: claim.NewMemory(), Quarantine: quarantine.AllowAll{},
		Gate: &drain.Gate{}, Clock: clock.System{}, Log: log.New(io.Discard), Tracer: noop.NewTracerProvider().Tracer(""),
		Headers: DefaultHeaders(), Limits: DefaultLimits(), Counters: &Counters{},
		Runner: &pipeline.Runner{
			Backend: b, Admission: admission.AlwaysAdmit{}, Quarantine: quarantine.AllowAll{}, Clock: clock.System{}, Rand: clock.SystemRand{},
			Tracer: noop.NewTracerProvider().Tracer(""), Options: pipeline.DefaultOptions(),
		},
	}
	h.InForce.Store(&snapshot.Snapshot{Number: 1, Routes: []*snapshot.Route{route}})
	return h
}

func send(h http.Handler, headers map[string]string, body string) *httptest.ResponseRecorder {
	r := httptest.NewRequest(http.MethodPost, "/r", strings.NewReader(body))
	for k, v := range headers {
		r.Header[http.CanonicalHeaderKey(k)] = []string{v}
	}
	w := httptest.NewRecorder()
	h.ServeHTTP(w, r)
	return w
}

// Checks that the response of a streamed request is stored for resends, whether or not they
// want a stream. Guards against storing an empty body because the response was streamed.
func TestResendOfStreamedRequestGetsCompleteResponse(t *testing.T) {
	g := NewWithT(t)
	b := &countingClient{}
	h := newHandler(b)
	stream := map[string]string{"Idempotency-Key": "k", "Accept": StreamMediaType}
	first := send(h, stream, "{}").Body.String()
	g.Expect(first).To(ContainSubstring(`"final":true`))
	g.Expect(send(h, map[string]string{"Idempotency-Key": "k"}, "{}").Body.String()).To(Equal(`"done"`))
	g.Expect(send(h, stream, "{}").Body.String()).To(Equal(first))
	g.Expect(b.calls.Load()).To(BeEquivalentTo(2), "each of two stages called once")
	g.Expect(send(h, stream, "other").Code).To(Equal(http.StatusUnprocessableEntity))
}

// A service rejects a non-repeatable stage with a 4xx status. Checks that a resend gets the
// same error and not an unknown outcome.
func TestResendOfRefusedStageGetsSameProblem(t *testing.T) {
	g := NewWithT(t)
	b := &countingClient{err: &backend.Error{Delivery: backend.Responded, Status: http.StatusConflict, Cause: errors.New("no bars left")}}
	h := newHandler(b)
	first := send(h, map[string]string{"Idempotency-Key": "k"}, "{}")
	again := send(h, map[string]string{"Idempotency-Key": "k"}, "{}")
	g.Expect(first.Code).To(Equal(http.StatusBadGateway))
	g.Expect(again.Code).To(Equal(first.Code))
	g.Expect(again.Body.String()).To(MatchJSON(first.Body.String()))
	g.Expect(again.Header().Get("Content-Type")).To(Equal(first.Header().Get("Content-Type")))
	g.Expect(b.calls.Load()).To(BeEquivalentTo(1))
}

// Checks that the same key of different client accounts gives different operation keys. A
// service must not take the second booking for a repeat of the first.
func TestEqualKeysOfDifferentAccountsAreSeparateOperations(t *testing.T) {
	g := NewWithT(t)
	b := &countingClient{}
	h := newHandler(b)
	for _, account := range []string{"depot", "floor", "depot/1", "depot%2F1"} {
		g.Expect(send(h, map[string]string{"Idempotency-Key": "k", "X-Client-Account": account}, "{}").Code).To(Equal(http.StatusOK))
	}
	seen := 0
	b.keys.Range(func(any, any) bool { seen++; return true })
	g.Expect(seen).To(Equal(4))
}

// Checks that a host that refuses a request with a key before claiming it, here because it is
// draining, does not report "not run": an earlier request may have run on another host.
// Without a key there is no earlier request.
func TestRefusalOfUnknownKeyIsNotReportedAsNotRun(t *testing.T) {
	g := NewWithT(t)
	h := newHandler(&countingClient{})
	h.Gate.Close()
	for key, want := range map[string]errkind.Ran{"k": errkind.RanUnknown, "": errkind.RanNo} {
		var p Problem
		w := send(h, map[string]string{"Idempotency-Key": key}, "{}")
		g.Expect(json.Unmarshal(w.Body.Bytes(), &p)).To(Succeed())
		g.Expect(p.Kind).To(Equal(errkind.Draining))
		g.Expect(p.Ran).To(Equal(want), "key %q", key)
		g.Expect(w.Header().Get("Retry-After")).To(Equal("1"))
	}
}

// Checks that every kind has a status and a title, and that no kind is reported as "not run"
// after a stage was dispatched.
func TestEveryKindHasStatusAndTitle(t *testing.T) {
	g := NewWithT(t)
	for _, k := range errkind.All() {
		a := errkind.Lookup(k)
		g.Expect(a.Status).To(BeNumerically(">=", 400), string(k))
		g.Expect(a.Title).NotTo(BeEmpty(), string(k))
		e := errkind.New(k, "x")
		e.Dispatched = true
		g.Expect(e.Ran()).NotTo(Equal(errkind.RanNo), string(k))
		g.Expect(e.RetryDelay() > 0).To(Equal(a.Retry), string(k))
	}
}

// FuzzHeaders sends arbitrary headers. Each response must have status 200 or be a problem of a
// known kind, and no stage may have been called if the problem says "not run".
func FuzzHeaders(f *testing.F) {
	f.Add("depot", "k1", "2s", "id", StreamMediaType, "{}")
	f.Add(strings.Repeat("a", 200), "", "-1s", "", "", "")
	f.Add("", strings.Repeat("k", 300), "1e9h", "\x00", "application/json, "+StreamMediaType, "\xff")
	f.Add("", "bt1.AAAA", "0", strings.Repeat("i", 9000), "*/*", "{")
	f.Fuzz(func(t *testing.T, account, key, timeout, id, accept, body string) {
		b := &countingClient{}
		w := send(newHandler(b), map[string]string{
			"X-Client-Account": account, "Idempotency-Key": key, "X-Request-Timeout": timeout, "X-Request-Id": id, "Accept": accept,
		}, body)
		if w.Code == http.StatusOK {
			return
		}
		var p Problem
		if err := json.Unmarshal(w.Body.Bytes(), &p); err != nil || errkind.Lookup(p.Kind).Status != w.Code {
			t.Fatalf("status %d with %q", w.Code, w.Body)
		}
		if p.Ran == errkind.RanNo && b.calls.Load() > 0 {
			t.Fatalf("%s says not run after %d calls", p.Kind, b.calls.Load())
		}
	})
}
