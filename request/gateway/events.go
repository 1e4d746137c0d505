package gateway

import (
	"bufio"
	"bytes"
	"errors"
	"io"
)

// eventReader splits a stream into its events.
type eventReader struct {
	r     *bufio.Reader
	event bytes.Buffer
	id    string // of the last event that had one
}

func newEventReader(r io.Reader) *eventReader {
	return &eventReader{r: bufio.NewReaderSize(r, 2048)}
}

// next returns the next whole event, with its end. The bytes are valid until the
// next call. At the end of the stream it returns io.EOF with what came after the
// last whole event; any other error comes with nothing, for an event that broke
// off is of no use.
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
			e.id = string(bytes.TrimSpace(value))
		}
		if len(bytes.TrimRight(line, "\r\n")) == 0 {
			return e.event.Bytes(), nil
		}
	}
}

// more tells whether the next event has arrived whole: then one flush serves
// both.
func (e *eventReader) more() bool {
	next, _ := e.r.Peek(e.r.Buffered()) // no more than there is, so no error
	return bytes.Contains(next, []byte("\n\n")) || bytes.Contains(next, []byte("\n\r\n"))
}
