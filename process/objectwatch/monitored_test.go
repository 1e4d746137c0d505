package objectwatch

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"bilberrydale/process/apihealth"
	"bilberrydale/process/clock"
)

// noWatchSource responds to lists and leaves watches without a response, as a store does that
// loses its history.
type noWatchSource struct{ api }

func (d *noWatchSource) Watch(ctx context.Context, _ Revision, _ time.Duration) (Response[string], error) {
	<-ctx.Done()
	return Response[string]{}, ctx.Err()
}

// Guards against a copy that becomes too old while the store responds to everything but
// watches: the reader of a region repeated watches that got no response, and all its hosts
// rejected their keys.
func TestUnansweredWatchIsFollowedByList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		r := apihealth.New(apihealth.Options{
			Probe: func(context.Context) error { return nil }, Clock: clock.System{}, Rand: clock.NewSeeded(1),
			FullProbeRate: func() bool { return true }, OnChange: func(bool, time.Duration) {},
		})
		ctx, stop := context.WithCancel(t.Context())
		go func() { _ = r.Run(ctx) }()
		source := &noWatchSource{api: api{value: "1", rev: 5}}
		f := newFollower(Monitored[string](r, source), clock.System{})
		g.Expect(f.step(ctx)).To(Succeed())
		started := time.Now()
		for source.count() < 2 {
			g.Expect(f.step(ctx)).To(Succeed())
		}
		g.Expect(time.Since(started)).To(BeNumerically("<", f.opts.WatchWait+time.Second/2), "in simulated time")
		stop()
		synctest.Wait()
	})
}
