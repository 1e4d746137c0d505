package batcher

import (
	"context"
	"errors"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"bilberrydale/process/clock"
	"bilberrydale/process/directory"
)

// calls answers with an answer by server.
type calls map[string]Response

func (c calls) Run(_ context.Context, call *Call) Response {
	a := c[call.Server.ID]
	if a.Err == nil {
		a.Results = make([]Result, len(call.Items))
		for i := range a.Results {
			a.Results[i] = Result{Handle: call.Server.ID, ServerID: call.Server.ID}
		}
	}
	return a
}

func (calls) FreeResultMemory(context.Context, *directory.Server) (int64, error) {
	return sheet.ResultMemoryBytes, nil
}
func (calls) ReleaseResults(context.Context, *directory.Server, []string) error { return nil }

type quiet struct{}

func (quiet) CallSent(string, *Call, int)                      {}
func (quiet) CallEnded(string, *Call, time.Duration, Response) {}

// One server breaks its calls off, another says that it has too much work. The
// job is done by the third; the first is passed over for a while, the second is
// sound.
func TestServerThatBreaksACallOffIsPassedOver(t *testing.T) {
	g := NewWithT(t)
	dir := directory.New()
	dir.Replace([]directory.Entry{
		{ID: "broken", Service: "s", Domain: "x"}, {ID: "busy", Service: "s", Domain: "x"}, {ID: "sound", Service: "s", Domain: "y"},
	}, time.Now())
	b := New("s", sheet, calls{
		"broken": {Err: errors.New("cut")}, "busy": {Err: errors.New("full"), Busy: true}, "sound": {},
	}, clock.System{}, quiet{})
	b.Configure(sheet, dir.View().Servers("s"), func(*directory.Server) time.Duration { return 0 })
	go func() { _ = b.Run(t.Context()) }()
	done := make(chan Result, 1)
	now := time.Now()
	b.Submit(&Job{
		Items: []Item{{RequestID: "r"}}, Domain: "x", TargetTime: now.Add(10 * time.Second), Deadline: now.Add(20 * time.Second),
		OnResult: func(_ int, r Result) { done <- r },
	})
	var r Result
	g.Eventually(done, "10s").Should(Receive(&r))
	g.Expect(r.ServerID).To(Equal("sound"))
	g.Expect(dir.View().Server("broken").InBackoff(now)).To(BeTrue())
	g.Expect(dir.View().Server("busy").InBackoff(now)).To(BeFalse())
}
