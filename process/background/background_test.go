package background_test

import (
	"sync"
	"sync/atomic"
	"testing"

	. "github.com/onsi/gomega"

	"bilberrydale/process/background"
)

// Work that handlers begin while the group closes neither races with the wait
// nor runs after it.
func TestWorkThatBeginsWhileTheGroupCloses(t *testing.T) {
	g := NewWithT(t)
	for range 200 {
		var group background.Group
		var closed atomic.Bool
		var late, begun, ran atomic.Int64
		var handlers sync.WaitGroup
		for range 4 {
			handlers.Go(func() {
				for range 20 {
					if group.Go(func() {
						ran.Add(1)
						if closed.Load() {
							late.Add(1)
						}
					}) {
						begun.Add(1)
					}
				}
			})
		}
		group.Close()
		closed.Store(true)
		handlers.Wait()
		g.Expect(late.Load()).To(BeZero())
		g.Expect(ran.Load()).To(Equal(begun.Load()))
	}
}

func TestNothingBeginsOnceTheGroupIsClosed(t *testing.T) {
	g := NewWithT(t)
	var group background.Group
	group.Close()
	g.Expect(group.Go(func() { t.Error("was begun") })).To(BeFalse())
}
