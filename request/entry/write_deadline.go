package entry

import (
	"net/http"
	"time"
)

// writeGrace is the time after the deadline within which a caller may read the rest of its
// response.
const writeGrace = 2 * time.Second

// setWriteDeadline limits the time for writing the response to a caller that does not read
// it. The request's context cannot interrupt a write to a full socket. Without the deadline,
// such a caller would keep its request in flight forever, and with it the stream of a backend
// server and the shutdown of the host. net/http removes the deadline before the next request
// on the connection. The connection uses the system clock, not Handler.Clock, so timeout is
// relative to now.
func (c *callerRequest) setWriteDeadline(timeout time.Duration) {
	// Fails for writers without a connection, such as httptest.ResponseRecorder.
	_ = http.NewResponseController(c.w).SetWriteDeadline(time.Now().Add(timeout + writeGrace))
}
