package gateway

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
)

// eventReader splits a stream of server-sent events into events.
type eventReader struct {
	r     *bufio.Reader
	event bytes.Buffer
	id    string // of the event that next has returned; empty: it has none
	// events counts the events that next has returned. Comments alone are none.
	events int
}

// newEventReader returns an eventReader for r.
func newEventReader(r io.Reader) *eventReader {
	return &eventReader{r: bufio.NewReaderSize(r, 2048)}
}

// errIncompleteEvent means that a stream ended inside an event, however its end was marked.
var errIncompleteEvent = fmt.Errorf("the stream ended inside an event: %w", io.ErrUnexpectedEOF)

// maxEventBytes bounds an event with what comes before it: comments, and blank lines.
const maxEventBytes = 256 << 10

// errEventTooLarge means that a server has sent maxEventBytes without an event.
var errEventTooLarge = fmt.Errorf("the stream has %d bytes without an event", maxEventBytes)

// next returns the next complete event, including the blank line at its end and the comments before
// it: alone they would be passed on from a server that sends nothing else. The bytes are
// valid until the next call. With an error it returns none: io.EOF at an end between events,
// errIncompleteEvent, errEventTooLarge, or the error of the read. Comments at the end of the stream
// are returned like an event.
func (e *eventReader) next() (event []byte, err error) {
	e.event.Reset()
	e.id = ""
	lineStart, blockEnd := 0, 0
	hasField := false
	for {
		part, err := e.r.ReadSlice('\n')
		e.event.Write(part)
		if e.event.Len() > maxEventBytes {
			return nil, errEventTooLarge
		}
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
			continue // a line longer than the buffer
		case err == io.EOF && e.event.Len() > blockEnd:
			return nil, errIncompleteEvent
		case err == io.EOF && blockEnd > 0:
			return e.event.Bytes(), nil
		case err != nil:
			return nil, err
		}
		line := e.event.Bytes()[lineStart:]
		lineStart = e.event.Len()
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			e.id = string(bytes.TrimSpace(value))
		}
		hasField = hasField || isEventField(line)
		if len(bytes.TrimRight(line, "\r\n")) > 0 {
			continue
		}
		if blockEnd = e.event.Len(); hasField {
			e.events++
			return e.event.Bytes(), nil
		}
	}
}

// isEventField reports whether a line makes its block of lines an event: others are comments, or say
// nothing to a client.
func isEventField(line []byte) bool {
	return bytes.HasPrefix(line, []byte("data")) || bytes.HasPrefix(line, []byte("id")) || bytes.HasPrefix(line, []byte("event"))
}

// incompleteBytes returns the number of bytes after the last complete event. It may be called
// once next has returned an error.
func (e *eventReader) incompleteBytes() int { return e.event.Len() }

// nextBuffered reports whether the next event is completely buffered, so that one flush can
// send both.
func (e *eventReader) nextBuffered() bool {
	buffered, _ := e.r.Peek(e.r.Buffered()) // cannot fail for the buffered length
	return bytes.Contains(buffered, []byte("\n\n")) || bytes.Contains(buffered, []byte("\n\r\n"))
}
