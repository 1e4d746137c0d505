package pipeline

import (
	"errors"
	"testing"

	. "github.com/onsi/gomega"

	"bilberrydale/connection/backend"
	"bilberrydale/process/server"
)

// An attempt counts against its server only when the server is at fault: a full
// queue or a faulty request must not take a healthy server out of use.
func TestEvidenceOfAnAttempt(t *testing.T) {
	for name, c := range map[string]struct {
		err  error
		want server.Outcome
		says bool
	}{
		"whole answer":   {nil, server.Succeeded, true},
		"no connection":  {&backend.Error{Delivery: backend.NotSent}, server.Unreachable, true},
		"queue full":     {&backend.Error{Delivery: backend.Responded, Status: 503, NotStarted: true}, server.Overloaded, true},
		"reset":          {&backend.Error{Delivery: backend.MaybeSent, ConnectionFailed: true}, 0, false}, // the probe says
		"server error":   {&backend.Error{Delivery: backend.Responded, Status: 500}, server.Failed, true},
		"faulty request": {&backend.Error{Delivery: backend.Responded, Status: 400}, 0, false},
		"silence":        {&backend.Error{Delivery: backend.MaybeSent, Stalled: true}, 0, false},
		"other":          {errors.New("x"), 0, false},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			got, says := evidence(c.err)
			g.Expect(says).To(Equal(c.says))
			g.Expect(got).To(Equal(c.want))
		})
	}
}
