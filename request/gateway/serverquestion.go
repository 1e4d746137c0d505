package gateway

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"syscall"
	"time"

	"bilberrydale/connection/upstream"
	"bilberrydale/process/directory"
	"bilberrydale/request/wire"
)

const (
	// maxSoundSilence is longer than a sound server answers nobody.
	maxSoundSilence = 1500 * time.Millisecond
	// promptAnswerTime is the time in which a server answers that is not silent.
	promptAnswerTime = 300 * time.Millisecond
	// askInterval is the time between two questions of which the first one failed.
	askInterval = 100 * time.Millisecond
)

// serverAnswer is the answer of a server to the question whether it is silent as a whole.
type serverAnswer struct {
	took time.Duration // until it answered or was given up
	late bool          // it was silent and has just woken
	err  error         // nil: it answered
}

// askServer asks a server whether it is silent as a whole. A server that answers, or has ended, drops a run
// when its connection is closed, or has dropped it. One that is silent goes on with its runs when it wakes, even if
// their connections were closed meanwhile; it is given up after maxSoundSilence. The requests of the host
// share a question: each on a connection of its own, they could use up the connections that a server takes.
func (g *Gateway) askServer(ctx context.Context, s *directory.Server) serverAnswer {
	process := s.ID + "/" + strconv.FormatInt(s.StartedUnixMS, 10)
	answer := g.questions.DoChan(process, func() (any, error) { return g.awaitAnswer(context.WithoutCancel(ctx), s), nil })
	select {
	case a := <-answer:
		return a.Val.(serverAnswer)
	case <-ctx.Done():
		return serverAnswer{err: ctx.Err()}
	}
}

// awaitAnswer asks a server until it answers, has ended or is given up. Only the time of the last question tells
// whether the server was silent: this host may not have reached it before.
func (g *Gateway) awaitAnswer(ctx context.Context, s *directory.Server) (a serverAnswer) {
	ctx, cancel := context.WithTimeout(ctx, maxSoundSilence)
	defer cancel()
	begun := g.opts.Clock.Now()
	for {
		asked := g.opts.Clock.Now()
		a.err = g.probeProcess(ctx, s)
		now := g.opts.Clock.Now()
		a.took, a.late = now.Sub(begun), a.err == nil && now.Sub(asked) > promptAnswerTime
		if a.err == nil || errors.Is(a.err, syscall.ECONNREFUSED) {
			return a
		}
		select {
		case <-ctx.Done():
			a.took = g.opts.Clock.Now().Sub(begun)
			return a
		case <-g.opts.Clock.After(askInterval):
		}
	}
}

// probeProcess returns nil if the process of a server that its entry tells of responds. Its errors are those of
// ServerClient.ProbeProcess.
func (g *Gateway) probeProcess(ctx context.Context, s *directory.Server) error {
	return g.opts.Servers.ProbeProcess(ctx, s.Address, &upstream.Request{
		StartedUnixMS: s.StartedUnixMS, Header: g.opts.Headers.EncodeServerRequest(http.Header{}, wire.ServerRequest{ServerID: s.ID}),
	})
}
