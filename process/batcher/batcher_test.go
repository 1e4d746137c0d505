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

// stubBackend holds the response of each server by id. Responses without an error get a
// result for each item.
type stubBackend map[string]Response

func (c stubBackend) Run(_ context.Context, call *Call) Response {
	resp := c[call.Server.ID]
	if resp.Err == nil {
		resp.Results = make([]Result, len(call.Items))
		for i := range resp.Results {
			resp.Results[i] = Result{Handle: call.Server.ID, ServerID: call.Server.ID}
		}
	}
	return resp
}

func (stubBackend) FreeResultMemory(context.Context, *directory.Server) (int64, error) {
	return testOptions.ResultMemoryBytes, nil
}
func (stubBackend) ReleaseResults(context.Context, *directory.Server, []string) error { return nil }

type nopLogger struct{}

func (nopLogger) CallSent(string, *Call, int)                      {}
func (nopLogger) CallEnded(string, *Call, time.Duration, Response) {}

// One server fails its calls, another refuses them as overloaded. The third server must
// complete the job. The first has to be avoided for a while, the second must not be.
func TestServerWithFailedCallIsAvoided(t *testing.T) {
	g := NewWithT(t)
	dir := directory.New()
	dir.Replace([]directory.Entry{
		{ID: "broken", Service: "s", Domain: "x"}, {ID: "busy", Service: "s", Domain: "x"}, {ID: "sound", Service: "s", Domain: "y"},
	}, time.Now())
	b := New("s", testOptions, stubBackend{
		"broken": {Err: errors.New("cut")}, "busy": {Err: errors.New("full"), Busy: true}, "sound": {},
	}, clock.System{}, nopLogger{})
	b.Configure(testOptions, dir.View().Servers("s"), func(*directory.Server) time.Duration { return 0 })
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
