package entry

import (
	"net/http"
	"time"
)

// writeGrace is the time past the deadline in which a caller may take the rest
// of its answer.
const writeGrace = 2 * time.Second

// boundWrites ends the writing of an answer that the caller does not read. The
// request's context cannot: a write to a full socket waits for the other end
// alone. Without the bound, a caller that stopped reading keeps its request in
// flight for good, and with it a backend server's stream and the shutdown.
// net/http takes the bound off again before the connection's next request.
// The network's own clock counts here, so limit is a time from now.
func (c *call) boundWrites(limit time.Duration) {
	// Writers that have no connection, such as recorders, take no deadline.
	_ = http.NewResponseController(c.w).SetWriteDeadline(time.Now().Add(limit + writeGrace))
}
