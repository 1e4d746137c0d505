package pipeline

import (
	"errors"
	"testing"

	. "github.com/onsi/gomega"

	"bilberrydale/connection/backend"
	"bilberrydale/process/serverstate"
)

// Checks that a full queue or an invalid request does not mark a healthy server as failed.
func TestServerOutcomeOfAttempt(t *testing.T) {
	for name, c := range map[string]struct {
		err      error
		want     serverstate.Outcome
		decisive bool
	}{
		"whole answer":   {nil, serverstate.Succeeded, true},
		"no connection":  {&backend.Error{Delivery: backend.NotSent}, serverstate.Unreachable, true},
		"queue full":     {&backend.Error{Delivery: backend.Responded, Status: 503, NotStarted: true}, serverstate.Overloaded, true},
		"reset":          {&backend.Error{Delivery: backend.MaybeSent, ConnectionFailed: true}, 0, false}, // decided by the probe
		"server error":   {&backend.Error{Delivery: backend.Responded, Status: 500}, serverstate.Failed, true},
		"faulty request": {&backend.Error{Delivery: backend.Responded, Status: 400}, 0, false},
		"stalled":        {&backend.Error{Delivery: backend.MaybeSent, Stalled: true}, 0, false},
		"other":          {errors.New("x"), 0, false},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			got, decisive := serverOutcome(c.err)
			g.Expect(decisive).To(Equal(c.decisive))
			g.Expect(got).To(Equal(c.want))
		})
	}
}
