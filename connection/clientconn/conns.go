package clientconn

import "sync"

// Counts are numbers of open connections.
type Counts struct {
	Unused  int // nothing was read yet
	Idle    int // the last request is answered, and nothing was read since
	Reading int // a part of the head of a request was read
	Request int // a request is handled, or its answer is on its way
}

// Unanswered returns the number of connections on which bytes of a request were read that is not answered.
func (c Counts) Unanswered() int { return c.Reading + c.Request }

// All returns the number of connections.
func (c Counts) All() int { return c.Unused + c.Idle + c.Unanswered() }

// Counts returns how many connections are open. It may be called from any goroutine.
func (l *Listener) Counts() Counts {
	var n Counts
	for _, c := range l.conns.list() {
		c.count(&n)
	}
	return n
}

// count adds the connection to n.
func (c *Conn) count(n *Counts) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.phase == request:
		n.Request++
	case c.begun && c.phase > handshake:
		n.Reading++
	case c.phase == idleNext || c.phase == idle:
		n.Idle++
	default:
		n.Unused++
	}
}

// connSet are the open connections of a listener. Its zero value is empty. It is safe for concurrent use.
type connSet struct {
	mu    sync.Mutex // guards the fields below
	conns map[*Conn]struct{}
	empty chan struct{} // closed once there are none; nil before drain
}

// add adds a connection, unless drain was called.
func (s *connSet) add(c *Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.empty != nil {
		return false
	}
	if s.conns == nil {
		s.conns = map[*Conn]struct{}{}
	}
	s.conns[c] = struct{}{}
	return true
}

// remove removes a connection. It may be called more than once.
func (s *connSet) remove(c *Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, open := s.conns[c]; !open {
		return
	}
	delete(s.conns, c)
	if s.empty != nil && len(s.conns) == 0 {
		close(s.empty)
	}
}

// list returns the open connections.
func (s *connSet) list() []*Conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]*Conn, 0, len(s.conns))
	for c := range s.conns {
		out = append(out, c)
	}
	return out
}

// drain ends the adding of connections. The result is closed once there are none.
func (s *connSet) drain() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.empty = make(chan struct{})
	if len(s.conns) == 0 {
		close(s.empty)
	}
	return s.empty
}

// isDraining reports whether drain was called.
func (s *connSet) isDraining() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.empty != nil
}
