package peer

import (
	"errors"
	"strings"
)

// unknownMethodText begins the error of a peer that has no handler for a method. Peers of other builds
// send and compare it: it must not change.
const unknownMethodText = "no handler for "

// IsUnknownMethod reports whether err, of Link.Call, means that the peer has no handler for the method, so
// that nothing was executed. Peers of a build without the method respond so.
func IsUnknownMethod(err error) bool {
	if !errors.Is(err, ErrFailureResponse) {
		return false
	}
	_, text, _ := strings.Cut(err.Error(), ErrFailureResponse.Error()+": ")
	return strings.HasPrefix(text, unknownMethodText)
}
