package drain

import (
	"context"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"

	. "github.com/onsi/gomega"
)

// Requests enter and exit while the gate is being closed, and each starts work
// that outlives it. When Wait returns, all work that entered must have ended:
// otherwise the exit of the process would abort it.
func TestWaitReturnsOnlyAfterAllEnteredWorkExits(t *testing.T) {
	g := NewWithT(t)
	for range 2000 {
		var gate Gate
		var drained, workAfterDrain atomic.Bool
		var nested sync.WaitGroup
		var requests sync.WaitGroup
		start := make(chan struct{})
		for range 8 {
			requests.Go(func() {
				<-start
				if !gate.Enter() {
					return
				}
				gate.EnterNested()
				nested.Go(func() {
					runtime.Gosched()
					workAfterDrain.Store(workAfterDrain.Load() || drained.Load())
					gate.Exit()
				})
				gate.Exit()
			})
		}
		close(start)
		gate.Close()
		g.Expect(gate.Wait(context.Background())).To(Succeed())
		drained.Store(true)
		requests.Wait()
		nested.Wait()
		g.Expect(workAfterDrain.Load()).To(BeFalse(), "work ran after Wait returned")
		g.Expect(gate.Active()).To(BeZero())
		g.Expect(gate.Enter()).To(BeFalse())
	}
}

// A drain that takes too long ends with its context and returns its error.
func TestWaitReturnsContextError(t *testing.T) {
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
