package gateway

import (
	"context"
	"fmt"
	"maps"
	"sync"
	"time"

	"bilberrydale/process/directory"
	"bilberrydale/version/plan"
)

// errLeftSilentServer means that a stream has left a server that sent nothing, as it can go on at
// another one.
var errLeftSilentServer = fmt.Errorf("%w: the server was silent, and the stream can go on elsewhere", errInvalidResponse)

// If no event arrives within these times, another server is sought for a stream that can go on
// there. Both are longer than the silences of a second or so in which a server is sound and works on,
// and leave time for another one before clients give up.
const (
	firstEventTimeout = 1600 * time.Millisecond // includes the processing of this and other prompts
	eventTimeout      = 1700 * time.Millisecond
	// searchInterval is the time between two searches while there is no other server.
	searchInterval = 500 * time.Millisecond
)

// silenceWatch looks for another server while the server of a stream, or of a request that may be repeated, sends
// nothing. The run goes on meanwhile, and is ended only once the request can go on elsewhere: a run that was broken off for a
// server that refuses the stream is lost for its client, and one at a server that is silent as a whole goes
// on once it wakes. The exchange is used by either the search or the goroutine that awaits the server, which
// calls the methods.
type silenceWatch struct {
	x      *exchange
	hist   *attemptHistory
	server *directory.Server
	// leave interrupts the wait for the server.
	leave context.CancelFunc

	mu     sync.Mutex // guards the fields below
	timer  *time.Timer
	after  time.Duration      // without an event, after which a search begins
	armed  bool               // a search may begin
	cancel context.CancelFunc // of the search in progress; nil: none
	done   chan struct{}      // closed when the last search ends; nil: there was none
	found  bool               // leave was called
}

// watchSilence returns the watch of a stream, which begins when it is armed. A stream that cannot go on
// at another server is awaited until its deadline.
func (x *exchange) watchSilence(a *attempt, hist *attemptHistory) *silenceWatch {
	return &silenceWatch{x: x, hist: hist, server: a.server, leave: a.cancel}
}

// arm begins a search once the server has sent nothing for a time.
func (w *silenceWatch) arm(ctx context.Context, silence time.Duration) {
	if !w.x.retryable() || w.hist.possibleRuns+1 >= w.x.route.MaxAttempts {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.armed, w.after = true, silence
	w.startTimer(ctx, silence)
}

// startTimer begins a search after a time. The caller holds w.mu.
func (w *silenceWatch) startTimer(ctx context.Context, after time.Duration) {
	if w.timer == nil {
		w.timer = time.AfterFunc(after, func() { w.search(ctx) })
		return
	}
	w.timer.Reset(after)
}

// disarm ends a search in progress and waits for it. It reports whether the stream leaves its server.
func (w *silenceWatch) disarm() bool {
	w.mu.Lock()
	w.armed = false
	if w.timer != nil {
		w.timer.Stop()
	}
	if w.cancel != nil {
		w.cancel()
	}
	done := w.done
	w.mu.Unlock()
	if done != nil {
		<-done
	}
	return w.found
}

// search looks for another server. It ends the run if there is one, and is repeated if not.
func (w *silenceWatch) search(ctx context.Context) {
	w.mu.Lock()
	if !w.armed {
		w.mu.Unlock()
		return
	}
	ctxSearch, cancel := context.WithCancel(ctx)
	defer cancel()
	w.cancel, w.done = cancel, make(chan struct{})
	defer close(w.done)
	w.mu.Unlock()

	ready, woken := w.prepare(ctxSearch)

	w.mu.Lock()
	defer w.mu.Unlock()
	w.cancel = nil
	switch {
	case !w.armed || ctx.Err() != nil:
	case ready:
		w.found = true
		w.leave()
	case woken:
		w.startTimer(ctx, w.after)
	default:
		w.startTimer(ctx, searchInterval)
	}
}

// prepare reports whether the request can leave its server for another one now, and whether the server has
// just woken. A run that may be repeated does no harm beside the next one.
func (w *silenceWatch) prepare(ctx context.Context) (ready, woken bool) {
	if w.x.route.Kind != plan.Stream {
		return w.x.preferPrompt(ctx, w.hist) && w.x.prepareElsewhere(ctx, w.hist), false
	}
	if w.x.chooseServer(w.hist) == nil {
		return false, false
	}
	rerunsStages := w.x.inputsReleased
	if ready, woken = w.mayLeave(ctx); !ready {
		return false, woken
	}
	if !w.x.prepareElsewhere(ctx, w.hist) {
		return false, false
	}
	if rerunsStages { // in which time the server may have fallen silent
		return w.mayLeave(ctx)
	}
	return true, false
}

// mayLeave reports whether the run at the server is dropped if the stream leaves it now, and whether the
// server has just woken. See askServer.
func (w *silenceWatch) mayLeave(ctx context.Context) (may, woken bool) {
	begun := w.x.opts.Clock.Now()
	a := w.x.askServer(ctx, w.server)
	waited := w.x.opts.Clock.Now().Sub(begun) > promptAnswerTime
	if waited && (a.late || ctx.Err() != nil) {
		w.x.logEntry.SilencesAwaited++
	}
	switch {
	case ctx.Err() != nil:
		return false, false
	case a.late:
		return false, true
	case a.err != nil:
		w.x.logEntry.noteFailure(fmt.Sprintf("%s does not answer after %s: %v", w.server.ID, a.took, a.err))
	}
	return true, false
}

// preferPrompt looks for a server that answers promptly, which gets the next attempt. It reports whether there is
// one.
func (x *exchange) preferPrompt(ctx context.Context, hist *attemptHistory) bool {
	search := *hist
	search.tried = maps.Clone(hist.tried)
	for range maxRefusals {
		s := x.chooseServer(&search)
		if s == nil || ctx.Err() != nil {
			return false
		}
		if x.answersPromptly(ctx, s) {
			x.preferredServer = s.ID
			return true
		}
		search.tried[s.ID] = true
	}
	return false
}

// answersPromptly reports whether a server answers a question in the time of a sound one. It is taken to do so if
// it does not tell its start, without which it cannot be asked.
func (x *exchange) answersPromptly(ctx context.Context, s *directory.Server) bool {
	if s.StartedUnixMS == 0 {
		return true
	}
	ctxPrompt, cancel := context.WithTimeout(ctx, promptAnswerTime)
	defer cancel()
	err := x.askServer(ctxPrompt, s).err
	if err != nil && ctx.Err() == nil {
		x.opts.Servers.CloseIdle(s.Address) // this host may be cut off
	}
	return err == nil
}

// prepareElsewhere reports whether a request can go on at another server now. It runs the stages again
// if the inputs have been released.
func (x *exchange) prepareElsewhere(ctx context.Context, hist *attemptHistory) bool {
	if x.chooseServer(hist) == nil || !hist.retryTaken && !x.opts.RetryLimiter.AllowRetry(x.service) {
		return false
	}
	hist.retryTaken = true
	if err := x.restoreInputs(ctx); err != nil {
		x.logEntry.noteFailure(fmt.Sprintf("no stage results to go on elsewhere: %v", err))
		return false
	}
	return x.chooseServer(hist) != nil
}

// restoreInputs runs the stages of the request again if it needs their results and has released them. The
// error is that of runStages.
func (x *exchange) restoreInputs(ctx context.Context) error {
	if !x.inputsReleased {
		return nil
	}
	return x.rerunStages(ctx)
}
