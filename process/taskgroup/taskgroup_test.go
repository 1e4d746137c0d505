package taskgroup_test

import (
	"sync"
	"sync/atomic"
	"testing"

	. "github.com/onsi/gomega"

	"bilberrydale/process/taskgroup"
)

// Handlers call Go while the group closes. Their functions must neither race with the wait
// in Close nor run after it.
func TestGoDuringCloseDoesNotOutliveGroup(t *testing.T) {
	g := NewWithT(t)
	for range 200 {
		var group taskgroup.Group
		var closed atomic.Bool
		var late, started, ran atomic.Int64
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
						started.Add(1)
					}
				}
			})
		}
		group.Close()
		closed.Store(true)
		handlers.Wait()
		g.Expect(late.Load()).To(BeZero())
		g.Expect(ran.Load()).To(Equal(started.Load()))
	}
}

func TestGoAfterCloseStartsNothing(t *testing.T) {
	g := NewWithT(t)
	var group taskgroup.Group
	group.Close()
	g.Expect(group.Go(func() { t.Error("function was run") })).To(BeFalse())
}
