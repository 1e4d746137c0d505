package upstream

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"slices"
)

// maxSyncWriteBytes is the maximum size of a request that is written before the response is
// read. It fits into the smallest TCP window, so that the write cannot block on a server that
// does not read. Larger requests are written concurrently.
const maxSyncWriteBytes = 8 << 10

// bodyBytes returns the length of the body.
func (r *Request) bodyBytes() (n int64) {
	if !r.HasBody {
		return 0
	}
	for _, part := range r.Body {
		n += int64(len(part))
	}
	return n
}

// headEnd is a body whose first read tells that the head has been written.
type headEnd struct{ reached bool }

// Read implements io.Reader.
func (e *headEnd) Read([]byte) (int, error) {
	e.reached = true
	return 0, errors.New("upstream: only the head is written")
}

// encodeHead returns the head of a request. The body is not copied: it may be large, and a request may
// have several attempts.
func encodeHead(httpReq *http.Request, req *Request) ([]byte, error) {
	end := &headEnd{}
	if req.HasBody {
		httpReq.Body = http.NoBody
		if httpReq.ContentLength = req.bodyBytes(); httpReq.ContentLength > 0 {
			httpReq.Body = io.NopCloser(end)
		}
	}
	var head bytes.Buffer
	if err := httpReq.Write(&head); err != nil && !end.reached {
		return nil, err
	}
	return head.Bytes(), nil
}

// write writes a request to the connection. The channel receives the result; a large request is
// still being written when write returns.
func (k *conn) write(head []byte, req *Request) <-chan error {
	result := make(chan error, 1)
	var parts [][]byte
	if req.HasBody {
		parts = req.Body
	}
	if int64(len(head))+req.bodyBytes() <= maxSyncWriteBytes {
		_, err := k.out.Write(append(head, slices.Concat(parts...)...))
		result <- err
		return result
	}
	go func() {
		_, err := k.out.WriteParts(slices.Concat([][]byte{head}, parts)...)
		result <- err
	}()
	return result
}
