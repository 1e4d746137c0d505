package peer_test

import (
	"context"
	"errors"
	"fmt"
	"testing"

	. "github.com/onsi/gomega"

	"bilberrydale/process/peer"
)

// A peer of the build before lacks a method. Guards against other refusals, such as by a full peer or a
// handler that failed, being taken for that.
func TestUnknownMethodIsToldFromOtherRefusals(t *testing.T) {
	g := NewWithT(t)
	m := peer.NewMesh(peer.MeshOptions{Self: peer.Identity{Host: "self"}})
	_, unknown := m.Dispatch(context.Background(), peer.Identity{Host: "a"}, "new", nil)
	g.Expect(unknown).To(MatchError("no handler for new"), "the text that other builds send")
	refused := func(text string) error { return fmt.Errorf("%w: %s", peer.ErrFailureResponse, text) }
	g.Expect(peer.IsUnknownMethod(refused(unknown.Error()))).To(BeTrue())
	g.Expect(peer.IsUnknownMethod(fmt.Errorf("call: %w", refused(unknown.Error())))).To(BeTrue())
	for _, err := range []error{
		nil, unknown, peer.ErrFailureResponse, refused("too many calls"), refused("handler failed"),
		refused(refused(unknown.Error()).Error()),
		errors.Join(peer.ErrNoResponse, unknown),
	} {
		g.Expect(peer.IsUnknownMethod(err)).To(BeFalse(), "%v", err)
	}
}
