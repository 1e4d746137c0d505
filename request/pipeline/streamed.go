package pipeline

import (
	"context"
	"errors"
	"fmt"
	"time"

	"bilberrydale/connection/backend"
	"bilberrydale/process/errkind"
	"bilberrydale/version/snapshot"
)

// Errors of handling the chunks of a stream. Use errors.Is.
var (
	// errResumeMismatch means that a chunk does not continue the data accepted before or
	// repeats it with changes.
	errResumeMismatch = errors.New("pipeline: resumed stream differs from what was sent before")
	// errSinkFailed means that Request.Sink returned an error, so the response cannot be written to the caller.
	errSinkFailed = errors.New("pipeline: the caller does not take the answer")
)

// maxResumes limits the resumptions of a stream.
const maxResumes = 5

// streamedStage is the state of a streamed stage over all its attempts.
type streamedStage struct {
	*execution
	st           *snapshot.Stage
	in           []byte        // input of the stage
	offset       int64         // bytes accepted so far
	lastChunk    backend.Chunk // the last chunk with data that was accepted
	body         []byte        // collected response; see Request.Sink and CollectBody
	resumes      int           // resumptions so far
	lastProgress time.Time     // when the current attempt was sent or its last chunk arrived
	firstByteAt  time.Time     // when the first chunk arrived
}

// runStreamed runs a streamed stage. If the connection is lost, it resumes on the same
// server at the start of the last chunk, whose bytes must be repeated unchanged. It starts
// over on another server only if no chunk has been sent to the caller. A server that has started
// again at another software version does not go on: what two versions write does not fit together,
// even if the repeated bytes are alike.
func (x *execution) runStreamed(ctx context.Context, st *snapshot.Stage, in []byte) ([]byte, *errkind.Error) {
	s := &streamedStage{execution: x, st: st, in: in}
	var a *attempt
	for {
		if s.offset == 0 {
			next, attemptErr := x.newAttempt(ctx, st, in, true)
			if attemptErr != nil {
				return nil, attemptErr
			}
			a = next
		}
		err := s.sendStream(ctx, a)
		x.recordDispatch(err)
		if err == nil {
			x.req.Admitted.StreamDuration = s.lastProgress.Sub(s.firstByteAt)
			return x.nextInput(output{streamedContentType, s.body}), nil
		}
		if !s.prepareNext(ctx, a, err) {
			return nil, s.finalError(ctx, err)
		}
	}
}

// sendStream sends an attempt. It resumes at the start of the last chunk, if there is one.
func (s *streamedStage) sendStream(ctx context.Context, a *attempt) error {
	c := s.newCall(s.st, a, s.in)
	c.ResumeOffset = s.lastChunk.Offset
	p := s.pool(s.st)
	c.FirstByteTimeout = p.firstByteDelay.timeout(s.Options.MinStallTimeout, s.st.Budget.Std())
	c.IdleTimeout = p.chunkInterval.timeout(s.Options.MinStallTimeout, s.Options.InitialIdleTimeout)
	c.OnStall = func(reused bool) bool {
		s.Counters.Stalls.Add(1)
		// The stalled connection is new and the server responds to a probe: it is
		// slow. Aborting the call would only add to its load.
		return !s.probeShared(a) || reused
	}
	s.lastProgress = s.Clock.Now()
	return s.sendAttempt(ctx, s.st, a, func(ctx context.Context) error {
		return s.Backend.Stream(ctx, c, s.handleChunk)
	})
}

// handleChunk checks that the part of a chunk that repeats earlier data is unchanged and
// passes on the rest.
func (s *streamedStage) handleChunk(ch backend.Chunk) error {
	s.observeProgress()
	if s.offset > 0 && ch.Version != s.lastChunk.Version {
		return fmt.Errorf("%w: version %q, begun by %q", errResumeMismatch, ch.Version, s.lastChunk.Version)
	}
	if overlap := min(s.offset-ch.Offset, int64(len(ch.Data))); overlap > 0 {
		start := ch.Offset - s.lastChunk.Offset
		if start < 0 || s.lastChunk.Data[start:start+overlap] != ch.Data[:overlap] {
			return errResumeMismatch
		}
		ch.Data, ch.Offset = ch.Data[overlap:], ch.Offset+overlap
		if ch.Data == "" && !ch.Final {
			return nil
		}
	}
	if ch.Offset != s.offset {
		return fmt.Errorf("%w: offset %d, want %d", errResumeMismatch, ch.Offset, s.offset)
	}
	if s.req.Sink == nil || s.req.CollectBody {
		s.body = append(s.body, ch.Data...)
	}
	if ch.Data != "" {
		s.lastChunk = ch
		s.offset += int64(len(ch.Data))
	}
	if s.req.Sink == nil {
		return nil
	}
	if err := s.req.Sink(ch); err != nil {
		return fmt.Errorf("%w: %w", errSinkFailed, err)
	}
	return nil
}

// observeProgress measures the delay of a chunk.
func (s *streamedStage) observeProgress() {
	now := s.Clock.Now()
	p := s.pool(s.st)
	if s.offset == 0 {
		s.firstByteAt = now
		p.firstByteDelay.observe(now.Sub(s.lastProgress))
	} else {
		p.chunkInterval.observe(now.Sub(s.lastProgress))
	}
	s.lastProgress = now
}

// prepareNext reports whether another attempt follows err, and prepares it.
func (s *streamedStage) prepareNext(ctx context.Context, a *attempt, err error) bool {
	var be *backend.Error
	if ctx.Err() != nil || errors.Is(err, errSinkFailed) {
		return false
	}
	connectionLost := errors.As(err, &be) && be.Delivery == backend.MaybeSent
	switch {
	case s.offset > 0 && connectionLost && s.resumes < maxResumes:
		s.resumes++
		s.attempts++
		s.Counters.Resumptions.Add(1)
		a.number = s.attempts
		// The end of the last attempt released the server to other suspects.
		a.isolated = a.isolated && s.Isolator.Acquire(a.server.Name, s.req.Subjects.Content())
		return true
	case s.offset > 0 && s.req.Sink != nil:
		// A server that accepts no connection has lost the stream with its process,
		// and another server would generate different data.
		return false
	case s.offset > 0:
		return s.restart() && s.acquireRetry(s.st)
	case connectionLost && be.Stalled:
		if len(s.triedServers) < s.Options.MaxAttempts && s.acquireRetry(s.st) {
			s.triedServers = without(s.triedServers, a.server.State)
			return true
		}
		return false
	default:
		return s.acquireRetryAfter(s.st, err)
	}
}

// restart discards the data received so far, none of which was sent to the caller, and
// reports whether the stage may be attempted again.
func (s *streamedStage) restart() bool {
	s.offset, s.lastChunk, s.body = 0, backend.Chunk{}, nil
	return len(s.triedServers) < s.Options.MaxAttempts
}

// finalError returns the error that the caller gets for a stream that ended with err.
func (s *streamedStage) finalError(ctx context.Context, err error) *errkind.Error {
	if ctxErr := s.contextError(ctx); ctxErr != nil {
		return ctxErr
	}
	if s.offset > 0 && s.req.Sink != nil && !errors.Is(err, errSinkFailed) {
		return errkind.New(errkind.StreamCut, "stage %s: %w", s.st.Name, err)
	}
	return s.classifyError(ctx, s.st, err)
}
