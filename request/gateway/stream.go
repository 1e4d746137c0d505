package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"slices"
	"strconv"
	"time"

	"bilberrydale/connection/upstream"
	"bilberrydale/process/directory"
	"bilberrydale/process/errkind"
)

// maxStageReruns limits how often the stages of a request are rerun because results were
// lost with their server.
const maxStageReruns = 2

// serveStream handles a request whose response is a stream of events. On a resumable route,
// an interrupted stream is resumed on another server after the last event sent to the
// client.
func (x *exchange) serveStream(ctx context.Context) error {
	hist := newAttemptHistory()
	progress := newStreamProgress(x.clientRequest.LastEventID)
	reruns := 0
	for {
		s, err := x.nextStreamServer(ctx, hist)
		if err != nil {
			return err
		}
		err = x.watchForCrash(s, func() error {
			a, err := x.send(ctx, s, progress.lastEventID, nil)
			if err != nil {
				return err
			}
			return x.relayStream(a, progress, hist)
		})
		if err == nil {
			x.returnRetry(hist)
			return nil
		}
		if errors.Is(err, errInputsLost) && reruns < maxStageReruns {
			reruns++
			delete(hist.tried, s.ID)
			if err := x.rerunStages(ctx); err != nil {
				return err
			}
			continue
		}
		hist.record(err)
	}
}

// nextStreamServer is nextServer for a stream, whose inputs are restored before. The error is that with
// which the stream ends if no further attempt is possible.
func (x *exchange) nextStreamServer(ctx context.Context, hist *attemptHistory) (*directory.Server, error) {
	if !x.mayAttempt(ctx, hist) {
		return nil, x.finishStream(hist)
	}
	if err := x.restoreInputs(ctx); err != nil {
		if !x.headersSent {
			return nil, err
		}
		hist.lastErr = fmt.Errorf("%w, and its stages cannot run again: %w", hist.lastErr, err)
		return nil, x.finishStream(hist)
	}
	if s := x.nextServer(ctx, hist); s != nil {
		return s, nil
	}
	return nil, x.finishStream(hist)
}

// errInputsLost means that a stage result that the request needs was lost. The request did
// not run.
var errInputsLost = fmt.Errorf("%w: an input is gone", errNotRun)

// rerunStages frees the remaining stage results and runs the stages again.
func (x *exchange) rerunStages(ctx context.Context) error {
	x.freeResults()
	x.inputHandles = nil
	x.stageRound++
	err := x.runStages(ctx)
	x.inputsReleased = err != nil
	return err
}

// releaseInputs frees the stage results. The stream needs new ones to go on elsewhere.
func (x *exchange) releaseInputs() {
	x.inputsReleased = len(x.inputHandles) > 0
	x.freeResults()
}

// finishStream returns the error of a stream for which no further attempt is possible.
func (x *exchange) finishStream(hist *attemptHistory) error {
	if x.headersSent {
		return &errkind.Error{Kind: errkind.StreamCut, Detail: hist.lastErrorText(), Dispatched: true, Cause: hist.lastErr}
	}
	return x.finish(hist)
}

// streamProgress is the position in the stream up to which the client has received events.
type streamProgress struct {
	lastEventID   string // ID of the last event sent to the client; empty: none
	lastNumericID int64  // the last event ID that is a number; 0: none
}

// newStreamProgress returns the position of a stream of which the client has received the event
// with the ID; empty: none.
func newStreamProgress(lastEventID string) *streamProgress {
	p := &streamProgress{lastEventID: lastEventID}
	if n, numeric := numericID(lastEventID); numeric {
		p.lastNumericID = n
	}
	return p
}

// relayStream relays a server's response to the client and ends the attempt. It returns nil
// once the client has the complete response.
func (x *exchange) relayStream(a *attempt, progress *streamProgress, hist *attemptHistory) error {
	if a.response.Status/100 != 2 {
		x.endWait(a)
		r, err := x.readBuffered(a)
		if err != nil {
			return err
		}
		if !x.headersSent && (!x.retryable() || r.status < 500) {
			return x.writeBuffered(r)
		}
		hist.failedResponse = r
		if x.headersSent {
			hist.failedResponse = nil
		}
		return fmt.Errorf("%w: %s: status %d", errInvalidResponse, a.server.ID, r.status)
	}
	err := x.relayEvents(a, progress, hist)
	a.close(err == nil)
	if err != nil {
		x.recordTruncatedResponse(a)
		x.logEntry.StreamInterruptions++
		if !errors.Is(err, errInvalidResponse) { // the client's connection failed
			err = fmt.Errorf("%w: %w", errInvalidResponse, err)
		}
		return fmt.Errorf("%s after event %q: %w", a.server.ID, progress.lastEventID, err)
	}
	now := x.opts.Clock.Now()
	a.server.RecordResponse(false, now)
	if !x.headersSent {
		x.writeHeaders(a)
	}
	x.observeTimes(now)
	return nil
}

// observeTimes updates the estimates of stream durations and prefill times from a stream that
// ended at end.
func (x *exchange) observeTimes(end time.Time) {
	first := x.firstEventAt.Sub(x.arrivedAt) - x.logEntry.StageDuration
	x.streamDurations.observe(x.route.Name, streamDuration{toFirstEvent: first, afterFirstEvent: end.Sub(x.firstEventAt)})
	if x.clientRequest.InputTokens > 0 && x.logEntry.Attempts == 1 {
		// The shared prefix is usually in the KV cache already.
		_, shared := x.sharedPrefix()
		x.prefillTimes.observe(x.service, max(x.clientRequest.InputTokens-shared, 0), first)
	}
}

// relayEvents forwards complete events as they arrive. It returns nil if the stream ended and
// was complete. The rest of an interrupted event is dropped, so that it is not joined with the
// first event of the next attempt.
func (x *exchange) relayEvents(a *attempt, progress *streamProgress, hist *attemptHistory) error {
	ctx := x.r.Context()
	watch := x.watchSilence(a, hist)
	defer watch.disarm()
	watch.arm(ctx, firstEventTimeout)
	ahead := newReadAhead(a, x.readAhead)
	defer ahead.stop(a.cancel)
	r := newEventReader(ahead)
	defer func() { _ = x.clientConn.SetWriteDeadline(time.Time{}) }() // the connection may get another request
	for {
		event, err := r.next()
		left := watch.disarm() // the time that the client takes is not the server's
		if err == io.EOF {     // the cause of another error may be one, too
			return x.verifyStreamEnd(a, r.events)
		}
		if err != nil {
			x.logEntry.IncompleteBytes = r.incompleteBytes()
			if left {
				return fmt.Errorf("%w: %w", errLeftSilentServer, err)
			}
			return fmt.Errorf("%w: %w", invalidResponse(err), err)
		}
		x.measure(a)
		ahead.writing()
		err = x.writeEvent(a, progress, event, r.id)
		if err == nil && !r.nextBuffered() {
			err = x.writeClient(x.clientConn.Flush)
		}
		ahead.written()
		if err != nil {
			x.logEntry.AnswerUnread = errors.Is(err, os.ErrDeadlineExceeded)
			return err
		}
		watch.arm(ctx, eventTimeout)
	}
}

const (
	// maxUnreadEventTime ends a stream that its client does not read.
	maxUnreadEventTime = 10 * time.Second
	// eventPartBytes of an event are written at once, so that progress shows.
	eventPartBytes = 16 << 10
)

// writeClient calls a function that writes to the client, and ends it if it takes maxUnreadEventTime.
// net/http then cancels the request's context.
func (x *exchange) writeClient(write func() error) error {
	if err := x.clientConn.SetWriteDeadline(time.Now().Add(maxUnreadEventTime)); err != nil && !errors.Is(err, http.ErrNotSupported) {
		return err
	}
	return write()
}

// writeEventParts writes an event to the client.
func (x *exchange) writeEventParts(event []byte) error {
	for part := range slices.Chunk(event, eventPartBytes) {
		err := x.writeClient(func() error {
			_, err := x.w.Write(part)
			return err
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// verifyStreamEnd returns an error if a response that ended between events, after so many, may be incomplete.
// Events of earlier responses prove nothing: the server of a stream that goes on may close its connection
// right after the head.
func (x *exchange) verifyStreamEnd(a *attempt, events int) error {
	if a.response.BodyEnd == upstream.EndByClose && events == 0 {
		return fmt.Errorf("%w: before any event", errConnectionBroke)
	}
	return x.verifyEnd(a)
}

// writeEvent sends an event to the client unless the client already has it. net/http cancels
// the request's context if the write fails, which prevents further attempts.
func (x *exchange) writeEvent(a *attempt, progress *streamProgress, event []byte, id string) error {
	n, numeric := numericID(id)
	if numeric && progress.lastNumericID > 0 && n <= progress.lastNumericID {
		return nil
	}
	if x.writer.IsZero() {
		x.beginStream(a.server.Writer)
	}
	if !x.headersSent {
		x.writeHeaders(a)
	}
	if err := x.writeEventParts(event); err != nil {
		return err
	}
	x.logEntry.Events++
	x.lastEventAt = x.opts.Clock.Now()
	if v := a.server.Version; !slices.Contains(x.logEntry.EventVersions, v) {
		x.logEntry.EventVersions = append(x.logEntry.EventVersions, v)
	}
	if id != "" {
		progress.lastEventID = id
	}
	if numeric {
		progress.lastNumericID = n
	}
	return nil
}

// numericID parses an event ID as a number, and returns false if it is none.
func numericID(id string) (int64, bool) {
	n, err := strconv.ParseInt(id, 10, 64)
	return n, err == nil
}

// writeHeaders sends the status and headers of the server's response. It is called with the
// first event: until then, the request can still fail over to another server and get the
// headers of its response.
func (x *exchange) writeHeaders(a *attempt) {
	x.setResponseHeaders(x.w.Header(), a.response.Header)
	x.headersSent = true
	x.logEntry.Status, x.logEntry.Ran = a.response.Status, errkind.RanYes
	now := x.opts.Clock.Now()
	x.logEntry.TimeToFirstByte = now.Sub(x.arrivedAt)
	x.firstEventAt = now
	x.w.WriteHeader(a.response.Status)
	// The engine has read its inputs before it generates the first event.
	x.releaseInputs()
}
