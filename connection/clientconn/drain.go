package clientconn

import "time"

// past is a deadline that has passed: a Read with it returns at once and takes no bytes.
var past = time.Unix(1, 0)

// Drain accepts no more connections, closes those on which no request has begun, and each other one once its
// request is answered. The result is closed when all of them are. No bytes of a request are read from a
// connection that Drain closes, but for less than four that came with the request before. Drain is called once.
// http.Server.Shutdown leaves what it reads without an answer, and has to be called after Drain, if at all.
//
// The handler has to answer with "Connection: close" from some time before Drain.
func (l *Listener) Drain() <-chan struct{} {
	closed := l.conns.drain()
	_ = l.Close() // Accept tells the server
	for _, c := range l.conns.list() {
		c.drain()
	}
	return closed
}

// drain ends the connection once no request has begun on it.
func (c *Conn) drain() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.draining = true
	if c.isQuiet() {
		_ = c.TCPConn.SetReadDeadline(past) // fails only on a closed connection
	}
}

// isQuiet reports whether no byte of a request was read that is not answered. It is called with c.mu held.
func (c *Conn) isQuiet() bool {
	return c.phase <= handshake || !c.begun && c.phase != request
}
