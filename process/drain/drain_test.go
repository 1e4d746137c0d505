package drain

import (
	"context"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"

	. "github.com/onsi/gomega"
)

// Requests come and go while the gate is closed, and some leave work behind
// that goes on without them. Whoever was let in has ended when Wait returns; a
// wait that returned earlier would cut them with the process.
func TestNothingLetInIsCut(t *testing.T) {
	g := NewWithT(t)
	for range 2000 {
		var gate Gate
		var over, late atomic.Bool
		var left sync.WaitGroup
		var inside sync.WaitGroup
		begin := make(chan struct{})
		for range 8 {
			inside.Go(func() {
				<-begin
				if !gate.Enter() {
					return
				}
				gate.EnterNested()
				left.Go(func() {
					runtime.Gosched()
					late.Store(late.Load() || over.Load())
					gate.Exit()
				})
				gate.Exit()
			})
		}
		close(begin)
		gate.Close()
		g.Expect(gate.Wait(context.Background())).To(Succeed())
		over.Store(true)
		inside.Wait()
		left.Wait()
		g.Expect(late.Load()).To(BeFalse(), "work after the wait")
		g.Expect(gate.Active()).To(BeZero())
		g.Expect(gate.Enter()).To(BeFalse())
	}
}

// A drain that takes too long ends with its context, and says so.
func TestWaitEndsWithItsContext(t *testing.T) {
	g := NewWithT(t)
	var gate Gate
	g.Expect(gate.Enter()).To(BeTrue())
	gate.Close()
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	g.Expect(gate.Wait(ctx)).To(MatchError(context.Canceled))
	gate.Exit()
	g.Expect(gate.Wait(context.Background())).To(Succeed())
}
