package pipeline

import (
	"context"
	"errors"
	"fmt"
	"time"

	"bilberrydale/connection/backend"
	"bilberrydale/process/kind"
	"bilberrydale/version/snapshot"
)

// Errors of a stream's chunks. Use errors.Is.
var (
	errChanged = errors.New("pipeline: resumed stream differs from what was sent before")
	errCaller  = errors.New("pipeline: the caller does not take the answer")
)

// maxResumes bounds the resumptions of one stream.
const maxResumes = 5

// streaming is one streamed stage over all of its attempts.
type streaming struct {
	*run
	st      *snapshot.Stage
	in      []byte
	offset  int64         // bytes passed on
	tail    backend.Chunk // the last chunk passed on
	whole   []byte
	resumes int
	at      time.Time // of the last progress
	first   time.Time // of the first byte
}

// stream runs a streamed stage. After a cut it resumes on the same server from
// the last chunk it has, whose bytes have to come again unchanged. It starts
// anew elsewhere only if the caller has seen nothing.
func (x *run) stream(ctx context.Context, st *snapshot.Stage, in []byte) ([]byte, *kind.Error) {
	s := &streaming{run: x, st: st, in: in}
	var a *attempt
	for {
		if s.offset == 0 {
			next, refusal := x.choose(ctx, st, in)
			if refusal != nil {
				return nil, refusal
			}
			a = next
		}
		err := s.attempt(ctx, a)
		x.sent(err)
		if err == nil {
			x.req.Admitted.StreamDuration = s.at.Sub(s.first)
			return x.took(output{streamedType, s.whole}), nil
		}
		if !s.goesOn(ctx, a, err) {
			return nil, s.failed(ctx, err)
		}
	}
}

// attempt sends the stage, from the start of the last chunk if there is one.
func (s *streaming) attempt(ctx context.Context, a *attempt) error {
	c := s.call(s.st, a, s.in)
	c.ResumeOffset = s.tail.Offset
	p := s.pool(s.st)
	c.FirstByteTimeout = p.firstByte.bound(s.Options.MinStallTimeout, s.st.Budget.Std())
	c.IdleTimeout = p.gap.bound(s.Options.MinStallTimeout, s.Options.InitialIdleTimeout)
	c.OnStall = func(reused bool) bool {
		s.Counters.Stalls.Add(1)
		// A server that answers on a new connection and is silent on a new
		// one too is slow; cutting it off would only add to its load.
		return !s.answers(a) || reused
	}
	s.at = s.Clock.Now()
	return s.do(ctx, s.st, a, func(ctx context.Context) error {
		return s.Backend.Stream(ctx, c, s.take)
	})
}

// take passes a chunk on, after it has checked the part that came before.
func (s *streaming) take(ch backend.Chunk) error {
	s.measure()
	if again := min(s.offset-ch.Offset, int64(len(ch.Data))); again > 0 {
		from := ch.Offset - s.tail.Offset
		if from < 0 || s.tail.Data[from:from+again] != ch.Data[:again] {
			return errChanged
		}
		ch.Data, ch.Offset = ch.Data[again:], ch.Offset+again
		if ch.Data == "" && !ch.Final {
			return nil
		}
	}
	if ch.Offset != s.offset {
		return fmt.Errorf("%w: offset %d, want %d", errChanged, ch.Offset, s.offset)
	}
	if s.req.Sink == nil || s.req.CollectBody {
		s.whole = append(s.whole, ch.Data...)
	}
	if ch.Data != "" {
		s.tail = ch
		s.offset += int64(len(ch.Data))
	}
	if s.req.Sink == nil {
		return nil
	}
	if err := s.req.Sink(ch); err != nil {
		return fmt.Errorf("%w: %w", errCaller, err)
	}
	return nil
}

func (s *streaming) measure() {
	now := s.Clock.Now()
	p := s.pool(s.st)
	if s.offset == 0 {
		s.first = now
		p.firstByte.observe(now.Sub(s.at))
	} else {
		p.gap.observe(now.Sub(s.at))
	}
	s.at = now
}

// goesOn decides whether another attempt follows err, and prepares it.
func (s *streaming) goesOn(ctx context.Context, a *attempt, err error) bool {
	var be *backend.Error
	if ctx.Err() != nil || errors.Is(err, errCaller) {
		return false
	}
	cut := errors.As(err, &be) && be.Delivery == backend.MaybeSent
	switch {
	case s.offset > 0 && cut && s.resumes < maxResumes:
		s.resumes++
		s.number++
		s.Counters.Resumptions.Add(1)
		a.number = s.number
		// The end of the last attempt gave the server free for other suspects.
		a.alone = a.alone && s.Isolator.Acquire(a.server.Name, s.req.Fingerprint)
		return true
	case s.offset > 0 && s.req.Sink != nil:
		// A server that takes no connection has lost the stream with its
		// process; another would write another text.
		return false
	case s.offset > 0:
		return s.anew() && s.mayRetry(s.st)
	case cut && be.Stalled:
		if len(s.tried) < s.Options.MaxAttempts && s.mayRetry(s.st) {
			s.tried = without(s.tried, a.server.State)
			return true
		}
		return false
	default:
		return s.mayTryAgain(s.st, err)
	}
}

// anew forgets what came so far; the caller has seen none of it.
func (s *streaming) anew() bool {
	s.offset, s.tail, s.whole = 0, backend.Chunk{}, nil
	return len(s.tried) < s.Options.MaxAttempts
}

func (s *streaming) failed(ctx context.Context, err error) *kind.Error {
	if gone := s.expired(ctx); gone != nil {
		return gone
	}
	if s.offset > 0 && s.req.Sink != nil && !errors.Is(err, errCaller) {
		return kind.New(kind.StreamCut, "stage %s: %w", s.st.Name, err)
	}
	return s.classify(ctx, s.st, err)
}
