package peer

import (
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
