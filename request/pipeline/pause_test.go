package pipeline

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"go.opentelemetry.io/otel/trace/noop"

	"bilberrydale/connection/backend"
	"bilberrydale/process/admission"
	"bilberrydale/process/clock"
	"bilberrydale/process/errkind"
	"bilberrydale/process/quarantine"
	"bilberrydale/process/serverstate"
	"bilberrydale/version/pick"
	"bilberrydale/version/snapshot"
	"bilberrydale/version/table"
)

// pausingClient advances the clock by an hour during each call, like a pause of the
// process.
type pausingClient struct {
	clock *clock.Manual
	calls []string
}

func (p *pausingClient) Do(_ context.Context, c *backend.Call) (*backend.Response, error) {
	p.calls = append(p.calls, c.Stage)
	p.clock.Advance(time.Hour)
	return &backend.Response{Status: 200}, nil
}

func (p *pausingClient) Stream(context.Context, *backend.Call, func(backend.Chunk) error) error {
	return nil
}

func (p *pausingClient) Probe(context.Context, *serverstate.State) error { return nil }
func (p *pausingClient) CloseIdleConnections(*serverstate.State)         {}

// Guards against starting a non-repeatable stage after the deadline. The process is paused
// for an hour between two stages and resumes before its timers fire, so the request's
// context has not ended yet. The caller has timed out and may have resent the booking.
func TestStageDoesNotStartAfterDeadlineWhenTimersAreLate(t *testing.T) {
	g := NewWithT(t)
	clk := clock.NewManual(time.Now())
	b := &pausingClient{clock: clk}
	state := serverstate.NewRegistry().Get("s", "127.0.0.1:1", clk.Now())
	pool := &snapshot.Pool{Pool: table.Pool{Name: "p"}, Picker: pick.NewRandomPicker([]pick.Server{{State: state}})}
	stage := func(i int, name string, repeatable bool) snapshot.Stage {
		return snapshot.Stage{Stage: table.Stage{Name: name, Pool: "p", Budget: table.Duration(time.Second), Repeatable: repeatable}, Pool: pool, Index: i}
	}
	r := &Runner{
		Backend: b, Admission: admission.AlwaysAdmit{}, Quarantine: quarantine.AllowAll{}, Clock: clk, Rand: clock.NewSeeded(1),
		Tracer: noop.NewTracerProvider().Tracer(""), Options: DefaultOptions(),
	}
	res, err := r.Run(t.Context(), &Request{
		Route:    &snapshot.Route{Stages: []snapshot.Stage{stage(0, "check", true), stage(1, "book", false)}},
		Admitted: &admission.Request{Deadline: clk.Now().Add(time.Minute)},
	})
	g.Expect(err.Kind).To(Equal(errkind.DeadlineExceeded))
	g.Expect(err.Ran()).To(Equal(errkind.RanUnknown))
	g.Expect(res.NonRepeatableMayHaveRun).To(BeFalse())
	g.Expect(b.calls).To(Equal([]string{"check"}))
}
