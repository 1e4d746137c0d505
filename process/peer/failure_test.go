package peer

import (
	"context"
	"fmt"
	"testing"

	. "github.com/onsi/gomega"
)

// Guards against a build without a method that is taken for a failure of it: the text of the response tells
// them apart, for builds before, too.
func TestPeersWithoutHandlerAreToldApart(t *testing.T) {
	g := NewWithT(t)
	_, err := (&Mesh{}).Dispatch(t.Context(), Identity{}, "m", nil)
	g.Expect(err).To(MatchError("no handler for m"))
	g.Expect(FailureResponse(err.Error())).To(MatchError(ErrNoHandler))
	g.Expect(FailureResponse(err.Error())).To(MatchError(ErrFailureResponse))
	g.Expect(FailureResponse("it failed: " + err.Error())).NotTo(MatchError(ErrNoHandler))
}

// Guards against repeating elsewhere what a peer may have done: only some failures prove that no handler has
// run.
func TestFailuresThatProveThatNoHandlerHasRun(t *testing.T) {
	g := NewWithT(t)
	for _, err := range []error{ErrUnreachable, FailureResponse(noHandlerText + "m"), FailureResponse(TooManyCallsText)} {
		g.Expect(NotHandled(fmt.Errorf("m to h: %w", err))).To(BeTrue(), err.Error())
	}
	for _, err := range []error{nil, ErrNoResponse, ErrFailureResponse, FailureResponse("handler panicked"), FailureResponse("it failed: " + TooManyCallsText), FailureResponse("frame too large"), context.DeadlineExceeded} {
		g.Expect(NotHandled(err)).To(BeFalse(), fmt.Sprint(err))
	}
}
