package peerconn

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"bilberrydale/process/peer"
)

// maxPendingHandshakes is the maximum number of accepted connections that are not yet
// authenticated. Without it, connections of anybody could exhaust the process's memory and file
// descriptors.
const maxPendingHandshakes = 64

// acceptRetryDelay is the delay after a failed accept.
const acceptRetryDelay = 100 * time.Millisecond

// Server accepts connections of peers. Its fields must not change while Run runs; all but
// OnReject are required.
type Server struct {
	Options  Options
	Dispatch peer.Dispatch // executes the calls of the peers
	// OnAccept receives each authenticated connection. It may be called concurrently.
	OnAccept func(peer.Conn)
	// OnReject is called when the handshake on a connection fails, and, with an empty address,
	// when a connection cannot be accepted. It may be called concurrently and may be nil.
	OnReject func(address string, cause error)
}

// Run accepts connections on l until ctx ends. It then closes l, waits for pending handshakes
// and returns nil.
func (s *Server) Run(ctx context.Context, l net.Listener) error {
	stop := context.AfterFunc(ctx, func() { _ = l.Close() })
	defer stop()
	var running sync.WaitGroup
	defer running.Wait()
	handshakes := make(chan struct{}, maxPendingHandshakes)
	for {
		netConn, err := l.Accept()
		if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			// For instance, the process has no free file descriptors. Exiting would end the
			// requests of all callers; accepting works again when other connections close.
			s.reject("", err)
			if !waitToRetryAccept(ctx) {
				return nil
			}
			continue
		}
		select {
		case handshakes <- struct{}{}:
			running.Go(func() {
				defer func() { <-handshakes }()
				s.handshake(netConn)
			})
		default:
			_ = netConn.Close()
		}
	}
}

// waitToRetryAccept waits for acceptRetryDelay and reports whether ctx has not ended.
func waitToRetryAccept(ctx context.Context) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(acceptRetryDelay):
		return true
	}
}

// reject calls OnReject if it is set.
func (s *Server) reject(address string, cause error) {
	if s.OnReject != nil {
		s.OnReject(address, cause)
	}
}

// handshake authenticates an accepted connection and passes it to OnAccept or OnReject.
func (s *Server) handshake(netConn net.Conn) {
	c, err := Accept(netConn, s.Options, s.Dispatch)
	if err != nil {
		s.reject(netConn.RemoteAddr().String(), err)
		return
	}
	s.OnAccept(c)
}
