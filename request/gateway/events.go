package gateway

import (
	"bufio"
	"bytes"
	"errors"
	"io"
)

// eventReader splits a stream of server-sent events into events.
type eventReader struct {
	r      *bufio.Reader
	event  bytes.Buffer
	lastID string // ID of the last event with an ID
}

// newEventReader returns an eventReader for r.
func newEventReader(r io.Reader) *eventReader {
	return &eventReader{r: bufio.NewReaderSize(r, 2048)}
}

// next returns the next complete event, including the blank line at its end. The bytes are
// valid until the next call. At the end of the stream it returns io.EOF with the bytes after
// the last complete event. With any other error it returns no bytes, as an interrupted event
// cannot be used.
func (e *eventReader) next() (event []byte, err error) {
	e.event.Reset()
	lineStart := 0
	for {
		part, err := e.r.ReadSlice('\n')
		e.event.Write(part)
		if errors.Is(err, bufio.ErrBufferFull) {
			continue // a line longer than the buffer
		}
		if errors.Is(err, io.EOF) {
			return e.event.Bytes(), io.EOF
		}
		if err != nil {
			return nil, err
		}
		line := e.event.Bytes()[lineStart:]
		lineStart = e.event.Len()
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			e.lastID = string(bytes.TrimSpace(value))
		}
		if len(bytes.TrimRight(line, "\r\n")) == 0 {
			return e.event.Bytes(), nil
		}
	}
}

// nextBuffered reports whether the next event is completely buffered, so that one flush can
// send both.
func (e *eventReader) nextBuffered() bool {
	buffered, _ := e.r.Peek(e.r.Buffered()) // cannot fail for the buffered length
	return bytes.Contains(buffered, []byte("\n\n")) || bytes.Contains(buffered, []byte("\n\r\n"))
}
